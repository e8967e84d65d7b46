// Tests of the limit on the wait for an answer's head, on the paused clock.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

#include "src/net/http_client.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

class HttpClientWait : public ::testing::Test {
 protected:
  HttpClientWait()
      : acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), 0}),
        server_(loop_),
        client_(loop_) {
    RuntimeClock::Pause();
  }
  ~HttpClientWait() override { RuntimeClock::Resume(); }

  // Lets everything that can happen at the present time happen.
  void Settle() { loop_.run_for(milliseconds(60)); }
  void Advance(milliseconds time) {
    RuntimeClock::Advance(time);
    Settle();
  }
  // Calls the server, which takes the connection and answers nothing.
  void Call(CallOptions options) {
    asio::co_spawn(loop_, Run(std::move(options)), asio::detached);
    acceptor_.async_accept(server_, [](const error_code& code) {
      EXPECT_FALSE(code) << code.message();
    });
    Settle();
  }
  void Send(const std::string& bytes) {
    asio::write(server_, asio::buffer(bytes));
    Settle();
  }
  bool has_ended() const { return error_.has_value(); }

  asio::io_context loop_{1};
  tcp::acceptor acceptor_;
  tcp::socket server_;
  HttpClient client_;
  std::optional<Error> error_;
  std::string body_;

 private:
  asio::awaitable<void> Run(CallOptions options) {
    const Address address{"127.0.0.1", acceptor_.local_endpoint().port()};
    auto answer = co_await client_.Open(
        address, MakeRequest(http::verb::post, "/", body_, ""),
        std::move(options));
    EXPECT_FALSE(answer.ok());
    if (!answer.ok()) error_ = answer.error();
  }
};

CallOptions WithoutMoreTime() {
  CallOptions options;
  options.answer_timeout = milliseconds(1000);
  options.more_time = [] { return nanoseconds(0); };
  return options;
}

TEST_F(HttpClientWait, AnInterimHeadDoesNotExtendTheWait) {
  Call(WithoutMoreTime());
  Advance(milliseconds(700));
  Send("HTTP/1.1 103 Early Hints\r\n\r\n");
  ASSERT_FALSE(has_ended());
  Advance(milliseconds(400));
  ASSERT_TRUE(has_ended());
  EXPECT_EQ(error_->id, ErrorId::kTargetSilent);
}

// The limit is computed before the connection is established.
TEST_F(HttpClientWait, TheTimeToConnectCountsWhereTheWaitCanBeExtended) {
  CallOptions options = WithoutMoreTime();
  options.may_send = [] {
    RuntimeClock::Advance(milliseconds(400));
    return true;
  };
  Call(std::move(options));
  Advance(milliseconds(500));
  ASSERT_FALSE(has_ended());
  Advance(milliseconds(200));
  EXPECT_TRUE(has_ended());
}

TEST_F(HttpClientWait, AnErrorNamesTheWholeWait) {
  CallOptions options = WithoutMoreTime();
  options.more_time = [is_asked = false]() mutable {
    const nanoseconds more = is_asked ? nanoseconds(0) : milliseconds(500);
    is_asked = true;
    return more;
  };
  Call(std::move(options));
  Advance(milliseconds(1000));
  ASSERT_FALSE(has_ended());
  Advance(milliseconds(500));
  ASSERT_TRUE(has_ended());
  EXPECT_NE(error_->message.find("within 1500 ms"), std::string::npos)
      << error_->message;
}

// The end of one wait also ended the sending of the request.
TEST_F(HttpClientWait, AnExtendedWaitDoesNotCutTheRequest) {
  constexpr std::size_t kMoreThanTheSystemTakes = 32 * 1024 * 1024;
  body_ = std::string(kMoreThanTheSystemTakes, 'x');
  CallOptions options;
  options.answer_timeout = milliseconds(1000);
  options.more_time = [] { return milliseconds(1000); };
  Call(std::move(options));
  Advance(milliseconds(1500));
  ASSERT_FALSE(has_ended());
  std::string received;
  asio::async_read(server_, asio::dynamic_buffer(received),
                   asio::transfer_at_least(kMoreThanTheSystemTakes),
                   [](const error_code&, std::size_t) {});
  for (int i = 0; i < 50 && received.size() < kMoreThanTheSystemTakes; ++i) {
    Settle();
  }
  EXPECT_GE(received.size(), kMoreThanTheSystemTakes);
}

}  // namespace
}  // namespace beryllane::net
