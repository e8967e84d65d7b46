#include "beryllane/claim/claim_table.h"

#include <algorithm>
#include <variant>

#include "beryllane/invariant/invariant.h"

namespace beryllane::claim {

ClaimTable::ClaimTable(ClaimBounds bounds) : bounds_(bounds) {}

void ClaimTable::Apply(std::uint64_t offset, WallTime logged,
                       const std::vector<Entry>& batch) {
  if (offset < next_offset_) return;
  BERYLLANE_INVARIANT("claim-contiguous", offset == next_offset_);
  next_offset_ = offset + 1;
  for (const Entry& entry : batch) {
    std::visit([&](const auto& e) { ApplyEntry(offset, logged, e); }, entry);
  }
}

void ClaimTable::SetLogStart(std::uint64_t first) {
  next_offset_ = std::max(next_offset_, first);
}

const WinningClaim* ClaimTable::Find(const Hash128& key) const {
  const auto it = winners_.find(key);
  return it == winners_.end() ? nullptr : &it->second;
}

std::optional<ClaimDecision> ClaimTable::DecisionOf(
    const ClaimEntry& claim) const {
  const auto it = decisions_.find(claim.id);
  if (it == decisions_.end()) return std::nullopt;
  return it->second;
}

void ClaimTable::DropBefore(WallTime horizon) {
  while (!attempts_.empty() && attempts_.front().logged < horizon) {
    const LoggedAttempt& attempt = attempts_.front();
    decisions_.erase(attempt.id);
    const auto it = winners_.find(attempt.key);
    if (it != winners_.end() && it->second.claim.id == attempt.id) {
      winners_.erase(it);
    }
    attempts_.pop_front();
  }
}

void ClaimTable::ApplyEntry(std::uint64_t offset, WallTime logged,
                            const ClaimEntry& e) {
  if (decisions_.contains(e.id)) return;  // The attempt was appended again.
  attempts_.push_back({e.key, e.id, logged});
  if (logged > e.issued + bounds_.max_age ||
      e.issued > logged + bounds_.max_skew) {
    decisions_[e.id] = ClaimDecision::kExpired;
    return;
  }
  const auto [it, inserted] = winners_.try_emplace(
      e.key, WinningClaim{e, offset, logged, std::nullopt});
  decisions_[e.id] = inserted ? ClaimDecision::kWon : ClaimDecision::kLost;
}

void ClaimTable::ApplyEntry(std::uint64_t /*offset*/, WallTime logged,
                            const WithdrawalEntry& e) {
  const auto it = winners_.find(e.key);
  const bool is_winner = it != winners_.end() && it->second.claim.id == e.id;
  if (is_winner && it->second.outcome) return;
  if (is_winner) winners_.erase(it);
  // Also recorded if the claim was not seen yet: it may be logged after its
  // withdrawal.
  const auto [decision, inserted] =
      decisions_.try_emplace(e.id, ClaimDecision::kWithdrawn);
  if (inserted) attempts_.push_back({e.key, e.id, logged});
  decision->second = ClaimDecision::kWithdrawn;
}

void ClaimTable::ApplyEntry(std::uint64_t /*offset*/, WallTime /*logged*/,
                            const OutcomeEntry& e) {
  const auto it = winners_.find(e.key);
  if (it == winners_.end() || it->second.claim.id != e.id) return;
  if (!it->second.outcome) it->second.outcome = e;
}

}  // namespace beryllane::claim
