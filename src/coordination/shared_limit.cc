#include "beryllane/limit/shared_limit.h"

#include <algorithm>
#include <cmath>

namespace beryllane {
namespace {

// Demand of a host that has none, so that its first request is not refused for
// lack of a share.
constexpr double kIdleDemandPerSecond = 0.05;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void DecayingRate::Count(RuntimeClock::time_point now) {
  events_ = PerSecond(now) * Seconds(kTimeConstant) + 1;
  updated_at_ = now;
}

double DecayingRate::PerSecond(RuntimeClock::time_point now) const {
  const double age = Seconds(now - updated_at_) / Seconds(kTimeConstant);
  return events_ * std::exp(-age) / Seconds(kTimeConstant);
}

bool SharedLimit::OnAnswer(double per_second, RuntimeClock::time_point sent_at,
                           RuntimeClock::time_point now) {
  const double before = per_second_;
  answered_at_ = now;
  if (per_second >= 0) {
    Set(per_second, now);
  } else if (is_set() && sent_at > named_at_) {
    // Answers may overtake each other. Only a request that was sent after the
    // limit was named shows by its answer that the limit has ended.
    Lift();
  }
  return per_second_ != before;
}

void SharedLimit::OnPeerReport(std::uint32_t peer, double per_second,
                               double demand, RuntimeClock::time_point now) {
  if (per_second < 0) {
    if (is_set()) Lift();
    return;
  }
  peer_demands_.Set(peer, std::max(demand, kIdleDemandPerSecond), now);
  const bool is_outdated = now - answered_at_ < kPeerLag;
  if (!is_outdated) Set(per_second, now);
}

void SharedLimit::Set(double per_second, RuntimeClock::time_point now) {
  if (!is_set()) {
    tokens_ = 0;
    set_at_ = now;
    refilled_at_ = now;
  }
  per_second_ = std::max(per_second, kMinPerSecond);
  named_at_ = now;
}

void SharedLimit::Lift() {
  per_second_ = -1;
  peer_demands_.Clear();
}

double SharedLimit::Share(const PeerActivity& peers,
                          RuntimeClock::time_point now) {
  const double own = std::max(Demand(now), kIdleDemandPerSecond);
  const auto listed = static_cast<int>(peer_demands_.Count(now));
  const auto oldest = now - kReportLifetime + std::chrono::nanoseconds(1);
  const int reporting = peers.CountReportsSince(std::max(set_at_, oldest));
  const int idle = std::max(0, reporting - listed);
  const int unknown = std::max(0, peers.live() - listed - idle);
  const double sum = own + peer_demands_.Total(now) +
                     idle * kIdleDemandPerSecond + unknown * own;
  return per_second_ * own / sum;
}

bool SharedLimit::MaySend(const PeerActivity& peers,
                          RuntimeClock::time_point now, bool is_large) {
  if (!is_set()) return true;
  Refill(peers, now);
  return tokens_ >= (is_large ? 1 : 1 + kReserve);
}

std::chrono::nanoseconds SharedLimit::TimeToSend(const PeerActivity& peers,
                                                 RuntimeClock::time_point now) {
  if (!is_set()) return std::chrono::nanoseconds(0);
  Refill(peers, now);
  const double missing = std::max(0.0, 1 - tokens_);
  const std::chrono::duration<double> wait(missing / Share(peers, now));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

void SharedLimit::Refill(const PeerActivity& peers,
                         RuntimeClock::time_point now) {
  const double share = Share(peers, now);
  const double capacity = std::max(1.0, share * Seconds(kBurst)) + kReserve;
  tokens_ = std::min(capacity, tokens_ + share * Seconds(now - refilled_at_));
  refilled_at_ = now;
}

}  // namespace beryllane
