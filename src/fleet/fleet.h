/// @file
/// A router's view of the fleet: the configuration in force, the targets and
/// the state of each.
#ifndef BERYLLANE_SRC_FLEET_FLEET_H_
#define BERYLLANE_SRC_FLEET_FLEET_H_

#include <functional>
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
#include "beryllane/limit/expiring_sum.h"
#include "beryllane/limit/peer_activity.h"
#include "beryllane/limit/retry_window.h"
#include "beryllane/limit/shared_limit.h"
#include "beryllane/placement/pace.h"
#include "platform/request_codec.h"
#include "src/fleet/desired_weights.h"
#include "src/fleet/model.h"
#include "src/fleet/part_cache.h"
#include "src/fleet/refusal_naming.h"
#include "src/fleet/start_wait.h"
#include "src/fleet/target_gate.h"
#include "src/fleet/zone_balance.h"
#include "src/net/http_client.h"

namespace beryllane::fleet {

/// One target, a model runner or an instance of a plain service, and this
/// router's view of it.
struct Runner {
  TargetEntry entry;
  std::uint64_t id_hash = 0;
  /// Requests of this router that run at the target.
  int own_running = 0;
  /// Uncached prompt tokens of this router's requests that have no answer yet.
  std::uint64_t own_pending_prefill_tokens = 0;
  /// Load that the target last reported, and when.
  int reported_running = 0;
  int own_running_at_report = 0;
  RuntimeClock::time_point reported_at;
  /// A load reported by a peer is valid until the peer's next report, but no
  /// longer than this.
  static constexpr std::chrono::milliseconds kPeerLoadLifetime{3000};
  static constexpr std::chrono::milliseconds kPeerPrefillLifetime{1000};
  /// What the other routers reported for their own requests at the target: the
  /// requests that run, and the prompt tokens that wait for prefill.
  ExpiringSum<std::int64_t> peer_running{kPeerLoadLifetime};
  ExpiringSum<std::int64_t> peer_prefill_tokens{kPeerPrefillLifetime};
  /// Number of orders that the target has accepted, if a report stated it.
  std::optional<std::uint64_t> order_count;
  /// When this router last received anything from the target.
  RuntimeClock::time_point last_received_at;
  /// The target failed to answer. Until this time it is chosen only if no other
  /// target can be.
  RuntimeClock::time_point suspect_until;
  int failures_in_row = 0;
  /// The target is loading new weights and is not chosen before this time.
  RuntimeClock::time_point switching_until;
  /// The target refused a request because it was full. Until this time it has
  /// an additional cost.
  RuntimeClock::time_point full_until;
  RefusalNaming refusal_naming;
  /// Limit on the requests of all routers that the target named.
  SharedLimit limit;
  PartCache cache;
  StartWait start_wait;
  /// A target that reported its pace this recently is placed by its estimate.
  static constexpr std::chrono::seconds kPaceReportLifetime{120};
  /// Estimate of the target's pace; in effect only while it reports its pace.
  placement::TargetPace pace;
  /// When the target last reported its pace.
  std::optional<RuntimeClock::time_point> pace_reported_at;
  /// Weights that the target or a peer reported and that the list of targets
  /// does not show yet, by model.
  struct ReportedWeights {
    std::uint64_t version = 0;
    RuntimeClock::time_point received_at;
  };
  std::map<std::string, ReportedWeights> reported_weights;
  /// Asked before anything is sent. Shared by all objects for one incarnation.
  std::shared_ptr<TargetGate> gate = std::make_shared<TargetGate>();

  /// Weights version of a model, as listed or reported; 0 if unknown. @pre
  /// none.
  std::uint64_t VersionOf(const std::string& model) const;
  /// Records a reported weights version of a model and clears the cache, whose
  /// entries belong to the older version. A version that is not newer changes
  /// nothing. @pre none.
  void RaiseVersion(const std::string& model, std::uint64_t version);
  /// The target refused a request that expected `version`. Returns whether that
  /// version was known from a report alone, which is then dropped. @pre none.
  bool RefuteVersion(const std::string& model, std::uint64_t version);
  /// Drops the reports that the list, which has just been read, must show by
  /// now: they stem from an earlier incarnation. @pre none.
  void DropOldReports(RuntimeClock::time_point now);
  /// Estimated number of requests that run or are queued at the target. @pre
  /// none.
  double EstimatedLoad(RuntimeClock::time_point now);
  /// Estimated number of prompt tokens that wait for prefill at the target.
  /// @pre none.
  double PendingPrefillTokens(RuntimeClock::time_point now);
  /// Estimated number of requests of other routers at the target, from its last
  /// report, which loses weight with age. @pre none.
  double OthersReported(RuntimeClock::time_point now) const;
  /// Records the load reported with an answer. If one of the figures is
  /// missing, the other is a lower bound of the load, which only raises the
  /// estimate. @pre figures are not negative.
  void RecordLoad(std::optional<int> running, std::optional<int> waiting,
                  RuntimeClock::time_point now);
  /// Records the momentary pace reported with an answer. @pre none.
  void RecordPace(int percent, RuntimeClock::time_point now);
  /// Whether the target reported its pace lately, so that its estimate is in
  /// effect. @pre none.
  bool HasPace(RuntimeClock::time_point now) const {
    return pace_reported_at && now - *pace_reported_at < kPaceReportLifetime;
  }
  /// Prompt tokens per ms that the target processes now; the figure common to
  /// all targets unless `HasPace`. @pre none.
  double PrefillTokensPerMs(RuntimeClock::time_point now) const;
  /// Time of a decode step relative to the usual one; 1 unless `HasPace`. @pre
  /// none.
  double StepTimeFactor(RuntimeClock::time_point now) const;
  /// Marks the target as suspect because it did not answer. Each further
  /// failure in a row extends the time. @pre none.
  void Suspect(RuntimeClock::time_point now);
  /// Clears the suspicion because the target answered. @pre none.
  void ClearSuspicion() {
    failures_in_row = 0;
    suspect_until = {};
  }
};

/// Configuration, targets and desired weights as this router knows them. Not
/// thread-safe: used only on the router's loop. Runners are shared so that a
/// request in progress keeps its target alive after the target's removal.
class Fleet {
 public:
  /// Installs a configuration; returns false if it is not newer. @pre none.
  bool SetConfig(FleetConfig config);
  /// The configuration in force; null before the first. The object is
  /// immutable. @pre none.
  std::shared_ptr<const FleetConfig> config() const { return config_; }

  /// Adds or updates a target. An entry of an older incarnation, or one with a
  /// lower sequence number, is ignored, also after the target's removal. @pre
  /// none.
  void SetTarget(TargetEntry entry);
  /// The list of targets was read, and all its entries were set. @pre none.
  void OnListRead();
  /// Removes a target. @pre none.
  void RemoveTarget(const std::string& id);
  /// All targets, keyed by id. @pre none.
  const std::map<std::string, std::shared_ptr<Runner>>& targets() const {
    return targets_;
  }
  /// The target whose id has the given hash; null if there is none. @pre none.
  Runner* FindByHash(std::uint64_t id_hash) const {
    const auto it = by_hash_.find(id_hash);
    return it == by_hash_.end() ? nullptr : it->second.get();
  }
  /// Targets of a service that accept new requests, which excludes leaving
  /// ones. @pre none.
  std::vector<std::shared_ptr<Runner>> AvailableTargets(
      const std::string& service) const;
  /// Leaving targets of a service to which a request that was received at
  /// `started` may be sent if no other target can take it. @pre none.
  std::vector<std::shared_ptr<Runner>> LastResorts(
      const std::string& service, RuntimeClock::time_point started) const;
  /// Lets a call to a target report what its answers say about the target, and
  /// close its connection once the target leaves. Each call to a target needs
  /// it. @pre `runner` outlives the call.
  void WatchAnswers(Runner& runner, net::CallOptions& options);
  /// Called when an answer first announces that a target leaves.
  using LeavingHandler =
      std::function<void(Runner& runner, const platform::TargetNotice& notice)>;
  void set_on_leaving(LeavingHandler handler) {
    on_leaving_ = std::move(handler);
  }
  /// Time for which leaving targets may be sent requests; applies to targets
  /// that are added later. @pre none.
  void set_drain_timeout(std::chrono::milliseconds timeout) {
    drain_timeout_ = timeout;
  }

  /// Adds the work of a request to the mean of its service; returns whether it
  /// is at least the mean. @pre `work` >= 0, in any unit.
  bool AddWork(const std::string& service, double work);

  /// The other routers that send requests to the targets. @pre none.
  PeerActivity& peer_activity() { return peer_activity_; }
  const PeerActivity& peer_activity() const { return peer_activity_; }

  /// Whether a target of the service has reported its momentary pace. @pre
  /// none.
  bool reports_pace(const std::string& service) const {
    return pace_services_.contains(service);
  }
  /// A target of the service reported its momentary pace. @pre none.
  void set_reports_pace(const std::string& service) {
    pace_services_.insert(service);
  }
  /// The shares of requests that leave this router's zone. Placement, which
  /// does not change the fleet otherwise, updates them. @pre none.
  ZoneBalance& zone_balance() const { return zone_balance_; }

  /// Sets the desired weights of a model, read now; returns false if the
  /// version is not newer. `complete_until` as in `DesiredWeightsState::Add`.
  /// @pre none.
  bool SetDesiredWeights(const DesiredWeights& weights,
                         std::optional<BootClock::time_point> complete_until);
  /// Desired weights of a model; version 0 if there are none. @pre none.
  DesiredWeightsState DesiredWeightsOf(const std::string& model) const;
  const std::map<std::string, DesiredWeightsState>& desired_weights() const {
    return desired_weights_;
  }

  /// The most recently used prompt parts that requests can share, over all
  /// targets; each counts as one token. @pre none.
  PartCache& shared_parts() { return shared_parts_; }

  /// Retry budget of a service, created on first use. @pre none.
  RetryWindow& BudgetOf(const std::string& service);
  /// Sets the retry window of each service to this router's share of the
  /// fleet's retry budget. @pre none.
  void set_retry_options(RetryWindowOptions options);

  /// Pauses that targets asked for.
  struct PauseCounts {
    std::uint64_t pauses = 0;
    std::uint64_t invalid = 0;
  };
  PauseCounts& pause_counts() { return pause_counts_; }

 private:
  // The gate of one incarnation of a target.
  struct KnownGate {
    std::int64_t start_time = 0;
    std::shared_ptr<TargetGate> gate;
    // Highest sequence number of an entry.
    std::uint64_t sequence = 0;
  };

  // The gate of the entry's incarnation, which outlives its place on the list.
  std::shared_ptr<TargetGate> GateOf(const TargetEntry& entry);
  // Whether a newer entry of the same target was seen.
  bool IsOutdated(const TargetEntry& entry) const;
  // Credits an answer to the call of `asked` to the target that gave it.
  void Observe(Runner& asked, const platform::TargetNotice& notice);
  // The target that gave an answer; null if it is not on the list.
  Runner* GiverOf(Runner& asked, const platform::TargetNotice& notice) const;

  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, std::shared_ptr<Runner>> targets_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Runner>> by_hash_;
  std::map<std::string, DesiredWeightsState> desired_weights_;
  // By target id; the latest incarnation of each.
  std::map<std::string, KnownGate> gates_;
  std::chrono::milliseconds drain_timeout_{2500};
  LeavingHandler on_leaving_;
  std::map<std::string, RetryWindow> budgets_;
  PartCache shared_parts_;
  PeerActivity peer_activity_;
  std::map<std::string, double> mean_work_;
  RetryWindowOptions retry_options_;
  PauseCounts pause_counts_;
  std::set<std::string> pace_services_;
  mutable ZoneBalance zone_balance_;
};

/// Returns the route with the host name and the longest prefix of the path;
/// null if there is none. @pre none. Thread-safe. Complexity: linear in the
/// number of routes.
const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path);

/// Picks a service by the route's traffic shares. The choice is a function of
/// the request id, so a repeated request gets the same service. @pre `route`
/// has a share. Thread-safe.
const std::string& PickService(const Route& route, std::string_view request_id);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_FLEET_H_
