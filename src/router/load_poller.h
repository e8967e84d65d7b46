/// @file
/// Polls the load of the runners that are assigned to this router.
#ifndef BERYLLANE_SRC_ROUTER_LOAD_POLLER_H_
#define BERYLLANE_SRC_ROUTER_LOAD_POLLER_H_

#include <string>

#include "beryllane/metrics/registry.h"
#include "src/net/http_client.h"
#include "src/router/directory.h"

namespace beryllane::router {

/// Polls runners for their load. Each runner is polled by one router, chosen by
/// rendezvous hashing; the others receive its load from peers and with the
/// runner's responses. Used on the control loop.
class LoadPoller {
 public:
  static constexpr std::chrono::milliseconds kInterval{1000};

  /// @pre all references outlive the poller.
  LoadPoller(net::HttpClient& client, const Settings& settings,
             const Directory& directory, MetricRegistry& metrics);

  /// Polls periodically; never returns. @pre spawned once.
  net::asio::awaitable<void> Run();

 private:
  bool IsAssignedHere(const std::string& runner) const;
  net::asio::awaitable<void> PollAll();
  net::asio::awaitable<void> Poll(Target target);

  net::HttpClient& client_;
  std::string host_id_;
  const Directory& directory_;
  Counter& polls_;
  Counter& failures_;
};

/// How long a target is avoided after a failure to reach it.
inline constexpr std::chrono::milliseconds kTargetBackoff{3000};

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_LOAD_POLLER_H_
