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

void ClaimTable::StartAt(std::uint64_t first) {
  next_offset_ = std::max(next_offset_, first);
}

const ClaimState* ClaimTable::Find(const Hash128& key) const {
  const auto it = winners_.find(key);
  return it == winners_.end() ? nullptr : &it->second;
}

std::optional<ClaimFate> ClaimTable::Fate(const ClaimEntry& claim) const {
  const auto it = fates_.find(claim.id);
  if (it == fates_.end()) return std::nullopt;
  return it->second;
}

void ClaimTable::DropBefore(WallTime horizon) {
  while (!order_.empty() && order_.front().logged < horizon) {
    const Seen& seen = order_.front();
    fates_.erase(seen.id);
    const auto it = winners_.find(seen.key);
    if (it != winners_.end() && it->second.claim.id == seen.id) {
      winners_.erase(it);
    }
    order_.pop_front();
  }
}

void ClaimTable::ApplyEntry(std::uint64_t offset, WallTime logged,
                            const ClaimEntry& e) {
  if (fates_.contains(e.id)) return;  // A repeated append of one attempt.
  order_.push_back({e.key, e.id, logged});
  if (logged > e.issued + bounds_.max_age ||
      e.issued > logged + bounds_.max_skew) {
    fates_[e.id] = ClaimFate::kExpired;
    return;
  }
  const auto [it, inserted] =
      winners_.try_emplace(e.key, ClaimState{e, offset, logged, std::nullopt});
  fates_[e.id] = inserted ? ClaimFate::kWon : ClaimFate::kLost;
}

void ClaimTable::ApplyEntry(std::uint64_t /*offset*/, WallTime logged,
                            const VoidEntry& e) {
  const auto it = winners_.find(e.key);
  const bool is_winner = it != winners_.end() && it->second.claim.id == e.id;
  if (is_winner && it->second.outcome) return;
  if (is_winner) winners_.erase(it);
  // Recorded also for an unseen attempt: its claim may land after the void.
  const auto [fate, inserted] = fates_.try_emplace(e.id, ClaimFate::kVoided);
  if (inserted) order_.push_back({e.key, e.id, logged});
  fate->second = ClaimFate::kVoided;
}

void ClaimTable::ApplyEntry(std::uint64_t /*offset*/, WallTime /*logged*/,
                            const OutcomeEntry& e) {
  const auto it = winners_.find(e.key);
  if (it == winners_.end() || it->second.claim.id != e.id) return;
  if (!it->second.outcome) it->second.outcome = e;
}

}  // namespace beryllane::claim
