/// @file
/// The router's HTTP servers for callers and operators, and their paths.
#ifndef BERYLLANE_SRC_CALLER_FRONTEND_H_
#define BERYLLANE_SRC_CALLER_FRONTEND_H_

#include <functional>
#include <nlohmann/json.hpp>

#include "src/caller/completion_handler.h"
#include "src/caller/request_metrics.h"
#include "src/caller/service_handler.h"
#include "src/net/http_server.h"
#include "src/router/node.h"

namespace beryllane::caller {

/// Serves callers on one address and operators on another.
class Frontend {
 public:
  /// @pre `node` outlives the frontend.
  explicit Frontend(router::Node& node);

  /// Starts to listen on both addresses. @pre called once.
  Result<Done> Start();
  /// Shuts down gracefully: fails readiness at once, stops accepting
  /// connections after the grace period, then waits for running requests up to
  /// the drain limit. Returns the number of requests still running then.
  /// @pre on the control loop.
  net::asio::awaitable<std::int64_t> Drain();
  /// Sets the function that `POST /drain` calls. @pre before `Start`.
  void OnDrainRequest(std::function<void()> handler) {
    on_drain_request_ = std::move(handler);
  }

 private:
  net::asio::awaitable<void> HandleCaller(net::Exchange& exchange);
  net::asio::awaitable<void> HandleAdmin(net::Exchange& exchange);
  net::asio::awaitable<void> HandleHealth(net::Exchange& exchange,
                                          bool is_readiness_check);
  net::asio::awaitable<void> HandleExplain(net::Exchange& exchange);
  net::asio::awaitable<nlohmann::json> StatusOnControl();

  router::Node& node_;
  RequestMetrics metrics_;
  CompletionHandler completions_;
  ServiceHandler services_;
  net::HttpServer server_;
  net::HttpServer admin_;
  std::function<void()> on_drain_request_;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_FRONTEND_H_
