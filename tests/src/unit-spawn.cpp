#include <gtest/gtest.h>

#include <stdexcept>

#include "src/net/spawn.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;

asio::awaitable<void> Fail() {
  co_await Sleep(milliseconds(1));
  throw std::runtime_error("planted");
}

TEST(Spawn, AFailureIsCounted) {
  asio::io_context loop(1);
  const std::uint64_t before = TaskFailures();
  Spawn(loop.get_executor(), "planted", Fail());
  loop.run();
  EXPECT_EQ(TaskFailures(), before + 1);
}

// A loop that an exception had ended was missing for the rest of the process.
TEST(Spawn, ALoopThatFailsRunsAgain) {
  asio::io_context loop(1);
  int runs = 0;
  SpawnLoop(loop.get_executor(), "planted", [&]() -> asio::awaitable<void> {
    ++runs;
    if (runs < 3) {
      co_await Fail();
    }
  });
  loop.run_for(std::chrono::seconds(10));
  EXPECT_EQ(runs, 3);
}

TEST(Spawn, AFailedCallbackEndsNoLoop) {
  const std::uint64_t before = TaskFailures();
  EXPECT_FALSE(
      CallGuarded("planted", [] { throw std::runtime_error("planted"); }));
  EXPECT_TRUE(CallGuarded("planted", [] {}));
  EXPECT_EQ(TaskFailures(), before + 1);
}

}  // namespace
}  // namespace beryllane::net
