#include "beryllane/placement/zone_spill.h"

#include <algorithm>
#include <cmath>

namespace beryllane::placement {
namespace {

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

// Weight of the newest sample per step in the mean of the demand.
constexpr double kDemandWeight = 0.25;
// Weight of the newest step in the means of the shares and of the requests sent
// away: a mean over about a second, as the reported load of a zone follows a
// change of the shares only after the requests' run and the delay of reports.
constexpr double kSeenWeight = 0.2;
// Number of requests that the present shares count for where few were seen.
constexpr double kPriorRequests = 4;
// Largest part of the requests that the estimate of the demand takes to be
// away. Nearer to 1 the estimate would be a quotient of two small numbers.
constexpr double kMaxAway = 0.9;
// Load per capacity that counts at most as demand. Requests that wait longer
// are the result of past overload and say little of the present arrivals.
constexpr double kMaxFill = 1.5;
// Load per capacity above which some, and at which all routers of a zone are
// assumed to send requests away. A single threshold would change the division
// of the room with each fluctuation of a load near it.
constexpr double kSomeSendFill = 0.75;
constexpr double kAllSendFill = 0.95;

nanoseconds Scale(nanoseconds duration, double factor) {
  return nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

nanoseconds CostOfLeaving(const ZoneState& other) {
  return 2 * other.latency + other.price;
}

// The value nearest to `previous` that differs from `computed` by at most
// `play`. Fluctuations within the play have no effect.
double Follow(double previous, double computed, double play) {
  return std::clamp(previous, computed - play, computed + play);
}

// Number of routers of a zone that are assumed to send requests away.
double Senders(const ZoneState& state) {
  const double fill = state.capacity > 0 ? state.load / state.capacity : 1;
  const double part = (fill - kSomeSendFill) / (kAllSendFill - kSomeSendFill);
  return state.routers * std::clamp(part, 0.0, 1.0);
}

}  // namespace

void ZoneSpill::Update(const ZoneState& home,
                       const std::vector<ZoneState>& others, nanoseconds goal,
                       RuntimeClock::time_point now) {
  DropUnusable(others);
  if (stepped_at_ && now - *stepped_at_ < options_.step) return;
  stepped_at_ = now;
  EstimateDemand(home);
  SetTargets(home, others, goal);
  HoldTotal();
  Step();
}

std::optional<std::uint32_t> ZoneSpill::ZoneFor(std::uint64_t hash,
                                                nanoseconds goal) {
  ++seen_;
  const bool is_met_at_home =
      projected_wait_ <= Scale(goal, options_.request_goal_part);
  if (is_met_at_home) return std::nullopt;
  constexpr double kHashRange = 18446744073709551616.0;
  double point = static_cast<double>(hash) / kHashRange;
  for (const Share& share : shares_) {
    point -= share.value;
    if (point >= 0) continue;
    ++sent_;
    return share.zone;
  }
  return std::nullopt;
}

double ZoneSpill::ShareOf(std::uint32_t zone) const {
  const auto share =
      std::find_if(shares_.begin(), shares_.end(),
                   [zone](const Share& known) { return known.zone == zone; });
  return share == shares_.end() ? 0 : share->value;
}

double ZoneSpill::TotalShare() const {
  double total = 0;
  for (const Share& share : shares_) total += share.value;
  return total;
}

ZoneSpill::Share& ZoneSpill::ShareFor(std::uint32_t zone) {
  const auto known =
      std::find_if(shares_.begin(), shares_.end(),
                   [zone](const Share& share) { return share.zone == zone; });
  if (known != shares_.end()) return *known;
  Share share;
  share.zone = zone;
  return shares_.emplace_back(share);
}

void ZoneSpill::DropUnusable(const std::vector<ZoneState>& others) {
  for (Share& share : shares_) share.is_listed = false;
  for (const ZoneState& other : others) {
    Share& share = ShareFor(other.zone);
    share.is_listed = true;
    if (other.silent_for < options_.max_silence && other.capacity > 0) continue;
    share.value = 0;
    share.seen = 0;
    share.allowed = 0;
  }
  std::erase_if(shares_, [](const Share& share) { return !share.is_listed; });
}

void ZoneSpill::EstimateDemand(const ZoneState& home) {
  const double away =
      std::min(kMaxAway, (sent_ + kPriorRequests * TotalShare()) /
                             (seen_ + kPriorRequests));
  seen_ *= 1 - kSeenWeight;
  sent_ *= 1 - kSeenWeight;
  // Without targets at home the loads there say nothing of the demand.
  if (home.capacity > 0) {
    const double load = std::min(home.load, kMaxFill * home.capacity);
    const double demand = load / (1 - away);
    demand_ += (demand_ > 0 ? kDemandWeight : 1) * (demand - demand_);
  }
  const double overload =
      home.capacity > 0 ? std::max(0.0, demand_ / home.capacity - 1) : 1;
  projected_wait_ = home.predicted_wait + Scale(options_.horizon, overload);
}

bool ZoneSpill::Pays(const ZoneState& other, const Share& share) const {
  const nanoseconds gain = projected_wait_ - other.predicted_wait;
  const nanoseconds cost = CostOfLeaving(other);
  if (share.value > 0) return gain > cost;
  return gain > Scale(cost, options_.start_factor) + options_.start_margin;
}

double ZoneSpill::Allowed(const ZoneState& home, const ZoneState& other,
                          const std::vector<ZoneState>& others,
                          const Share& share) const {
  const double own = std::max(1, home.routers);
  double senders = own;
  for (const ZoneState& sender : others) {
    if (sender.zone != other.zone) senders += Senders(sender);
  }
  // Negative where the zone is too full.
  const double room = options_.other_fill * other.capacity - other.load;
  return share.seen + options_.room_gain * room * own / senders / demand_;
}

void ZoneSpill::SetTargets(const ZoneState& home,
                           const std::vector<ZoneState>& others,
                           nanoseconds goal) {
  for (Share& share : shares_) share.target = 0;
  if (demand_ <= 0) return;
  // The play delays a rise, for which the addition makes up.
  const double computed =
      1 - options_.home_fill * home.capacity / demand_ + options_.total_play;
  excess_ = Follow(excess_, computed, options_.total_play);
  is_leaving_ = excess_ > 0 && projected_wait_ > Scale(goal, GoalPart());
  if (!is_leaving_) return;
  double left = std::max(0.0, excess_);
  std::vector<const ZoneState*> by_cost;
  for (const ZoneState& other : others) {
    const bool is_usable =
        other.silent_for < options_.max_silence && other.capacity > 0;
    if (is_usable && Pays(other, ShareFor(other.zone))) {
      by_cost.push_back(&other);
    }
  }
  std::stable_sort(by_cost.begin(), by_cost.end(),
                   [](const ZoneState* a, const ZoneState* b) {
                     return CostOfLeaving(*a) < CostOfLeaving(*b);
                   });
  for (const ZoneState* other : by_cost) {
    Share& share = ShareFor(other->zone);
    share.allowed = std::max(
        0.0, Follow(share.allowed, Allowed(home, *other, others, share),
                    options_.room_play));
    share.target = std::min(share.allowed, left);
    left -= share.target;
  }
}

double ZoneSpill::GoalPart() const {
  if (is_leaving_) return options_.stop_goal_part;
  const bool is_restart =
      last_sent_at_ && *stepped_at_ - *last_sent_at_ < options_.restart_delay;
  return is_restart ? options_.restart_goal_part : options_.start_goal_part;
}

void ZoneSpill::HoldTotal() {
  const double total = TotalShare();
  double target = 0;
  for (const Share& share : shares_) target += share.target;
  const double min_rise = is_falling_ && total > 0 ? options_.min_rise : 0;
  const double change = target - total;
  if (change > 0 && change < min_rise) {
    for (Share& share : shares_) share.target *= total / target;
    return;
  }
  // A zone that is no longer worth its cost loses its share in any case.
  const bool is_end = std::any_of(
      shares_.begin(), shares_.end(),
      [](const Share& share) { return share.value > 0 && share.target == 0; });
  if (!is_end && change <= 0 && change > -options_.min_fall) {
    for (Share& share : shares_) share.target = share.value;
    return;
  }
  is_falling_ = change < 0;
}

void ZoneSpill::Step() {
  double up = 0;
  double down = 0;
  for (const Share& share : shares_) {
    const double change = share.target - share.value;
    (change > 0 ? up : down) += std::abs(change);
  }
  // Both are limited by the same factor, as requests that move from one zone to
  // another neither return home on the way nor are sent twice.
  const double factor = std::min({1.0, up > 0 ? options_.max_rise / up : 1.0,
                                  down > 0 ? options_.max_fall / down : 1.0});
  for (Share& share : shares_) {
    share.value += factor * (share.target - share.value);
  }
  if (TotalShare() > 0) last_sent_at_ = stepped_at_;
  for (Share& share : shares_) {
    share.seen += kSeenWeight * (share.value - share.seen);
  }
}

}  // namespace beryllane::placement
