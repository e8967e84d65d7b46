/// @file
/// Estimates the arrival rates of prefixes in bounded memory.
#ifndef BERYLLANE_PLACEMENT_RATE_TABLE_H_
#define BERYLLANE_PLACEMENT_RATE_TABLE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Exponentially decayed arrival counts in a fixed-size table. A new prefix
/// replaces the one in its slot once that one's count has decayed below one.
class RateTable {
 public:
  /// Time constant of the decay.
  static constexpr std::chrono::seconds kTimeConstant{10};

  /// Rounds `slots` up to a power of two; 24 bytes each. @pre `slots` > 0.
  explicit RateTable(std::size_t slots);

  /// Records an arrival; returns arrivals per second, 0 if another prefix holds
  /// the slot. @pre none. Thread-safe, lock-free; a lost race loses an arrival.
  double AddArrival(const Hash128& prefix, RuntimeClock::time_point now);
  /// The rate in arrivals per second; 0 if the prefix has no slot. @pre
  /// none. Thread-safe, lock-free.
  double Rate(const Hash128& prefix, RuntimeClock::time_point now) const;

  /// Bytes of memory held. @pre none. Thread-safe.
  std::size_t bytes() const { return (mask_ + 1) * sizeof(Slot); }

 private:
  struct Slot {
    std::atomic<std::uint64_t> tag{0};
    std::atomic<double> arrivals{0};
    std::atomic<std::int64_t> updated_ns{0};
  };

  static double DecayedArrivals(const Slot& slot, std::int64_t now_ns);

  std::size_t mask_;
  std::unique_ptr<Slot[]> slots_;
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_RATE_TABLE_H_
