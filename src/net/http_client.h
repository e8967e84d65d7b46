/// @file
/// An HTTP/1.1 client with pooled connections that knows how far an exchange
/// got when it failed.
#ifndef BERYLLANE_SRC_NET_HTTP_CLIENT_H_
#define BERYLLANE_SRC_NET_HTTP_CLIENT_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "beryllane/error/error.h"
#include "src/net/address.h"
#include "src/net/http_types.h"
#include "src/net/runtime.h"

namespace beryllane::net {

/// Times and reuse of one call.
struct CallOptions {
  std::chrono::nanoseconds connect_timeout = std::chrono::seconds(1);
  /// Longest wait for the head of the answer after the request was written,
  /// and for each further part of the body. With `more_time`, the wait for the
  /// head counts from the start of the call, as the limit is then a time that
  /// does not move while the connection is established.
  std::chrono::nanoseconds answer_timeout = std::chrono::seconds(10);
  /// Longest time for the whole call, however steadily its answer arrives.
  std::chrono::nanoseconds total_timeout = std::chrono::seconds(60);
  /// A new connection leaves no doubt about whether bytes went out, because
  /// no earlier use can have closed it.
  bool needs_new_connection = false;
  std::size_t body_limit = 64 * 1024 * 1024;
  /// Longest reuse of an idle connection whose peer states no time of its own.
  std::chrono::nanoseconds unstated_idle_limit = std::chrono::seconds(60);
  /// Asked once the connection is established, right before the request is
  /// written; false ends the call with `kTargetWithdrawn`. Empty is always
  /// true.
  std::function<bool()> may_send;
  /// Asked when `answer_timeout` has passed: the further time to wait, zero to
  /// give up. Empty is always zero.
  std::function<std::chrono::nanoseconds()> more_time;
  /// Given each head that arrives, also of answers that are skipped or whose
  /// body breaks off. May be empty.
  std::function<void(const http::response_header<>& head)> on_head;
  /// Asked when the answer is complete: whether its connection may serve
  /// another call. Empty is always true.
  std::function<bool()> may_reuse;
};

class HttpClient;

/// An answer that is being received. Destroying it before the end closes the
/// connection, which cancels the work at the other end.
class AnswerStream {
 public:
  ~AnswerStream();
  AnswerStream(const AnswerStream&) = delete;
  AnswerStream& operator=(const AnswerStream&) = delete;

  /// Status and headers. @pre none. Not thread-safe.
  const http::response_header<>& head() const { return parser_->get().base(); }
  /// Status code of the answer. @pre none.
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  /// Whether no answer came on the connection before this one, so that it can
  /// answer no other request. @pre none.
  bool is_first() const { return is_first_; }
  /// Reads the next bytes of the body; an empty string is its end. @pre not
  /// at the end.
  asio::awaitable<Result<std::string>> Read();
  /// Discards this answer and waits for the head of the next one on the same
  /// connection, which is then not used again. For answers that belong to
  /// another request. Fails if this answer is too long to be skipped. @pre
  /// nothing of the body was used.
  asio::awaitable<Result<Done>> SkipAnswer();
  /// Replaces the longest wait for the next bytes. @pre none.
  void set_answer_timeout(std::chrono::nanoseconds timeout) {
    options_.answer_timeout = timeout;
  }

 private:
  friend class HttpClient;
  struct Connection;

  AnswerStream(std::shared_ptr<Connection> connection, HttpClient& client,
               CallOptions options, RuntimeClock::time_point deadline);

  // Reads heads until one is final.
  asio::awaitable<Result<Done>> ReadHead();
  void ResetParser();
  // Whether the end of the head, or of the whole answer, was parsed.
  bool IsParsed(bool is_head_only) const {
    return is_head_only ? parser_->is_header_done() : parser_->is_done();
  }
  // Parses what was received, up to the end of the head or of the answer.
  error_code ParseBuffered(bool is_head_only);
  // Receives bytes until `limit` or the end of the call's time, which sets
  // `is_out_of_time_`.
  asio::awaitable<error_code> Receive(RuntimeClock::time_point limit);
  // Whether the orderly end that the socket reports may be the end of a body
  // without a length. The system reports a reset once: after the operation that
  // sends the request has met it, the socket reads as closed in order. A peer
  // that closes while it sends a success has not read the whole request, so the
  // success is not believed.
  bool MayEndAnswer() const;
  // The same as `Receive` with `answer_timeout` as the limit, which is extended
  // if the caller wants it.
  asio::awaitable<error_code> ReceiveBody();
  // Whether the wait that has just expired goes on; sets its new limit.
  bool ExtendWait();
  Error ToError(const error_code& code, std::string_view what,
                ExchangeStage stage) const;
  // How long the connection may wait for its next request.
  std::chrono::nanoseconds IdleLimit() const;

  // Shared with the operation that sends the rest of the request.
  std::shared_ptr<Connection> connection_;
  HttpClient& client_;
  CallOptions options_;
  // When the whole call must be complete.
  RuntimeClock::time_point deadline_;
  bool is_out_of_time_ = false;
  std::unique_ptr<http::response_parser<http::string_body>> parser_;
  bool is_reusable_ = true;
  bool is_first_ = true;
};

/// Calls HTTP servers. Used by the coroutines of one event loop.
class HttpClient {
 public:
  /// Idle connections kept for each address.
  static constexpr std::size_t kMaxIdle = 64;

  /// @pre `context` runs on one thread and outlives the client.
  explicit HttpClient(asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// The loop that the client runs on. @pre none.
  asio::io_context& context() { return context_; }

  /// Sends a request and reads the whole answer, of at most 8 MB. An error's
  /// verdict says whether the other end may have acted. @pre called on the
  /// client's loop.
  asio::awaitable<Result<Response>> Call(Address address, Request request,
                                         CallOptions options);
  /// Sends a request and reads the answer's head. @pre as for `Call`.
  asio::awaitable<Result<std::unique_ptr<AnswerStream>>> Open(
      Address address, Request request, CallOptions options);
  /// Closes the idle connections to an address. @pre as for `Call`.
  void CloseIdle(const Address& address);
  /// Closes the idle connections whose time has passed. To be called now and
  /// then, as those to an address that is not called again would stay open.
  /// @pre as for `Call`.
  void CloseExpired();
  /// Idle connections to all addresses. @pre as for `Call`.
  std::size_t idle_connections() const;

 private:
  friend class AnswerStream;
  using Connection = AnswerStream::Connection;

  asio::awaitable<Result<std::shared_ptr<Connection>>> Connect(
      const Address& address, std::chrono::nanoseconds timeout);
  // An idle connection or a new one.
  asio::awaitable<Result<std::shared_ptr<Connection>>> Acquire(
      const Address& address, const CallOptions& options);
  // Starts to send; what the socket does not take at once goes on in the
  // background, so that an early answer is seen.
  Result<Done> StartWrite(AnswerStream& answer,
                          std::shared_ptr<const std::string> wire);
  // Waits again only as long as at first for acknowledgements, once all that
  // was sent has been acknowledged.
  static void RestoreWhenAcknowledged(std::shared_ptr<Connection> connection);
  // Sends what follows the first `sent` bytes.
  static void SendRest(std::shared_ptr<Connection> connection,
                       std::shared_ptr<const std::string> wire,
                       std::size_t sent);
  std::shared_ptr<Connection> TakeIdle(const Address& address);
  void PutIdle(std::shared_ptr<Connection> connection);

  asio::io_context& context_;
  std::map<Address, std::deque<std::shared_ptr<Connection>>> idle_;
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_HTTP_CLIENT_H_
