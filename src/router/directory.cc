#include "src/router/directory.h"

#include <algorithm>
#include <utility>

#include "beryllane/hash/hash.h"

namespace beryllane::router {

using platform::Host;
using platform::HostRole;

std::uint32_t RunnerHash(const std::string& id) {
  return static_cast<std::uint32_t>(HashBytes(id).low);
}

Directory::Directory(const Settings& settings)
    : settings_(settings), state_cell_(std::make_shared<RoutingState>()) {
  Publish();
}

void Directory::SetHosts(std::vector<Host> hosts) {
  if (has_hosts_ && hosts == hosts_) return;
  has_hosts_ = true;
  hosts_ = std::move(hosts);
  std::map<std::string, Target> next;
  by_hash_.clear();
  for (const Host& host : hosts_) {
    if (host.role == HostRole::kRouter) continue;
    const auto known = targets_.find(host.id);
    // A host with a new address is a new instance of the target; the load
    // reported for the old one does not apply to it.
    const bool is_same =
        known != targets_.end() && known->second.host.address == host.address;
    auto load =
        is_same ? known->second.load : std::make_shared<placement::LoadCell>();
    next[host.id] = {host, std::move(load)};
    by_hash_[RunnerHash(host.id)] = host.id;
  }
  targets_ = std::move(next);
  Publish();
}

void Directory::SetConfig(std::shared_ptr<const config::Config> config) {
  config_ = std::move(config);
  Publish();
}

void Directory::SetDraining() {
  is_draining_ = true;
  Publish();
}

void Directory::SetPeerUnavailable(const std::string& id, bool is_unavailable) {
  bool& known = unavailable_peers_[id];
  if (known == is_unavailable) return;
  known = is_unavailable;
  Publish();
}

const Target* Directory::FindByHash(std::uint32_t runner_hash) const {
  const auto id = by_hash_.find(runner_hash);
  if (id == by_hash_.end()) return nullptr;
  const auto target = targets_.find(id->second);
  return target == targets_.end() ? nullptr : &target->second;
}

void Directory::Publish() {
  auto state = std::make_shared<RoutingState>();
  state->config = config_;
  state->has_hosts = has_hosts_;
  state->is_draining = is_draining_;
  AddRouters(*state);
  if (config_) {
    AddTargets(*state);
    AddLimiters(*state);
  }
  state_cell_.Store(std::move(state));
}

bool Directory::IsCrossRegion(const std::string& zone) const {
  const auto region = config_->zone_regions.find(zone);
  return region != config_->zone_regions.end() &&
         region->second != settings_.region;
}

std::chrono::nanoseconds Directory::LinkLatencyTo(
    const std::string& zone) const {
  if (zone == settings_.availability_zone) return config_->links.same_zone;
  return IsCrossRegion(zone) ? config_->links.cross_region
                             : config_->links.same_region;
}

void Directory::AddTargets(RoutingState& state) const {
  for (const auto& [name, pool] : config_->pools) state.pools[name] = {};
  for (const auto& [id, target] : targets_) {
    const auto pool = state.pools.find(target.host.pool);
    if (pool == state.pools.end() || target.host.is_leaving) continue;
    const std::string& zone = target.host.zone;
    const double cost =
        IsCrossRegion(zone) ? config_->links.cross_region_price : 0;
    pool->second.view.Add({id, LinkLatencyTo(zone), cost, target.load});
    pool->second.addresses.push_back(target.host.address);
  }
}

void Directory::AddRouters(RoutingState& state) const {
  if (!is_draining_) {
    state.routers.push_back({settings_.host_id, settings_.peer_listen,
                             HashBytes(settings_.host_id).low});
  }
  for (const Host& host : hosts_) {
    if (host.role != HostRole::kRouter || host.id == settings_.host_id) {
      continue;
    }
    const auto known = unavailable_peers_.find(host.id);
    const bool is_down = known != unavailable_peers_.end() && known->second;
    if (host.is_leaving || is_down || host.peer_address.empty()) continue;
    state.routers.push_back(
        {host.id, host.peer_address, HashBytes(host.id).low});
  }
  std::sort(state.routers.begin(), state.routers.end(),
            [](const Peer& a, const Peer& b) { return a.id < b.id; });
}

void Directory::AddLimiters(RoutingState& state) {
  const auto live_routers =
      static_cast<double>(std::max<std::size_t>(1, state.routers.size()));
  AccountLimiters next;
  for (const auto& [name, account] : config_->accounts) {
    if (account.requests_per_second <= 0) continue;
    const double share = account.requests_per_second / live_routers;
    const auto known = limiters_.find(name);
    if (known == limiters_.end()) {
      next[name] = std::make_shared<RateLimiter>(share);
    } else {
      known->second->SetRate(share);
      next[name] = known->second;
    }
  }
  limiters_ = next;
  state.limiters = std::move(next);
}

}  // namespace beryllane::router
