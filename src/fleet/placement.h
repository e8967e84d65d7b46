/// @file
/// Chooses a target for a request from the router's belief about the fleet.
#ifndef BERYLLANE_SRC_FLEET_PLACEMENT_H_
#define BERYLLANE_SRC_FLEET_PLACEMENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/request_codec.h"
#include "src/fleet/fleet.h"

namespace beryllane::fleet {

/// Where this router stands, for the distances to targets.
struct RouterLocation {
  std::string availability_zone;
  std::string region;
  std::map<std::string, std::string> region_of_zone;
  /// Nothing is sent to weights for which newer ones were named this long ago.
  std::chrono::milliseconds max_weights_lag{6000};
};

/// The choice for one attempt.
struct PlacementDecision {
  std::shared_ptr<Runner> runner;
  /// Source of cached parts that the runner lacks.
  std::optional<net::Address> fetch_from;
  /// Version that the runner must answer with.
  std::optional<std::uint64_t> weights_version;
  std::string cache_salt;
  /// Not to be sent before this time: until then another request reads parts
  /// that this one shares, and it would read them again.
  RuntimeClock::time_point not_before;
  /// Tokens that the runner has to read, as predicted.
  std::uint32_t uncached_tokens = 0;
  /// Shared tokens that the runner is known to hold.
  std::uint32_t held_tokens = 0;
  double cost_ms = 0;
  std::size_t candidates = 0;
};

/// What placement looks at.
struct PlacementInput {
  const Service& service;
  const Account* account = nullptr;
  const platform::CallerRequest& request;
  /// Ids that were tried before.
  const std::vector<std::string>& tried;
};

/// Chooses a target, or says why there is none. @pre none. Not thread-safe.
Result<PlacementDecision> ChooseTarget(const Fleet& fleet,
                                       const RouterLocation& router_location,
                                       const PlacementInput& input,
                                       RuntimeClock::time_point now);

/// Keys of a prompt's shared parts under a cache salt. The last part is the
/// request's own and has none. @pre none. Thread-safe.
std::vector<std::uint64_t> PartKeys(const platform::CallerRequest& request,
                                    const std::string& salt);

/// Key of one part under a cache salt. @pre none. Thread-safe.
std::uint64_t PartKey(const std::string& salt, const std::string& part_id);

/// The text under which a runner caches parts: nothing is shared across
/// weights versions, nor with an isolated account. @pre none. Thread-safe.
std::string CacheSalt(std::uint64_t version, const Account* account);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PLACEMENT_H_
