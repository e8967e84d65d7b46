/// @file
/// Rendezvous hashing: every process computes the same owners of a key from
/// the same members, and a change of members moves only the keys it must.
#ifndef BERYLLANE_PLACEMENT_RENDEZVOUS_H_
#define BERYLLANE_PLACEMENT_RENDEZVOUS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Score of a member for a key; the highest score owns the key. @pre none.
/// Thread-safe.
inline std::uint64_t Score(const Hash128& key, std::uint64_t member) {
  return Mix(key.low ^ key.high, member);
}

/// Indices of the highest-scored members, best first.
struct Homes {
  static constexpr std::size_t kMaxHomes = 16;
  std::array<std::uint32_t, kMaxHomes> index{};
  std::size_t count = 0;
};

/// Picks the `wanted` best members for `key`. @pre `members` holds distinct
/// values. Thread-safe. Complexity: members times wanted.
///
/// Example: `PickHomes(key, members, 2).index[0]` is the first owner.
inline Homes PickHomes(const Hash128& key,
                       std::span<const std::uint64_t> members,
                       std::size_t wanted) {
  Homes homes;
  std::array<std::uint64_t, Homes::kMaxHomes> scores{};
  wanted = wanted < Homes::kMaxHomes ? wanted : Homes::kMaxHomes;
  if (wanted == 0) return homes;
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    const std::uint64_t score = Score(key, members[i]);
    if (homes.count == wanted && score <= scores[wanted - 1]) continue;
    std::size_t slot = homes.count < wanted ? homes.count++ : wanted - 1;
    while (slot > 0 && scores[slot - 1] < score) {
      scores[slot] = scores[slot - 1];
      homes.index[slot] = homes.index[slot - 1];
      --slot;
    }
    scores[slot] = score;
    homes.index[slot] = i;
  }
  return homes;
}

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_RENDEZVOUS_H_
