#include "beryllane/lease/lease.h"

#include <utility>

namespace beryllane::lease {

Lease::Lease(std::string self, Timing timing)
    : self_(std::move(self)), timing_(timing) {}

void Lease::OnRecord(const std::string& holder, std::uint64_t offset,
                     BootClock::time_point seen_at) {
  if (offset < end_) return;
  end_ = offset + 1;
  last_holder_ = holder;
  last_record_seen_at_ = seen_at;
  // Reading back this host's own record, for example after its
  // acknowledgement was lost, does not make the host the holder: the time at
  // which the record was sent is not known.
  if (holder != self_) is_holder_ = false;
}

void Lease::OnAppended(std::uint64_t offset, BootClock::time_point sent_at) {
  if (!is_holder_) token_ = offset;
  is_holder_ = true;
  renewed_at_ = sent_at;
  last_holder_ = self_;
  last_record_seen_at_ = sent_at;
  if (offset >= end_) end_ = offset + 1;
}

void Lease::Abandon() { is_holder_ = false; }

bool Lease::MayAcquire(BootClock::time_point now) const {
  if (last_holder_.empty() || last_holder_ == self_) return true;
  return now - last_record_seen_at_ >= timing_.lifetime +
                                           timing_.min_handover_gap +
                                           timing_.clock_drift_allowance;
}

bool Lease::IsHeld(BootClock::time_point now) const {
  return is_holder_ && now - renewed_at_ < timing_.lifetime;
}

}  // namespace beryllane::lease
