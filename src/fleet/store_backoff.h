/// @file
/// Delays between calls to a store that fails.
#ifndef BERYLLANE_SRC_FLEET_STORE_BACKOFF_H_
#define BERYLLANE_SRC_FLEET_STORE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace beryllane::fleet {

/// Delays that double up to a bound and are spread, so that a host that the
/// store turns away costs it few calls, and hosts that were turned away
/// together do not return together. Not thread-safe.
class StoreBackoff {
 public:
  /// Longest delay after the first failure; many failures are single ones.
  static constexpr std::chrono::milliseconds kFirst{150};
  /// Longest delay. A store that has recovered is read again within a second.
  static constexpr std::chrono::milliseconds kMax{900};

  /// @pre `seed` differs between hosts.
  explicit StoreBackoff(std::uint64_t seed) : random_(seed) {}

  /// A call that took `call_duration` failed; returns how long to wait before
  /// the next one. A delay counts from the start of the call, so that a call
  /// that timed out is soon followed by the next. @pre none.
  std::chrono::nanoseconds OnFailure(std::chrono::nanoseconds call_duration) {
    constexpr int kMaxDoublings = 3;
    const std::chrono::nanoseconds first = Spread(kFirst);
    const std::chrono::nanoseconds step = Spread(
        std::min<std::chrono::milliseconds>(kMax, kFirst * (1 << doublings_)));
    doublings_ = std::min(doublings_ + 1, kMaxDoublings);
    return std::max(first, step - call_duration);
  }
  /// A call succeeded. @pre none.
  void OnSuccess() { doublings_ = 0; }

 private:
  // Half of a delay to all of it.
  std::chrono::nanoseconds Spread(std::chrono::milliseconds delay) {
    const std::chrono::nanoseconds longest = delay;
    std::uniform_int_distribution<std::int64_t> range(longest.count() / 2,
                                                      longest.count());
    return std::chrono::nanoseconds(range(random_));
  }

  std::mt19937_64 random_;
  int doublings_ = 0;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_STORE_BACKOFF_H_
