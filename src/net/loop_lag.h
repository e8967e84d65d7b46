/// @file
/// Measures how late an event loop is.
#ifndef BERYLLANE_SRC_NET_LOOP_LAG_H_
#define BERYLLANE_SRC_NET_LOOP_LAG_H_

#include <algorithm>
#include <chrono>

#include "beryllane/metrics/registry.h"
#include "src/net/runtime.h"

namespace beryllane::net {

/// The lag of one loop, from a timer that runs on it. Used on that loop.
class LoopLag {
 public:
  /// Time between two measurements.
  static constexpr std::chrono::milliseconds kInterval{50};
  /// With more lag, and for as long as it lasts, a host does only what its
  /// callers wait for.
  static constexpr std::chrono::milliseconds kBusy{100};
  /// With more lag, new requests would be answered late.
  static constexpr std::chrono::milliseconds kOverloaded{250};

  /// Counts the lags in `histogram`. @pre it outlives this object.
  explicit LoopLag(LatencyHistogram& histogram) : histogram_(histogram) {}

  /// Measures until the loop stops. @pre called once, on the loop.
  asio::awaitable<void> Run() {
    for (;;) {
      const auto due = RuntimeClock::now() + kInterval;
      co_await Sleep(kInterval);
      Add(RuntimeClock::now() - due);
    }
  }
  /// Adds a measurement: a timer ran this long after it was due. @pre none.
  void Add(std::chrono::nanoseconds lag) {
    histogram_.Record(lag);
    previous_ = latest_;
    latest_ = lag;
  }
  /// The smaller of the last two lags, so that a single long callback, or a
  /// time in which the process did not run, does not count. @pre none.
  std::chrono::nanoseconds Sustained() const {
    return std::min(previous_, latest_);
  }
  /// Whether work that no caller waits for is to be left undone. @pre none.
  bool IsBusy() const { return Sustained() > kBusy; }
  /// Whether new requests are to be refused. @pre none.
  bool IsOverloaded() const { return Sustained() > kOverloaded; }

 private:
  LatencyHistogram& histogram_;
  std::chrono::nanoseconds previous_{0};
  std::chrono::nanoseconds latest_{0};
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_LOOP_LAG_H_
