// Tests of the time until which runs may begin on older weights.
#include <gtest/gtest.h>

#include <optional>

#include "src/fleet/desired_weights.h"
#include "src/fleet/start_wait.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BootClock::time_point At(milliseconds time) {
  return BootClock::time_point(std::chrono::hours(1) + time);
}

const WeightsBounds kBounds{seconds(8), seconds(3), milliseconds(250)};

TEST(DesiredWeights, ThereIsNoDeadlineForTheNewestWeights) {
  DesiredWeightsState desired;
  EXPECT_EQ(desired.StartDeadline(0, kBounds), std::nullopt);
  EXPECT_TRUE(desired.Add(2, At(seconds(1)), At(seconds(1))));
  EXPECT_EQ(desired.StartDeadline(2, kBounds), std::nullopt);
  EXPECT_EQ(desired.StartDeadline(3, kBounds), std::nullopt);
  EXPECT_FALSE(desired.Add(2, At(seconds(5)), At(seconds(5))));
}

TEST(DesiredWeights, ADeadlineCountsFromTheProofBeforeTheRead) {
  DesiredWeightsState desired;
  desired.Add(2, At(milliseconds(1500)), At(milliseconds(300)));
  EXPECT_EQ(desired.StartDeadline(1, kBounds), At(milliseconds(8050)));
  EXPECT_FALSE(desired.IsNamingUncertain(1, kBounds));
}

TEST(DesiredWeights, ADeadlineCountsFromTheFirstNewerVersion) {
  DesiredWeightsState desired;
  desired.Add(2, At(seconds(1)), At(seconds(1)));
  desired.Add(5, At(seconds(4)), At(seconds(4)));
  EXPECT_EQ(desired.StartDeadline(1, kBounds), At(milliseconds(8750)));
  EXPECT_EQ(desired.StartDeadline(2, kBounds), At(milliseconds(11750)));
  EXPECT_EQ(desired.StartDeadline(4, kBounds), At(milliseconds(11750)));
}

TEST(DesiredWeights, ARouterThatWasCutOffHasTimeToSettle) {
  DesiredWeightsState desired;
  desired.Add(2, At(seconds(20)), At(seconds(1)));
  EXPECT_EQ(desired.StartDeadline(1, kBounds), At(milliseconds(22750)));
  EXPECT_TRUE(desired.IsNamingUncertain(1, kBounds));
}

TEST(DesiredWeights, ARouterThatHasJustStartedHasTimeToSettle) {
  DesiredWeightsState desired;
  desired.Add(2, At(seconds(1)), std::nullopt);
  EXPECT_EQ(desired.StartDeadline(1, kBounds), At(milliseconds(3750)));
  EXPECT_TRUE(desired.IsNamingUncertain(1, kBounds));
  EXPECT_FALSE(desired.IsNamingUncertain(2, kBounds));
}

TEST(StartWait, TheLongestWaitCountsAndLosesWeight) {
  const RuntimeClock::time_point start(std::chrono::hours(1));
  StartWait wait;
  EXPECT_EQ(wait.Predict(start), seconds(0));
  wait.OnSent(start);
  wait.OnSent(start + seconds(1));
  EXPECT_EQ(wait.Predict(start + seconds(2)), seconds(2));
  wait.OnBegan(start, start + seconds(2));
  wait.OnBegan(start + seconds(1), start + seconds(2));
  EXPECT_EQ(wait.Predict(start + seconds(2)), seconds(2));
  EXPECT_EQ(wait.Predict(start + seconds(4)), seconds(1));
}

TEST(StartWait, ARequestThatEndedBeforeItsRunLeavesNoWait) {
  const RuntimeClock::time_point start(std::chrono::hours(1));
  StartWait wait;
  wait.OnSent(start);
  wait.OnEnded(start);
  EXPECT_EQ(wait.Predict(start + seconds(2)), seconds(0));
}

}  // namespace
}  // namespace beryllane::fleet
