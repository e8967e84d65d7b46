/// @file
/// One soak: a fleet of processes, callers, and the faults of a plan.
#ifndef BERYLLANE_TESTS_SOAK_SOAK_H_
#define BERYLLANE_TESTS_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/soak/callers.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/promises.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::soak {

/// Plays one plan against real processes. Used on one thread.
class Soak {
 public:
  /// Starts the fleet and its callers. @pre the programs are built.
  Soak(std::uint64_t seed, const PlanShape& shape);

  /// Plays the plan, takes all faults back and waits for the recovery; one
  /// line for each broken promise. @pre called once.
  std::vector<std::string> Run();
  /// Requests that were sent, and those that were served. @pre `Run` returned.
  std::size_t sent() const { return record_.calls.size(); }
  std::size_t served() const;
  /// Folder of all logs. @pre none.
  const std::string& directory() const { return fleet_.directory(); }

 private:
  // A router or target with what was done to it.
  struct Member {
    testing::Process* process = nullptr;
    std::string name;
    // Among the members of its kind.
    int index = 0;
    bool is_paused = false;
    bool is_stopping = false;
    bool starts_again = false;
    // Faults to be switched through the control port, once it answers.
    nlohmann::json change = nlohmann::json::object();
  };

  // Each request that a router read must have ended, and no task failed.
  void CheckCounts();
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void SetTargetFault(const Fault& fault, bool is_on);
  void SetStoreFault(const Fault& fault, bool is_on);
  void SetKey(bool is_revoked);
  void NoteBreak(const Member& member);
  void Pause(Member& member, bool is_paused);
  void Kill(Member& member);
  void Start(Member& member);
  // Passes on waiting changes and notices processes that have ended.
  void Tick();
  void LookAfter(Member& member);
  bool HasRecovered(const std::vector<std::uint64_t>& served_before);

  Member& RouterOf(const Fault& fault) {
    return routers_[static_cast<std::size_t>(fault.index)];
  }
  Member& TargetOf(const Fault& fault) {
    return targets_[static_cast<std::size_t>(fault.index)];
  }

  PlanShape shape_;
  std::vector<Fault> plan_;
  // When each fault began, by its planned begin and length.
  std::map<std::pair<std::chrono::milliseconds, std::chrono::milliseconds>,
           Instant>
      begun_;
  LoopbackProxies proxies_;
  testing::PlatformFleet fleet_;
  std::vector<Member> routers_;
  std::vector<Member> targets_;
  Member store_;
  std::optional<Callers> callers_;
  SoakRecord record_;
  std::vector<std::string> broken_;
  int config_version_ = 1;
  int weights_version_ = 1;
  // The wish of the plan, which waits while the store is paused.
  bool wants_key_revoked_ = false;
  int wanted_weights_ = 1;
  bool is_key_revoked_ = false;
};

}  // namespace beryllane::soak

#endif  // BERYLLANE_TESTS_SOAK_SOAK_H_
