#include "beryllane/placement/reuse_table.h"

#include <bit>

namespace beryllane::placement {

ReuseTable::ReuseTable(std::size_t slots)
    : mask_(std::bit_ceil(slots) - 1),
      slots_(std::make_unique<Slot[]>(mask_ + 1)) {}

std::uint64_t ReuseTable::Tag(const Hash128& prefix,
                              std::uint64_t incarnation) {
  return Mix(prefix.low ^ prefix.high, incarnation);
}

void ReuseTable::Insert(const Hash128& prefix, std::uint64_t incarnation,
                        RuntimeClock::time_point now) {
  const std::uint64_t tag = Tag(prefix, incarnation);
  Slot& slot = slots_[tag & mask_];
  slot.tag.store(tag, std::memory_order_relaxed);
  slot.expires_ns.store((now + kEntryLifetime).time_since_epoch().count(),
                        std::memory_order_relaxed);
}

bool ReuseTable::Contains(const Hash128& prefix, std::uint64_t incarnation,
                          RuntimeClock::time_point now) const {
  const std::uint64_t tag = Tag(prefix, incarnation);
  const Slot& slot = slots_[tag & mask_];
  return slot.tag.load(std::memory_order_relaxed) == tag &&
         slot.expires_ns.load(std::memory_order_relaxed) >
             now.time_since_epoch().count();
}

}  // namespace beryllane::placement
