/// @file
/// The time for which a target wants no requests from this router, and the
/// return of traffic after it.
#ifndef BERYLLANE_SRC_FLEET_TARGET_PAUSE_H_
#define BERYLLANE_SRC_FLEET_TARGET_PAUSE_H_

#include <chrono>
#include <cstdint>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::fleet {

/// The pause that one incarnation of a target asked this router for. After its
/// end the number of requests that may be placed doubles step by step, so that
/// not every waiting request goes to the target that has just returned. Not
/// thread-safe.
class TargetPause {
 public:
  using TimePoint = RuntimeClock::time_point;

  /// Longer pauses are cut to this.
  static constexpr std::chrono::seconds kMaxPause{60};
  /// Requests that may be placed in the first step after the end.
  static constexpr int kFirstPlaces = 2;
  /// Each step allows twice as many requests in all as the one before.
  static constexpr std::chrono::milliseconds kStep{100};
  /// Number of steps after which traffic is unlimited again.
  static constexpr int kSteps = 5;

  /// The target asked for a pause of `duration` from now on. A pause that ends
  /// earlier than the known one changes nothing. Returns whether the pause
  /// began or was extended. @pre none.
  bool OnRetryAfter(std::chrono::nanoseconds duration, TimePoint now);

  /// When the last pause ends or ended; the epoch without one. @pre none.
  TimePoint ends_at() const { return ends_at_; }
  /// Whether nothing may be sent. @pre none.
  bool IsPaused(TimePoint now) const { return now < ends_at_; }
  /// Whether a further request may be placed. @pre none.
  bool MayPlace(TimePoint now) const;
  /// Counts a request that is placed at the target. @pre `MayPlace(now)`.
  void OnPlaced(TimePoint now);
  /// Time until a request may be placed; zero if one may be now. @pre none.
  std::chrono::nanoseconds TimeToPlace(TimePoint now) const;

  /// Whether an order that cannot wait for the end may be sent: one in each
  /// pause. @pre none.
  bool MaySendUrgent(TimePoint now) const {
    return !IsPaused(now) || !is_urgent_sent_;
  }
  /// Counts such an order. @pre `MaySendUrgent(now)` at its sending.
  void OnUrgentSent() { is_urgent_sent_ = true; }

  /// Whether the pause has ended; true once for each pause. @pre none.
  bool TakeEnd(TimePoint now);

  /// Counts a request that went elsewhere because of the pause. @pre none.
  void CountPassedOver() { ++passed_over_; }
  /// Requests that went elsewhere since the pause began. @pre none.
  std::uint64_t passed_over() const { return passed_over_; }

 private:
  // Number of steps since the end. Not negative.
  std::int64_t StepAt(TimePoint now) const { return (now - ends_at_) / kStep; }

  TimePoint ends_at_;
  // Requests placed since the end.
  int placed_ = 0;
  std::uint64_t passed_over_ = 0;
  bool is_urgent_sent_ = false;
  bool is_end_taken_ = true;
};

/// The time after which a refused caller should ask again, if no target takes a
/// request before `to_first_place`. Callers are spread by `hash`: over half of
/// that time, and at most a second, after it. It is no later than a third of
/// `time_left`, after which a further attempt would be of no use. @pre none.
/// Thread-safe.
std::chrono::nanoseconds SpreadRetryAfter(
    std::chrono::nanoseconds to_first_place, std::chrono::nanoseconds time_left,
    std::uint64_t hash);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_TARGET_PAUSE_H_
