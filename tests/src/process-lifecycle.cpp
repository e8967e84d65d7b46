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

}  // namespace
}  // namespace beryllane::testing
