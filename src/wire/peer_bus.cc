#include "src/wire/peer_bus.h"

#include <nng/nng.h>
#include <nng/protocol/bus0/bus.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "fmt/format.h"
#include "src/net/spawn.h"

namespace beryllane::wire {
namespace {

constexpr std::size_t kMaxMessageBytes = 1024 * 1024;
constexpr nng_duration kReconnectMinMs = 200;
constexpr nng_duration kReconnectMaxMs = 2000;
constexpr int kMaxQueuedMessages = 64;

Error BusError(const std::string& address, int code) {
  return {ErrorId::kPeerUnreachable,
          fmt::format("peer {}: {}", address, nng_strerror(code)),
          Verdict::kMayHaveRun};
}

}  // namespace

struct PeerBus::Impl {
  Impl(net::asio::io_context& event_loop, MetricRegistry& metrics,
       Handler message_handler)
      : loop(event_loop),
        handler(std::move(message_handler)),
        sent(metrics.GetCounter("beryllane_bus_sent_bytes_total",
                                "Bytes given to the peer bus")),
        received(metrics.GetCounter("beryllane_bus_received_bytes_total",
                                    "Bytes received from the peer bus")),
        dropped(metrics.GetCounter("beryllane_bus_dropped_total",
                                   "Messages that the bus did not take")) {}

  // Called on nng's threads.
  static void OnReceive(void* self) {
    auto* impl = static_cast<Impl*>(self);
    const int code = nng_aio_result(impl->aio);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) return;
    if (code == 0) {
      nng_msg* message = nng_aio_get_msg(impl->aio);
      std::string body(static_cast<const char*>(nng_msg_body(message)),
                       nng_msg_len(message));
      nng_msg_free(message);
      impl->received.Add(body.size());
      net::asio::post(impl->loop, [impl, alive = std::weak_ptr(impl->alive),
                                   body = std::move(body)]() mutable {
        if (alive.expired()) return;
        net::CallGuarded("peer-message",
                         [&] { impl->handler(std::move(body)); });
      });
    }
    nng_recv_aio(impl->socket, impl->aio);
  }

  net::asio::io_context& loop;
  Handler handler;
  Counter& sent;
  Counter& received;
  Counter& dropped;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  bool is_open = false;
  std::shared_ptr<char> alive = std::make_shared<char>();
};

PeerBus::PeerBus(net::asio::io_context& loop, MetricRegistry& metrics,
                 Handler handler)
    : impl_(std::make_unique<Impl>(loop, metrics, std::move(handler))) {}

PeerBus::~PeerBus() {
  if (!impl_->is_open) return;
  nng_close(impl_->socket);
  if (impl_->aio == nullptr) return;
  nng_aio_stop(impl_->aio);
  nng_aio_free(impl_->aio);
}

Result<Done> PeerBus::Listen(const std::string& address) {
  int code = nng_bus0_open(&impl_->socket);
  if (code != 0) return BusError(address, code);
  nng_socket_set_size(impl_->socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_int(impl_->socket, NNG_OPT_SENDBUF, kMaxQueuedMessages);
  nng_socket_set_int(impl_->socket, NNG_OPT_RECVBUF, kMaxQueuedMessages);
  nng_socket_set_ms(impl_->socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(impl_->socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  nng_socket_set_bool(impl_->socket, NNG_OPT_TCP_KEEPALIVE, true);
  code = nng_listen(impl_->socket, ("tcp://" + address).c_str(), nullptr, 0);
  if (code == 0) {
    code = nng_aio_alloc(&impl_->aio, Impl::OnReceive, impl_.get());
  }
  if (code != 0) {
    nng_close(impl_->socket);
    return BusError(address, code);
  }
  impl_->is_open = true;
  nng_recv_aio(impl_->socket, impl_->aio);
  return Done{};
}

Result<Done> PeerBus::Dial(const std::string& address) {
  const int code = nng_dial(impl_->socket, ("tcp://" + address).c_str(),
                            nullptr, NNG_FLAG_NONBLOCK);
  if (code != 0) return BusError(address, code);
  return Done{};
}

void PeerBus::Send(const std::string& message) {
  nng_msg* copy = nullptr;
  int code = nng_msg_alloc(&copy, 0);
  if (code == 0) code = nng_msg_append(copy, message.data(), message.size());
  if (code == 0) code = nng_sendmsg(impl_->socket, copy, NNG_FLAG_NONBLOCK);
  if (code != 0) {
    if (copy != nullptr) nng_msg_free(copy);
    impl_->dropped.Add();
    return;
  }
  impl_->sent.Add(message.size());
}

}  // namespace beryllane::wire
