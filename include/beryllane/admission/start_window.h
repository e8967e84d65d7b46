/// @file
/// Bounds the requests of one host that wait at targets for the start of their
/// runs.
#ifndef BERYLLANE_ADMISSION_START_WINDOW_H_
#define BERYLLANE_ADMISSION_START_WINDOW_H_

#include <chrono>
#include <cstddef>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// An adaptive window (additive increase, multiplicative decrease) on the
/// requests that were sent and have not started. It answers a load that exceeds
/// what the targets can start: a request in a target's queue cannot be
/// overtaken by a more urgent one of another host. The only input is the delay
/// of own starts, so hosts need not know of each other, and all of them see the
/// same queues. Not thread-safe.
class StartWindow {
 public:
  /// Window of a host that has seen no delay.
  static constexpr double kInitial = 16;
  /// Keeps a host that sees long delays sending, so that it sees their end.
  /// Delays have other causes too, such as weights that are being loaded.
  static constexpr double kMin = 5;
  static constexpr double kMax = 256;
  /// Factor of a decrease.
  static constexpr double kDecrease = 0.75;
  /// Starts within one window add this much to it.
  static constexpr double kIncrease = 2;
  /// Minimum time between two decreases; starts that follow at once saw the
  /// same queue.
  static constexpr std::chrono::milliseconds kDecreaseInterval{200};

  /// Sets the delay that the window aims at. @pre `delay` > 0.
  void set_target_delay(std::chrono::nanoseconds delay) {
    target_delay_ = delay;
  }
  /// A run started `delay` later than it would have at an idle target.
  /// `waiting` requests waited for their start. @pre none.
  void OnStarted(std::chrono::nanoseconds delay, std::size_t waiting,
                 RuntimeClock::time_point now);
  /// Number of further requests that may be sent while `waiting` wait for their
  /// start. @pre none.
  std::size_t Room(std::size_t waiting) const;
  /// The present window. @pre none.
  double size() const { return size_; }

 private:
  std::chrono::nanoseconds target_delay_ = std::chrono::milliseconds(200);
  double size_ = kInitial;
  RuntimeClock::time_point decreased_at_;
};

}  // namespace beryllane

#endif  // BERYLLANE_ADMISSION_START_WINDOW_H_
