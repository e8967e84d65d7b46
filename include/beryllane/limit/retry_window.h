/// @file
/// A retry budget over a sliding window, computed by each host independently.
#ifndef BERYLLANE_LIMIT_RETRY_WINDOW_H_
#define BERYLLANE_LIMIT_RETRY_WINDOW_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// A host's share of the fleet's retry budget.
struct RetryWindowOptions {
  /// Retries allowed for each request in the window.
  double ratio = 0.2;
  /// Retries allowed in addition to the ratio, per window.
  double slack = 5;
  std::chrono::nanoseconds window = std::chrono::seconds(10);
};

/// Counts requests and retries in slots of a tenth of the window, so that no
/// period of the window's length contains more retries than allowed. Not
/// thread-safe.
class RetryWindow {
 public:
  /// @pre `options.window` > 0.
  explicit RetryWindow(RetryWindowOptions options) : options_(options) {}

  /// Counts the first attempt of a request. @pre none.
  void CountRequest(RuntimeClock::time_point now) {
    Advance(now);
    ++slots_[current_ % kSlots].requests;
  }
  /// Withdraws a retry; false if the budget is spent. @pre none.
  bool TryAcquire(RuntimeClock::time_point now) {
    Advance(now);
    double requests = 0;
    double retries = 0;
    for (const Slot& slot : slots_) {
      requests += slot.requests;
      retries += slot.retries;
    }
    if (retries + 1 > options_.ratio * requests + options_.slack) return false;
    ++slots_[current_ % kSlots].retries;
    return true;
  }
  /// Changes the slack, for example when the number of hosts has changed. @pre
  /// none.
  void set_slack(double slack) { options_.slack = slack; }

 private:
  // One extra slot, because the window covers the oldest slot only partly.
  static constexpr std::int64_t kSlots = 11;
  struct Slot {
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  void Advance(RuntimeClock::time_point now) {
    const std::int64_t slot =
        now.time_since_epoch() / (options_.window / (kSlots - 1));
    if (current_ == 0 || slot - current_ >= kSlots) {
      slots_.fill({});
      current_ = slot;
    }
    while (current_ < slot) slots_[++current_ % kSlots] = {};
  }

  RetryWindowOptions options_;
  std::array<Slot, kSlots> slots_{};
  std::int64_t current_ = 0;
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_RETRY_WINDOW_H_
