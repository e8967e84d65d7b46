#include "src/fleet/zone_balance.h"

#include <algorithm>
#include <cmath>

#include "beryllane/hash/hash.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Latency between zones and regions of the deployments, one way. With the
// price, the cost of crossing regions is that of `PrefixWeights`: 45 ms.
constexpr milliseconds kOtherZoneLatency{1};
constexpr milliseconds kOtherRegionLatency{12};
constexpr milliseconds kOtherRegionPrice{21};
// A router that was not heard for this long sends no requests.
constexpr milliseconds kRouterTimeout{1500};
// Longest silence that is told apart; also that of a zone never heard.
constexpr milliseconds kLongestSilence{60000};
// Limit on the number of gauges.
constexpr std::size_t kMaxGauges = 16;

// A zone and sums over its targets.
struct ZoneSum {
  const std::string* name = nullptr;
  placement::ZoneState state;
  // Sum of waits, weighed by slots.
  double wait_ns = 0;
};

ZoneSum& SumOf(std::vector<ZoneSum>& sums, const ZoneMap& zones,
               const std::string& zone) {
  const auto known =
      std::find_if(sums.begin(), sums.end(),
                   [&](const ZoneSum& sum) { return *sum.name == zone; });
  if (known != sums.end()) return *known;
  ZoneSum sum;
  sum.name = &zone;
  sum.state.zone = ZoneHash(zone);
  sum.state.routers = 0;
  sum.state.silent_for = kLongestSilence;
  const auto listed = zones.region_of_zone.find(zone);
  const std::string& region =
      listed == zones.region_of_zone.end() ? zone : listed->second;
  if (region == zones.region) {
    sum.state.latency = kOtherZoneLatency;
  } else {
    sum.state.latency = kOtherRegionLatency;
    sum.state.price = kOtherRegionPrice;
  }
  return sums.emplace_back(sum);
}

}  // namespace

std::uint32_t ZoneHash(const std::string& name) {
  return static_cast<std::uint32_t>(HashBytes(name).low);
}

void ZoneBalance::OnRouterHeard(std::uint32_t router, const std::string& zone,
                                RuntimeClock::time_point now) {
  if (router >= routers_.size()) routers_.resize(router + 1);
  routers_[router] = {ZoneHash(zone), now};
}

bool ZoneBalance::IsDue(const std::string& service,
                        RuntimeClock::time_point now) const {
  const auto known = services_.find(service);
  return known == services_.end() || !known->second.updated_at ||
         now - *known->second.updated_at >= kInterval;
}

void ZoneBalance::AddRouters(placement::ZoneState& state,
                             RuntimeClock::time_point now) const {
  for (const Router& router : routers_) {
    if (router.zone != state.zone || !router.heard_at) continue;
    const nanoseconds silence = now - *router.heard_at;
    state.silent_for = std::min(state.silent_for, silence);
    if (silence < kRouterTimeout) ++state.routers;
  }
}

void ZoneBalance::Update(const std::string& service, const ZoneMap& zones,
                         const std::vector<ZoneTarget>& targets,
                         RuntimeClock::time_point now) {
  std::vector<ZoneSum> sums;
  // The home zone comes first, with or without targets.
  SumOf(sums, zones, zones.availability_zone);
  for (const ZoneTarget& target : targets) {
    ZoneSum& sum = SumOf(sums, zones, *target.zone);
    sum.state.silent_for = std::min<nanoseconds>(sum.state.silent_for,
                                                 now - target.last_received_at);
    if (target.slots <= 0) continue;
    sum.state.capacity += target.slots;
    sum.state.load += target.load;
    sum.wait_ns += target.slots * static_cast<double>(target.wait.count());
  }
  ServiceState& state = services_[service];
  state.others.clear();
  for (ZoneSum& sum : sums) {
    AddRouters(sum.state, now);
    if (sum.state.capacity > 0) {
      sum.state.predicted_wait = nanoseconds(
          static_cast<std::int64_t>(sum.wait_ns / sum.state.capacity));
    }
    if (&sum == &sums.front()) continue;
    names_.try_emplace(sum.state.zone, *sum.name);
    state.others.push_back(sum.state);
  }
  placement::ZoneState home = sums.front().state;
  // This router.
  ++home.routers;
  if (state.shortest_goal) state.goal = *state.shortest_goal;
  state.shortest_goal.reset();
  state.updated_at = now;
  state.spill.Update(home, state.others, state.goal, now);
}

ZoneChoice ZoneBalance::ZoneOf(const std::string& service, std::uint64_t hash,
                               nanoseconds goal) {
  ZoneChoice choice;
  const auto known = services_.find(service);
  if (known == services_.end()) return choice;
  ServiceState& state = known->second;
  state.shortest_goal = std::min(state.shortest_goal.value_or(goal), goal);
  choice.away = state.spill.ZoneFor(hash, goal);
  for (const placement::ZoneState& other : state.others) {
    if (other.zone == choice.away) choice.round_trip = 2 * other.latency;
  }
  return choice;
}

double ZoneBalance::ShareOf(const std::string& service,
                            const std::string& zone) const {
  const auto known = services_.find(service);
  return known == services_.end() ? 0
                                  : known->second.spill.ShareOf(ZoneHash(zone));
}

void ZoneBalance::Export(MetricRegistry& metrics) const {
  constexpr double kPerMille = 1000;
  std::size_t count = 0;
  for (const auto& [hash, name] : names_) {
    if (++count > kMaxGauges) return;
    double largest = 0;
    for (const auto& [service, state] : services_) {
      largest = std::max(largest, state.spill.ShareOf(hash));
    }
    metrics
        .GetGauge("beryllane_fleet_zone_share_permille",
                  "Requests per thousand that this router sends to another "
                  "zone because its own has too little room",
                  {{"zone", name}})
        .Set(std::llround(kPerMille * largest));
  }
}

}  // namespace beryllane::fleet
