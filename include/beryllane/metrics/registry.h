/// @file
/// Counters, gauges and latency histograms in Prometheus text form.
#ifndef BERYLLANE_METRICS_REGISTRY_H_
#define BERYLLANE_METRICS_REGISTRY_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace beryllane {

/// A monotonically increasing counter.
class Counter {
 public:
  /// Adds `amount`. @pre none. Thread-safe, wait-free.
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  /// The current count. @pre none. Thread-safe.
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  alignas(64) std::atomic<std::uint64_t> value_{0};
};

/// A value that can increase and decrease.
class Gauge {
 public:
  /// Adds `amount`, which may be negative. @pre none. Thread-safe.
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  /// Replaces the value. @pre none. Thread-safe.
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  /// The current value. @pre none. Thread-safe.
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Counts durations in buckets whose bounds double, from 64 us up.
class LatencyHistogram {
 public:
  static constexpr int kBucketCount = 20;
  /// Upper bound of the first bucket.
  static constexpr std::chrono::microseconds kFirstUpperBound{64};

  /// Counts one duration. @pre none. Thread-safe, wait-free.
  void Record(std::chrono::nanoseconds value);
  /// Count in bucket `index`. @pre 0 <= index < kBucketCount. Thread-safe.
  std::uint64_t count(int index) const {
    return counts_[index].load(std::memory_order_relaxed);
  }
  /// Sum of all durations. @pre none. Thread-safe.
  std::chrono::nanoseconds sum() const {
    return std::chrono::nanoseconds(sum_.load(std::memory_order_relaxed));
  }

 private:
  std::array<std::atomic<std::uint64_t>, kBucketCount> counts_{};
  std::atomic<std::int64_t> sum_{0};
};

/// Owns a process's metrics and serializes them.
class MetricRegistry {
 public:
  /// Labels of one series, such as `{{"verdict", "not-run"}}`.
  using Labels = std::vector<std::pair<std::string, std::string>>;

  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// Returns the counter with a name and labels, created on first use. The
  /// reference stays valid as long as the registry. @pre `name` is a valid
  /// Prometheus name. Thread-safe.
  Counter& GetCounter(const std::string& name, const std::string& help,
                      const Labels& labels = {});
  /// Returns the gauge with a name and labels. @pre as for counters.
  /// Thread-safe.
  Gauge& GetGauge(const std::string& name, const std::string& help,
                  const Labels& labels = {});
  /// Returns the histogram with a name and labels. @pre as for counters.
  /// Thread-safe.
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const std::string& help,
                                 const Labels& labels = {});
  /// Registers a gauge whose value `callback` computes at each serialization.
  /// @pre `callback` is thread-safe. Thread-safe.
  void AddCallbackGauge(const std::string& name, const std::string& help,
                        std::function<double()> callback);

  /// All metrics in Prometheus text format 0.0.4. @pre none. Thread-safe.
  /// Complexity: linear in the number of series.
  std::string Serialize() const;

 private:
  struct Family;
  Family& GetFamily(const std::string& name, const std::string& help,
                    const char* type);

  mutable std::mutex mutex_;
  std::deque<std::unique_ptr<Family>> families_;
};

}  // namespace beryllane

#endif  // BERYLLANE_METRICS_REGISTRY_H_
