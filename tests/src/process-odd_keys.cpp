// Entries of another writer in the list of targets, under names of their own.
#include <gtest/gtest.h>

#include "fmt/format.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

class OddKey : public ::testing::TestWithParam<const char*> {};

// Routers that started while such an entry stood never became ready.
TEST_P(OddKey, OfAnotherWriterKeepsNoStartingRouterFromTheTargets) {
  constexpr int kRouters = 2;
  // The store lists less on a page, so one of these is the last of one.
  constexpr int kEntries = 5;
  PlatformFleet fleet(kRouters);
  for (int i = 0; i < kEntries; ++i) {
    fleet.Put("keyed.servers", fmt::format("a{}b-{}", GetParam(), i),
              {{"state", "of another kind"}});
  }
  for (int i = 0; i < kRouters; ++i) fleet.router(i).Kill();
  for (int i = 0; i < kRouters; ++i) fleet.StartRouter(i);
  for (int i = 0; i < kRouters; ++i) {
    ASSERT_TRUE(fleet.WaitReady(i));
    EXPECT_EQ(fleet.Metric(i, "beryllane_targets"),
              PlatformFleet::kRunners + PlatformFleet::kDesks);
    const auto answer = fleet.Send(i, "/book/x", fmt::format("r{}", i));
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), 200U);
  }
  EXPECT_GT(fleet.Metric(0, "beryllane_ignored_target_records"), 0);
}

INSTANTIATE_TEST_SUITE_P(Characters, OddKey,
                         ::testing::Values("&", "+", "#", "%41", " ", "=", "\"",
                                           "\\", "\n", "é"));

// A lost target whose entry another writer had replaced passed as listed.
TEST(OddKeys, OfALostTargetDoNotKeepItOnTheList) {
  constexpr int kTargets = PlatformFleet::kRunners + PlatformFleet::kDesks;
  PlatformFleet fleet;
  EXPECT_EQ(fleet.Metric(0, "beryllane_targets"), kTargets);
  fleet.desk(1).Kill();
  fleet.Put("keyed.servers", "desk-1", {{"state", "ready"}});
  fleet.ControlStore({{"forget_history", "keyed.servers"}});
  EXPECT_TRUE(Eventually(
      [&] { return fleet.Metric(0, "beryllane_targets") == kTargets - 1; }));
}

}  // namespace
}  // namespace beryllane::testing
