// Servers that answer before they have read the whole request.
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
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

  // Answers after a part of the request, without a length, and ends in the
  // given way.
  enum class End { kReset, kClose, kWholeRequestRead };
  asio::awaitable<void> AnswerWithoutLength(std::string head, End end,
                                            milliseconds pause) {
    constexpr std::size_t kPart = 300000;
    constexpr int kReceiveBytes = 65536;
    tcp::socket socket = co_await early_.async_accept(asio::use_awaitable);
    socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    std::string received;
    co_await asio::async_read(socket, asio::dynamic_buffer(received),
                              asio::transfer_at_least(kPart), kAsTuple);
    co_await asio::async_write(socket, asio::buffer(head + "\r\n\r\npart"),
                               kAsTuple);
    if (end == End::kWholeRequestRead) {
      const std::size_t size = received.find(kHeadEnd) + kHeadEnd.size() +
                               Body().size() - received.size();
      co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                asio::transfer_at_least(size), kAsTuple);
    }
    co_await Sleep(pause);
    error_code ignored;
    if (end == End::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      co_return;
    }
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    co_await Sleep(milliseconds(200));
  }
  asio::awaitable<void> Upload() {
    const Address address{"127.0.0.1", early_.local_endpoint().port()};
    Request request =
        MakeRequest(http::verb::post, "/early", Body(), "text/plain");
    answer_ = co_await client_.Call(address, std::move(request), {});
    loop_.stop();
  }
  // The status of the answer to a long request; 0 if it is no whole answer.
  unsigned StatusOf(const std::string& status, End end, milliseconds pause) {
    answer_.reset();
    loop_.restart();
    asio::co_spawn(loop_, AnswerWithoutLength("HTTP/1.1 " + status, end, pause),
                   asio::detached);
    asio::co_spawn(loop_, Upload(), asio::detached);
    loop_.run_for(std::chrono::seconds(10));
    EXPECT_TRUE(answer_.has_value());
    if (!answer_ || !answer_->ok()) return 0;
    EXPECT_EQ(answer_->value().body(), "part");
    return answer_->value().result_int();
  }

  asio::io_context loop_{1};
  tcp::acceptor early_;
  tcp::acceptor other_;
  HttpClient client_{loop_};
  int partial_requests_ = 0;
  int damaged_ = 0;
  int answered_ = 0;
  std::optional<Result<Response>> answer_;
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

// The sending consumed the reset, and the reader took the end for the body's.
TEST_F(EarlyAnswer, ThatIsResetWhileTheRequestIsSentIsNotWhole) {
  for (const int pause_ms : {0, 5, 30}) {
    for (const char* status : {"200 OK", "413 Too Large", "500 Failed"}) {
      SCOPED_TRACE(::testing::Message() << status << " " << pause_ms << " ms");
      EXPECT_EQ(StatusOf(status, End::kReset, milliseconds(pause_ms)), 0U);
    }
  }
}

TEST_F(EarlyAnswer, ThatIsClosedWhileTheRequestIsSentIsNoWholeSuccess) {
  EXPECT_EQ(StatusOf("200 OK", End::kClose, milliseconds(5)), 0U);
  EXPECT_EQ(StatusOf("413 Too Large", End::kClose, milliseconds(5)), 413U);
}

TEST_F(EarlyAnswer, ThatIsClosedOnceTheRequestWasReadIsWhole) {
  EXPECT_EQ(StatusOf("200 OK", End::kWholeRequestRead, milliseconds(5)), 200U);
}

}  // namespace
}  // namespace beryllane::net
