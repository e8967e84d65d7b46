/// @file
/// Keys whose requests are refused because they crash targets.
#ifndef BERYLLANE_QUARANTINE_QUARANTINE_TABLE_H_
#define BERYLLANE_QUARANTINE_QUARANTINE_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::quarantine {

/// What to do with a request.
enum class Admission {
  kAdmit,
  kRefuse,
  /// The quarantine has lapsed. One host may admit one request, as a trial;
  /// until then all are refused.
  kTrialDue,
};

/// The quarantine of one key.
struct QuarantineEntry {
  /// 1 after the first conviction, one more for each trial.
  int strikes = 1;
  RuntimeClock::time_point until;
};

/// The quarantined keys. Hosts that know the same strikes of a key agree on the
/// duration of its quarantine. Not thread-safe.
class QuarantineTable {
 public:
  /// Duration of the first quarantine; it doubles with each strike.
  static constexpr std::chrono::minutes kFirstDuration{2};
  static constexpr std::chrono::minutes kMaxDuration{64};
  /// Further keys are not quarantined: so many culprits at once show that the
  /// requests are not at fault.
  static constexpr std::size_t kMaxEntries = 32;

  /// Duration of a quarantine. @pre `strikes` > 0. Thread-safe.
  static std::chrono::minutes DurationOf(int strikes) {
    constexpr int kMaxDoublings = 5;
    const int doublings = std::clamp(strikes - 1, 0, kMaxDoublings);
    return std::min(kMaxDuration, kFirstDuration * (1 << doublings));
  }

  /// Quarantines a key from `now` on; returns false if the table knows as many
  /// strikes already or is full. @pre `strikes` > 0.
  bool Set(std::uint64_t key, int strikes, RuntimeClock::time_point now) {
    const auto known = entries_.find(key);
    const bool is_known = known != entries_.end();
    if (is_known && known->second.strikes >= strikes) return false;
    if (!is_known && entries_.size() >= kMaxEntries) return false;
    entries_[key] = {strikes, now + DurationOf(strikes)};
    return true;
  }
  /// Ends a quarantine; returns false if there is none. @pre none.
  bool Clear(std::uint64_t key) { return entries_.erase(key) > 0; }
  /// Decides on a request with a key. @pre none.
  Admission Check(std::uint64_t key, RuntimeClock::time_point now) const {
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) return Admission::kAdmit;
    return now < entry->second.until ? Admission::kRefuse
                                     : Admission::kTrialDue;
  }
  /// The quarantined keys. @pre none.
  const std::map<std::uint64_t, QuarantineEntry>& entries() const {
    return entries_;
  }

 private:
  std::map<std::uint64_t, QuarantineEntry> entries_;
};

}  // namespace beryllane::quarantine

#endif  // BERYLLANE_QUARANTINE_QUARANTINE_TABLE_H_
