// The start and the stop of a router on the platform's stand-ins.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <memory>
#include <thread>

#include "fmt/format.h"
#include "src/net/runtime.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using std::chrono::milliseconds;

// Time in which a process that fails at its start has ended.
constexpr milliseconds kTimeToFail{500};

net::tcp::endpoint EndpointOf(const net::Address& address) {
  return {net::asio::ip::make_address(address.ip), address.port};
}

// Holds an address without passing it on to the processes that it starts.
std::unique_ptr<net::tcp::acceptor> Hold(net::asio::io_context& loop,
                                         const net::Address& address) {
  auto holder = std::make_unique<net::tcp::acceptor>(loop, EndpointOf(address));
  fcntl(holder->native_handle(), F_SETFD, FD_CLOEXEC);
  return holder;
}

// A router that waits in the read of its settings file.
class StartingRouter : public ::testing::Test {
 protected:
  StartingRouter() {
    fleet_.router(0).Kill();
    std::filesystem::remove(path_);
    if (mkfifo(path_.c_str(), S_IRUSR | S_IWUSR) != 0) {
      throw std::runtime_error("cannot make a named pipe");
    }
    fleet_.LaunchRouter(0);
    // Returns once the router has opened the other end.
    pipe_ = open(path_.c_str(), O_WRONLY);
  }

  // Lets the router read its settings and go on.
  void GoOn() {
    const std::string text = fleet_.SettingsOf(0);
    std::filesystem::remove(path_);
    fleet_.WriteSettings(0, text);
    EXPECT_EQ(write(pipe_, text.data(), text.size()),
              static_cast<ssize_t>(text.size()));
    close(pipe_);
  }

  PlatformFleet fleet_;

 private:
  std::string path_ = fleet_.SettingsPath(0);
  int pipe_ = -1;
};

// A reload in the first milliseconds of a process ended it.
TEST_F(StartingRouter, IsNotEndedByAReload) {
  for (int i = 0; i < 3; ++i) fleet_.router(0).Signal(SIGHUP);
  GoOn();
  EXPECT_TRUE(fleet_.WaitReady(0));
  EXPECT_EQ(fleet_.router(0).EndedWith(), std::nullopt);
}

// A stop in the first milliseconds of a process ended it by the signal.
TEST_F(StartingRouter, StopsOnRequest) {
  fleet_.router(0).Signal(SIGTERM);
  GoOn();
  EXPECT_EQ(fleet_.router(0).Wait(), 0);
}

// A settings file that was just being written ended the process at its start.
TEST(Start, WaitsForASettingsFileThatIsBeingWritten) {
  PlatformFleet fleet;
  fleet.router(0).Kill();
  const std::string text = fleet.SettingsOf(0);
  fleet.WriteSettings(0, text.substr(0, text.size() / 2));
  fleet.LaunchRouter(0);
  std::this_thread::sleep_for(kTimeToFail);
  EXPECT_EQ(fleet.router(0).EndedWith(), std::nullopt);
  fleet.WriteSettings(0, text);
  EXPECT_TRUE(fleet.WaitReady(0));
}

// Which of its addresses another process still holds.
enum class Held { kCallers, kReadiness, kRelay };

class HeldAddress : public ::testing::TestWithParam<Held> {
 protected:
  static net::Address AddressOf(const PlatformFleet& fleet, Held held) {
    switch (held) {
      case Held::kCallers:
        return fleet.router_address(0);
      case Held::kReadiness:
        return fleet.ready_address(0);
      case Held::kRelay:
        break;
    }
    net::Address relay = fleet.peer_address(0);
    ++relay.port;
    return relay;
  }
};

// A process that started while the one before it still ran ended at once.
TEST_P(HeldAddress, IsWaitedFor) {
  PlatformFleet fleet;
  fleet.router(0).Kill();
  net::asio::io_context loop;
  auto holder = Hold(loop, AddressOf(fleet, GetParam()));
  fleet.StartRouter(0);
  std::this_thread::sleep_for(kTimeToFail);
  EXPECT_EQ(fleet.router(0).EndedWith(), std::nullopt);
  holder.reset();
  EXPECT_TRUE(fleet.WaitReady(0));
  const auto answer = fleet.Send(0, "/book/x", "r1");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 200);
}

INSTANTIATE_TEST_SUITE_P(Start, HeldAddress,
                         ::testing::Values(Held::kCallers, Held::kReadiness,
                                           Held::kRelay));

// A process that waited for an address took no notice of a stop.
TEST(Start, AStopEndsTheWaitForAnAddress) {
  PlatformFleet fleet;
  fleet.router(0).Kill();
  net::asio::io_context loop;
  const auto holder = Hold(loop, fleet.router_address(0));
  fleet.StartRouter(0);
  std::this_thread::sleep_for(kTimeToFail);
  fleet.router(0).Signal(SIGTERM);
  EXPECT_EQ(fleet.router(0).Wait(), 0);
}

// A router whose address for peers was held had none for its whole life.
TEST(Start, PeersAreFoundOnceTheirAddressIsFree) {
  PlatformFleet fleet(2);
  fleet.router(1).Kill();
  net::asio::io_context loop;
  auto holder = Hold(loop, fleet.peer_address(1));
  fleet.StartRouter(1);
  ASSERT_TRUE(fleet.WaitReady(1));
  holder.reset();
  EXPECT_TRUE(Eventually([&] {
    return fleet.Metric(1, "beryllane_bus_received_bytes_total") > 0;
  }));
}

class Connection {
 public:
  explicit Connection(const net::Address& address) {
    socket_.connect(EndpointOf(address));
  }

  void Send(std::string_view bytes) {
    net::error_code code;
    net::asio::write(socket_, net::asio::buffer(bytes), code);
  }
  // What comes until the other end closes, or for `timeout`.
  std::string Receive(milliseconds timeout) {
    std::string received;
    std::array<char, 4096> buffer{};
    const auto until = std::chrono::steady_clock::now() + timeout;
    socket_.non_blocking(true);
    while (std::chrono::steady_clock::now() < until) {
      net::error_code code;
      const auto bytes = socket_.read_some(net::asio::buffer(buffer), code);
      received.append(buffer.data(), bytes);
      if (code && code != net::asio::error::would_block) break;
      if (bytes == 0) std::this_thread::sleep_for(milliseconds(5));
    }
    return received;
  }

 private:
  net::asio::io_context loop_;
  net::tcp::socket socket_{loop_};
};

std::string HeadOf(const std::string& id, std::size_t body_bytes) {
  return fmt::format(
      "POST /book/x HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nCredential: "
      "{}\r\nContent-Length: {}\r\n\r\n",
      PlatformFleet::kHost, id, PlatformFleet::kKey, body_bytes);
}

// A stop closed connections whose request was still arriving.
TEST(Stop, ARequestThatIsArrivingIsAnswered) {
  constexpr milliseconds kUntilRefusing{3200};
  PlatformFleet fleet;
  Connection caller(fleet.router_address(0));
  caller.Send(HeadOf("slow", 4) + "bo");
  std::this_thread::sleep_for(milliseconds(200));
  fleet.router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(kUntilRefusing);
  caller.Send("dy");
  const std::string answer = caller.Receive(milliseconds(3000));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_EQ(fleet.RunsOf("slow"), 0);
  EXPECT_EQ(fleet.router(0).Wait(), 0);
}

// At the end of a stop, connections that were still open referred to parts of
// the process that had been destroyed.
TEST(Stop, OpenConnectionsDoNotChangeTheStatusOfTheProcess) {
  Fleet fleet(1, 1, {}, {"--drain_limit_ms", "300", "--drain_grace_ms", "100"});
  std::vector<std::unique_ptr<Connection>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<Connection>(fleet.router_address(0)));
    if (i % 2 == 0) callers.back()->Send("POST /services/x HTTP/1.1\r\nHos");
  }
  std::thread stream(
      [&] { fleet.Complete(0, "a long catalogue", 4000, /*is_stream=*/true); });
  std::this_thread::sleep_for(milliseconds(300));
  fleet.router(0).Signal(SIGTERM);
  EXPECT_EQ(fleet.router(0).Wait(), 0);
  stream.join();
}

class FewDescriptors : public ::testing::Test {
 protected:
  static constexpr int kLimit = 150;
  static constexpr int kConnections = 400;
  // The request of a new connection may be on its way for this long.
  static constexpr milliseconds kTimeOfFirstRequest{1100};

  void Restart(int soft, int hard, int stated) {
    fleet_.router(0).Kill();
    std::string text = fleet_.SettingsOf(0);
    const std::string section = "[limits]\n";
    text.insert(text.find(section) + section.size(),
                fmt::format("maxFds = {}\n", stated));
    fleet_.WriteSettings(0, text);
    fleet_.LaunchRouter(
        0, {"/bin/sh", "-c",
            fmt::format("ulimit -Sn {} && ulimit -Hn {} && exec \"$0\" \"$@\"",
                        soft, hard)});
    ASSERT_TRUE(fleet_.WaitReady(0));
  }
  void OpenIdle() {
    for (int i = 0; i < kConnections; ++i) {
      idle_.push_back(std::make_unique<Connection>(fleet_.router_address(0)));
    }
  }
  // Answers with status 200 to `count` requests, one after the other.
  int Served(int count) const {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const auto answer = Call(fleet_.router_address(0), net::http::verb::post,
                               "/book/x", "body",
                               {{"Host", PlatformFleet::kHost},
                                {"Attempt-Id", fmt::format("r{}", i)},
                                {"Credential", PlatformFleet::kKey}},
                               milliseconds(4000));
      served += answer.ok() && answer.value().result_int() == 200 ? 1 : 0;
    }
    return served;
  }

  PlatformFleet fleet_;
  std::vector<std::unique_ptr<Connection>> idle_;
};

// Idle connections of callers left no descriptor for targets and new callers.
TEST_F(FewDescriptors, IdleConnectionsKeepNobodyFromBeingServed) {
  Restart(kLimit, kLimit, kLimit);
  OpenIdle();
  std::this_thread::sleep_for(kTimeOfFirstRequest);
  EXPECT_EQ(Served(20), 20);
}

// The soft limit of the shell was in force instead of the stated one.
TEST_F(FewDescriptors, TheStatedLimitIsUsedUpToTheHardOne) {
  Restart(kLimit, 4 * kConnections, 4 * kConnections);
  OpenIdle();
  EXPECT_TRUE(Eventually([&] {
    return fleet_.Metric(0, "beryllane_caller_connections") >= kConnections;
  }));
  EXPECT_EQ(Served(20), 20);
}

// A TRACE request with a body had no answer until its caller left.
TEST(Request, ATraceWithABodyIsRefused) {
  PlatformFleet fleet;
  Connection caller(fleet.router_address(0));
  std::string head = HeadOf("trace", 4);
  head.replace(0, 4, "TRACE");
  caller.Send(head + "body");
  const std::string answer = caller.Receive(milliseconds(3000));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
  EXPECT_EQ(fleet.RunsOf("trace"), 0);
}

}  // namespace
}  // namespace beryllane::testing
