/// @file
/// The process-wide clock, which tests can pause and advance.
#ifndef BERYLLANE_CLOCK_RUNTIME_CLOCK_H_
#define BERYLLANE_CLOCK_RUNTIME_CLOCK_H_

#include <chrono>

namespace beryllane {

/// Wall-clock time in milliseconds, the resolution of times in log records.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// A monotonic clock shared by the whole process. It meets the standard's
/// Clock requirements, so Asio's `basic_waitable_timer` runs on it.
///
/// Example:
/// @code
///   RuntimeClock::Pause();
///   RuntimeClock::Advance(std::chrono::seconds(5));
/// @endcode
class RuntimeClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock>;
  static constexpr bool is_steady = true;

  /// Monotonic time. @pre none. Thread-safe.
  static time_point now();
  /// Wall-clock time. `Pause`, `Resume` and `Advance` affect it as they affect
  /// `now()`. @pre none. Thread-safe.
  static WallTime WallNow();
  /// Stops the clock at its current reading. @pre none. Thread-safe.
  static void Pause();
  /// Resumes the clock from its current reading. @pre none. Thread-safe.
  static void Resume();
  /// Moves the clock forward. @pre `step` >= 0. Thread-safe.
  static void Advance(std::chrono::nanoseconds step);
  /// Whether the clock is paused. @pre none. Thread-safe.
  static bool IsPaused();
};

/// Wait traits for `basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>`: a
/// paused clock is polled, so that timers fire soon after `Advance`.
struct RuntimeWaitTraits {
  /// Returns how long to wait in real time. @pre none. Thread-safe.
  static RuntimeClock::duration to_wait_duration(
      const RuntimeClock::duration& remaining);
  /// Returns how long to wait in real time. @pre none. Thread-safe.
  static RuntimeClock::duration to_wait_duration(
      const RuntimeClock::time_point& deadline);
};

}  // namespace beryllane

#endif  // BERYLLANE_CLOCK_RUNTIME_CLOCK_H_
