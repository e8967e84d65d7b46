// A target that answers a long upload at once and resets the connection, behind
// a router.
#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

#include "fmt/format.h"
#include "src/net/runtime.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Answers with a part of a body without a length, and resets the connection.
class ResettingTarget {
 public:
  ResettingTarget() : acceptor_(loop_, net::tcp::v4()) {
    using MaxSegment =
        net::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    constexpr int kSegmentBytes = 1460;
    constexpr int kReceiveBytes = 65536;
    // The loopback interface would take the whole upload at once.
    acceptor_.set_option(MaxSegment(kSegmentBytes));
    acceptor_.set_option(
        net::asio::socket_base::receive_buffer_size(kReceiveBytes));
    acceptor_.bind({net::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~ResettingTarget() {
    is_stopping_ = true;
    net::error_code ignored;
    net::tcp::socket(loop_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  ResettingTarget(const ResettingTarget&) = delete;
  ResettingTarget& operator=(const ResettingTarget&) = delete;

  net::Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  void set_pause(milliseconds pause) { pause_ = pause; }

 private:
  void Serve() {
    for (;;) {
      net::tcp::socket socket = acceptor_.accept();
      if (is_stopping_) return;
      net::error_code ignored;
      std::string request;
      net::asio::read_until(socket, net::asio::dynamic_buffer(request),
                            "\r\n\r\n", ignored);
      static const std::string kAnswer =
          "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\npart";
      net::asio::write(socket, net::asio::buffer(kAnswer), ignored);
      std::this_thread::sleep_for(pause_.load());
      socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
  }

  net::asio::io_context loop_;
  net::tcp::acceptor acceptor_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<milliseconds> pause_{milliseconds(0)};
  std::thread thread_;
};

// The part of the body reached callers as a whole answer.
TEST(EarlyReset, OfAnUploadIsNoSuccess) {
  constexpr std::size_t kBodyBytes = 3000000;
  constexpr unsigned kBadGateway = 502;
  ResettingTarget target;
  PlatformFleet fleet;
  json config = PlatformFleet::FirstConfig();
  config["version"] = 2;
  config["limits"]["maxBodyBytes"] = kBodyBytes;
  fleet.Put("keyed.op", "config", config);
  for (int i = 0; i < PlatformFleet::kDesks; ++i) fleet.desk(i).Kill();
  for (const char* id : {"desk-0", "desk-1"}) {
    fleet.ControlStore({{"drop", {{"topic", "keyed.servers"}, {"key", id}}}});
  }
  fleet.Put("keyed.servers", "resetting",
            {{"service", "desk"},
             {"address", net::ToString(target.address())},
             {"zone", "zone-a"},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"coldRemainingMs", 0},
             {"sequence", 1},
             {"born", 1}});
  ASSERT_TRUE(Eventually([&] {
    return fleet.Metric(0, "beryllane_config_version") == 2 &&
           fleet.Metric(0, "beryllane_targets") == PlatformFleet::kRunners + 1;
  }));
  const std::string body(kBodyBytes, 'x');
  for (const int pause_ms : {0, 5, 30, 200}) {
    target.set_pause(milliseconds(pause_ms));
    for (int i = 0; i < 4; ++i) {
      const std::string id = fmt::format("r{}-{}", pause_ms, i);
      const auto answer = fleet.Send(0, "/book/x", id, {}, body);
      ASSERT_TRUE(answer.ok()) << answer.error().message;
      EXPECT_EQ(answer.value().result_int(), kBadGateway) << id;
      EXPECT_NE(answer.value().body(), "part") << id;
    }
  }
}

}  // namespace
}  // namespace beryllane::testing
