/// @file
/// Requests and replies between routers over nng.
#ifndef BERYLLANE_SRC_WIRE_PEER_LINK_H_
#define BERYLLANE_SRC_WIRE_PEER_LINK_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/error/error.h"
#include "beryllane/metrics/registry.h"
#include "src/net/runtime.h"

namespace beryllane::wire {

/// Sends a reply to a request. Called at most once, on the server's loop.
using ReplyFunction = std::function<void(std::string)>;

/// Serves requests of peers. The handler runs on one event loop.
class PeerServer {
 public:
  using Handler = std::function<void(std::string request, ReplyFunction reply)>;

  /// @pre `loop` and `metrics` outlive the server.
  PeerServer(net::asio::io_context& loop, MetricRegistry& metrics,
             Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Binds to `ip:port`. @pre called once.
  Result<Done> Listen(const std::string& address);

 private:
  void Close();

  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Sends requests to peers. Used on one event loop.
class PeerClient {
 public:
  /// @pre `loop` and `metrics` outlive the client.
  PeerClient(net::asio::io_context& loop, MetricRegistry& metrics);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends `message` to the peer at `ip:port` and waits up to `timeout` for its
  /// reply. The peer may have handled the message even if the call fails. @pre
  /// on the client's loop.
  net::asio::awaitable<Result<std::string>> Call(
      std::string address, std::string message,
      std::chrono::milliseconds timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace beryllane::wire

#endif  // BERYLLANE_SRC_WIRE_PEER_LINK_H_
