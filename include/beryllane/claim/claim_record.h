/// @file
/// Records of a claim stream and their encoding.
#ifndef BERYLLANE_CLAIM_CLAIM_RECORD_H_
#define BERYLLANE_CLAIM_CLAIM_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/hash/hash.h"

namespace beryllane::claim {

/// Claims a key for one attempt. The first valid claim of a key in log order
/// wins.
struct ClaimEntry {
  /// Hash of client account and idempotency key.
  Hash128 key;
  /// Unique id of the attempt.
  Hash128 id;
  /// Hash of the request, to detect a key that is reused for another request.
  Hash128 fingerprint;
  /// When the caller issued the key.
  WallTime issued;
  /// Time by which the winner has finished or failed. If no outcome is recorded
  /// by then, the outcome is unknown.
  WallTime expires;
};

/// Withdraws an attempt that sent nothing, so that its key can be claimed
/// again.
struct WithdrawalEntry {
  Hash128 key;
  Hash128 id;
};

/// Status of an outcome whose attempt sent the request and got no response.
inline constexpr int kUnknownStatus = 0;

/// The response that a winning attempt received.
struct OutcomeEntry {
  Hash128 key;
  Hash128 id;
  int status = kUnknownStatus;
  std::string content_type;
  std::string body;
};

/// One entry of a batch.
using Entry = std::variant<ClaimEntry, WithdrawalEntry, OutcomeEntry>;

/// Encodes a batch as one log record, in CBOR. @pre none. Thread-safe.
std::string EncodeBatch(const std::vector<Entry>& batch);

/// Decodes a batch; returns `nullopt` if `data` is not a valid batch. @pre
/// none. Thread-safe.
std::optional<std::vector<Entry>> DecodeBatch(std::string_view data);

/// Returns the issue time in an idempotency key, which is a UUID of version 7,
/// or milliseconds since 1970 as 13 decimal digits followed by `-` and any
/// text. Returns `nullopt` for other keys. @pre none. Thread-safe.
std::optional<WallTime> KeyIssueTime(std::string_view key);

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_RECORD_H_
