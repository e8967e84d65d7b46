#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include "beryllane/invariant/invariant.h"
#include "src/net/http_server.h"
#include "tests/support/fleet.h"

namespace beryllane::net {
namespace {

constexpr const char* kRequests =
    "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\n"
    "Host: h\r\n\r\n";

// What a caller gets who sends two requests on one connection.
std::string Received(const Handler& handler) {
  invariant::SetFatal(false);
  ContextPool pool(1);
  const ServerLimits limits;
  HttpServer server(pool, limits, handler, [](const Error& error) {
    return MakeResponse(400, error.message, "text/plain");
  });
  const auto address = server.Listen({"127.0.0.1", 0});
  EXPECT_TRUE(address.ok());
  pool.Start();
  std::string received =
      testing::CallRaw(address.value(), kRequests, std::chrono::seconds(10));
  pool.Stop();
  pool.Join();
  return received;
}

std::uint64_t Violations() {
  return invariant::Counts()["one-head-per-request"];
}

TEST(Exchange, ASecondResponseIsNotSentAndClosesTheConnection) {
  const std::uint64_t before = Violations();
  const std::string received =
      Received([](Exchange& exchange) -> asio::awaitable<void> {
        Response response = MakeResponse(200, "one", "text/plain");
        EXPECT_TRUE(co_await exchange.Respond(response));
        EXPECT_FALSE(co_await exchange.Respond(std::move(response)));
      });
  EXPECT_EQ(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
  EXPECT_TRUE(received.ends_with("\r\n\r\none")) << received;
  EXPECT_EQ(Violations(), before + 1);
}

TEST(Exchange, AResponseInsideAStreamIsNotSentAndClosesTheConnection) {
  const std::uint64_t before = Violations();
  const std::string received =
      Received([](Exchange& exchange) -> asio::awaitable<void> {
        http::response<http::empty_body> head(http::status::ok, kHttp11);
        EXPECT_TRUE(co_await exchange.StartStream(head, "one"));
        Response response = MakeResponse(404, "two", "text/plain");
        EXPECT_FALSE(co_await exchange.Respond(std::move(response)));
        EXPECT_FALSE(co_await exchange.StartStream(std::move(head), "three"));
      });
  EXPECT_TRUE(received.ends_with("\r\n\r\n3\r\none\r\n")) << received;
  EXPECT_EQ(Violations(), before + 2);
}

asio::awaitable<void> CountTurns(const std::atomic<int>& answered, int until,
                                 int& turns) {
  while (answered < until) {
    ++turns;
    co_await asio::post(asio::use_awaitable);
  }
}

TEST(HttpServer, ConnectionsThatWaitAreAcceptedTogether) {
  constexpr int kConnections = 40;
  constexpr int kAnswers = 2 * kConnections;
  ContextPool pool(1);
  std::atomic<int> answered = 0;
  const Handler handler = [&](Exchange& exchange) -> asio::awaitable<void> {
    Response response = MakeResponse(200, "", "text/plain");
    co_await exchange.Respond(std::move(response));
    ++answered;
  };
  HttpServer server(pool, {}, handler, [](const Error& error) {
    return MakeResponse(400, error.message, "text/plain");
  });
  const auto address = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(address.ok());
  asio::io_context callers;
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < kConnections; ++i) {
    sockets.emplace_back(callers);
    sockets.back().connect(
        {asio::ip::make_address(address.value().ip), address.value().port});
    asio::write(sockets.back(), asio::buffer(std::string_view(kRequests)));
  }
  int turns = 0;
  asio::co_spawn(pool.at(0), CountTurns(answered, kAnswers, turns),
                 asio::detached);
  pool.Start();
  EXPECT_TRUE(testing::Eventually([&] { return answered >= kAnswers; }));
  pool.Stop();
  pool.Join();
  EXPECT_LT(turns, kConnections / 2);
}

}  // namespace
}  // namespace beryllane::net
