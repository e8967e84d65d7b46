/// @file
/// Messages between routers and their CBOR encoding.
#ifndef BERYLLANE_SRC_WIRE_MESSAGES_H_
#define BERYLLANE_SRC_WIRE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "beryllane/claim/claim_partition.h"
#include "beryllane/claim/claim_record.h"
#include "beryllane/configlog/config_log.h"

namespace beryllane::wire {

/// A runner's load as one router knows it.
struct LoadEntry {
  /// Low 32 bits of the hash of the runner's id.
  std::uint32_t runner_hash = 0;
  std::chrono::milliseconds age{0};
  std::uint32_t queued_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t prefill_tokens_per_second = 0;
  std::uint64_t incarnation = 0;
};

/// Push and pull of state between two routers; the reply has the same form.
struct StateExchange {
  std::string sender;
  /// Offset after the last configuration record that the sender applied.
  std::uint64_t config_through = 0;
  std::uint64_t config_version = 0;
  bool is_leaving = false;
  /// The sender just started and asks for everything.
  bool wants_full_state = false;
  std::vector<LoadEntry> loads;
  /// Configuration records that the other side lacks.
  std::vector<configlog::LogRecord> records;
  std::optional<configlog::Checkpoint> checkpoint;
  /// The host list as the platform gave it; only for a starting router.
  std::string hosts;
};

/// Asks the router of a partition for a claim.
struct ClaimRequest {
  std::uint32_t partition = 0;
  claim::ClaimEntry entry;
  std::chrono::milliseconds time_left{0};
};

/// Hands an outcome or a withdrawal to the router of a partition.
struct ClaimUpdate {
  std::uint32_t partition = 0;
  claim::Entry entry;
};

using PeerRequest = std::variant<StateExchange, ClaimRequest, ClaimUpdate>;

/// Encodes a request. @pre none. Thread-safe.
std::string Encode(const PeerRequest& request);
/// Decodes a request; other bytes give `nullopt`. @pre none. Thread-safe.
std::optional<PeerRequest> DecodeRequest(std::string_view data);

/// Encodes a claim's answer. @pre none. Thread-safe.
std::string Encode(const claim::ClaimAnswer& answer);
/// Decodes a claim's answer; other bytes give `nullopt`. @pre none.
/// Thread-safe.
std::optional<claim::ClaimAnswer> DecodeClaimAnswer(std::string_view data);

}  // namespace beryllane::wire

#endif  // BERYLLANE_SRC_WIRE_MESSAGES_H_
