/// @file
/// Bounded staleness of a reader of a log: how recently it is known to have
/// read every record.
#ifndef BERYLLANE_FRESHNESS_FRESHNESS_H_
#define BERYLLANE_FRESHNESS_FRESHNESS_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "beryllane/clock/boot_clock.h"

namespace beryllane {

/// Tracks the latest time up to which a reader is proved to have read every
/// record. Not thread-safe.
class Freshness {
 public:
  /// Records the response to a read that was sent at `sent`. An empty response
  /// to a long poll of `waited` proves that nothing was appended until
  /// `sent + waited`. A response with records proves completeness only up to
  /// `sent`, because it may have been buffered since. @pre none.
  void OnReadResponse(BootClock::time_point sent, bool is_empty,
                      std::chrono::nanoseconds waited) {
    const BootClock::time_point complete_until =
        is_empty ? sent + waited : sent;
    complete_until_ = complete_until_
                          ? std::max(*complete_until_, complete_until)
                          : complete_until;
  }

  /// The latest proved point; `nullopt` before the first proof. @pre none.
  std::optional<BootClock::time_point> complete_until() const {
    return complete_until_;
  }

  /// Time since the latest proved point; `nullopt` before the first proof.
  /// @pre none.
  std::optional<std::chrono::nanoseconds> Age(BootClock::time_point now) const {
    if (!complete_until_) return std::nullopt;
    const std::chrono::nanoseconds age = now - *complete_until_;
    return std::max(std::chrono::nanoseconds::zero(), age);
  }

  /// Whether a proof exists and its age is below `bound`. @pre none.
  bool IsWithin(std::chrono::nanoseconds bound,
                BootClock::time_point now) const {
    const auto age = Age(now);
    return age && *age < bound;
  }

 private:
  std::optional<BootClock::time_point> complete_until_;
};

}  // namespace beryllane

#endif  // BERYLLANE_FRESHNESS_FRESHNESS_H_
