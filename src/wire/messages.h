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

/// A runner's load as last reported to one router.
struct LoadEntry {
  /// Low 32 bits of the hash of the runner's id.
  std::uint32_t runner_hash = 0;
  std::chrono::milliseconds age{0};
  std::uint32_t queued_tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t prefill_tokens_per_second = 0;
  std::uint64_t incarnation = 0;
};

/// State that two routers exchange. Request and reply have the same form.
struct StateExchange {
  std::string sender;
  /// Offset after the last configuration record that the sender applied.
  std::uint64_t config_through = 0;
  std::uint64_t config_version = 0;
  bool is_leaving = false;
  /// The sender has just started and requests the full state.
  bool wants_full_state = false;
  std::vector<LoadEntry> loads;
  /// Configuration records that the receiver lacks.
  std::vector<configlog::LogRecord> records;
  std::optional<configlog::Checkpoint> checkpoint;
  /// Serialized host list; empty unless the receiver asked for the full state.
  std::string hosts;
};

/// Asks the router that owns a partition to claim a key.
struct ClaimRequest {
  std::uint32_t partition = 0;
  claim::ClaimEntry entry;
  std::chrono::milliseconds time_left{0};
};

/// Sends the outcome or the withdrawal of a claim to the router that owns the
/// claim's partition.
struct ClaimUpdate {
  std::uint32_t partition = 0;
  claim::Entry entry;
};

using PeerRequest = std::variant<StateExchange, ClaimRequest, ClaimUpdate>;

/// Encodes a request. @pre none. Thread-safe.
std::string Encode(const PeerRequest& request);
/// Decodes a request; returns `nullopt` for malformed data. @pre none.
/// Thread-safe.
std::optional<PeerRequest> DecodeRequest(std::string_view data);

/// Encodes a claim's answer. @pre none. Thread-safe.
std::string Encode(const claim::ClaimAnswer& answer);
/// Decodes a claim's answer; returns `nullopt` for malformed data. @pre none.
/// Thread-safe.
std::optional<claim::ClaimAnswer> DecodeClaimAnswer(std::string_view data);

}  // namespace beryllane::wire

#endif  // BERYLLANE_SRC_WIRE_MESSAGES_H_
