#include "src/wire/peer_link.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <cstring>
#include <utility>

#include "fmt/format.h"
#include "src/net/spawn.h"

namespace beryllane::wire {
namespace {

// Maximum number of requests that a peer server handles concurrently.
constexpr int kMaxConcurrentRequests = 64;
constexpr std::size_t kMaxMessageBytes = 64 * 1024 * 1024;

Error PeerError(const std::string& address, int code) {
  return {ErrorId::kPeerUnreachable,
          fmt::format("peer {}: {}", address, nng_strerror(code)),
          Verdict::kMayHaveRun};
}

std::string ConsumeBody(nng_msg* message) {
  std::string body(static_cast<const char*>(nng_msg_body(message)),
                   nng_msg_len(message));
  nng_msg_free(message);
  return body;
}

nng_msg* MakeMessage(const std::string& body) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) return nullptr;
  nng_msg_append(message, body.data(), body.size());
  return message;
}

struct ByteCounters {
  explicit ByteCounters(MetricRegistry& metrics)
      : sent(metrics.GetCounter("beryllane_peer_sent_bytes_total",
                                "Bytes of messages sent to peers")),
        received(metrics.GetCounter("beryllane_peer_received_bytes_total",
                                    "Bytes of messages received from peers")) {}

  Counter& sent;
  Counter& received;
};

}  // namespace

// One nng context that handles one request at a time: it receives the request,
// passes it to the handler on the event loop, and sends the handler's reply.
struct ReplySlot {
  enum class Phase { kReceiving, kHandling, kSending };

  nng_ctx context{};
  nng_aio* aio = nullptr;
  Phase phase = Phase::kReceiving;
  std::function<void(ReplySlot*)> on_done;

  static void OnAio(void* self) {
    auto* slot = static_cast<ReplySlot*>(self);
    slot->on_done(slot);
  }
  void Receive() {
    phase = Phase::kReceiving;
    nng_ctx_recv(context, aio);
  }
  void Send(const std::string& body) {
    nng_msg* message = MakeMessage(body);
    if (message == nullptr) {
      Receive();
      return;
    }
    phase = Phase::kSending;
    nng_aio_set_msg(aio, message);
    nng_ctx_send(context, aio);
  }
};

struct PeerServer::Impl {
  Impl(net::asio::io_context& event_loop, MetricRegistry& metrics,
       Handler request_handler)
      : loop(event_loop), bytes(metrics), handler(std::move(request_handler)) {}

  // Called on nng's threads.
  void OnDone(ReplySlot* slot) {
    const int code = nng_aio_result(slot->aio);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) return;
    if (slot->phase == ReplySlot::Phase::kSending) {
      if (code != 0) nng_msg_free(nng_aio_get_msg(slot->aio));
      slot->Receive();
      return;
    }
    if (code != 0) {
      slot->Receive();
      return;
    }
    std::string request = ConsumeBody(nng_aio_get_msg(slot->aio));
    bytes.received.Add(request.size());
    slot->phase = ReplySlot::Phase::kHandling;
    const std::weak_ptr<char> still_alive = alive;
    net::asio::post(loop, [this, slot, still_alive,
                           request = std::move(request)]() mutable {
      if (still_alive.expired()) return;
      // The slot may have its next request once the reply was sent.
      const auto is_replied = std::make_shared<bool>(false);
      const ReplyFunction reply = [this, slot, still_alive,
                                   is_replied](const std::string& message) {
        if (still_alive.expired() || std::exchange(*is_replied, true)) return;
        bytes.sent.Add(message.size());
        slot->Send(message);
      };
      const bool is_handled = net::CallGuarded(
          "peer-request", [&] { handler(std::move(request), reply); });
      // A slot without a reply would take no further request.
      if (!is_handled) reply("");
    });
  }

  net::asio::io_context& loop;
  ByteCounters bytes;
  Handler handler;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool is_open = false;
  std::vector<std::unique_ptr<ReplySlot>> slots;
  std::shared_ptr<char> alive = std::make_shared<char>();
};

PeerServer::PeerServer(net::asio::io_context& loop, MetricRegistry& metrics,
                       Handler handler)
    : impl_(std::make_unique<Impl>(loop, metrics, std::move(handler))) {}

PeerServer::~PeerServer() { Close(); }

void PeerServer::Close() {
  if (!impl_->is_open) return;
  nng_close(impl_->socket);
  for (auto& slot : impl_->slots) {
    nng_aio_stop(slot->aio);
    nng_aio_free(slot->aio);
  }
  impl_->slots.clear();
  impl_->is_open = false;
}

Result<Done> PeerServer::Listen(const std::string& address) {
  int code = nng_rep0_open(&impl_->socket);
  if (code != 0) return PeerError(address, code);
  nng_socket_set_size(impl_->socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  code = nng_listen(impl_->socket, ("tcp://" + address).c_str(), nullptr, 0);
  if (code != 0) {
    nng_close(impl_->socket);
    return PeerError(address, code);
  }
  impl_->is_open = true;
  for (int i = 0; i < kMaxConcurrentRequests; ++i) {
    auto slot = std::make_unique<ReplySlot>();
    slot->on_done = [impl = impl_.get()](ReplySlot* s) { impl->OnDone(s); };
    code = nng_aio_alloc(&slot->aio, ReplySlot::OnAio, slot.get());
    if (code == 0) code = nng_ctx_open(&slot->context, impl_->socket);
    if (code != 0) {
      nng_aio_free(slot->aio);
      Close();
      return PeerError(address, code);
    }
    impl_->slots.push_back(std::move(slot));
    impl_->slots.back()->Receive();
  }
  return Done{};
}

// One call that waits for its reply.
struct PendingCall {
  nng_ctx context{};
  nng_aio* aio = nullptr;
  bool is_sent = false;
  std::string address;
  std::function<void(Result<std::string>)> done;
  net::asio::io_context* loop = nullptr;

  static void OnAio(void* self) {
    auto* call = static_cast<PendingCall*>(self);
    call->Advance();
  }
  // Called on nng's threads.
  void Advance() {
    const int code = nng_aio_result(aio);
    if (code != 0) {
      if (!is_sent) nng_msg_free(nng_aio_get_msg(aio));
      Complete(PeerError(address, code));
      return;
    }
    if (!is_sent) {
      is_sent = true;
      nng_ctx_recv(context, aio);
      return;
    }
    Complete(ConsumeBody(nng_aio_get_msg(aio)));
  }
  void Complete(Result<std::string> result) {
    // An aio must not be freed within its own callback.
    net::asio::post(*loop, [this, result = std::move(result)]() mutable {
      nng_ctx_close(context);
      nng_aio_free(aio);
      auto handler = std::move(done);
      delete this;
      handler(std::move(result));
    });
  }
};

struct PeerClient::Impl {
  Impl(net::asio::io_context& event_loop, MetricRegistry& metrics)
      : loop(event_loop), bytes(metrics) {}
  ~Impl() {
    for (auto& [address, socket] : sockets) nng_close(socket);
  }

  Result<nng_socket> SocketFor(const std::string& address) {
    const auto it = sockets.find(address);
    if (it != sockets.end()) return it->second;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    int code = nng_req0_open(&socket);
    if (code != 0) return PeerError(address, code);
    constexpr nng_duration kReconnectMinMs = 50;
    constexpr nng_duration kReconnectMaxMs = 500;
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
    code = nng_dial(socket, ("tcp://" + address).c_str(), nullptr,
                    NNG_FLAG_NONBLOCK);
    if (code != 0) {
      nng_close(socket);
      return PeerError(address, code);
    }
    sockets[address] = socket;
    return socket;
  }

  // A call must not complete before the coroutine that waits for it is
  // suspended.
  void Fail(Error error, std::function<void(Result<std::string>)> done) {
    net::asio::post(loop, [error = std::move(error), done = std::move(done)] {
      done(error);
    });
  }

  void Start(const std::string& address, const std::string& message,
             std::chrono::milliseconds timeout,
             std::function<void(Result<std::string>)> done) {
    auto socket = SocketFor(address);
    if (!socket.ok()) {
      Fail(socket.error(), std::move(done));
      return;
    }
    auto call = std::make_unique<PendingCall>();
    call->address = address;
    call->loop = &loop;
    int code = nng_ctx_open(&call->context, socket.value());
    if (code == 0) {
      code = nng_aio_alloc(&call->aio, PendingCall::OnAio, call.get());
    }
    nng_msg* encoded = code == 0 ? MakeMessage(message) : nullptr;
    if (encoded == nullptr) {
      nng_aio_free(call->aio);
      nng_ctx_close(call->context);
      Fail(PeerError(address, code == 0 ? NNG_ENOMEM : code), std::move(done));
      return;
    }
    call->done = std::move(done);
    nng_aio_set_timeout(call->aio, static_cast<nng_duration>(timeout.count()));
    nng_aio_set_msg(call->aio, encoded);
    bytes.sent.Add(message.size());
    // The call deletes itself when it completes.
    PendingCall* running = call.release();
    nng_ctx_send(running->context, running->aio);
  }

  net::asio::io_context& loop;
  ByteCounters bytes;
  std::map<std::string, nng_socket> sockets;
};

PeerClient::PeerClient(net::asio::io_context& loop, MetricRegistry& metrics)
    : impl_(std::make_shared<Impl>(loop, metrics)) {}

PeerClient::~PeerClient() = default;

net::asio::awaitable<Result<std::string>> PeerClient::Call(
    std::string address, std::string message,
    std::chrono::milliseconds timeout) {
  auto initiate = [impl = impl_, address = std::move(address),
                   message = std::move(message), timeout](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    impl->Start(
        address, message, timeout, [impl, shared](Result<std::string> result) {
          impl->bytes.received.Add(result.ok() ? result.value().size() : 0);
          (*shared)(std::move(result));
        });
  };
  auto result =
      co_await net::asio::async_initiate<decltype(net::asio::use_awaitable),
                                         void(Result<std::string>)>(
          std::move(initiate), net::asio::use_awaitable);
  co_return result;
}

}  // namespace beryllane::wire
