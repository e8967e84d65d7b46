#include "src/net/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <tuple>
#include <utility>

#include "beryllane/invariant/invariant.h"
#include "fmt/format.h"
#include "src/net/serialize.h"
#include "src/net/socket_options.h"
#include "src/net/spawn.h"
#include "src/net/watchdog.h"
#include "src/telemetry/log.h"

namespace beryllane::net {
namespace {

using std::chrono::nanoseconds;
using RequestParser = http::request_parser<http::string_body>;
using IoResult = std::tuple<error_code, std::size_t>;

constexpr std::size_t kReadBuffer = 16 * 1024;
// Limit on what was received and cannot be parsed yet, beside the head: the
// line before a chunk, or the trailer.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
// A body is held as received and, until it is sent, as a part of the request to
// the target.
constexpr std::size_t kBodyCopies = 2;

Error TooSlow(std::string_view part, std::chrono::milliseconds limit) {
  return {ErrorId::kSlowSender,
          fmt::format("the {} took over {} ms", part, limit.count()),
          Verdict::kNotRun};
}

// Maps a read failure to the error that the peer sees; `nullopt` where the
// peer is gone and nothing can be sent.
std::optional<Error> ToError(const error_code& code,
                             const ServerLimits& limits) {
  if (code == http::error::header_limit ||
      code == http::error::buffer_overflow) {
    return Error{ErrorId::kHeadTooLarge,
                 fmt::format("the head is over {} bytes", limits.head_bytes),
                 Verdict::kNotRun};
  }
  if (code == http::error::body_limit) {
    return Error{ErrorId::kBodyTooLarge,
                 fmt::format("the body is over {} bytes", limits.body_bytes),
                 Verdict::kNotRun};
  }
  if (code == asio::error::no_buffer_space) {
    return Error{ErrorId::kOverloaded,
                 "the bodies of other requests take up the memory",
                 Verdict::kNotRun};
  }
  if (code == http::error::end_of_stream || code == asio::error::eof ||
      code == http::error::partial_message) {
    return std::nullopt;
  }
  if (code.category() == error_code(http::error::bad_value).category()) {
    return Error{ErrorId::kMalformedHttp,
                 "the request is not valid HTTP/1.1: " + code.message(),
                 Verdict::kNotRun};
  }
  return std::nullopt;
}

// Raises `count` until the result is released.
std::shared_ptr<void> CountWhileHeld(
    std::shared_ptr<std::atomic<std::int64_t>> count) {
  count->fetch_add(1);
  return {nullptr, [count = std::move(count)](void*) { count->fetch_sub(1); }};
}

asio::awaitable<IoResult> ReadSome(tcp::socket& socket,
                                   beast::flat_buffer& buffer) {
  auto space = buffer.prepare(kReadBuffer);
  auto [code, bytes] = co_await socket.async_read_some(space, kAsTuple);
  buffer.commit(bytes);
  co_return IoResult(code, bytes);
}

// Reads the rest of a request; `no_buffer_space` if `held` has no room for it.
asio::awaitable<error_code> ReadBody(tcp::socket& socket,
                                     beast::flat_buffer& buffer,
                                     const Watchdog& watchdog,
                                     RequestParser& parser, HeldBytes& held) {
  error_code code;
  while (!code && !parser.is_done() && !watchdog.has_expired()) {
    std::tie(code, std::ignore) =
        co_await http::async_read_some(socket, buffer, parser, kAsTuple);
    const std::size_t size = parser.get().body().size();
    if (!held.TryGrowTo(kBodyCopies * size)) {
      co_return asio::error::no_buffer_space;
    }
  }
  if (code == http::error::buffer_overflow) {
    co_return http::error::bad_chunk_extension;
  }
  co_return code;
}

}  // namespace

Exchange::Exchange(tcp::socket& socket, Request request, bool close_after,
                   const ServerLimits& limits, std::size_t loop,
                   HeldBytes& held)
    : socket_(socket),
      request_(std::move(request)),
      close_after_(close_after),
      limits_(limits),
      loop_(loop),
      held_(held) {}

std::string Exchange::PeerIp() const {
  error_code code;
  const auto endpoint = socket_.remote_endpoint(code);
  return code ? "" : endpoint.address().to_string();
}

template <typename Buffers>
asio::awaitable<bool> Exchange::WriteAll(const Buffers& buffers) {
  // Most writes fit the socket's buffer, which needs neither a timer nor a
  // suspension.
  error_code code;
  const std::size_t total = asio::buffer_size(buffers);
  sent_bytes_ += total;
  if (sent_bytes_ > kWindowBytes && !is_patient_) {
    is_patient_ = true;
    SetUnacknowledgedTimeout(socket_, limits_.write_timeout);
  }
  std::size_t sent = socket_.write_some(buffers, code);
  if (code == asio::error::would_block) {
    code = {};
    sent = 0;
  }
  if (code) co_return false;
  if (sent == total) co_return true;
  std::string rest(total, '\0');
  asio::buffer_copy(asio::buffer(rest), buffers);
  Watchdog watchdog(socket_);
  watchdog.Arm(limits_.write_timeout);
  const auto left = asio::buffer(rest) + sent;
  const auto [write_code, bytes] =
      co_await asio::async_write(socket_, left, kAsTuple);
  co_return !write_code;
}

bool Exchange::TakeHead() {
  const bool is_allowed = !is_started_ || limits_.allows_second_answer;
  BERYLLANE_INVARIANT("one-head-per-request", is_allowed);
  if (!is_allowed) close_after_ = true;
  is_started_ = true;
  return is_allowed;
}

asio::awaitable<bool> Exchange::Respond(Response response) {
  if (!TakeHead()) co_return false;
  response.keep_alive(request_.keep_alive() && !close_after_);
  response.prepare_payload();
  if (request_.method() == http::verb::head) response.body().clear();
  const auto wire = ToWire(response);
  if (!wire) co_return false;
  is_finished_ = co_await WriteAll(asio::buffer(*wire));
  co_return is_finished_;
}

asio::awaitable<bool> Exchange::StartStream(
    http::response<http::empty_body> head) {
  if (!TakeHead()) co_return false;
  head.keep_alive(request_.keep_alive() && !close_after_);
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  const auto [code, bytes] =
      co_await http::async_write_header(socket_, serializer, kAsTuple);
  co_return !code;
}

asio::awaitable<bool> Exchange::StartStream(
    http::response<http::empty_body> head, std::string_view first) {
  if (!TakeHead()) co_return false;
  head.keep_alive(request_.keep_alive() && !close_after_);
  head.chunked(true);
  std::string wire = fmt::format("HTTP/1.1 {} {}\r\n", head.result_int(),
                                 std::string(head.reason()));
  for (const auto& field : head) {
    wire.append(field.name_string().data(), field.name_string().size());
    wire += ": ";
    wire.append(field.value().data(), field.value().size());
    wire += "\r\n";
  }
  wire += "\r\n";
  if (!first.empty()) {
    wire += fmt::format("{:x}\r\n", first.size());
    wire += first;
    wire += "\r\n";
  }
  co_return co_await WriteAll(asio::buffer(wire));
}

asio::awaitable<bool> Exchange::Write(std::string_view data) {
  if (data.empty()) co_return true;
  const auto chunk =
      http::make_chunk(asio::const_buffer(data.data(), data.size()));
  co_return co_await WriteAll(chunk);
}

asio::awaitable<bool> Exchange::FinishStream() {
  const auto last = http::make_chunk_last();
  const bool ok = co_await WriteAll(last);
  is_finished_ = ok;
  co_return ok;
}

bool Exchange::IsCallerGone() const {
  std::array<char, 1> byte{};
  error_code code;
  const std::size_t bytes =
      socket_.receive(asio::buffer(byte), tcp::socket::message_peek, code);
  return bytes == 0 && code != asio::error::would_block;
}

asio::awaitable<void> Exchange::WaitForClose() {
  co_await socket_.async_wait(tcp::socket::wait_read, kAsTuple);
  if (IsCallerGone()) co_return;
  // The caller sent its next request already and is still there.
  Timer never(socket_.get_executor(), RuntimeClock::duration::max() / 4);
  co_await never.async_wait(kAsTuple);
}

struct HttpServer::Session {
  Session(tcp::socket open, Shard& own_shard, std::size_t head_bytes)
      : socket(std::move(open)),
        shard(own_shard),
        buffer(std::max(head_bytes, kMaxUnparsedBytes) + kReadBuffer) {}

  void EnterIdle() { idle_place = shard.idle.insert(shard.idle.end(), this); }
  // Whether its first request may still be on its way.
  bool IsNew() const {
    return served == 0 && RuntimeClock::now() - opened_at < kNewTime;
  }
  void LeaveIdle() {
    if (idle_place) shard.idle.erase(*idle_place);
    idle_place.reset();
  }

  // Time in which the first request of a new connection arrives.
  static constexpr std::chrono::milliseconds kNewTime{1000};

  tcp::socket socket;
  Shard& shard;
  beast::flat_buffer buffer;
  Watchdog watchdog{socket};
  RuntimeClock::time_point opened_at = RuntimeClock::now();
  // Whether it takes up one of the server's connections. One that was closed to
  // make room does not.
  bool is_counted = true;
  // Its place among the idle connections, if it is one of them.
  std::optional<std::list<Session*>::iterator> idle_place;
  // Requests served so far. A new connection is served once even while the
  // server closes, because its peer cannot know.
  int served = 0;
};

HttpServer::HttpServer(ContextPool& pool, ServerLimits limits, Handler handler,
                       RejectionFormatter format_rejection)
    : pool_(pool),
      limits_(limits),
      handler_(std::move(handler)),
      format_rejection_(std::move(format_rejection)) {
  for (std::size_t i = 0; i < pool.size(); ++i) {
    shards_.push_back(std::make_unique<Shard>());
    shards_.back()->index = i;
    shards_.back()->context = &pool.at(i);
  }
}

HttpServer::~HttpServer() = default;

Result<Address> HttpServer::Listen(const Address& address) {
  error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, code),
                               address.port);
  acceptor_ = std::make_unique<tcp::acceptor>(pool_.at(0));
  if (!code) acceptor_->open(endpoint.protocol(), code);
  if (!code) acceptor_->set_option(tcp::acceptor::reuse_address(true), code);
  if (!code) acceptor_->bind(endpoint, code);
  if (!code) acceptor_->listen(asio::socket_base::max_listen_connections, code);
  if (!code) acceptor_->non_blocking(true, code);
  if (code) {
    acceptor_.reset();
    return Error{ErrorId::kSettingInvalid,
                 fmt::format("cannot listen on {}: {}", ToString(address),
                             code.message()),
                 Verdict::kNotRun};
  }
  SpawnLoop(pool_.at(0).get_executor(), "accept",
            [this] { return AcceptLoop(); });
  return Address{address.ip, acceptor_->local_endpoint().port()};
}

void HttpServer::StopAccepting() {
  CloseAfterResponses();
  asio::post(pool_.at(0), [this] {
    if (!acceptor_) return;
    // The kernel would reset connections that wait to be accepted.
    CallGuarded("accept", [this] { AcceptWaiting(); });
    error_code ignored;
    acceptor_->close(ignored);
  });
}

void HttpServer::CloseIdle() {
  for (auto& shard : shards_) {
    asio::post(*shard->context, [&shard = *shard] {
      for (Session* session : shard.idle) {
        error_code ignored;
        if (!session->IsNew()) session->socket.cancel(ignored);
      }
    });
  }
}

asio::awaitable<void> HttpServer::AcceptLoop() {
  constexpr std::chrono::milliseconds kPauseWithoutDescriptors{50};
  while (acceptor_->is_open()) {
    Shard& shard = NextShard();
    auto [code, socket] =
        co_await acceptor_->async_accept(*shard.context, kAsTuple);
    if (!code) Start(std::move(socket), shard);
    if (!acceptor_->is_open()) co_return;
    if (code || !AcceptWaiting()) {
      co_await Sleep(kPauseWithoutDescriptors);
    }
  }
}

bool HttpServer::AcceptWaiting() {
  // An asynchronous accept takes one connection in each turn of the loop, so
  // that on a busy loop they would wait where its lag does not show.
  constexpr int kMaxAccepts = 256;
  for (int i = 0; i < kMaxAccepts; ++i) {
    Shard& shard = NextShard();
    error_code code;
    tcp::socket socket = acceptor_->accept(*shard.context, code);
    if (code == asio::error::would_block) return true;
    // The peer has gone while it waited.
    if (code == asio::error::connection_aborted) continue;
    if (code) return false;
    Start(std::move(socket), shard);
  }
  return true;
}

void HttpServer::Start(tcp::socket socket, Shard& shard) {
  // Share of the connections that may be open in addition, to be refused.
  constexpr std::size_t kRefusedShare = 8;
  const std::size_t most =
      limits_.max_connections + limits_.max_connections / kRefusedShare + 1;
  if (connections_.load() >= static_cast<std::int64_t>(most)) {
    connection_counts_.refused.fetch_add(1);
    return;  // The socket closes; a balancer tries another host.
  }
  // Counted here, as the connection may start on another loop.
  connections_.fetch_add(1);
  Spawn(shard.context->get_executor(), "connection",
        Serve(std::move(socket), shard));
}

asio::awaitable<void> HttpServer::Serve(tcp::socket socket, Shard& shard) {
  error_code ignored;
  SetStreamOptions(socket);
  Session session(std::move(socket), shard, limits_.head_bytes);
  const bool is_full =
      connections_.load() > static_cast<std::int64_t>(limits_.max_connections);
  try {
    if (is_full && !CloseLongestIdle(shard)) {
      connection_counts_.refused.fetch_add(1);
      Error error{ErrorId::kOverloaded, "all connections are in use",
                  Verdict::kNotRun};
      const std::shared_ptr<void> reading_guard = CountWhileHeld(reading_);
      co_await Reject(session, std::move(error));
    } else {
      while (co_await ServeOne(session)) {
      }
    }
  } catch (const std::exception& error) {
    ReportTaskFailure("connection", error.what());
    session.LeaveIdle();
  }
  session.socket.shutdown(tcp::socket::shutdown_both, ignored);
  if (session.is_counted) connections_.fetch_sub(1);
}

bool HttpServer::CloseLongestIdle(Shard& shard) {
  const auto longest =
      std::find_if(shard.idle.begin(), shard.idle.end(),
                   [](const Session* session) { return !session->IsNew(); });
  if (longest == shard.idle.end()) return false;
  Session* session = *longest;
  session->LeaveIdle();
  session->is_counted = false;
  connections_.fetch_sub(1);
  error_code ignored;
  session->socket.cancel(ignored);
  connection_counts_.closed_idle.fetch_add(1);
  return true;
}

asio::awaitable<bool> HttpServer::WaitForRequest(Session& session) {
  if (session.buffer.size() > 0) co_return true;
  if (is_closing_.load() && session.served > 0) co_return false;
  // The request of a new connection is on its way.
  std::shared_ptr<void> new_guard;
  nanoseconds wait = limits_.idle_timeout;
  if (is_closing_.load() && session.IsNew()) {
    new_guard = CountWhileHeld(reading_);
    wait = Session::kNewTime;
  }
  session.EnterIdle();
  session.watchdog.Arm(wait);
  const auto [code, bytes] = co_await ReadSome(session.socket, session.buffer);
  session.watchdog.Disarm();
  session.LeaveIdle();
  co_return !code;
}

asio::awaitable<std::optional<Request>> HttpServer::ReadRequest(
    Session& session, HeldBytes& held) {
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.head_bytes));
  parser.body_limit(limits_.body_bytes);
  session.watchdog.Arm(limits_.head_timeout);
  const auto [head_code, head_bytes] = co_await http::async_read_header(
      session.socket, session.buffer, parser, kAsTuple);
  session.watchdog.Disarm();
  if (head_code) {
    co_await RejectInput(session, head_code,
                         TooSlow("head", limits_.head_timeout));
    co_return std::nullopt;
  }
  // Refused at once, where the length is known, so that the body is not sent in
  // vain.
  const auto length = parser.content_length();
  if (length && !held.TryGrowTo(kBodyCopies * *length)) {
    co_await RejectInput(session, asio::error::no_buffer_space, Error());
    co_return std::nullopt;
  }
  if (Header(parser.get(), "Expect") == "100-continue") {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(session.socket, asio::buffer(kContinue),
                               kAsTuple);
  }
  if (parser.is_done()) co_return parser.release();
  session.watchdog.Arm(limits_.body_timeout);
  const error_code body_code = co_await ReadBody(
      session.socket, session.buffer, session.watchdog, parser, held);
  session.watchdog.Disarm();
  if (!body_code && parser.is_done()) co_return parser.release();
  co_await RejectInput(session, body_code,
                       TooSlow("body", limits_.body_timeout));
  co_return std::nullopt;
}

asio::awaitable<bool> HttpServer::ServeOne(Session& session) {
  if (!co_await WaitForRequest(session)) co_return false;
  HeldBytes held(held_limit_);
  std::shared_ptr<void> reading_guard = CountWhileHeld(reading_);
  auto request = co_await ReadRequest(session, held);
  if (!request) co_return false;
  counts_.read.fetch_add(1);
  const std::shared_ptr<void> running_guard = CountWhileHeld(running_);
  reading_guard.reset();
  Exchange exchange(session.socket, std::move(*request), is_closing_.load(),
                    limits_, session.shard.index, held);
  ++session.served;
  std::string failure;
  try {
    co_await handler_(exchange);
  } catch (const std::exception& error) {
    failure = error.what();
    ReportTaskFailure("handler", failure);
  }
  if (!failure.empty() && !exchange.is_started()) {
    exchange.CloseAfter();
    const Error error{ErrorId::kInternal, "the request cannot be handled",
                      Verdict::kMayHaveRun};
    Response response = format_rejection_(error);
    co_await exchange.Respond(std::move(response));
  }
  CountEnd(exchange, failure);
  co_return exchange.is_reusable() && !is_closing_.load();
}

void HttpServer::CountEnd(const Exchange& exchange,
                          const std::string& failure) {
  if (exchange.is_finished()) {
    counts_.answered.fetch_add(1);
  } else if (exchange.IsCallerGone()) {
    counts_.caller_gone.fetch_add(1);
  } else {
    counts_.cut.fetch_add(1);
    telemetry::Log(telemetry::Level::kWarning, telemetry::event::kExchangeCut,
                   {{"target", std::string(Target(exchange.request()))},
                    {"is_started", exchange.is_started()},
                    {"message", failure}});
  }
}

asio::awaitable<void> HttpServer::RejectInput(Session& session, error_code code,
                                              Error if_slow) {
  if (session.watchdog.has_expired()) {
    co_await Reject(session, std::move(if_slow));
    co_return;
  }
  if (auto error = ToError(code, limits_)) {
    co_await Reject(session, std::move(*error));
  }
}

asio::awaitable<void> HttpServer::Reject(Session& session, Error error) {
  HeldBytes held(held_limit_);
  Exchange exchange(session.socket, Request{}, /*close_after=*/true, limits_,
                    session.shard.index, held);
  co_await exchange.Respond(format_rejection_(error));
  // Discard what the peer still sends, so that the answer is not lost to a
  // reset.
  constexpr std::chrono::milliseconds kLinger{200};
  constexpr std::chrono::milliseconds kMaxLinger{2000};
  const auto until = RuntimeClock::now() + kMaxLinger;
  error_code ignored;
  session.socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::size_t discarded = 0;
  while (discarded <= limits_.body_bytes && RuntimeClock::now() < until) {
    session.buffer.clear();
    session.watchdog.Arm(kLinger);
    const auto [code, bytes] =
        co_await ReadSome(session.socket, session.buffer);
    if (code) co_return;
    discarded += bytes;
  }
}

}  // namespace beryllane::net
