/// @file
/// A monotonic clock that keeps counting while the host is suspended.
#ifndef BERYLLANE_CLOCK_BOOT_CLOCK_H_
#define BERYLLANE_CLOCK_BOOT_CLOCK_H_

#include <chrono>

namespace beryllane {

/// Measures lease lifetimes and the age of freshness proofs, which must include
/// time in suspend. Tests pause and advance it together with `RuntimeClock`.
class BootClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// Time since the host started. @pre none. Thread-safe.
  static time_point now();
};

}  // namespace beryllane

#endif  // BERYLLANE_CLOCK_BOOT_CLOCK_H_
