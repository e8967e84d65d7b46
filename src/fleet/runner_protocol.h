/// @file
/// Forwards requests of the platform's callers to its targets.
#ifndef BERYLLANE_SRC_FLEET_RUNNER_PROTOCOL_H_
#define BERYLLANE_SRC_FLEET_RUNNER_PROTOCOL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "beryllane/metrics/registry.h"
#include "platform/request_codec.h"
#include "src/admission/admission_lines.h"
#include "src/exchange/engine.h"
#include "src/fleet/event_relay.h"
#include "src/fleet/fleet.h"
#include "src/fleet/part_quarantine.h"
#include "src/fleet/peers.h"
#include "src/fleet/placement.h"

namespace beryllane::fleet {

/// Metrics of the request path, looked up in the registry once.
struct FleetMetrics {
  /// @pre `registry` outlives the metrics.
  explicit FleetMetrics(MetricRegistry& registry);

  Counter& requests;
  Counter& answered;
  Counter& refused;
  Counter& shed;
  Counter& failed;
  Counter& caller_gone;
  Counter& attempts;
  Counter& repeats;
  Counter& budget_spent;
  Counter& placed_elsewhere;
  Counter& pause_avoided;
  Counter& foreign_answers;
  Counter& unproven_refusals;
  Counter& unproven_promises;
  Counter& older_weights_runs;
  Counter& withdrawn;
  LatencyHistogram& older_weights_lag;
  LatencyHistogram& first_byte;
  LatencyHistogram& choice;
};

/// Urgency of a request at its runner; 0 is the most urgent. @pre none.
/// Thread-safe.
int UrgencyOf(const Route& route, const Account* account);

/// A request that was admitted and routed to a service.
struct RoutedRequest {
  /// Keeps the objects behind `route`, `service` and `account` alive.
  std::shared_ptr<const FleetConfig> config;
  const Route* route = nullptr;
  const Service* service = nullptr;
  const Account* account = nullptr;
  platform::CallerRequest request;
  std::string body;
  RuntimeClock::time_point started;
  /// Time at which the answer must be complete.
  RuntimeClock::time_point deadline;
  /// When a request that was not admitted may be sent again.
  std::optional<std::chrono::nanoseconds> retry_after;

  /// Time until the deadline; zero if it has passed. @pre none.
  std::chrono::milliseconds TimeLeft() const;
};

/// Implements the protocol between the platform's callers and its targets for
/// one request. `exchange::Protocol` documents the members of the interface.
/// Not thread-safe.
class RunnerProtocol {
 public:
  /// @pre all arguments outlive the protocol.
  RunnerProtocol(Fleet& fleet, Peers& peers, PartQuarantine& quarantine,
                 const PlacementSettings& settings, FleetMetrics& metrics,
                 const net::Request& received, RoutedRequest& routed,
                 PromptRequest& prompt);
  ~RunnerProtocol();
  RunnerProtocol(const RunnerProtocol&) = delete;
  RunnerProtocol& operator=(const RunnerProtocol&) = delete;

  Result<exchange::Target> Choose();
  std::chrono::nanoseconds SendDelay() const;
  net::Request Encode(const exchange::Target& target);
  net::CallOptions Options();
  std::chrono::nanoseconds ProgressTimeout() const;
  exchange::Classification Classify(const net::AnswerStream& answer,
                                    const exchange::Target& target);
  bool IsStream(const net::AnswerStream& answer) const;
  bool ContinuesStream(const net::AnswerStream& answer) const;
  Result<std::string> Feed(std::string bytes);
  bool IsComplete() const { return false; }
  Result<Done> OnStreamEnd() const;
  net::http::response<net::http::empty_body> StreamHead(
      const net::AnswerStream& answer, const exchange::Target& target) const;
  net::Response BufferedResponse(const net::AnswerStream& answer,
                                 std::string body,
                                 const exchange::Target& target) const;
  void OnAttemptEnd(const exchange::Target& target, const Error* error);
  bool ShouldRetry(Error& error, int attempts);

  /// The error with which `Choose` would fail now; `nullopt` if a target could
  /// take the request. @pre called before the first attempt.
  std::optional<Error> FindObstacle() const;
  /// Sets the place that the request gives up once its run starts. @pre called
  /// before the first attempt.
  void SetStartPlace(admission::StartPlace place) {
    start_place_.emplace(std::move(place));
  }
  /// Number of attempts. @pre none.
  int attempts() const { return static_cast<int>(tried_targets_.size()); }
  /// Id of the target of the last attempt; empty before the first. @pre none.
  std::string last_target() const {
    return tried_targets_.empty() ? "" : tried_targets_.back();
  }

 private:
  bool IsIdempotent() const {
    return routed_.route->repeatability == Repeatability::kIdempotent;
  }
  PlacementInput Input() const;
  // Classifies a refusal, or an answer without the seal, that may belong to an
  // earlier request.
  exchange::Classification OnUnprovenRefusal(
      const platform::TargetAnswer& answer, const exchange::Target& target);
  // Whether the connection ended before the target had answered.
  bool IsBrokenOff(const Error& error) const;
  // Whether the target's gate lets the request go there.
  bool IsAdmitted() const;
  // Whether parts may still be copied from the runner that was chosen for it.
  bool MayCopy() const;
  // The request was not sent, because it may not go to its target any more.
  void OnUnsent();
  // Removes this request from the load counted for its runner.
  void ReleaseLoad();
  // Records that the chosen runner is about to cache the parts that it lacks,
  // so that requests for the same parts are sent there and not to runners that
  // would have to run the prefill again.
  void ExpectCachedParts();
  // Reverts `ExpectCachedParts` after a failed attempt.
  void RetractExpectedParts();
  void LogChoice() const;
  // Records the time that a target that reports its pace took for the prompt.
  // Called when its success begins, before the uncached tokens are reset.
  void RecordFirstEvent(RuntimeClock::time_point now);
  // Records the time since the last events of a target that reports its pace.
  void RecordEvents(std::string_view bytes, RuntimeClock::time_point now);
  // Records what a refusal as not run says about the target.
  void ApplyRefusal(const platform::TargetAnswer& answer);
  // Records a run on weights older than the desired ones.
  void RecordOlderRun(const platform::TargetAnswer& answer) const;
  // Time until the run must have begun on the weights that were expected, or
  // until this is to be asked again.
  std::chrono::nanoseconds TimeToStart() const;
  // Whether the request may go to its target and the run can begin in time.
  // Called right before sending.
  bool MaySend() const;
  // The further time to wait for the answer; zero if the request is to be
  // withdrawn.
  std::chrono::nanoseconds ExtendWait();
  // The run began with a success.
  void OnBegan();
  // Gives up the place of a request whose run has started.
  void ReleaseStartPlace(RuntimeClock::time_point now);
  // The request no longer waits for its run to begin.
  void EndWait();
  void LogWithdrawal() const;
  void LogWeightsRefusal(const platform::TargetAnswer& answer) const;
  // Applies the limit that the target named, or that it named none.
  void RecordLimit(std::optional<double> requests_per_second);
  void LogFailedAttempt(const exchange::Target& target,
                        const Error& error) const;

  Fleet& fleet_;
  Peers& peers_;
  PartQuarantine& quarantine_;
  const PlacementSettings& placement_settings_;
  FleetMetrics& metrics_;
  const net::Request& caller_request_;
  RoutedRequest& routed_;
  PromptRequest& prompt_;
  // Whether the request is at least as much work as the mean of its service.
  bool is_large_ = true;
  std::vector<std::string> tried_targets_;
  PlacementDecision choice_;
  bool is_load_counted_ = false;
  // Whether the request was sent and its run is not known to have begun.
  bool is_waiting_ = false;
  // Whether the attempt ended because its run had not begun in time.
  bool is_withdrawn_ = false;
  // Requests at the target when this one was sent.
  double load_at_send_ = 0;
  // Whether the success of the current attempt reported the target's pace.
  bool is_pace_reported_ = false;
  // When events of the current attempt last arrived.
  std::optional<RuntimeClock::time_point> last_event_at_;
  // Keys of the parts that the chosen runner is expected to cache.
  std::vector<std::uint64_t> expected_parts_;
  // Number of attempts that may have reached a target; those after the first
  // count against the retry budget.
  int delivered_ = 0;
  // Number of attempts that ended before the request was sent, because it may
  // not go to the target any more.
  int unsent_ = 0;
  // Number of targets at which the request may have run.
  int possible_runs_ = 0;
  // Whether a target refused the request without a proof; what refuses it next
  // must prove it.
  bool has_unproven_refusal_ = false;
  // Whether the target answered the current attempt with a failure.
  bool has_failure_answer_ = false;
  // Keeps events whole; on routes whose streams may be resumed also between
  // targets.
  std::optional<EventRelay> relay_;
  // None where requests are admitted without a line.
  std::optional<admission::StartPlace> start_place_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_RUNNER_PROTOCOL_H_
