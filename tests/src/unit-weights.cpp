// Tests of the time until which runs may begin on older weights.
#include <gtest/gtest.h>

#include <optional>

#include "src/fleet/desired_weights.h"

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

}  // namespace
}  // namespace beryllane::fleet
