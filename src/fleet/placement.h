/// @file
/// Chooses a target for a request from the router's view of the fleet.
#ifndef BERYLLANE_SRC_FLEET_PLACEMENT_H_
#define BERYLLANE_SRC_FLEET_PLACEMENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/request_codec.h"
#include "src/fleet/fleet.h"

namespace beryllane::fleet {

/// The router's location, from which the distances to targets follow, and its
/// bound on the age of weights.
struct PlacementSettings {
  std::string availability_zone;
  std::string region;
  std::map<std::string, std::string> region_of_zone;
  /// Targets with older weights are not chosen if the run would probably begin
  /// after the deadline that follows from these bounds.
  WeightsBounds weights;
};

/// The target chosen for one attempt, and how to send the request to it.
struct PlacementDecision {
  std::shared_ptr<Runner> runner;
  /// The target leaves, and no other can take the request.
  bool is_last_resort = false;
  /// Runner from which this one copies cached parts that it lacks.
  std::optional<net::Address> fetch_from;
  /// The same runner; null if there is none.
  std::shared_ptr<Runner> fetch_source;
  /// Weights version with which the runner must answer.
  std::optional<std::uint64_t> weights_version;
  std::string cache_salt;
  /// The request must not be sent before this time. Until then another request
  /// runs the prefill of parts that both share, and an earlier start would
  /// repeat it.
  RuntimeClock::time_point not_before;
  /// Predicted prompt tokens for which the runner must run a prefill.
  std::uint32_t uncached_tokens = 0;
  /// Prompt tokens of the part that is specific to the request.
  std::uint32_t own_tokens = 0;
  /// Tokens of shared parts that the runner has cached.
  std::uint32_t held_tokens = 0;
  /// Cost of the chosen target, as an equivalent wait in milliseconds.
  double cost_ms = 0;
  /// Number of targets among which the choice was made.
  std::size_t candidates = 0;
  /// Number of targets that were passed over because they asked for a pause.
  std::uint64_t paused = 0;
};

/// The request to place.
struct PlacementInput {
  const Service& service;
  const Account* account = nullptr;
  const platform::CallerRequest& request;
  /// Ids of the targets that previous attempts used.
  const std::vector<std::string>& tried;
  /// When the request was received.
  RuntimeClock::time_point started;
  /// Whether the request is at least as much work as the mean of its service.
  bool is_large = true;
  /// When the request must be answered.
  RuntimeClock::time_point deadline = RuntimeClock::time_point::max();
  /// Desired time to the answer, or to the first event of a stream.
  std::chrono::nanoseconds goal{0};
};

/// Chooses the target with the lowest cost among those whose rate limits allow
/// another request, and counts the demand at each that a limit rules out.
/// A model runner whose predicted wait exceeds the time to the deadline cannot
/// take it. Returns `kNoTarget` if no target can take the request,
/// `kOverloaded` if only limits, waits or pauses prevent it. @pre none. Not
/// thread-safe.
Result<PlacementDecision> ChooseTarget(const Fleet& fleet,
                                       const PlacementSettings& settings,
                                       const PlacementInput& input,
                                       RuntimeClock::time_point now);

/// The error with which `ChooseTarget` would fail now; `nullopt` if a target
/// could take the request. Counts nothing. @pre none. Not thread-safe.
std::optional<Error> FindPlacementObstacle(const Fleet& fleet,
                                           const PlacementSettings& settings,
                                           const PlacementInput& input,
                                           RuntimeClock::time_point now);

/// Time until the limits and pauses of a service's targets allow another
/// request; zero if they allow one now. @pre none. Not thread-safe.
std::chrono::nanoseconds TimeToCapacity(const Fleet& fleet,
                                        const std::string& service,
                                        RuntimeClock::time_point now);

/// Cache keys of a prompt's shared parts under a cache salt. The last part is
/// specific to the request and has no key. @pre none. Thread-safe.
std::vector<std::uint64_t> PartKeys(const platform::CallerRequest& request,
                                    const std::string& salt);

/// Cache key of one part under a cache salt. @pre none. Thread-safe.
std::uint64_t PartKey(const std::string& salt, const std::string& part_id);

/// Salt that scopes a runner's cache entries, so that parts are shared neither
/// across weights versions nor between scopes of accounts (`CacheScopeOf`).
/// @pre none. Thread-safe.
std::string CacheSalt(std::uint64_t version, const std::string& scope);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PLACEMENT_H_
