/// @file
/// A router's belief about the fleet: the configuration in force, the targets
/// and what is known of each.
#ifndef BERYLLANE_SRC_FLEET_FLEET_H_
#define BERYLLANE_SRC_FLEET_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "beryllane/clock/boot_clock.h"
#include "beryllane/clock/runtime_clock.h"
#include "beryllane/limit/retry_window.h"
#include "src/fleet/model.h"
#include "src/fleet/part_cache.h"

namespace beryllane::fleet {

/// One target and what this router knows of it.
struct Runner {
  TargetEntry entry;
  std::uint64_t id_hash = 0;
  /// Requests of this router that run there.
  int own_running = 0;
  /// Prompt tokens of this router's requests that have no answer yet.
  std::uint64_t own_pending_prefill_tokens = 0;
  /// What the target last told of its load, and when.
  int reported_running = 0;
  int own_running_at_report = 0;
  RuntimeClock::time_point reported_at;
  /// What other routers told of their own requests there, by router.
  struct PeerLoad {
    int running = 0;
    std::uint64_t pending_prefill_tokens = 0;
    RuntimeClock::time_point received_at;
  };
  std::map<std::string, PeerLoad> peer_loads;
  /// Orders that it accepted, where a report told.
  std::optional<std::uint64_t> order_count;
  /// When it last sent anything to this router.
  RuntimeClock::time_point last_received_at;
  /// Not chosen before this time, because it failed to answer.
  RuntimeClock::time_point suspect_until;
  int failures_in_row = 0;
  /// Not chosen before this time, because it takes new weights.
  RuntimeClock::time_point switching_until;
  /// Full when last asked; not chosen before this time where others are free.
  RuntimeClock::time_point full_until;
  PartCache cache;
  /// When a version was last learned otherwise than from the list.
  RuntimeClock::time_point version_raised_at;

  /// Weights version of a model; 0 where unknown. @pre none.
  std::uint64_t VersionOf(const std::string& model) const;
  /// Raises the believed version of a model and forgets what was cached under
  /// the older one. @pre none.
  void RaiseVersion(const std::string& model, std::uint64_t version);
  /// Requests that run or wait there by the best guess. @pre none.
  double EstimatedLoad(RuntimeClock::time_point now) const;
  /// Prompt tokens that wait to be read there by the best guess. @pre none.
  double PendingPrefillTokens(RuntimeClock::time_point now) const;
  /// Notes an answer's load figures. @pre none.
  void RecordReportedLoad(int running, int waiting,
                          RuntimeClock::time_point now);
  /// Notes that it cannot be reached. @pre none.
  void Suspect(RuntimeClock::time_point now);
  /// Notes that it answered. @pre none.
  void Trust() {
    failures_in_row = 0;
    suspect_until = {};
  }
};

/// Weights that the operator named.
struct DesiredWeightsState {
  std::uint64_t version = 0;
  /// When this router learned of each version.
  std::map<std::uint64_t, BootClock::time_point> known_since;

  /// Versions that were named before this router started, at an unknown time.
  std::set<std::uint64_t> initial_versions;

  /// How long a newer version than `used` has been known; zero where none is.
  /// @pre none.
  std::chrono::nanoseconds Lag(std::uint64_t used,
                               BootClock::time_point now) const {
    const auto newer = known_since.upper_bound(used);
    return newer == known_since.end() ? std::chrono::nanoseconds(0)
                                      : now - newer->second;
  }
};

/// Not thread-safe: used on the router's loop alone. Runners are shared so
/// that requests under way outlive a removal.
class Fleet {
 public:
  /// Installs a configuration; false where it is not newer. @pre none.
  bool SetConfig(FleetConfig config);
  /// The configuration in force; null before the first. It stays unchanged for
  /// as long as it is held. @pre none.
  std::shared_ptr<const FleetConfig> config() const { return config_; }

  /// Adds or changes a target. An older incarnation never replaces a newer.
  /// @pre none.
  void SetTarget(TargetEntry entry);
  /// Removes a target. @pre none.
  void RemoveTarget(const std::string& id);
  /// All targets by id. @pre none.
  const std::map<std::string, std::shared_ptr<Runner>>& targets() const {
    return targets_;
  }
  /// The target whose id has a hash; null where there is none. @pre none.
  Runner* FindByHash(std::uint64_t id_hash) const {
    const auto it = by_hash_.find(id_hash);
    return it == by_hash_.end() ? nullptr : it->second.get();
  }
  /// Targets of a service that take new requests. @pre none.
  std::vector<std::shared_ptr<Runner>> AvailableTargets(
      const std::string& service) const;

  /// Raises the weights wanted for a model; false where not newer. What is
  /// found by the first read may have been named long ago. @pre none.
  bool SetDesiredWeights(const DesiredWeights& weights, bool is_first_read);
  /// Weights wanted for a model; version 0 where none. @pre none.
  DesiredWeightsState DesiredWeightsOf(const std::string& model) const;
  const std::map<std::string, DesiredWeightsState>& desired_weights() const {
    return desired_weights_;
  }

  /// Parts that requests were seen to share, as far as they are remembered.
  /// @pre none.
  PartCache& shared_parts() { return shared_parts_; }

  /// Retry budget of a service. @pre none.
  RetryWindow& RetryBudgetOf(const std::string& service);
  /// Sets the share of the budget that each service gets. @pre none.
  void set_retry_share(RetryShare share);

 private:
  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, std::shared_ptr<Runner>> targets_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Runner>> by_hash_;
  std::map<std::string, DesiredWeightsState> desired_weights_;
  std::map<std::string, RetryWindow> budgets_;
  PartCache shared_parts_;
  RetryShare retry_share_;
};

/// The route of a host name and path: the longest prefix that begins the path;
/// null where there is none. @pre none. Thread-safe. Complexity: linear in the
/// number of routes.
const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path);

/// The service that a request takes by the route's traffic shares. One request
/// id always takes the same. @pre `route` has a share. Thread-safe.
const std::string& PickService(const Route& route, std::string_view request_id);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_FLEET_H_
