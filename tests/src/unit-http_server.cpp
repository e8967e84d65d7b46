#include <gtest/gtest.h>

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

}  // namespace
}  // namespace beryllane::net
