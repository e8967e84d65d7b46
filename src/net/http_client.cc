#include "src/net/http_client.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <iterator>
#include <tuple>
#include <utility>

#include "fmt/format.h"
#include "src/net/serialize.h"
#include "src/net/socket_options.h"
#include "src/net/watchdog.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

Error MakeError(ErrorId id, const Address& address, std::string_view what,
                ExchangeStage stage) {
  return {id, fmt::format("{}: {}", ToString(address), what), VerdictAt(stage)};
}

constexpr std::size_t kReadBytes = 16 * 1024;
// Limit on what was received and cannot be parsed yet: a head, or within a body
// the line before a chunk or the trailer.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
// Limit on an answer that `Call` holds in memory, and on one that is skipped.
constexpr std::size_t kMaxCallBytes = 8 * 1024 * 1024;

// Whether this host lacks what a connection needs, whatever its target.
bool IsOwnShortage(const error_code& code) {
  namespace errc = boost::system::errc;
  return code == errc::too_many_files_open ||
         code == errc::too_many_files_open_in_system ||
         code == errc::no_buffer_space || code == errc::not_enough_memory ||
         code == errc::address_not_available;
}

std::int64_t Millis(nanoseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

struct AnswerStream::Connection {
  enum class Upload {
    kWritten,
    // Part of the request is still to be sent.
    kPending,
    // An error ended the sending.
    kFailed,
  };

  Address address;
  tcp::socket socket;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  Watchdog watchdog{socket};
  RuntimeClock::time_point idle_until;
  bool is_new = true;
  // Whether its peer may leave what was sent unacknowledged for longer.
  bool is_patient = false;
  // How far the newest request was sent.
  Upload upload = Upload::kWritten;

  Connection(Address at, tcp::socket open)
      : address(std::move(at)), socket(std::move(open)) {}

  // An idle connection that is readable was closed or holds stray bytes.
  bool IsUsable() {
    if (RuntimeClock::now() >= idle_until) return false;
    std::array<char, 1> byte{};
    error_code code;
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return code == asio::error::would_block && buffer.size() == 0;
  }
};

AnswerStream::AnswerStream(std::shared_ptr<Connection> connection,
                           HttpClient& client, CallOptions options,
                           RuntimeClock::time_point deadline)
    : connection_(std::move(connection)),
      client_(client),
      options_(std::move(options)),
      deadline_(deadline) {
  is_first_ = connection_->is_new;
  ResetParser();
}

void AnswerStream::ResetParser() {
  parser_ = std::make_unique<http::response_parser<http::string_body>>();
  parser_->body_limit(options_.body_limit);
}

nanoseconds AnswerStream::IdleLimit() const {
  // Whole seconds are stated, so the true limit may be almost a second less
  // than what a slow peer counts; the margin covers the request's flight.
  constexpr nanoseconds kFlightMargin = milliseconds(500);
  constexpr std::string_view kName = "timeout=";
  const std::string_view text = Header(parser_->get(), "Keep-Alive");
  const std::size_t at = text.find(kName);
  if (at == std::string_view::npos) return options_.unstated_idle_limit;
  int seconds = 0;
  const char* first = text.data() + at + kName.size();
  std::from_chars(first, text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds) - kFlightMargin;
}

asio::awaitable<Result<Done>> AnswerStream::ReadHead() {
  constexpr int kInterimStatus = 100;
  constexpr int kFinalStatus = 200;
  constexpr int kInvalidStatus = 600;
  constexpr int kMaxInterimHeads = 8;
  const auto start = RuntimeClock::now();
  auto limit = start + options_.answer_timeout;
  for (int heads = 0; heads <= kMaxInterimHeads; ++heads) {
    error_code code = ParseBuffered(/*is_head_only=*/true);
    while (!code && !parser_->is_header_done()) {
      code = co_await Receive(limit);
      if (is_out_of_time_ && ExtendWait()) {
        limit = RuntimeClock::now() + options_.answer_timeout;
        code = {};
      }
      if (!code) code = ParseBuffered(/*is_head_only=*/true);
    }
    if (code) {
      const std::string what =
          is_out_of_time_ ? fmt::format("no answer within {} ms",
                                        Millis(RuntimeClock::now() - start))
                          : "no answer: " + code.message();
      co_return ToError(code, what, ExchangeStage::kRequestWritten);
    }
    const bool is_valid =
        status() >= kInterimStatus && status() < kInvalidStatus;
    if (!is_valid) {
      co_return MakeError(ErrorId::kTargetAnswerInvalid, connection_->address,
                          fmt::format("answered with status {:03}, which is "
                                      "not from 100 to 599",
                                      status()),
                          ExchangeStage::kRequestWritten);
    }
    if (options_.on_head) options_.on_head(head());
    if (status() >= kFinalStatus) co_return Done{};
    ResetParser();
  }
  co_return MakeError(ErrorId::kTargetAnswerInvalid, connection_->address,
                      "too many interim answers",
                      ExchangeStage::kRequestWritten);
}

Error AnswerStream::ToError(const error_code& code, std::string_view what,
                            ExchangeStage stage) const {
  const bool is_too_large = code == http::error::header_limit ||
                            code == http::error::body_limit ||
                            code == http::error::buffer_overflow;
  ErrorId id = ErrorId::kTargetFailed;
  if (is_out_of_time_) id = ErrorId::kTargetSilent;
  if (is_too_large) id = ErrorId::kTargetAnswerInvalid;
  return MakeError(id, connection_->address, what, stage);
}

asio::awaitable<Result<Done>> AnswerStream::SkipAnswer() {
  is_reusable_ = false;
  is_first_ = false;
  std::size_t skipped = 0;
  while (!parser_->is_done()) {
    auto part = co_await Read();
    if (!part.ok()) {
      // The end of another request's answer says nothing about this one.
      co_return Error{part.error().id, part.error().message,
                      Verdict::kMayHaveRun};
    }
    if (part.value().empty()) break;
    skipped += part.value().size();
    if (skipped > kMaxCallBytes) {
      co_return Error{
          ErrorId::kTargetAnswerInvalid,
          fmt::format("{}: an answer to another request is over "
                      "{} bytes",
                      ToString(connection_->address), kMaxCallBytes),
          Verdict::kMayHaveRun};
    }
  }
  ResetParser();
  co_return co_await ReadHead();
}

AnswerStream::~AnswerStream() {
  if (!connection_) return;
  // Ends the operation that sends the rest of the request, which owns the
  // connection, too.
  error_code ignored;
  connection_->socket.close(ignored);
}

error_code AnswerStream::ParseBuffered(bool is_head_only) {
  beast::flat_buffer& buffer = connection_->buffer;
  error_code code;
  while (buffer.size() > 0 && !IsParsed(is_head_only)) {
    const std::size_t used = parser_->put(buffer.data(), code);
    buffer.consume(used);
    if (code == http::error::need_more) return {};
    if (code || used == 0) return code;
  }
  return code;
}

bool AnswerStream::ExtendWait() {
  const bool may_extend = options_.more_time && RuntimeClock::now() < deadline_;
  if (!may_extend) return false;
  options_.answer_timeout = options_.more_time();
  return options_.answer_timeout > nanoseconds(0);
}

asio::awaitable<error_code> AnswerStream::Receive(
    RuntimeClock::time_point limit) {
  beast::flat_buffer& buffer = connection_->buffer;
  const std::size_t space =
      std::min(kReadBytes, buffer.max_size() - buffer.size());
  if (space == 0) co_return http::error::buffer_overflow;
  // The watchdog ends a wait, but no sequence of reads that never wait.
  const auto until = std::min(limit, deadline_);
  const auto now = RuntimeClock::now();
  is_out_of_time_ = now >= until;
  if (is_out_of_time_) co_return asio::error::timed_out;
  connection_->watchdog.Arm(until - now);
  const auto [code, bytes] = co_await connection_->socket.async_read_some(
      buffer.prepare(space), kAsTuple);
  connection_->watchdog.Disarm();
  buffer.commit(bytes);
  if (bytes > 0) co_return error_code();
  is_out_of_time_ = code && connection_->watchdog.has_expired();
  if (code != asio::error::eof) co_return code;
  if (!parser_->got_some()) co_return http::error::end_of_stream;
  if (connection_->upload == Connection::Upload::kPending) {
    // The sending may have failed without having completed yet.
    co_await asio::post(connection_->socket.get_executor(),
                        asio::use_awaitable);
  }
  if (!MayEndAnswer()) co_return asio::error::connection_reset;
  // The end of the connection may also be the end of the answer.
  error_code at_end;
  parser_->put_eof(at_end);
  co_return at_end;
}

bool AnswerStream::MayEndAnswer() const {
  constexpr int kMultipleChoices = 300;
  switch (connection_->upload) {
    case Connection::Upload::kWritten:
      return true;
    case Connection::Upload::kPending:
      return status() >= kMultipleChoices;
    case Connection::Upload::kFailed:
      return false;
  }
  return false;
}

asio::awaitable<error_code> AnswerStream::ReceiveBody() {
  error_code code;
  do {
    code = co_await Receive(RuntimeClock::now() + options_.answer_timeout);
  } while (is_out_of_time_ && ExtendWait());
  co_return code;
}

asio::awaitable<Result<std::string>> AnswerStream::Read() {
  std::string& body = parser_->get().body();
  error_code code;
  // Beast's own read operation costs about twice the processor time.
  for (;;) {
    code = ParseBuffered(/*is_head_only=*/false);
    if (code || !body.empty() || parser_->is_done()) break;
    code = co_await ReceiveBody();
    if (code) break;
  }
  if (code) {
    error_code ignored;
    connection_->socket.close(ignored);
    std::string what = "the answer broke off: " + code.message();
    if (is_out_of_time_) {
      what = RuntimeClock::now() >= deadline_
                 ? "the answer was not complete in time"
                 : fmt::format("sent nothing for {} ms",
                               Millis(options_.answer_timeout));
    }
    co_return ToError(code, what, ExchangeStage::kResponseStarted);
  }
  std::string part = std::exchange(body, std::string());
  const bool is_reusable =
      part.empty() && connection_ && is_reusable_ && parser_->keep_alive() &&
      !parser_->need_eof() &&
      connection_->upload == Connection::Upload::kWritten &&
      connection_->buffer.size() == 0 &&
      (!options_.may_reuse || options_.may_reuse());
  if (is_reusable) {
    connection_->idle_until = RuntimeClock::now() + IdleLimit();
    connection_->is_new = false;
    client_.PutIdle(std::move(connection_));
  }
  co_return part;
}

HttpClient::HttpClient(asio::io_context& context) : context_(context) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::shared_ptr<HttpClient::Connection>>>
HttpClient::Connect(const Address& address, nanoseconds timeout) {
  error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, code),
                               address.port);
  auto connection =
      std::make_shared<Connection>(address, tcp::socket(context_));
  connection->watchdog.Arm(timeout);
  const auto [connect_code] =
      co_await connection->socket.async_connect(endpoint, kAsTuple);
  connection->watchdog.Disarm();
  if (connect_code) {
    co_return MakeError(
        IsOwnShortage(connect_code) ? ErrorId::kOverloaded
                                    : ErrorId::kTargetUnreachable,
        address,
        connection->watchdog.has_expired()
            ? fmt::format("no connection within {} ms", Millis(timeout))
            : connect_code.message(),
        ExchangeStage::kBeforeFirstByte);
  }
  SetStreamOptions(connection->socket);
  co_return connection;
}

std::shared_ptr<HttpClient::Connection> HttpClient::TakeIdle(
    const Address& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    std::shared_ptr<Connection> connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->IsUsable()) return connection;
  }
  return nullptr;
}

void HttpClient::CloseIdle(const Address& address) { idle_.erase(address); }

void HttpClient::CloseExpired() {
  const auto now = RuntimeClock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    std::erase_if(connections, [now](const auto& connection) {
      return now >= connection->idle_until;
    });
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t HttpClient::idle_connections() const {
  std::size_t count = 0;
  for (const auto& [address, connections] : idle_) count += connections.size();
  return count;
}

void HttpClient::PutIdle(std::shared_ptr<Connection> connection) {
  auto& idle = idle_[connection->address];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdle) idle.pop_front();
}

asio::awaitable<Result<std::shared_ptr<HttpClient::Connection>>>
HttpClient::Acquire(const Address& address, const CallOptions& options) {
  if (!options.needs_new_connection) {
    std::shared_ptr<Connection> idle = TakeIdle(address);
    if (idle) co_return idle;
  }
  auto connected = co_await Connect(address, options.connect_timeout);
  const bool is_short =
      !connected.ok() && connected.error().id == ErrorId::kOverloaded;
  if (!is_short || idle_.empty()) co_return connected;
  // Idle connections hold what this one lacks.
  idle_.clear();
  co_return co_await Connect(address, options.connect_timeout);
}

Result<Done> HttpClient::StartWrite(AnswerStream& answer,
                                    std::shared_ptr<const std::string> wire) {
  tcp::socket& socket = answer.connection_->socket;
  const bool is_long = wire->size() > kWindowBytes;
  if (is_long || answer.connection_->is_patient) {
    const auto left =
        std::chrono::ceil<milliseconds>(answer.deadline_ - RuntimeClock::now());
    SetUnacknowledgedTimeout(socket, is_long ? std::max(milliseconds(1), left)
                                             : kUnacknowledgedTimeout);
    answer.connection_->is_patient = is_long;
  }
  error_code code;
  std::size_t sent = socket.write_some(asio::buffer(*wire), code);
  if (code == asio::error::would_block) {
    code = {};
    sent = 0;
  }
  if (code) {
    return MakeError(ErrorId::kTargetFailed, answer.connection_->address,
                     "the request broke off: " + code.message(),
                     ExchangeStage::kBeforeFirstByte);
  }
  if (sent == wire->size()) {
    if (is_long) RestoreWhenAcknowledged(answer.connection_);
    return Done{};
  }
  answer.connection_->upload = Connection::Upload::kPending;
  SendRest(answer.connection_, std::move(wire), sent);
  return Done{};
}

void HttpClient::RestoreWhenAcknowledged(
    std::shared_ptr<Connection> connection) {
  constexpr milliseconds kInterval{200};
  if (!connection->is_patient || !connection->socket.is_open()) return;
  int unacknowledged = 0;
  const bool is_known =
      ioctl(connection->socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  if (!is_known || unacknowledged == 0) {
    SetUnacknowledgedTimeout(connection->socket, kUnacknowledgedTimeout);
    connection->is_patient = false;
    return;
  }
  auto timer =
      std::make_shared<Timer>(connection->socket.get_executor(), kInterval);
  timer->async_wait([timer, connection = std::move(connection)](
                        const error_code& code) mutable {
    if (!code) RestoreWhenAcknowledged(std::move(connection));
  });
}

// The operation has several steps and may outlive the answer: a step that has
// completed goes on with the next one after the socket was closed.
void HttpClient::SendRest(std::shared_ptr<Connection> connection,
                          std::shared_ptr<const std::string> wire,
                          std::size_t sent) {
  tcp::socket& socket = connection->socket;
  const auto rest = asio::buffer(*wire) + sent;
  asio::async_write(
      socket, rest,
      [connection = std::move(connection), wire = std::move(wire), sent](
          const error_code& failure, std::size_t bytes) {
        // The watchdog of a wait that goes on has cancelled this, too.
        const bool is_cancelled = failure == asio::error::operation_aborted &&
                                  connection->socket.is_open();
        if (is_cancelled) {
          SendRest(connection, wire, sent + bytes);
        } else {
          connection->upload = failure ? Connection::Upload::kFailed
                                       : Connection::Upload::kWritten;
          RestoreWhenAcknowledged(connection);
        }
      });
}

asio::awaitable<Result<std::unique_ptr<AnswerStream>>> HttpClient::Open(
    Address address, Request request, CallOptions options) {
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, ToString(address));
  }
  request.prepare_payload();
  auto serialized = ToWire(request);
  if (!serialized) {
    co_return MakeError(ErrorId::kTargetFailed, address,
                        "the request cannot be serialized",
                        ExchangeStage::kBeforeFirstByte);
  }
  auto wire = std::make_shared<const std::string>(std::move(*serialized));
  // A body may be large, and is in `wire` now.
  request = Request();
  const auto start = RuntimeClock::now();
  const auto deadline = start + options.total_timeout;
  for (;;) {
    auto acquired = co_await Acquire(address, options);
    if (!acquired.ok()) co_return acquired.error();
    const bool is_new = acquired.value()->is_new;
    if (options.may_send && !options.may_send()) {
      co_return MakeError(ErrorId::kTargetWithdrawn, address,
                          "withdrawn before the request was sent",
                          ExchangeStage::kBeforeFirstByte);
    }
    CallOptions rest = options;
    if (rest.more_time) rest.answer_timeout -= RuntimeClock::now() - start;
    std::unique_ptr<AnswerStream> answer(new AnswerStream(
        std::move(acquired.value()), *this, std::move(rest), deadline));
    auto written = StartWrite(*answer, wire);
    if (!written.ok()) {
      // The peer closed the idle connection; nothing was sent.
      if (!is_new) continue;
      co_return written.error();
    }
    wire.reset();
    auto head = co_await answer->ReadHead();
    if (!head.ok()) co_return head.error();
    co_return answer;
  }
}

asio::awaitable<Result<Response>> HttpClient::Call(Address address,
                                                   Request request,
                                                   CallOptions options) {
  options.body_limit = std::min(options.body_limit, kMaxCallBytes);
  auto opened = co_await Open(address, std::move(request), options);
  if (!opened.ok()) co_return opened.error();
  AnswerStream& answer = *opened.value();
  Response response;
  response.base() = answer.head();
  for (;;) {
    auto part = co_await answer.Read();
    if (!part.ok()) co_return part.error();
    if (part.value().empty()) break;
    response.body() += part.value();
  }
  co_return response;
}

}  // namespace beryllane::net
