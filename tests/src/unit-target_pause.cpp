// The pause that a target asks for, and the return of traffic after it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "beryllane/hash/hash.h"
#include "src/fleet/target_pause.h"

namespace beryllane::fleet {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Pauses the runtime clock for the duration of a test.
class TargetPauseTest : public ::testing::Test {
 protected:
  TargetPauseTest() { RuntimeClock::Pause(); }
  ~TargetPauseTest() override { RuntimeClock::Resume(); }

  bool MayPlace() const { return pause_.MayPlace(RuntimeClock::now()); }
  bool OnRetryAfter(nanoseconds duration) {
    return pause_.OnRetryAfter(duration, RuntimeClock::now());
  }
  // Places as many requests as it may; returns their number.
  int PlaceAll(int limit = 1000) {
    int placed = 0;
    for (; placed < limit && MayPlace(); ++placed) {
      pause_.OnPlaced(RuntimeClock::now());
    }
    return placed;
  }

  TargetPause pause_;
};

TEST_F(TargetPauseTest, WithoutOneNothingIsHeldBack) {
  EXPECT_FALSE(pause_.IsPaused(RuntimeClock::now()));
  EXPECT_EQ(PlaceAll(500), 500);
  EXPECT_EQ(pause_.TimeToPlace(RuntimeClock::now()), nanoseconds(0));
}

TEST_F(TargetPauseTest, NothingIsPlacedUntilItsEnd) {
  EXPECT_TRUE(OnRetryAfter(milliseconds(1500)));
  EXPECT_FALSE(MayPlace());
  EXPECT_EQ(pause_.TimeToPlace(RuntimeClock::now()), milliseconds(1500));
  RuntimeClock::Advance(milliseconds(1499));
  EXPECT_FALSE(MayPlace());
  RuntimeClock::Advance(milliseconds(1));
  EXPECT_TRUE(MayPlace());
}

TEST_F(TargetPauseTest, ALongerOneReplacesAShorterOneAndNotTheReverse) {
  OnRetryAfter(seconds(1));
  EXPECT_TRUE(OnRetryAfter(seconds(3)));
  EXPECT_FALSE(OnRetryAfter(seconds(2)));
  RuntimeClock::Advance(milliseconds(2900));
  EXPECT_FALSE(MayPlace());
  RuntimeClock::Advance(milliseconds(100));
  EXPECT_TRUE(MayPlace());
}

TEST_F(TargetPauseTest, NonsenseIsBounded) {
  EXPECT_FALSE(OnRetryAfter(seconds(0)));
  EXPECT_FALSE(OnRetryAfter(seconds(-5)));
  EXPECT_EQ(PlaceAll(500), 500);
  EXPECT_TRUE(OnRetryAfter(hours(1)));
  EXPECT_EQ(pause_.TimeToPlace(RuntimeClock::now()), TargetPause::kMaxPause);
}

TEST_F(TargetPauseTest, TrafficReturnsByDoublingSteps) {
  OnRetryAfter(seconds(1));
  RuntimeClock::Advance(seconds(1));
  EXPECT_EQ(PlaceAll(), 2);
  EXPECT_EQ(pause_.TimeToPlace(RuntimeClock::now()), TargetPause::kStep);
  for (const int more : {2, 4, 8, 16}) {
    RuntimeClock::Advance(TargetPause::kStep);
    EXPECT_EQ(PlaceAll(), more);
  }
  RuntimeClock::Advance(TargetPause::kStep);
  EXPECT_EQ(PlaceAll(), 1000);
}

TEST_F(TargetPauseTest, APauseInTheReturnStartsItAnew) {
  OnRetryAfter(seconds(1));
  RuntimeClock::Advance(seconds(1) + 3 * TargetPause::kStep);
  EXPECT_EQ(PlaceAll(), 16);
  OnRetryAfter(seconds(1));
  EXPECT_EQ(PlaceAll(), 0);
  RuntimeClock::Advance(seconds(1));
  EXPECT_EQ(PlaceAll(), 2);
}

TEST_F(TargetPauseTest, OneUrgentOrderGoesThroughInEachPause) {
  const auto take = [&] {
    const bool may_send = pause_.MaySendUrgent(RuntimeClock::now());
    if (may_send) pause_.OnUrgentSent();
    return may_send;
  };
  EXPECT_TRUE(take() && take());
  OnRetryAfter(seconds(1));
  EXPECT_TRUE(take());
  EXPECT_FALSE(take());
  OnRetryAfter(seconds(2));
  EXPECT_FALSE(take());
  RuntimeClock::Advance(seconds(2));
  OnRetryAfter(seconds(1));
  EXPECT_TRUE(take());
}

TEST_F(TargetPauseTest, PassedOverRequestsCountFromTheBeginningOfThePause) {
  OnRetryAfter(seconds(1));
  pause_.CountPassedOver();
  OnRetryAfter(seconds(2));
  pause_.CountPassedOver();
  EXPECT_EQ(pause_.passed_over(), 2U);
  RuntimeClock::Advance(seconds(2));
  OnRetryAfter(seconds(1));
  EXPECT_EQ(pause_.passed_over(), 0U);
}

RC_GTEST_PROP(RetryAfterSpread, NeverBeforeThePlaceNorAfterAThirdOfTheTime,
              (std::uint64_t hash)) {
  const auto to_place = milliseconds(*rc::gen::inRange(0, 60000));
  const auto left = milliseconds(*rc::gen::inRange(0, 60000));
  const auto wait = SpreadRetryAfter(to_place, left, hash);
  RC_ASSERT(wait <= nanoseconds(left) / 3);
  RC_ASSERT(wait >= std::min<nanoseconds>(to_place, nanoseconds(left) / 4));
  RC_ASSERT(wait <= to_place + seconds(1));
}

TEST(RetryAfterSpread, CallersComeBackSpreadOut) {
  for (const auto left : {seconds(60), seconds(4)}) {
    std::set<std::int64_t> tenths;
    for (int i = 0; i < 100; ++i) {
      const auto hash = HashBytes("request-" + std::to_string(i)).low;
      tenths.insert(SpreadRetryAfter(seconds(2), left, hash) /
                    milliseconds(50));
    }
    EXPECT_GE(tenths.size(), 5U) << left.count();
  }
}

}  // namespace
}  // namespace beryllane::fleet
