#include "src/net/http_client.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <tuple>
#include <utility>

#include "fmt/format.h"
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

std::int64_t Millis(nanoseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

struct AnswerStream::Connection {
  Address address;
  tcp::socket socket;
  beast::flat_buffer buffer;
  Watchdog watchdog{socket};

  Connection(Address at, tcp::socket open)
      : address(std::move(at)), socket(std::move(open)) {}

  // An idle connection that is readable was closed or holds stray bytes.
  bool IsUsable() {
    std::array<char, 1> byte{};
    error_code code;
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, code);
    return code == asio::error::would_block && buffer.size() == 0;
  }
};

AnswerStream::AnswerStream(std::unique_ptr<Connection> connection,
                           HttpClient& client, CallOptions options)
    : connection_(std::move(connection)),
      client_(client),
      options_(options),
      parser_(std::make_unique<http::response_parser<http::string_body>>()) {
  parser_->body_limit(options.body_limit);
  parser_->eager(true);
}

AnswerStream::~AnswerStream() = default;

error_code AnswerStream::ParseBuffered() {
  beast::flat_buffer& buffer = connection_->buffer;
  error_code code;
  while (buffer.size() > 0 && !parser_->is_done()) {
    const std::size_t used = parser_->put(buffer.data(), code);
    buffer.consume(used);
    if (code == http::error::need_more) return {};
    if (code || used == 0) return code;
  }
  return code;
}

asio::awaitable<error_code> AnswerStream::ReadMore() {
  beast::flat_buffer& buffer = connection_->buffer;
  connection_->watchdog.Arm(options_.answer_timeout);
  const auto [code, bytes] = co_await connection_->socket.async_read_some(
      buffer.prepare(kReadBytes), kAsTuple);
  connection_->watchdog.Disarm();
  buffer.commit(bytes);
  if (code != asio::error::eof) co_return code;
  // The end of the connection may also be the end of the answer.
  error_code at_end;
  parser_->put_eof(at_end);
  co_return at_end;
}

asio::awaitable<Result<std::string>> AnswerStream::Read() {
  std::string& body = parser_->get().body();
  error_code code;
  // Beast's own read operation costs about twice the processor time.
  for (;;) {
    code = ParseBuffered();
    if (code || !body.empty() || parser_->is_done()) break;
    code = co_await ReadMore();
    if (code) break;
  }
  if (code) {
    const Address address = connection_->address;
    const bool is_silent = connection_->watchdog.has_expired();
    connection_->socket.close();
    if (is_silent) {
      co_return MakeError(ErrorId::kTargetSilent, address,
                          fmt::format("sent nothing for {} ms",
                                      Millis(options_.answer_timeout)),
                          ExchangeStage::kAnswerStarted);
    }
    co_return MakeError(ErrorId::kTargetFailed, address,
                        "the answer broke off: " + code.message(),
                        ExchangeStage::kAnswerStarted);
  }
  std::string part = std::exchange(body, std::string());
  if (part.empty() && connection_ && parser_->keep_alive()) {
    client_.PutIdle(std::move(connection_));
  }
  co_return part;
}

HttpClient::HttpClient(asio::io_context& context) : context_(context) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Result<std::unique_ptr<HttpClient::Connection>>>
HttpClient::Connect(const Address& address, nanoseconds timeout) {
  error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, code),
                               address.port);
  auto connection =
      std::make_unique<Connection>(address, tcp::socket(context_));
  connection->watchdog.Arm(timeout);
  const auto [connect_code] =
      co_await connection->socket.async_connect(endpoint, kAsTuple);
  connection->watchdog.Disarm();
  if (connect_code) {
    co_return MakeError(
        ErrorId::kTargetUnreachable, address,
        connection->watchdog.has_expired()
            ? fmt::format("no connection within {} ms", Millis(timeout))
            : connect_code.message(),
        ExchangeStage::kBeforeFirstByte);
  }
  connection->socket.set_option(tcp::no_delay(true), code);
  connection->socket.non_blocking(true, code);
  co_return connection;
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdle(
    const Address& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->IsUsable()) return connection;
  }
  return nullptr;
}

void HttpClient::PutIdle(std::unique_ptr<Connection> connection) {
  auto& idle = idle_[connection->address];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdle) idle.pop_front();
}

asio::awaitable<Result<std::unique_ptr<AnswerStream>>> HttpClient::Open(
    Address address, Request request, CallOptions options) {
  std::unique_ptr<Connection> connection;
  if (!options.needs_new_connection) connection = TakeIdle(address);
  if (!connection) {
    auto connected = co_await Connect(address, options.connect_timeout);
    if (!connected.ok()) co_return connected.error();
    connection = std::move(connected.value());
  }
  request.set(http::field::host, ToString(address));
  request.prepare_payload();
  std::unique_ptr<AnswerStream> answer(
      new AnswerStream(std::move(connection), *this, options));
  tcp::socket& socket = answer->connection_->socket;
  Watchdog& watchdog = answer->connection_->watchdog;
  watchdog.Arm(options.answer_timeout);
  const auto [write_code, written] =
      co_await http::async_write(socket, request, kAsTuple);
  if (write_code) {
    const ExchangeStage stage = written == 0 ? ExchangeStage::kBeforeFirstByte
                                             : ExchangeStage::kRequestWritten;
    co_return MakeError(ErrorId::kTargetFailed, address,
                        "the request broke off: " + write_code.message(),
                        stage);
  }
  const auto [read_code, bytes] = co_await http::async_read_header(
      socket, answer->connection_->buffer, *answer->parser_, kAsTuple);
  watchdog.Disarm();
  if (read_code) {
    const ErrorId id = watchdog.has_expired() ? ErrorId::kTargetSilent
                                              : ErrorId::kTargetFailed;
    const std::string what = watchdog.has_expired()
                                 ? fmt::format("no answer within {} ms",
                                               Millis(options.answer_timeout))
                                 : "no answer: " + read_code.message();
    co_return MakeError(id, address, what, ExchangeStage::kRequestWritten);
  }
  co_return answer;
}

asio::awaitable<Result<Response>> HttpClient::Call(Address address,
                                                   Request request,
                                                   CallOptions options) {
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
