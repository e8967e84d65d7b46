#include "tests/soak/callers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <random>
#include <tuple>
#include <utility>

#include "fmt/format.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::soak {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using testing::PlatformFleet;

constexpr int kCallersPerRouter = 4;
// Over the routes' timeout, which a router may use up.
constexpr milliseconds kPatience{10000};
// One in this many requests is given up by its caller.
constexpr std::uint64_t kAbandonedEvery = 20;
constexpr milliseconds kAbandonAfter{30};
// One in this many requests uses each key but the first.
constexpr std::uint64_t kOtherKeyEvery = 3;
constexpr milliseconds kPauseBetweenCalls{15};
constexpr milliseconds kPauseAfterFailure{60};

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kAdvice || kind == RequestKind::kChat;
}

net::Request RequestOf(const CallRecord& call) {
  net::Request request =
      net::MakeRequest(net::http::verb::post, PathOf(call.kind), call.id);
  request.set("Host", PlatformFleet::kHost);
  request.set("Attempt-Id", call.id);
  request.set("Credential", call.key);
  if (IsStream(call.kind)) {
    request.set("Model", PlatformFleet::kModel);
    request.set("Token-Usage", "1000,20");
    request.set("Prompt-Prefix", "aa:500,bb:300,cc:200");
  }
  request.prepare_payload();
  return request;
}

std::size_t SlotOf(const CallRecord& call) {
  return static_cast<std::size_t>(call.router) * kRequestKinds +
         static_cast<std::size_t>(call.kind);
}

// A connection that is used until one side closes it.
class Connection {
 public:
  Connection(net::asio::io_context& loop, const net::Address& router)
      : stream_(loop),
        endpoint_(net::asio::ip::make_address(router.ip), router.port) {}

  awaitable<void> Call(CallRecord& call, bool is_abandoned) {
    net::error_code code;
    stream_.expires_after(kPatience);
    if (!stream_.socket().is_open()) {
      buffer_.clear();
      std::tie(code) = co_await stream_.async_connect(endpoint_, net::kAsTuple);
    }
    if (!code) {
      co_await Exchange(call, is_abandoned, code);
    }
    if (code) {
      call.end = code == net::beast::error::timeout ? CallEnd::kTimedOut
                                                    : CallEnd::kClosed;
      stream_.close();
    }
    if (is_abandoned && call.end == CallEnd::kTimedOut) {
      call.end = CallEnd::kAbandoned;
    }
    call.ended_at = std::chrono::steady_clock::now();
  }

 private:
  awaitable<void> Exchange(CallRecord& call, bool is_abandoned,
                           net::error_code& code) {
    std::size_t size = 0;
    const net::Request request = RequestOf(call);
    std::tie(code, size) =
        co_await net::http::async_write(stream_, request, net::kAsTuple);
    if (code) co_return;
    if (is_abandoned) stream_.expires_after(kAbandonAfter);
    net::http::response_parser<net::http::string_body> parser;
    std::tie(code, size) = co_await net::http::async_read_header(
        stream_, buffer_, parser, net::kAsTuple);
    if (code) co_return;
    const net::Response& head = parser.get();
    call.status = static_cast<int>(head.result_int());
    call.answered_id = net::Header(head, "Attempt-Id");
    call.is_sealed = !net::Header(head, "Response-Seal").empty();
    std::tie(code, size) =
        co_await net::http::async_read(stream_, buffer_, parser, net::kAsTuple);
    call.body = parser.get().body();
    if (code) co_return;
    call.end = CallEnd::kAnswered;
    if (!parser.get().keep_alive()) stream_.close();
  }

  net::beast::tcp_stream stream_;
  net::tcp::endpoint endpoint_;
  net::beast::flat_buffer buffer_;
};

}  // namespace

std::string PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kBook:
      return "/book/order";
    case RequestKind::kStock:
      return "/book/stock/beads";
    case RequestKind::kAdvice:
      return "/advice/x";
    case RequestKind::kChat:
      return "/chat/x";
  }
  return "";
}

Callers::Callers(std::vector<net::Address> routers,
                 std::vector<std::string> keys, std::uint64_t seed)
    : routers_(std::move(routers)),
      keys_(std::move(keys)),
      served_(routers_.size() * kRequestKinds) {
  const int callers = static_cast<int>(routers_.size()) * kCallersPerRouter;
  for (int i = 0; i < callers; ++i) {
    net::asio::co_spawn(loop_, Run(i, seed + static_cast<std::uint64_t>(i)),
                        net::asio::detached);
  }
  thread_ = std::thread([this] { loop_.run(); });
}

Callers::~Callers() {
  is_ending_ = true;
  if (thread_.joinable()) thread_.join();
}

std::vector<CallRecord> Callers::Finish() {
  is_ending_ = true;
  thread_.join();
  return std::move(records_);
}

std::vector<std::uint64_t> Callers::Served() const {
  return {served_.begin(), served_.end()};
}

CallRecord Callers::NextCall(int caller, std::uint64_t number,
                             std::uint64_t drawn) {
  CallRecord call;
  call.id = fmt::format("call-{}-{}", caller, number);
  call.kind = static_cast<RequestKind>(number % kRequestKinds);
  call.key = drawn % kOtherKeyEvery == 0 ? keys_[number % keys_.size()]
                                         : keys_.front();
  call.router = caller % static_cast<int>(routers_.size());
  call.sent_at = std::chrono::steady_clock::now();
  return call;
}

awaitable<void> Callers::Run(int caller, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Connection connection(
      loop_, routers_[static_cast<std::size_t>(caller) % routers_.size()]);
  for (std::uint64_t number = 0; !is_ending_; ++number) {
    CallRecord call = NextCall(caller, number, random());
    co_await connection.Call(call, random() % kAbandonedEvery == 0);
    const bool is_answered = call.end == CallEnd::kAnswered;
    if (is_answered && call.status == 200) ++served_[SlotOf(call)];
    records_.push_back(std::move(call));
    co_await net::Sleep(is_answered ? kPauseBetweenCalls : kPauseAfterFailure);
  }
}

}  // namespace beryllane::soak
