/// @file
/// One router process on the platform: its event loop, servers and lifecycle.
#ifndef BERYLLANE_SRC_FLEET_FLEET_NODE_H_
#define BERYLLANE_SRC_FLEET_FLEET_NODE_H_

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <string>

#include "platform/settings.h"
#include "platform/store_client.h"
#include "src/admission/admission_lines.h"
#include "src/allowance/account_allowances.h"
#include "src/fleet/cache_follower.h"
#include "src/fleet/fleet.h"
#include "src/fleet/fleet_frontend.h"
#include "src/fleet/peers.h"
#include "src/fleet/store_follower.h"
#include "src/fleet/weights_rollout.h"
#include "src/net/http_server.h"
#include "src/net/loop_lag.h"

namespace beryllane::fleet {

/// Owns all components of the router. Everything runs on one loop, because the
/// hosts have one core.
class FleetNode {
 public:
  /// `metrics_port` 0 disables the metrics server. @pre `settings` were parsed
  /// from `settings_path`.
  FleetNode(platform::Settings settings, std::string settings_path,
            std::uint16_t metrics_port);
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /// Opens the ports and serves until a graceful shutdown completes. Returns an
  /// error if a port cannot be opened. @pre called once.
  Result<Done> Run();

 private:
  // Opens the ports and starts the loops.
  net::asio::awaitable<void> Start();
  // Opens the ports; waits for a time for those that cannot be opened yet.
  net::asio::awaitable<Result<Done>> Listen();
  net::asio::awaitable<void> AnswerReady(net::Exchange& exchange);
  net::asio::awaitable<void> AnswerMetrics(net::Exchange& exchange);
  net::asio::awaitable<void> WatchReadiness();
  net::asio::awaitable<void> AwaitStop();
  net::asio::awaitable<void> AwaitReload();
  net::asio::awaitable<void> Drain();
  void ApplyLimits();
  void UpdateRetryOptions();
  void RegisterGauges();
  void RegisterExchangeGauges();
  // An answer first announced that a target leaves.
  void OnLeaving(Runner& runner, const platform::TargetNotice& notice);
  void RegisterPauseGauges();
  void RegisterPaceGauges();

  platform::Settings settings_;
  std::string settings_path_;
  std::uint16_t metrics_port_;
  MetricRegistry metrics_;
  Counter& leaving_targets_ =
      metrics_.GetCounter("beryllane_fleet_leaving_targets_total",
                          "Targets that announced their leaving in an answer");
  net::LoopLag loop_lag_{metrics_.GetHistogram(
      "beryllane_loop_lag_seconds", "How late a timer of the loop ran")};
  net::ContextPool pool_{1};
  net::asio::signal_set stop_signals_{pool_.at(0), SIGINT, SIGTERM};
  net::asio::signal_set reload_signals_{pool_.at(0), SIGHUP};
  Result<Done> start_result_ = Done{};
  bool is_started_ = false;
  net::HttpClient client_;
  // Separate from `client_`, so that long polls of the store do not wait for
  // connections of requests.
  net::HttpClient store_http_client_;
  platform::StoreClient store_;
  Fleet fleet_;
  wire::PeerClient relay_client_;
  StoreFollower follower_;
  wire::PeerServer relay_server_;
  Peers peers_;
  allowance::AccountAllowances allowances_;
  admission::AdmissionLines admission_lines_{pool_.at(0), metrics_};
  PartQuarantine quarantine_;
  CacheFollower cache_follower_;
  WeightsRollout rollout_;
  FleetFrontend frontend_;
  net::HttpServer caller_server_;
  net::HttpServer readiness_server_;
  net::HttpServer metrics_server_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_FLEET_NODE_H_
