/// @file
/// A lease kept as records of a log that accepts an append only at an expected
/// end. The offset of the record that takes the lease is its fencing token.
#ifndef BERYLLANE_LEASE_LEASE_H_
#define BERYLLANE_LEASE_LEASE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "beryllane/clock/boot_clock.h"

namespace beryllane::lease {

/// Times of a lease, all on the boot clock.
struct Timing {
  /// How long a holder may act after it sent its newest record.
  std::chrono::nanoseconds lifetime{};
  /// Least time between the last act of one holder and the first of another.
  std::chrono::nanoseconds min_handover_gap{};
  /// Allowance for clocks that run at different rates.
  std::chrono::nanoseconds clock_drift_allowance{};
};

/// One host's view of the lease. Not thread-safe.
class Lease {
 public:
  /// @pre `self` is unique among the hosts.
  Lease(std::string self, Timing timing);

  /// Notes a record of `holder` read from the log. @pre offsets rise.
  void OnRecord(const std::string& holder, std::uint64_t offset,
                BootClock::time_point seen_at);
  /// Notes that the log ends at `end`. @pre none.
  void OnLogEnd(std::uint64_t end) { end_ = end; }
  /// Notes that the log took the own record, sent at `sent_at`. @pre none.
  void OnAppended(std::uint64_t offset, BootClock::time_point sent_at);
  /// Gives the lease up, for example after a target refused its token. A new
  /// record is needed to act again. @pre none.
  void Abandon();

  /// Whether an append at `end()` may take or renew the lease. A host other
  /// than the last holder waits until the holder can no longer act, and for
  /// the separation. @pre none.
  bool MayAcquire(BootClock::time_point now) const;
  /// Whether this host may act now. @pre none.
  bool IsHeld(BootClock::time_point now) const;
  /// Token of the present tenure. @pre `IsHeld`.
  std::uint64_t token() const { return token_; }
  /// Offset at which the next record is expected. @pre none.
  std::uint64_t end() const { return end_; }
  /// Holder named by the newest record; empty where there is none. @pre none.
  const std::string& last_holder() const { return last_holder_; }

 private:
  std::string self_;
  Timing timing_;
  std::string last_holder_;
  BootClock::time_point last_record_seen_at_;
  std::uint64_t end_ = 0;
  bool is_holder_ = false;
  std::uint64_t token_ = 0;
  BootClock::time_point renewed_at_;
};

}  // namespace beryllane::lease

#endif  // BERYLLANE_LEASE_LEASE_H_
