/// @file
/// Rendezvous hashing: all processes with the same members compute the same
/// owners of a key; only keys of members that join or leave change owners.
#ifndef BERYLLANE_PLACEMENT_RENDEZVOUS_H_
#define BERYLLANE_PLACEMENT_RENDEZVOUS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Score of a member for a key; the highest-scored owns the key. @pre none.
/// Thread-safe.
inline std::uint64_t RendezvousScore(const Hash128& key, std::uint64_t member) {
  return Mix(key.low ^ key.high, member);
}

/// Indices of the members with the highest scores, in descending order.
struct PreferredMembers {
  static constexpr std::size_t kMaxMembers = 16;
  std::array<std::uint32_t, kMaxMembers> indices{};
  std::size_t count = 0;
};

/// Picks the `limit` highest-scored members for `key`. @pre `members` holds
/// distinct values. Thread-safe. Complexity: members times limit.
///
/// Example: `PickPreferred(key, members, 2).indices[0]` is the first owner.
inline PreferredMembers PickPreferred(const Hash128& key,
                                      std::span<const std::uint64_t> members,
                                      std::size_t limit) {
  PreferredMembers preferred;
  std::array<std::uint64_t, PreferredMembers::kMaxMembers> scores{};
  limit = limit < PreferredMembers::kMaxMembers ? limit
                                                : PreferredMembers::kMaxMembers;
  if (limit == 0) return preferred;
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    const std::uint64_t score = RendezvousScore(key, members[i]);
    if (preferred.count == limit && score <= scores[limit - 1]) continue;
    std::size_t slot = preferred.count < limit ? preferred.count++ : limit - 1;
    while (slot > 0 && scores[slot - 1] < score) {
      scores[slot] = scores[slot - 1];
      preferred.indices[slot] = preferred.indices[slot - 1];
      --slot;
    }
    scores[slot] = score;
    preferred.indices[slot] = i;
  }
  return preferred;
}

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_RENDEZVOUS_H_
