/// @file
/// A lock-free rate limiter and a lock-free retry budget.
#ifndef BERYLLANE_LIMIT_RATE_LIMITER_H_
#define BERYLLANE_LIMIT_RATE_LIMITER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// The generic cell rate algorithm: an atomic holds the theoretical arrival
/// time of the next request.
class RateLimiter {
 public:
  /// Burst allowance, as time at the full rate.
  static constexpr std::chrono::milliseconds kBurst{1000};

  /// @pre `per_second` > 0.
  explicit RateLimiter(double per_second) { SetRate(per_second); }

  /// Changes the rate. @pre `per_second` > 0. Thread-safe.
  void SetRate(double per_second) {
    constexpr double kNanosPerSecond = 1e9;
    const double interval = kNanosPerSecond / per_second;
    interval_ns_.store(static_cast<std::int64_t>(interval),
                       std::memory_order_relaxed);
  }

  /// Admits one request; false if it is over the limit. @pre none.
  /// Thread-safe, lock-free.
  bool TryAcquire(RuntimeClock::time_point now) {
    const std::int64_t now_ns = now.time_since_epoch().count();
    const std::int64_t interval = interval_ns_.load(std::memory_order_relaxed);
    const std::int64_t burst =
        std::max(std::chrono::nanoseconds(kBurst).count(), interval);
    std::int64_t expected = next_ns_.load(std::memory_order_relaxed);
    for (;;) {
      const std::int64_t scheduled = std::max(expected, now_ns);
      if (scheduled + interval > now_ns + burst) return false;
      if (next_ns_.compare_exchange_weak(expected, scheduled + interval,
                                         std::memory_order_relaxed)) {
        return true;
      }
    }
  }

 private:
  std::atomic<std::int64_t> interval_ns_{0};
  std::atomic<std::int64_t> next_ns_{0};
};

/// Limits retries to a share of the requests, so that a failing pool is not
/// overloaded by them.
class RetryBudget {
 public:
  /// Retries that the budget accumulates at most.
  static constexpr double kMaxBalance = 20;

  /// Adds the credit of a first attempt. @pre 0 <= `share` <= 1. Thread-safe.
  void Credit(double share) {
    double balance = balance_.load(std::memory_order_relaxed);
    while (!balance_.compare_exchange_weak(
        balance, std::min(kMaxBalance, balance + share),
        std::memory_order_relaxed)) {
    }
  }
  /// Withdraws one retry; false if the budget is spent. @pre none. Thread-safe.
  bool TryAcquire() {
    double balance = balance_.load(std::memory_order_relaxed);
    while (balance >= 1) {
      if (balance_.compare_exchange_weak(balance, balance - 1,
                                         std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

 private:
  std::atomic<double> balance_{kMaxBalance};
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_RATE_LIMITER_H_
