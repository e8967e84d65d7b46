#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <stdexcept>

#include "fmt/format.h"
#include "src/wire/peer_bus.h"
#include "src/wire/peer_link.h"
#include "tests/support/fleet.h"

namespace beryllane::wire {
namespace {

using std::chrono::milliseconds;

class PeerLink : public ::testing::Test {
 protected:
  Result<std::string> Call(const std::string& address,
                           const std::string& message) {
    std::optional<Result<std::string>> result;
    net::asio::co_spawn(
        loop_,
        [&]() -> net::asio::awaitable<void> {
          result = co_await client_.Call(address, message, milliseconds(2000));
        },
        net::asio::detached);
    const auto until = RuntimeClock::now() + std::chrono::seconds(10);
    while (!result && RuntimeClock::now() < until) {
      loop_.restart();
      loop_.run_for(milliseconds(20));
    }
    if (!result) return Error{ErrorId::kPeerUnreachable, "no result", {}};
    return std::move(*result);
  }

  net::asio::io_context loop_{1};
  MetricRegistry metrics_;
  PeerClient client_{loop_, metrics_};
};

// A call that failed at once completed within its own start.
TEST_F(PeerLink, ACallToAnAddressThatCannotBeUsedFails) {
  const auto result = Call("no address", "hello");
  ASSERT_FALSE(result.ok());
  EXPECT_NE(result.error().message, "no result");
}

// A request whose handler failed was never replied to, and its slot was lost.
TEST_F(PeerLink, AFailedHandlerRepliesAndKeepsItsSlot) {
  constexpr int kMoreThanSlots = 70;
  PeerServer server(loop_, metrics_,
                    [](const std::string& request, const ReplyFunction& reply) {
                      if (request == "bad") throw std::runtime_error("planted");
                      reply("fine");
                    });
  const std::string address = net::ToString(testing::FreeAddress());
  ASSERT_TRUE(server.Listen(address).ok());
  for (int i = 0; i < kMoreThanSlots; ++i) {
    const auto failed = Call(address, "bad");
    ASSERT_TRUE(failed.ok());
    EXPECT_EQ(failed.value(), "");
  }
  const auto answered = Call(address, "good");
  ASSERT_TRUE(answered.ok());
  EXPECT_EQ(answered.value(), "fine");
}

// After a first failure to listen, a second attempt was not possible.
TEST_F(PeerLink, AnAddressCanBeOpenedOnceItIsFree) {
  const net::Address address = testing::FreeAddress();
  const std::string text = net::ToString(address);
  PeerServer server(
      loop_, metrics_,
      [](const std::string&, const ReplyFunction& reply) { reply("fine"); });
  {
    const net::tcp::acceptor holder(
        loop_, {net::asio::ip::make_address(address.ip), address.port});
    PeerBus bus(loop_, metrics_, [](const std::string&) {});
    EXPECT_FALSE(bus.Listen(text).ok());
    EXPECT_FALSE(server.Listen(text).ok());
  }
  ASSERT_TRUE(server.Listen(text).ok());
  EXPECT_TRUE(Call(text, "hello").ok());
}

}  // namespace
}  // namespace beryllane::wire
