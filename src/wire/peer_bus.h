/// @file
/// One-way messages between routers over nng, without delivery guarantees.
#ifndef BERYLLANE_SRC_WIRE_PEER_BUS_H_
#define BERYLLANE_SRC_WIRE_PEER_BUS_H_

#include <functional>
#include <memory>
#include <string>

#include "beryllane/error/error.h"
#include "beryllane/metrics/registry.h"
#include "src/net/runtime.h"

namespace beryllane::wire {

/// Sends each message to all connected peers. Messages to slow or disconnected
/// peers may be lost, so correctness must not depend on their delivery.
class PeerBus {
 public:
  using Handler = std::function<void(std::string message)>;

  /// `handler` runs on `loop` for each message received. @pre `loop` and
  /// `metrics` outlive the bus.
  PeerBus(net::asio::io_context& loop, MetricRegistry& metrics,
          Handler handler);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  /// Binds to `ip:port`. @pre called once.
  Result<Done> Listen(const std::string& address);
  /// Connects to the peer at `ip:port` in the background and reconnects when
  /// the connection is lost. @pre `Listen` succeeded; once for each address.
  Result<Done> Dial(const std::string& address);
  /// Sends to all connected peers without blocking; counts the message as
  /// dropped if nng does not accept it. @pre `Listen` succeeded.
  void Send(const std::string& message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beryllane::wire

#endif  // BERYLLANE_SRC_WIRE_PEER_BUS_H_
