// Tests of the measurement of an event loop's lag.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "src/net/loop_lag.h"

namespace beryllane::net {
namespace {

using std::chrono::milliseconds;

TEST(LoopLag, OneLongCallbackIsNoOverload) {
  LatencyHistogram histogram;
  LoopLag lag(histogram);
  lag.Add(milliseconds(3000));
  EXPECT_FALSE(lag.IsBusy());
  lag.Add(milliseconds(1));
  EXPECT_FALSE(lag.IsBusy());
}

TEST(LoopLag, HintsGoFirstAndRequestsNext) {
  LatencyHistogram histogram;
  LoopLag lag(histogram);
  lag.Add(milliseconds(200));
  lag.Add(milliseconds(200));
  EXPECT_TRUE(lag.IsBusy());
  EXPECT_FALSE(lag.IsOverloaded());
  lag.Add(milliseconds(300));
  lag.Add(milliseconds(300));
  EXPECT_TRUE(lag.IsOverloaded());
  lag.Add(milliseconds(10));
  EXPECT_FALSE(lag.IsBusy());
}

TEST(LoopLag, IsMeasuredOnTheLoop) {
  RuntimeClock::Pause();
  LatencyHistogram histogram;
  LoopLag lag(histogram);
  asio::io_context loop;
  asio::co_spawn(loop, lag.Run(), asio::detached);
  for (int i = 0; i < 2; ++i) {
    loop.poll();
    RuntimeClock::Advance(LoopLag::kInterval + milliseconds(400));
    loop.run_for(milliseconds(50));
  }
  EXPECT_EQ(lag.Sustained(), milliseconds(400));
  RuntimeClock::Resume();
}

}  // namespace
}  // namespace beryllane::net
