/// @file
/// Predicts how long a request waits at a target before its run begins.
#ifndef BERYLLANE_SRC_FLEET_START_WAIT_H_
#define BERYLLANE_SRC_FLEET_START_WAIT_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::fleet {

/// The waits of this router's requests at one target: those that ended
/// recently, and those that go on. Not thread-safe.
class StartWait {
 public:
  /// A request was sent. @pre none.
  void OnSent(RuntimeClock::time_point now) { waiting_.insert(now); }

  /// A request's run began. @pre `OnSent(sent_at)` was called for it.
  void OnBegan(RuntimeClock::time_point sent_at, RuntimeClock::time_point now) {
    OnEnded(sent_at);
    recent_ = std::max(Recent(now), now - sent_at);
    recent_at_ = now;
  }

  /// A request ended before its run began. @pre `OnSent(sent_at)` was called
  /// for it.
  void OnEnded(RuntimeClock::time_point sent_at) {
    const auto it = waiting_.find(sent_at);
    if (it != waiting_.end()) waiting_.erase(it);
  }

  /// The longest of the recent waits, which lose weight with age, and of those
  /// that go on. @pre none.
  std::chrono::nanoseconds Predict(RuntimeClock::time_point now) const {
    const auto oldest = waiting_.empty() ? std::chrono::nanoseconds(0)
                                         : now - *waiting_.begin();
    return std::max(Recent(now), oldest);
  }

 private:
  std::chrono::nanoseconds Recent(RuntimeClock::time_point now) const {
    using Seconds = std::chrono::duration<double>;
    constexpr Seconds kHalfLife{2};
    const double age = Seconds(now - recent_at_) / kHalfLife;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        recent_ * std::exp2(-age));
  }

  std::multiset<RuntimeClock::time_point> waiting_;
  std::chrono::nanoseconds recent_{0};
  RuntimeClock::time_point recent_at_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_START_WAIT_H_
