/// @file
/// A lease kept as records of a log with conditional appends, which succeed
/// only at the expected end offset. The fencing token is made of the era of the
/// log and the offset of the record that acquired the lease.
#ifndef BERYLLANE_LEASE_LEASE_H_
#define BERYLLANE_LEASE_LEASE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "beryllane/clock/boot_clock.h"

namespace beryllane::lease {

/// Durations of the lease protocol, all on the boot clock.
struct Timing {
  /// How long a holder may act after it sent its latest record.
  std::chrono::nanoseconds lifetime{};
  /// Minimum time between the last action of a holder and the first action of
  /// the next one.
  std::chrono::nanoseconds min_handover_gap{};
  /// Allowance for hosts' clocks that run at different rates.
  std::chrono::nanoseconds clock_drift_allowance{};
};

/// One host's view of the lease. Not thread-safe.
class Lease {
 public:
  /// @pre `self` is unique among the hosts.
  Lease(std::string self, Timing timing);

  /// The log is of era `era`, which this host first saw at `seen_at`. In a
  /// newer era the log may lack the latest records and give out their offsets
  /// again: a host that holds the lease needs a new record, and any other waits
  /// until a holder that it cannot know of has stopped. @pre none.
  void OnEra(std::uint64_t era, BootClock::time_point seen_at);
  /// Applies a record of `holder` that was read from the log and written in
  /// `era`. @pre called in the order of the offsets.
  void OnRecord(const std::string& holder, std::uint64_t offset,
                BootClock::time_point seen_at, std::uint64_t era = 0);
  /// Sets the end offset of the log. @pre none.
  void OnLogEnd(std::uint64_t end) { end_ = end; }
  /// Applies the log's acknowledgement of this host's record, which was sent
  /// at `sent_at`. @pre none.
  void OnAppended(std::uint64_t offset, BootClock::time_point sent_at);
  /// Stops holding the lease, for example after a target refused its token.
  /// The host needs a new record to act again. @pre none.
  void Abandon();

  /// Whether this host may append a record at `end()` to acquire or renew the
  /// lease. A host other than the last holder waits for the holder's lifetime,
  /// the handover gap and the clock drift allowance. @pre none.
  bool MayAcquire(BootClock::time_point now) const;
  /// Whether this host may act now. @pre none.
  bool IsHeld(BootClock::time_point now) const;
  /// Fencing token of the current term. It rises from term to term, in newer
  /// eras too. @pre `IsHeld`.
  std::uint64_t token() const { return token_; }
  /// Offset at which the next record is expected. @pre none.
  std::uint64_t end() const { return end_; }
  /// Era of the log. @pre none.
  std::uint64_t era() const { return era_; }
  /// Holder named by the latest record; empty if there is none. @pre none.
  const std::string& last_holder() const { return last_holder_; }

 private:
  std::string self_;
  Timing timing_;
  std::string last_holder_;
  BootClock::time_point last_record_seen_at_;
  std::uint64_t era_ = 0;
  BootClock::time_point era_seen_at_;
  // Whether the last holder is known: the log has a record of its own era, or
  // this host held the lease when the era began.
  bool is_holder_known_ = true;
  std::uint64_t end_ = 0;
  bool is_holder_ = false;
  std::uint64_t token_ = 0;
  BootClock::time_point renewed_at_;
};

}  // namespace beryllane::lease

#endif  // BERYLLANE_LEASE_LEASE_H_
