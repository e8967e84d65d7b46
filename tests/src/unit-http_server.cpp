#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <stdexcept>
#include <thread>
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

// A handler that failed closed the connection without an answer.
TEST(HttpServer, AFailureOfItsHandlerIsAnswered) {
  const std::string received =
      Received([](Exchange& exchange) -> asio::awaitable<void> {
        if (Target(exchange.request()) == "/first") {
          throw std::runtime_error("planted");
        }
        co_return;
      });
  EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << received;
  EXPECT_NE(received.find("cannot be handled"), std::string::npos) << received;
}

// Requests that ended without an answer were not counted.
TEST(HttpServer, EachRequestIsCountedByItsEnd) {
  ContextPool pool(1);
  const Handler handler = [](Exchange& exchange) -> asio::awaitable<void> {
    if (Target(exchange.request()) == "/second") co_return;
    Response response = MakeResponse(200, "", "text/plain");
    co_await exchange.Respond(std::move(response));
  };
  HttpServer server(pool, {}, handler, [](const Error& error) {
    return MakeResponse(400, error.message, "text/plain");
  });
  const auto address = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(address.ok());
  pool.Start();
  testing::CallRaw(address.value(), kRequests, std::chrono::seconds(10));
  const ExchangeCounts& counts = server.counts();
  EXPECT_EQ(counts.read, 2U);
  EXPECT_EQ(counts.answered, 1U);
  EXPECT_EQ(counts.cut, 1U);
  EXPECT_EQ(counts.caller_gone, 0U);
  EXPECT_EQ(server.running(), 0);
  EXPECT_EQ(server.reading(), 0);
  pool.Stop();
  pool.Join();
}

// Idle connections up to the limit kept new callers out.
TEST(HttpServer, ANewConnectionTakesThePlaceOfTheLongestIdle) {
  constexpr std::size_t kMost = 4;
  ContextPool pool(1);
  ServerLimits limits;
  limits.max_connections = kMost;
  const Handler handler = [](Exchange& exchange) -> asio::awaitable<void> {
    const bool is_slow = Target(exchange.request()) == "/slow";
    if (is_slow) {
      co_await Sleep(std::chrono::seconds(2));
    }
    Response response = MakeResponse(200, "", "text/plain");
    co_await exchange.Respond(std::move(response));
  };
  HttpServer server(pool, limits, handler, [](const Error& error) {
    return MakeResponse(503, error.message, "text/plain");
  });
  const auto address = server.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(address.ok());
  pool.Start();
  const tcp::endpoint endpoint(asio::ip::make_address(address.value().ip),
                               address.value().port);
  asio::io_context callers;
  std::vector<tcp::socket> idle;
  for (std::size_t i = 0; i < kMost; ++i) {
    idle.emplace_back(callers).connect(endpoint);
  }
  ASSERT_TRUE(
      testing::Eventually([&] { return server.connections() == kMost; }));
  // The request of a new connection may be on its way for a second.
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  std::vector<std::thread> slow;
  for (std::size_t i = 0; i < kMost; ++i) {
    slow.emplace_back([&] {
      const std::string answer = testing::CallRaw(
          address.value(),
          "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
          std::chrono::seconds(10));
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    });
  }
  ASSERT_TRUE(testing::Eventually([&] { return server.running() == kMost; }));
  EXPECT_EQ(server.connection_counts().closed_idle, kMost);
  // None is idle any more.
  EXPECT_TRUE(
      testing::CallRaw(address.value(), kRequests, std::chrono::seconds(10))
          .starts_with("HTTP/1.1 503"));
  EXPECT_EQ(server.connection_counts().refused, 1U);
  for (std::thread& thread : slow) thread.join();
  pool.Stop();
  pool.Join();
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

// A server whose handler waits until `may_answer` holds.
class HeldBodies : public ::testing::Test {
 protected:
  static constexpr std::size_t kBody = 40000;

  HeldBodies() {
    ServerLimits limits;
    // Two copies of a body fit, but not four.
    limits.held_bytes = 3 * kBody;
    server_ = std::make_unique<HttpServer>(
        pool_, limits, [this](Exchange& exchange) { return Handle(exchange); },
        [](const Error& error) {
          return MakeResponse(HttpStatus(error.id), error.message,
                              "text/plain");
        });
    address_ = server_->Listen({"127.0.0.1", 0}).value();
    pool_.Start();
  }
  ~HeldBodies() override {
    may_answer_ = true;
    pool_.Stop();
    pool_.Join();
  }

  std::string Send(const std::string& framing, const std::string& body) const {
    return testing::CallRaw(
        address_,
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + framing +
            "\r\n\r\n" + body,
        std::chrono::seconds(10));
  }
  std::string SendLength(std::size_t size) const {
    return Send("Content-Length: " + std::to_string(size),
                std::string(size, 'x'));
  }
  std::string SendChunks(std::size_t size) const {
    constexpr std::size_t kChunk = 1000;
    std::string body;
    for (std::size_t i = 0; i < size; i += kChunk) {
      body += "3e8\r\n" + std::string(kChunk, 'x') + "\r\n";
    }
    return Send("Transfer-Encoding: chunked", body + "0\r\n\r\n");
  }
  bool IsHeld() const { return server_->held().held() >= 2 * kBody; }

  ContextPool pool_{1};
  std::unique_ptr<HttpServer> server_;
  Address address_;
  std::atomic<bool> may_answer_{false};

 private:
  asio::awaitable<void> Handle(Exchange& exchange) {
    while (!may_answer_) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    Response response = MakeResponse(200, "done", "text/plain");
    co_await exchange.Respond(std::move(response));
  }
};

// Bodies of many requests at once took up all memory.
TEST_F(HeldBodies, ABodyWithoutRoomIsRefusedUntilAnotherIsAnswered) {
  std::thread first(
      [this] { EXPECT_TRUE(SendLength(kBody).starts_with("HTTP/1.1 200")); });
  ASSERT_TRUE(testing::Eventually([this] { return IsHeld(); }));
  EXPECT_TRUE(SendLength(kBody).starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(SendChunks(kBody).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(server_->held().refusals(), 2U);
  may_answer_ = true;
  first.join();
  EXPECT_TRUE(
      testing::Eventually([this] { return server_->held().held() == 0; }));
  EXPECT_TRUE(SendLength(kBody).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(SendChunks(kBody).starts_with("HTTP/1.1 200"));
}

// Chunk extensions and trailers of requests were kept without a bound.
TEST_F(HeldBodies, LinesWithoutEndInAChunkedBodyAreRefused) {
  constexpr std::size_t kMany = 4 * 1024 * 1024;
  for (const std::string begin : {"5;", "5\r\nhello\r\n0\r\n"}) {
    const std::string answer =
        Send("Transfer-Encoding: chunked", begin + std::string(kMany, 'x'));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
  }
}

}  // namespace
}  // namespace beryllane::net
