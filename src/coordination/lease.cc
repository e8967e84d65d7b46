#include "beryllane/lease/lease.h"

#include <utility>

namespace beryllane::lease {

Lease::Lease(std::string self, Terms terms)
    : self_(std::move(self)), terms_(terms) {}

void Lease::OnRecord(const std::string& holder, std::uint64_t offset,
                     BootClock::time_point seen) {
  if (offset < end_) return;
  end_ = offset + 1;
  last_holder_ = holder;
  last_seen_ = seen;
  // An own record that is read back, for example after its confirmation was
  // lost, gives no tenure: it is not known when it was sent.
  if (holder != self_) is_holder_ = false;
}

void Lease::OnAppended(std::uint64_t offset, BootClock::time_point sent) {
  if (!is_holder_) token_ = offset;
  is_holder_ = true;
  renewed_ = sent;
  last_holder_ = self_;
  last_seen_ = sent;
  if (offset >= end_) end_ = offset + 1;
}

void Lease::Abandon() { is_holder_ = false; }

bool Lease::MayAppend(BootClock::time_point now) const {
  if (last_holder_.empty() || last_holder_ == self_) return true;
  return now - last_seen_ >= terms_.hold + terms_.separation + terms_.margin;
}

bool Lease::IsHeld(BootClock::time_point now) const {
  return is_holder_ && now - renewed_ < terms_.hold;
}

}  // namespace beryllane::lease
