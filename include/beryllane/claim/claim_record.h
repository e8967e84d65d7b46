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

/// Claims a key for one attempt. The first valid claim of a key in the log's
/// order wins.
struct ClaimEntry {
  /// Hash of client account and idempotency key.
  Hash128 key;
  /// Unique id of the attempt.
  Hash128 id;
  /// Hash of the request, so that a key cannot stand for two requests.
  Hash128 fingerprint;
  /// When the caller made the key.
  WallTime issued;
  /// After this time the winner has answered, given up, or died.
  WallTime expires;
};

/// Withdraws an attempt that sent nothing; its key can be claimed again.
struct WithdrawalEntry {
  Hash128 key;
  Hash128 id;
};

/// Status of an outcome whose attempt sent the request and got no answer.
inline constexpr int kUnknownStatus = 0;

/// The answer that a claimed attempt received.
struct OutcomeEntry {
  Hash128 key;
  Hash128 id;
  int status = kUnknownStatus;
  std::string content_type;
  std::string body;
};

/// One entry of a batch.
using Entry = std::variant<ClaimEntry, WithdrawalEntry, OutcomeEntry>;

/// Encodes a batch as CBOR, one log record. @pre none. Thread-safe.
std::string EncodeBatch(const std::vector<Entry>& batch);

/// Decodes a batch; bytes that are not one give `nullopt`. @pre none.
/// Thread-safe.
std::optional<std::vector<Entry>> DecodeBatch(std::string_view data);

/// The time in an idempotency key, which is a UUID of version 7, or decimal
/// milliseconds since 1970 followed by `-` and any text. Other keys give
/// `nullopt`. @pre none. Thread-safe.
std::optional<WallTime> KeyIssueTime(std::string_view key);

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_RECORD_H_
