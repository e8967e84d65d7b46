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
  settled_at_ = now;
  if (per_second >= 0) {
    Set(per_second, now, now);
    answered_at_ = now;
  } else if (is_set() && sent_at > named_at_) {
    // Answers may overtake each other. Only a request that was sent after the
    // limit was named shows by its answer that the limit has ended.
    Lift(now);
    answered_at_ = now;
  }
  return per_second_ != before;
}

void SharedLimit::OnPeerReport(
    std::uint32_t peer, double per_second, double demand,
    std::optional<std::chrono::nanoseconds> answer_age,
    RuntimeClock::time_point now) {
  if (per_second < 0) {
    if (is_set()) Lift(now);
    return;
  }
  peer_demands_.Set(peer, std::max(demand, kIdleDemandPerSecond), now);
  if (!answer_age) return;
  const auto named_at = now - *answer_age;
  const bool is_outdated =
      named_at <= settled_at_ || now - settled_at_ < kPeerLag;
  if (!is_outdated) Set(per_second, named_at, now);
}

bool SharedLimit::EndIfUnconfirmed(RuntimeClock::time_point now) {
  const bool is_unconfirmed =
      is_set() && now - named_at_ >= kUnconfirmedLifetime;
  if (!is_unconfirmed || Demand(now) >= kMinReportedDemand) return false;
  Lift(now);
  return true;
}

std::optional<std::chrono::nanoseconds> SharedLimit::AnswerAge(
    RuntimeClock::time_point now) const {
  if (!answered_at_) return std::nullopt;
  return now - *answered_at_;
}

void SharedLimit::Set(double per_second, RuntimeClock::time_point named_at,
                      RuntimeClock::time_point now) {
  if (!is_set()) {
    tokens_ = 0;
    set_at_ = now;
    refilled_at_ = now;
    answered_at_.reset();
  }
  per_second_ = std::max(per_second, kMinPerSecond);
  named_at_ = std::max(named_at_, named_at);
}

void SharedLimit::Lift(RuntimeClock::time_point now) {
  per_second_ = -1;
  settled_at_ = now;
  answered_at_.reset();
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
