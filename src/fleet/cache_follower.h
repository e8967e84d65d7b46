/// @file
/// Follows what model runners cache, for the mirrors that placement reads.
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

/// Asks the runners that this router keeps for changes of their caches, by
/// calls that wait, corrects the mirrors by them and tells the peers. Each
/// runner is asked by one router, so the work for each router does not grow
/// with the fleet. Changes come late and some never; a mirror that is wrong
/// costs a second read of a part. Used on one loop.
class CacheFollower {
 public:
  /// @pre all references outlive the follower.
  CacheFollower(net::HttpClient& client, Fleet& fleet, Peers& peers,
                MetricRegistry& metrics);

  /// Works until the loop stops. @pre called once.
  net::asio::awaitable<void> Run();

 private:
  net::asio::awaitable<void> Follow(std::shared_ptr<Runner> runner);
  void Apply(Runner& runner, const platform::CacheChange& change);

  net::HttpClient& client_;
  Fleet& fleet_;
  Peers& peers_;
  // Ids of the targets that are being followed.
  std::set<std::string> followed_;
  Counter& changes_;
  Counter& failures_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_CACHE_FOLLOWER_H_
