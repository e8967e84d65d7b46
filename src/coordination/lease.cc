#include "beryllane/lease/lease.h"

#include <utility>

namespace beryllane::lease {

Lease::Lease(std::string self, Timing timing)
    : self_(std::move(self)), timing_(timing) {}

void Lease::OnEra(std::uint64_t era, BootClock::time_point seen_at) {
  if (era == era_) return;
  // Nobody else has held the lease until now, and nobody can acquire it in the
  // new era without a record that this host will read.
  is_holder_known_ = IsHeld(seen_at);
  last_holder_ = is_holder_known_ ? self_ : "";
  is_holder_ = false;
  era_ = era;
  era_seen_at_ = seen_at;
  end_ = 0;
}

void Lease::OnRecord(const std::string& holder, std::uint64_t offset,
                     BootClock::time_point seen_at, std::uint64_t era) {
  if (offset < end_) return;
  end_ = offset + 1;
  if (era != era_) return;
  is_holder_known_ = true;
  last_holder_ = holder;
  last_record_seen_at_ = seen_at;
  // Reading back this host's own record, for example after its
  // acknowledgement was lost, does not make the host the holder: the time at
  // which the record was sent is not known.
  if (holder != self_) is_holder_ = false;
}

void Lease::OnAppended(std::uint64_t offset, BootClock::time_point sent_at) {
  constexpr int kOffsetBits = 32;
  if (!is_holder_) token_ = era_ << kOffsetBits | offset;
  is_holder_ = true;
  is_holder_known_ = true;
  renewed_at_ = sent_at;
  last_holder_ = self_;
  last_record_seen_at_ = sent_at;
  if (offset >= end_) end_ = offset + 1;
}

void Lease::Abandon() { is_holder_ = false; }

bool Lease::MayAcquire(BootClock::time_point now) const {
  const auto handover = timing_.lifetime + timing_.min_handover_gap +
                        timing_.clock_drift_allowance;
  if (!is_holder_known_) return now - era_seen_at_ >= handover;
  if (last_holder_.empty() || last_holder_ == self_) return true;
  return now - last_record_seen_at_ >= handover;
}

bool Lease::IsHeld(BootClock::time_point now) const {
  return is_holder_ && now - renewed_at_ < timing_.lifetime;
}

}  // namespace beryllane::lease
