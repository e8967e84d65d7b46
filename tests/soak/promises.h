/// @file
/// Compares what callers saw with what targets ran.
#ifndef BERYLLANE_TESTS_SOAK_PROMISES_H_
#define BERYLLANE_TESTS_SOAK_PROMISES_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/soak/callers.h"

namespace beryllane::soak {

/// One run of a request at a target.
struct RunRecord {
  std::string id;
  std::string target;
  Instant at;
  std::string path;
  std::string body;
  std::string account;
  /// Start time of the target's process.
  std::int64_t start_time = 0;
  /// Whether its answer announces that the target leaves.
  bool is_leaving = false;
};

/// One order of weights that a target accepted.
struct OrderRecord {
  std::string target;
  Instant at;
  std::string holder;
  std::uint64_t fencing_token = 0;
};

/// A span in which one key was out of force, from the acknowledged change on.
struct Revocation {
  std::string key;
  Instant from;
  Instant until;
};

/// A span in which something that is not planned work was done to the fleet.
struct Disturbance {
  Instant from;
  Instant until;
  /// The target whose link was disturbed; empty for all else.
  std::string link;
};

/// A request that a target turned away, asking for a pause.
struct TurnedAwayRecord {
  std::string id;
  std::string target;
  /// Start time of the target's process.
  std::int64_t start_time = 0;
  Instant at;
  /// How long the target wanted nothing.
  std::chrono::nanoseconds pause{0};
};

/// A moment at which a router was ended, started, frozen or thawed.
struct RouterBreak {
  int router = 0;
  Instant at;
};

/// All that was seen in one soak.
struct SoakRecord {
  std::vector<CallRecord> calls;
  std::vector<RunRecord> runs;
  std::vector<OrderRecord> orders;
  std::vector<Revocation> revocations;
  std::vector<Disturbance> disturbances;
  std::vector<RouterBreak> router_breaks;
  std::vector<TurnedAwayRecord> turned_away;
};

/// Limits of the fleet under test.
struct PromiseBounds {
  /// From a change's acknowledgement until no request with the key runs.
  std::chrono::milliseconds revocation{3000};
  /// From an announcement of a target's leaving that a router passed on until
  /// no request to that router reaches the target.
  std::chrono::milliseconds drain{2500};
  /// From a target's answer that asks for a pause until its router knows it.
  std::chrono::milliseconds pause_notice{500};
  /// Requests of one router that may reach the target in the rest of a pause.
  int max_arrivals_in_pause = 2;
  /// How long after a disturbance requests may still fail.
  std::chrono::milliseconds settling{4000};
  /// Targets that one attempt of an idempotent request may run at.
  int max_attempts = 2;
  /// Requests that may exceed it, because their target was lost meanwhile.
  int excused_attempts = 3;
};

/// Reads one target's log lines. @pre as the stand-in writes them.
/// Thread-safe.
void ReadTargetLog(const std::vector<nlohmann::json>& lines,
                   SoakRecord& record);

/// One line for each broken promise; empty where all were kept. @pre none.
/// Thread-safe.
std::vector<std::string> FindBroken(const SoakRecord& record,
                                    const PromiseBounds& bounds);

}  // namespace beryllane::soak

#endif  // BERYLLANE_TESTS_SOAK_PROMISES_H_
