/// @file
/// The sum of values that others report and that expire.
#ifndef BERYLLANE_LIMIT_EXPIRING_SUM_H_
#define BERYLLANE_LIMIT_EXPIRING_SUM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// The latest value of each source, for a fixed time after its report, and the
/// sum of these values. Not thread-safe. `Value` is an arithmetic type.
template <typename Value>
class ExpiringSum {
 public:
  using TimePoint = RuntimeClock::time_point;

  /// @pre `lifetime` > 0.
  explicit ExpiringSum(std::chrono::nanoseconds lifetime)
      : lifetime_(lifetime) {}

  /// Replaces the value of a source. A value of zero is not kept. @pre `now` is
  /// not before that of an earlier call. Complexity: amortized constant.
  void Set(std::uint32_t source, Value value, TimePoint now) {
    const auto known = by_source_.find(source);
    if (known != by_source_.end()) Remove(known->second);
    if (value == Value{}) return;
    by_age_.push_back({source, value, now});
    by_source_[source] = std::prev(by_age_.end());
    sum_ += value;
  }
  /// Sum of the values that have not expired. @pre as for `Set`. Complexity:
  /// amortized constant.
  Value Total(TimePoint now) {
    RemoveExpired(now);
    return sum_;
  }
  /// Number of sources whose value has not expired. @pre as for `Set`.
  /// Complexity: amortized constant.
  std::size_t Count(TimePoint now) {
    RemoveExpired(now);
    return by_age_.size();
  }
  /// Removes all values. @pre none.
  void Clear() {
    by_age_.clear();
    by_source_.clear();
    sum_ = {};
  }

 private:
  struct Report {
    std::uint32_t source;
    Value value;
    TimePoint received_at;
  };
  using Position = typename std::list<Report>::iterator;

  void RemoveExpired(TimePoint now) {
    while (!by_age_.empty() && now - by_age_.front().received_at >= lifetime_) {
      Remove(by_age_.begin());
    }
  }
  void Remove(Position report) {
    sum_ -= report->value;
    by_source_.erase(report->source);
    by_age_.erase(report);
    // Ends the rounding errors of floating-point values.
    if (by_age_.empty()) sum_ = {};
  }

  std::chrono::nanoseconds lifetime_;
  // Oldest first.
  std::list<Report> by_age_;
  std::unordered_map<std::uint32_t, Position> by_source_;
  Value sum_{};
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_EXPIRING_SUM_H_
