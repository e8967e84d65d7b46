/// @file
/// How recently a follower of a log is known to have missed nothing.
#ifndef BERYLLANE_FRESHNESS_FRESHNESS_H_
#define BERYLLANE_FRESHNESS_FRESHNESS_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "beryllane/clock/boot_clock.h"

namespace beryllane {

/// Follows the proofs that a reader has seen every record up to some time.
/// Not thread-safe.
class Freshness {
 public:
  /// Notes a read that was sent at `sent`. An empty answer after waiting for
  /// `waited` proves that nothing was appended until `sent + waited`; one with
  /// records proves it only up to `sent`, because the answer may have lain in
  /// a buffer since. @pre none.
  void OnReadResponse(BootClock::time_point sent, bool is_empty,
                      std::chrono::nanoseconds waited) {
    const BootClock::time_point complete_until =
        is_empty ? sent + waited : sent;
    complete_until_ = complete_until_
                          ? std::max(*complete_until_, complete_until)
                          : complete_until;
  }

  /// Age of the newest proof; `nullopt` before the first. @pre none.
  std::optional<std::chrono::nanoseconds> Age(BootClock::time_point now) const {
    if (!complete_until_) return std::nullopt;
    const std::chrono::nanoseconds age = now - *complete_until_;
    return std::max(std::chrono::nanoseconds::zero(), age);
  }

  /// Whether the newest proof is younger than `bound`. @pre none.
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
