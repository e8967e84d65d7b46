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

/// Bounds that keep a key from running again after its claim was truncated.
/// With `max_age + max_skew < retention` of the log, a claim that could win
/// again would be logged later than its key's issue time plus `max_age`.
struct ClaimBounds {
  /// A claim logged later than this after its key's issue time is void.
  std::chrono::milliseconds max_age{std::chrono::hours(1)};
  /// A key issued further than this ahead of the log's clock is void.
  std::chrono::milliseconds max_skew{std::chrono::seconds(60)};
};

/// Why a claim did or did not win.
enum class ClaimDecision { kWon, kLost, kExpired, kWithdrawn };

/// The winner of a key.
struct WinningClaim {
  ClaimEntry claim;
  std::uint64_t offset = 0;
  WallTime logged;
  std::optional<OutcomeEntry> outcome;
};

/// Folds batches into winners. Two tables that applied the same records agree
/// on every key. Not thread-safe.
///
/// Example:
/// @code
///   ClaimTable table(bounds);
///   table.Apply(0, logged, *DecodeBatch(data));
///   if (table.DecisionOf(id) == ClaimDecision::kWon) send();
/// @endcode
class ClaimTable {
 public:
  /// @pre `bounds.max_age + bounds.max_skew` is below the log's retention.
  explicit ClaimTable(ClaimBounds bounds);

  /// Applies the batch at `offset`, logged at `logged`. Records below
  /// `next_offset()` are ignored. Complexity: linear in the batch. @pre
  /// records arrive in offset order without gaps after truncation.
  void Apply(std::uint64_t offset, WallTime logged,
             const std::vector<Entry>& batch);
  /// Continues at `first` because earlier records were truncated. @pre none.
  void SetLogStart(std::uint64_t first);
  /// The winner of a key, or null. The pointer is valid until the next call
  /// of a non-const method. @pre none.
  const WinningClaim* Find(const Hash128& key) const;
  /// The fate of an attempt whose claim was applied; `nullopt` if it was not
  /// seen yet. @pre none.
  std::optional<ClaimDecision> DecisionOf(const ClaimEntry& claim) const;
  /// Forgets keys that were logged before `horizon`. @pre `horizon` is at
  /// least `max_age + max_skew` before the log's present time.
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
  std::deque<LoggedAttempt> attempts_;                    // For DropBefore.
};

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_TABLE_H_
