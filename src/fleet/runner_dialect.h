/// @file
/// Requests of the platform's callers to its targets.
#ifndef BERYLLANE_SRC_FLEET_RUNNER_DIALECT_H_
#define BERYLLANE_SRC_FLEET_RUNNER_DIALECT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/metrics/registry.h"
#include "platform/request_codec.h"
#include "src/exchange/engine.h"
#include "src/fleet/event_relay.h"
#include "src/fleet/fleet.h"
#include "src/fleet/peers.h"
#include "src/fleet/placement.h"

namespace beryllane::fleet {

/// Counters of the request path, looked up once.
struct FleetMetrics {
  /// @pre `registry` outlives the metrics.
  explicit FleetMetrics(MetricRegistry& registry);

  Counter& requests;
  Counter& answered;
  Counter& refused;
  Counter& failed;
  Counter& caller_gone;
  Counter& attempts;
  Counter& repeats;
  Counter& budget_spent;
  Counter& foreign_answers;
  LatencyHistogram& first_byte;
};

/// What was established about a request before it is placed.
struct RoutedRequest {
  /// Holds the route, service and account alive.
  std::shared_ptr<const FleetConfig> config;
  const Route* route = nullptr;
  const Service* service = nullptr;
  const Account* account = nullptr;
  platform::CallerRequest request;
  std::string body;
  RuntimeClock::time_point started;
  /// When the final answer is due.
  RuntimeClock::time_point deadline;

  /// Time left; never negative. @pre none.
  std::chrono::milliseconds TimeLeft() const;
};

/// One request's dialect; see `exchange::Dialect`. Not thread-safe.
class RunnerDialect {
 public:
  /// @pre all arguments outlive the dialect.
  RunnerDialect(Fleet& fleet, Peers& peers,
                const RouterLocation& router_location, FleetMetrics& metrics,
                const net::Request& received, RoutedRequest& routed);
  ~RunnerDialect();
  RunnerDialect(const RunnerDialect&) = delete;
  RunnerDialect& operator=(const RunnerDialect&) = delete;

  Result<exchange::Target> Choose();
  std::chrono::nanoseconds SendDelay() const;
  net::Request Encode(const exchange::Target& target);
  net::CallOptions Options() const;
  std::chrono::nanoseconds ProgressTimeout() const;
  exchange::Judgement Judge(const net::AnswerStream& answer,
                            const exchange::Target& target);
  bool IsStream(const net::AnswerStream& answer) const;
  Result<std::string> Feed(std::string bytes);
  bool IsComplete() const { return false; }
  Result<Done> OnStreamEnd() const;
  net::http::response<net::http::empty_body> StreamHead(
      const net::AnswerStream& answer, const exchange::Target& target) const;
  net::Response WholeAnswer(const net::AnswerStream& answer, std::string body,
                            const exchange::Target& target) const;
  void OnAttemptEnd(const exchange::Target& target, const Error* error);
  bool MayTryAgain(Error& error, int attempts);

  /// Attempts made. @pre none.
  int attempts() const { return static_cast<int>(tried_targets_.size()); }
  /// Id of the target tried last; empty before the first. @pre none.
  std::string last_target() const {
    return tried_targets_.empty() ? "" : tried_targets_.back();
  }

 private:
  bool IsIdempotent() const {
    return routed_.route->repeatability == Repeatability::kIdempotent;
  }
  void ReleaseLoad();
  // Notes that the chosen runner is about to read the parts that it lacks, so
  // that requests for the same parts join it, and others do not read them.
  void ExpectCachedParts();
  // Forgets what `ExpectCachedParts` noted, because the attempt did not run.
  void RetractExpectedParts();
  void LogChoice() const;

  Fleet& fleet_;
  Peers& peers_;
  const RouterLocation& router_location_;
  FleetMetrics& metrics_;
  const net::Request& received_;
  RoutedRequest& routed_;
  std::vector<std::string> tried_targets_;
  PlacementDecision choice_;
  bool is_load_counted_ = false;
  // Parts that the chosen runner was not known to hold.
  std::vector<std::uint64_t> expected_parts_;
  // Arrivals at targets so far; those after the first draw on the budget.
  int delivered_ = 0;
  // Targets at which the request may have run.
  int possible_runs_ = 0;
  std::optional<EventRelay> relay_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_RUNNER_DIALECT_H_
