#include "src/fleet/target_gate.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;

// The clock of a caller that counts differently, over the drain timeout.
constexpr milliseconds kStartMargin{100};
// The list is read within this time of the store's confirmation, from which
// the drain timeout counts.
constexpr milliseconds kListLag{1500};
// A request that was sent reaches its target within this time.
constexpr milliseconds kFlightMargin{600};

}  // namespace

bool TargetGate::OnLeaving(RuntimeClock::time_point now) {
  if (left_at_) return false;
  left_at_ = now;
  return true;
}

void TargetGate::OnListedDraining(RuntimeClock::time_point now) {
  if (!draining_at_) draining_at_ = now;
}

void TargetGate::OnUnlisted(RuntimeClock::time_point now) {
  if (!unlisted_at_) unlisted_at_ = now;
}

RuntimeClock::time_point TargetGate::last_start() const {
  return *left_at_ + drain_timeout_ - kStartMargin;
}

bool TargetGate::MaySend(const Sending& sending,
                         RuntimeClock::time_point now) const {
  if (sending.kind == SendKind::kConnectionCheck) return true;
  if (sending.kind == SendKind::kUrgentOrder) {
    return IsOpen() && pause_.MaySendUrgent(now);
  }
  if (pause_.IsPaused(now)) return false;
  if (sending.kind != SendKind::kLastResort) return IsOpen();
  if (left_at_ && sending.started > last_start()) return false;
  // The list bounds the arrival and not the start of a request.
  const auto may_arrive = [&](const auto& listed_at) {
    return !listed_at ||
           now + kListLag + kFlightMargin < *listed_at + drain_timeout_;
  };
  return may_arrive(draining_at_) && may_arrive(unlisted_at_);
}

}  // namespace beryllane::fleet
