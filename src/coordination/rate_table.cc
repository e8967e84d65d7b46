#include "beryllane/placement/rate_table.h"

#include <bit>
#include <cmath>

namespace beryllane::placement {
namespace {

constexpr double kReplaceBelowArrivals = 1.0;

double Seconds(std::chrono::nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

RateTable::RateTable(std::size_t slots)
    : mask_(std::bit_ceil(slots) - 1),
      slots_(std::make_unique<Slot[]>(mask_ + 1)) {}

double RateTable::DecayedArrivals(const Slot& slot, std::int64_t now_ns) {
  const std::int64_t age =
      now_ns - slot.updated_ns.load(std::memory_order_relaxed);
  const double decay = std::exp(-Seconds(std::chrono::nanoseconds(age)) /
                                Seconds(kTimeConstant));
  return slot.arrivals.load(std::memory_order_relaxed) * decay;
}

double RateTable::AddArrival(const Hash128& prefix,
                             RuntimeClock::time_point now) {
  Slot& slot = slots_[prefix.low & mask_];
  const std::int64_t now_ns = now.time_since_epoch().count();
  double arrivals = DecayedArrivals(slot, now_ns);
  if (slot.tag.load(std::memory_order_relaxed) != prefix.high) {
    if (arrivals >= kReplaceBelowArrivals) return 0;
    slot.tag.store(prefix.high, std::memory_order_relaxed);
    arrivals = 0;
  }
  arrivals += 1;
  slot.arrivals.store(arrivals, std::memory_order_relaxed);
  slot.updated_ns.store(now_ns, std::memory_order_relaxed);
  return arrivals / Seconds(kTimeConstant);
}

double RateTable::Rate(const Hash128& prefix,
                       RuntimeClock::time_point now) const {
  const Slot& slot = slots_[prefix.low & mask_];
  if (slot.tag.load(std::memory_order_relaxed) != prefix.high) return 0;
  return DecayedArrivals(slot, now.time_since_epoch().count()) /
         Seconds(kTimeConstant);
}

}  // namespace beryllane::placement
