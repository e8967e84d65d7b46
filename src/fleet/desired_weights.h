/// @file
/// The weights versions that the operator named for one model, and until when
/// runs may begin on older ones.
#ifndef BERYLLANE_SRC_FLEET_DESIRED_WEIGHTS_H_
#define BERYLLANE_SRC_FLEET_DESIRED_WEIGHTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "beryllane/clock/boot_clock.h"

namespace beryllane::fleet {

/// Bounds on the use of older weights.
struct WeightsBounds {
  /// Time after the confirmation of a version within which runs may begin on
  /// older ones.
  std::chrono::milliseconds lifetime{8000};
  /// A router that started or regained the store is bound by `lifetime` only
  /// after this time.
  std::chrono::milliseconds settle_time{3000};
  /// Time that a target needs to see that a request was withdrawn.
  std::chrono::milliseconds withdraw_time{250};
};

/// The versions of one model in the order in which this router read them.
/// Times are conservative: a version counts from the earliest time at which it
/// may have been named, not from the time at which it was read. Not
/// thread-safe.
class DesiredWeightsState {
 public:
  /// Adds a version that was read at `now`; returns false if it is not newer.
  /// `complete_until` is the time up to which the records read before are known
  /// to be complete, so that the version was named later; none if nothing had
  /// been read before. @pre none.
  bool Add(std::uint64_t version, BootClock::time_point now,
           std::optional<BootClock::time_point> complete_until);

  /// The newest version; 0 if there is none. @pre none.
  std::uint64_t version() const { return version_; }

  /// Time since this router read a version newer than `used`; zero if it has
  /// read none. @pre none.
  std::chrono::nanoseconds Lag(std::uint64_t used,
                               BootClock::time_point now) const;

  /// Time by which a run on `used` must have begun; none if no newer version is
  /// known. A version that may have been named long before it was read counts
  /// as named so long ago that `bounds.settle_time` remains. @pre none.
  std::optional<BootClock::time_point> StartDeadline(
      std::uint64_t used, const WeightsBounds& bounds) const;

  /// Whether the first version newer than `used` may have been named so long
  /// before it was read that `StartDeadline` is a guess. @pre none.
  bool IsNamingUncertain(std::uint64_t used, const WeightsBounds& bounds) const;

 private:
  struct Naming {
    BootClock::time_point read_at;
    std::optional<BootClock::time_point> not_before;
  };

  const Naming* FirstNewer(std::uint64_t used) const;

  std::uint64_t version_ = 0;
  std::map<std::uint64_t, Naming> namings_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_DESIRED_WEIGHTS_H_
