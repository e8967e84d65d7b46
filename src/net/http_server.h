/// @file
/// An HTTP/1.1 server on Beast with limits against slow and oversized input.
#ifndef BERYLLANE_SRC_NET_HTTP_SERVER_H_
#define BERYLLANE_SRC_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "beryllane/error/error.h"
#include "src/net/address.h"
#include "src/net/held_bytes.h"
#include "src/net/http_types.h"
#include "src/net/runtime.h"

namespace beryllane::net {

/// Bounds on what a peer may send and how slowly.
struct ServerLimits {
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
  std::chrono::milliseconds head_timeout{5000};
  std::chrono::milliseconds body_timeout{15000};
  std::chrono::milliseconds idle_timeout{60000};
  std::chrono::milliseconds write_timeout{15000};
  /// With more, a new connection takes the place of the one that has been idle
  /// longest, or is refused if none is idle.
  std::size_t max_connections = 8192;
  /// Memory for the bodies of all exchanges together. A request that finds no
  /// room is refused before its body is read.
  std::size_t held_bytes = 1024 * 1024 * 1024;
  /// Whether one request may be answered twice, as faulty servers do.
  bool allows_second_answer = false;
};

/// One request and the means to answer it. Used by one coroutine.
class Exchange {
 public:
  /// @pre `socket` and `held` outlive the exchange.
  Exchange(tcp::socket& socket, Request request, bool close_after,
           const ServerLimits& limits, std::size_t loop, HeldBytes& held);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// The request. @pre none. Not thread-safe.
  const Request& request() const { return request_; }
  /// Takes the body out of the request. @pre none. Not thread-safe.
  std::string TakeBody() { return std::move(request_.body()); }
  /// Reserves memory for an answer that is held until it is complete, of
  /// `bytes` so far; false if there is none. @pre none.
  bool TryHoldAnswer(std::size_t bytes) {
    return held_.TryGrowForAnswerTo(request_bytes_ + bytes);
  }
  /// Index of the loop that serves the connection. @pre none.
  std::size_t loop() const { return loop_; }
  /// When the head had been read. @pre none.
  RuntimeClock::time_point started() const { return started_; }
  /// The caller's address. @pre none.
  std::string PeerIp() const;

  /// Sends a whole response; false if the caller is gone. A second head is
  /// never sent: where one was, the connection closes instead. @pre nothing was
  /// sent before.
  asio::awaitable<bool> Respond(Response response);
  /// Sends the head of a chunked response; false if the caller is gone. @pre
  /// nothing was sent before.
  asio::awaitable<bool> StartStream(http::response<http::empty_body> head);
  /// The same with the first chunk in the same write. @pre as above.
  asio::awaitable<bool> StartStream(http::response<http::empty_body> head,
                                    std::string_view first);
  /// Sends one chunk; false if the caller is gone or reads too slowly. @pre
  /// `StartStream` returned true.
  asio::awaitable<bool> Write(std::string_view data);
  /// Ends a chunked response. @pre `StartStream` returned true.
  asio::awaitable<bool> FinishStream();
  /// Whether the caller has closed its connection. Unlike `WaitForClose`, this
  /// sees a close that the loop has not been told of yet. @pre none.
  bool IsCallerGone() const;
  /// Completes when the caller closes its connection. @pre none.
  asio::awaitable<void> WaitForClose();
  /// Closes the connection after this exchange. @pre none.
  void CloseAfter() { close_after_ = true; }

  /// Whether anything was sent. @pre none.
  bool is_started() const { return is_started_; }
  /// Whether the response is complete. @pre none.
  bool is_finished() const { return is_finished_; }
  /// Whether the response is complete and the connection may go on.
  bool is_reusable() const {
    return is_finished_ && !close_after_ && request_.keep_alive();
  }

 private:
  // Whether a head may be sent; checks that none was before.
  bool TakeHead();
  template <typename Buffers>
  asio::awaitable<bool> WriteAll(const Buffers& buffers);

  tcp::socket& socket_;
  Request request_;
  bool close_after_;
  ServerLimits limits_;
  std::size_t loop_;
  HeldBytes& held_;
  // What was sent of the request to a target is not held any more when the
  // answer arrives.
  std::size_t request_bytes_ = request_.body().size();
  std::size_t sent_bytes_ = 0;
  // Whether the caller may leave what was sent unacknowledged for longer.
  bool is_patient_ = false;
  RuntimeClock::time_point started_ = RuntimeClock::now();
  bool is_started_ = false;
  bool is_finished_ = false;
};

/// How the requests that a server has read ended. Their sum and the exchanges
/// that run are the requests read. Thread-safe.
struct ExchangeCounts {
  std::atomic<std::uint64_t> read{0};
  /// With a complete answer.
  std::atomic<std::uint64_t> answered{0};
  /// With less, since the caller had closed the connection.
  std::atomic<std::uint64_t> caller_gone{0};
  /// With less, while the caller waited.
  std::atomic<std::uint64_t> cut{0};
};

/// What became of connections for which there was no room. Thread-safe.
struct ConnectionCounts {
  /// Idle ones that were closed for a new one.
  std::atomic<std::uint64_t> closed_idle{0};
  /// New ones that were refused.
  std::atomic<std::uint64_t> refused{0};
};

/// Answers one request.
using Handler = std::function<asio::awaitable<void>(Exchange&)>;

/// Makes the response to input that never became a request.
using RejectionFormatter = std::function<Response(const Error&)>;

/// Accepts connections and spreads them over a `ContextPool`.
class HttpServer {
 public:
  /// @pre `pool` outlives the server's connections. Handlers run on the loops
  /// of `pool` and may be called by several threads at once.
  HttpServer(ContextPool& pool, ServerLimits limits, Handler handler,
             RejectionFormatter format_rejection);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts to accept; returns the address with the port chosen. On
  /// failure the error names the address. @pre no call before succeeded.
  Result<Address> Listen(const Address& address);
  /// Stops accepting; running exchanges go on and close their connections.
  /// @pre none. Thread-safe.
  void StopAccepting();
  /// Answers from now on close their connections. @pre none. Thread-safe.
  void CloseAfterResponses() { is_closing_.store(true); }
  /// Closes connections that wait for a request. @pre none. Thread-safe.
  void CloseIdle();
  /// Replaces the limits for what is read from now on. @pre on the loop of a
  /// pool of one.
  void set_limits(const ServerLimits& limits) {
    limits_ = limits;
    held_limit_->set_most(limits.held_bytes);
  }
  /// Memory held by bodies. @pre none. Thread-safe.
  const HeldBytesLimit& held() const { return *held_limit_; }
  /// Exchanges being answered. @pre none. Thread-safe.
  std::int64_t running() const { return running_->load(); }
  /// Requests that are being read or, while the server closes, awaited on a new
  /// connection, and rejections being sent. @pre none. Thread-safe.
  std::int64_t reading() const { return reading_->load(); }
  /// Connections that are open. @pre none. Thread-safe.
  std::int64_t connections() const { return connections_.load(); }
  /// How exchanges ended. @pre none. Thread-safe.
  const ExchangeCounts& counts() const { return counts_; }
  /// What became of connections without room. @pre none. Thread-safe.
  const ConnectionCounts& connection_counts() const {
    return connection_counts_;
  }

 private:
  struct Session;
  struct Shard {
    std::size_t index = 0;
    asio::io_context* context = nullptr;
    // The one that has been idle longest comes first.
    std::list<Session*> idle;
  };

  asio::awaitable<void> AcceptLoop();
  // Accepts what waits already; false if descriptors have run out.
  bool AcceptWaiting();
  // Serves or refuses a new connection; closes it if too many are being
  // refused.
  void Start(tcp::socket socket, Shard& shard);
  Shard& NextShard() { return *shards_[next_shard_++ % shards_.size()]; }
  asio::awaitable<void> Serve(tcp::socket socket, Shard& shard);
  // Makes room for one more connection; false if none is idle.
  bool CloseLongestIdle(Shard& shard);
  asio::awaitable<bool> ServeOne(Session& session);
  // Counts the end of an exchange; logs one that was cut, with its `failure`.
  void CountEnd(const Exchange& exchange, const std::string& failure);
  asio::awaitable<bool> WaitForRequest(Session& session);
  asio::awaitable<std::optional<Request>> ReadRequest(Session& session,
                                                      HeldBytes& held);
  asio::awaitable<void> RejectInput(Session& session, error_code code,
                                    Error if_slow);
  asio::awaitable<void> Reject(Session& session, Error error);

  ContextPool& pool_;
  ServerLimits limits_;
  std::shared_ptr<HeldBytesLimit> held_limit_ =
      std::make_shared<HeldBytesLimit>(limits_.held_bytes);
  Handler handler_;
  RejectionFormatter format_rejection_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::atomic<std::int64_t> connections_{0};
  // Shared with connections, which may outlive their server.
  std::shared_ptr<std::atomic<std::int64_t>> running_ =
      std::make_shared<std::atomic<std::int64_t>>(0);
  std::shared_ptr<std::atomic<std::int64_t>> reading_ =
      std::make_shared<std::atomic<std::int64_t>>(0);
  ExchangeCounts counts_;
  ConnectionCounts connection_counts_;
  std::atomic<bool> is_closing_{false};
  std::size_t next_shard_ = 0;
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_HTTP_SERVER_H_
