/// @file
/// Follows the changes of runners' caches, to correct the cache estimates that
/// placement uses.
#ifndef BERYLLANE_SRC_FLEET_CACHE_FOLLOWER_H_
#define BERYLLANE_SRC_FLEET_CACHE_FOLLOWER_H_

#include <memory>
#include <set>
#include <string>

#include "platform/cache_codec.h"
#include "src/fleet/fleet.h"
#include "src/fleet/peers.h"
#include "src/net/http_client.h"

namespace beryllane::fleet {

/// Long-polls the runners assigned to this router for changes of their caches,
/// applies the changes to each runner's `PartCache` and announces them to the
/// peers. Each runner is polled by one router, so the work per router does not
/// grow with the fleet. Changes arrive late and some are lost; a wrong estimate
/// costs a second prefill of a part. Used on one loop.
class CacheFollower {
 public:
  /// @pre all references outlive the follower.
  CacheFollower(net::HttpClient& client, Fleet& fleet, Peers& peers,
                MetricRegistry& metrics);

  /// Follows runners until the loop stops. @pre called once.
  net::asio::awaitable<void> Run();

 private:
  net::asio::awaitable<void> Follow(std::shared_ptr<Runner> runner);
  net::asio::awaitable<void> ReadChanges(std::shared_ptr<Runner> runner);
  void NotePause(Runner& runner, const net::Response& answer);
  void Apply(Runner& runner, const platform::CacheChange& change);

  net::HttpClient& client_;
  Fleet& fleet_;
  Peers& peers_;
  // Ids of the runners being followed.
  std::set<std::string> followed_;
  Counter& changes_;
  Counter& failures_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_CACHE_FOLLOWER_H_
