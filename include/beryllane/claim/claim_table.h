/// @file
/// The state of one claim partition as a pure function of its log stream.
#ifndef BERYLLANE_CLAIM_CLAIM_TABLE_H_
#define BERYLLANE_CLAIM_CLAIM_TABLE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "beryllane/claim/claim_record.h"

namespace beryllane::claim {

/// Limits that keep a request from running twice when the first claim of its
/// key has been truncated from the log. With `max_age + max_skew` below the
/// log's retention, a claim that is logged after that truncation is logged
/// later than the key's issue time plus `max_age`, so it expires.
struct ClaimBounds {
  /// A claim that is logged later than this after its key was issued expires.
  std::chrono::milliseconds max_age{std::chrono::hours(1)};
  /// A claim whose key was issued further than this ahead of the log's clock
  /// expires.
  std::chrono::milliseconds max_skew{std::chrono::seconds(60)};
};

/// The decision on a claim.
enum class ClaimDecision { kWon, kLost, kExpired, kWithdrawn };

/// The claim that won a key, and its outcome once that is recorded.
struct WinningClaim {
  ClaimEntry claim;
  std::uint64_t offset = 0;
  WallTime logged;
  std::optional<OutcomeEntry> outcome;
};

/// Derives the winner of each key from the logged batches. Two tables that
/// applied the same records agree on every key. Not thread-safe.
///
/// Example:
/// @code
///   ClaimTable table(bounds);
///   table.Apply(0, logged, *DecodeBatch(data));
///   if (table.DecisionOf(claim) == ClaimDecision::kWon) send();
/// @endcode
class ClaimTable {
 public:
  /// @pre `bounds.max_age + bounds.max_skew` is below the log's retention.
  explicit ClaimTable(ClaimBounds bounds);

  /// Applies the batch at `offset`, logged at `logged`. Records below
  /// `next_offset()` are ignored. Complexity: linear in the batch. @pre
  /// records arrive in offset order, with no gaps but those that
  /// `SetLogStart` announces.
  void Apply(std::uint64_t offset, WallTime logged,
             const std::vector<Entry>& batch);
  /// Sets the oldest offset that the log retains. If records before `first`
  /// are still missing, the table continues at `first`. @pre none.
  void SetLogStart(std::uint64_t first);
  /// The winner of a key, or null. The pointer is valid until the next call
  /// of a non-const method. @pre none.
  const WinningClaim* Find(const Hash128& key) const;
  /// The decision on a claim; `nullopt` if neither the claim nor a withdrawal
  /// of it was applied yet. @pre none.
  std::optional<ClaimDecision> DecisionOf(const ClaimEntry& claim) const;
  /// Removes attempts that were logged before `horizon`, with the keys that
  /// they won. @pre `horizon` is at least `max_age + max_skew` before the log's
  /// current time.
  void DropBefore(WallTime horizon);

  /// Offset of the next record to apply. @pre none.
  std::uint64_t next_offset() const { return next_offset_; }
  /// Number of keys held. @pre none.
  std::size_t size() const { return winners_.size(); }

 private:
  struct LoggedAttempt {
    Hash128 key;
    Hash128 id;
    WallTime logged;
  };

  void ApplyEntry(std::uint64_t offset, WallTime logged, const ClaimEntry& e);
  void ApplyEntry(std::uint64_t offset, WallTime logged,
                  const WithdrawalEntry& e);
  void ApplyEntry(std::uint64_t offset, WallTime logged, const OutcomeEntry& e);

  ClaimBounds bounds_;
  std::uint64_t next_offset_ = 0;
  std::unordered_map<Hash128, WinningClaim> winners_;     // By key.
  std::unordered_map<Hash128, ClaimDecision> decisions_;  // By attempt id.
  std::deque<LoggedAttempt> attempts_;                    // In log order.
};

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_TABLE_H_
