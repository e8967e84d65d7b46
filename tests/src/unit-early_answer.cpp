// Servers that answer before they have read the whole request.
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "src/net/http_client.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 4000000;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string Body() {
  std::string body;
  while (body.size() < kBodyBytes) {
    body += "POST /quoted HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  }
  return body;
}

class EarlyAnswer : public ::testing::Test {
 protected:
  EarlyAnswer() : early_(Listen()), other_(Listen()) {}

  // With the segments of an Ethernet link the system takes no large request at
  // once.
  tcp::acceptor Listen() {
    using MaxSegment =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    constexpr int kSegmentBytes = 1448;
    tcp::acceptor acceptor(loop_, tcp::v4());
    acceptor.set_option(MaxSegment(kSegmentBytes));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    return acceptor;
  }

  // Refuses requests after a part of their body and reads on.
  asio::awaitable<void> RefuseEarly() {
    constexpr std::size_t kPart = 300000;
    for (;;) {
      tcp::socket socket = co_await early_.async_accept(asio::use_awaitable);
      std::string received;
      auto [code, bytes] =
          co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                    asio::transfer_at_least(kPart), kAsTuple);
      static const std::string kAnswer =
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(kAnswer), kAsTuple);
      co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                asio::transfer_all(), kAsTuple);
      if (received.size() < kBodyBytes) ++partial_requests_;
    }
  }
  // Reads whole requests and checks their bodies.
  asio::awaitable<void> ServeWhole() {
    for (;;) {
      tcp::socket socket = co_await other_.async_accept(asio::use_awaitable);
      std::string received;
      auto [code, bytes] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(received), kHeadEnd, kAsTuple);
      const std::string head = received.substr(0, bytes);
      received.erase(0, bytes);
      co_await asio::async_read(
          socket, asio::dynamic_buffer(received),
          asio::transfer_at_least(Body().size() - received.size()), kAsTuple);
      if (!head.starts_with("POST /whole ") || received != Body()) ++damaged_;
      static const std::string kAnswer =
          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(kAnswer), kAsTuple);
    }
  }
  asio::awaitable<void> Call(const tcp::acceptor& server, std::string path) {
    const Address address{"127.0.0.1", server.local_endpoint().port()};
    Request request = MakeRequest(http::verb::post, path, Body(), "text/plain");
    auto answer = co_await client_.Call(address, std::move(request), {});
    if (answer.ok()) ++answered_;
  }
  asio::awaitable<void> CallBoth(int times) {
    for (int i = 0; i < times; ++i) {
      co_await Call(early_, "/refused");
      co_await Call(other_, "/whole");
    }
    loop_.stop();
  }

  asio::io_context loop_{1};
  tcp::acceptor early_;
  tcp::acceptor other_;
  HttpClient client_{loop_};
  int partial_requests_ = 0;
  int damaged_ = 0;
  int answered_ = 0;
};

// The rest of a refused request was written to the next request's connection.
TEST_F(EarlyAnswer, TheRestOfARefusedRequestReachesNoOtherConnection) {
  constexpr int kTimes = 40;
  asio::co_spawn(loop_, RefuseEarly(), asio::detached);
  asio::co_spawn(loop_, ServeWhole(), asio::detached);
  asio::co_spawn(loop_, CallBoth(kTimes), asio::detached);
  loop_.run_for(std::chrono::seconds(30));
  EXPECT_GT(partial_requests_, kTimes / 2);
  EXPECT_EQ(damaged_, 0);
  EXPECT_EQ(answered_, 2 * kTimes);
}

}  // namespace
}  // namespace beryllane::net
