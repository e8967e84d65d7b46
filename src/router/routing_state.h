/// @file
/// Immutable snapshots of the state that requests are routed by.
#ifndef BERYLLANE_SRC_ROUTER_ROUTING_STATE_H_
#define BERYLLANE_SRC_ROUTER_ROUTING_STATE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/limit/rate_limiter.h"
#include "beryllane/placement/policy.h"
#include "beryllane/placement/rendezvous.h"
#include "src/config/config.h"
#include "src/net/address.h"
#include "src/platform/host_list.h"

namespace beryllane::router {

/// The targets of one pool; `addresses` has the same order as `view`.
struct PoolTargets {
  placement::PoolView view;
  std::vector<net::Address> addresses;
};

/// A router of the fleet.
struct Peer {
  std::string id;
  std::string address;
  std::uint64_t hash = 0;
};

/// Rate limiters by account. Each enforces this router's share of the account's
/// fleet-wide limit.
using AccountLimiters = std::map<std::string, std::shared_ptr<RateLimiter>>;

/// One snapshot of everything that routing depends on.
struct RoutingState {
  /// Null until a configuration has been accepted.
  std::shared_ptr<const config::Config> config;
  std::map<std::string, PoolTargets> pools;
  /// Live routers, this one included, ordered by id.
  std::vector<Peer> routers;
  AccountLimiters limiters;
  bool has_hosts = false;
  bool is_draining = false;

  /// Whether requests can be served. @pre none. Thread-safe.
  bool is_ready() const {
    return config != nullptr && has_hosts && !is_draining;
  }
};

/// Returns the live router that owns `key` by rendezvous hashing, or null if no
/// router is live. @pre none. Thread-safe. Complexity: linear in the number of
/// routers.
inline const Peer* OwnerOf(const RoutingState& state, const Hash128& key) {
  const Peer* owner = nullptr;
  std::uint64_t best = 0;
  for (const Peer& router : state.routers) {
    const std::uint64_t score = placement::RendezvousScore(key, router.hash);
    if (owner != nullptr && score <= best) continue;
    owner = &router;
    best = score;
  }
  return owner;
}

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_ROUTING_STATE_H_
