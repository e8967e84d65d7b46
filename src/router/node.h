/// @file
/// One router process: its event loops, control tasks, startup and shutdown.
#ifndef BERYLLANE_SRC_ROUTER_NODE_H_
#define BERYLLANE_SRC_ROUTER_NODE_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/limit/rate_limiter.h"
#include "beryllane/metrics/registry.h"
#include "beryllane/placement/rate_table.h"
#include "beryllane/placement/reuse_table.h"
#include "src/net/http_client.h"
#include "src/net/runtime.h"
#include "src/router/claim_gateway.h"
#include "src/router/config_follower.h"
#include "src/router/directory.h"
#include "src/router/load_poller.h"
#include "src/router/settings.h"
#include "src/router/state_gossip.h"
#include "src/telemetry/trace.h"
#include "src/wire/peer_link.h"

namespace beryllane::router {

/// State owned by one request loop.
struct RequestLoopState {
  RequestLoopState(net::asio::io_context& context,
                   const SnapshotCell<RoutingState>& cell)
      : client(context), routing(cell) {}

  net::HttpClient client;
  SnapshotReader<RoutingState> routing;
};

/// Whether a router can serve requests, and the reason if it cannot.
struct Readiness {
  bool is_ready = false;
  std::string reason;
};

/// Owns a router's state. Only the control loop modifies it; request loops read
/// snapshots and atomics.
class Node {
 public:
  /// @pre `settings` come from `ParseSettings` without faults.
  explicit Node(Settings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts the control loop and listens for peers. @pre called once.
  Result<Done> Start();
  /// Makes the router report that it is not ready. @pre none. Thread-safe.
  void SetStopping() { is_stopping_.store(true); }
  /// Refuses new requests, leaves the claim partitions to other routers, and
  /// waits up to `drain_limit` until pending claims are logged. @pre on the
  /// control loop.
  net::asio::awaitable<void> Drain();
  /// Stops the control loop. @pre none.
  void Stop();

  const Settings& settings() const { return settings_; }
  MetricRegistry& metrics() { return metrics_; }
  telemetry::Tracer& tracer() { return tracer_; }
  placement::ReuseTable& reuse() { return reuse_; }
  placement::RateTable& rates() { return rates_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  /// The event loop that runs all control tasks. @pre none. Thread-safe.
  net::asio::io_context& control_loop() { return control_loops_.at(0); }
  /// The event loops that serve requests. @pre none. Thread-safe.
  net::ContextPool& request_loops() { return request_loops_; }
  /// The state of one request loop. @pre on that loop.
  RequestLoopState& request_loop(std::size_t index) {
    return *request_loop_states_[index];
  }
  /// Gateway for claims and outcomes. @pre used on the control loop.
  ClaimGateway& claims() { return claims_; }
  const ConfigFollower& config() const { return config_; }
  const Directory& directory() const { return directory_; }
  bool is_draining() const { return is_draining_.load(); }

  /// Whether requests can be served. @pre none. Thread-safe.
  Readiness CheckReadiness() const;
  /// The state that the `/status` endpoint shows. @pre on the control loop.
  nlohmann::json StatusJson() const;

 private:
  net::asio::awaitable<void> PollHosts();
  net::asio::awaitable<void> RunMaintenance();
  void HandlePeerRequest(const std::string& message, wire::ReplyFunction reply);
  std::size_t CheckpointRank() const;
  void SetHostListUp(bool is_up, const std::string& message);

  Settings settings_;
  MetricRegistry metrics_;
  net::ContextPool control_loops_{1};
  net::ContextPool request_loops_;
  telemetry::Tracer tracer_;
  placement::ReuseTable reuse_;
  placement::RateTable rates_;
  RetryBudget retry_budget_;
  Directory directory_;
  net::HttpClient client_;
  platform::HttpLogStream config_stream_;
  ConfigFollower config_;
  wire::PeerClient peer_client_;
  wire::PeerServer peer_server_;
  ClaimGateway claims_;
  StateGossip gossip_;
  LoadPoller load_poller_;
  std::vector<std::unique_ptr<RequestLoopState>> request_loop_states_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_isolated_{false};
  bool is_host_list_up_ = true;
};

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_NODE_H_
