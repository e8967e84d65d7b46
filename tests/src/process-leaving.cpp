// Targets that announce in their answers that they leave, with real processes.
// The list of targets goes on showing them as ready.
#include <gtest/gtest.h>

#include <thread>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// The default of the routers' settings.
constexpr milliseconds kDrainTimeout{2500};

class Leaving : public ::testing::Test {
 protected:
  static constexpr int kRouters = 2;

  // Sends `count` requests through a router; how many were answered.
  int SendMany(int router, int count, const std::string& path = "/book/") {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      const auto answer =
          fleet_.Send(router, path, "r" + std::to_string(++sent_));
      if (!answer.ok() || answer.value().result_int() != 200) continue;
      EXPECT_EQ(HeaderOf(answer.value(), "Server-Leaving"), "");
      ++answered;
    }
    return answered;
  }
  std::size_t RunsAtDesk(int i) const {
    return fleet_.ControlDesk(i, json::object())["runs"].size();
  }
  void RestartDesk() {
    fleet_.desk(0).Kill();
    fleet_.StartDesk(0);
  }
  double Seen(int router) const {
    return fleet_.Metric(router, "beryllane_fleet_leaving_targets_total");
  }
  // Sends requests until the router has seen an announcement.
  bool SendUntilSeen(int router, double targets = 1) {
    return Eventually([&] {
      SendMany(router, 2, "/open/");
      return Seen(router) >= targets;
    });
  }

  PlatformFleet fleet_{kRouters};
  int sent_ = 0;
};

TEST_F(Leaving, NewRequestsGoElsewhereAtOnceAndForGood) {
  fleet_.ControlDesk(0, {{"leaving", true}});
  ASSERT_TRUE(SendUntilSeen(0));
  fleet_.ControlDesk(0, {{"leaving", false}});
  const std::size_t runs = RunsAtDesk(0);
  EXPECT_EQ(SendMany(0, 40), 40);
  std::this_thread::sleep_for(kDrainTimeout);
  EXPECT_EQ(SendMany(0, 20), 20);
  EXPECT_EQ(RunsAtDesk(0), runs);
  EXPECT_NE(fleet_.LogOf(0).find("target-leaving"), std::string::npos);
}

TEST_F(Leaving, RefusalsAndFailuresAnnounceItToo) {
  for (const char* fault : {"refuse", "fail", "answer_other", "unsealed"}) {
    RestartDesk();
    ASSERT_TRUE(Eventually([&] {
      SendMany(0, 4);
      return RunsAtDesk(0) > 0;
    }));
    const double seen = Seen(0);
    fleet_.ControlDesk(0, {{"leaving", true}, {fault, true}});
    EXPECT_TRUE(SendUntilSeen(0, seen + 1)) << fault;
    fleet_.ControlDesk(0, {{"leaving", false}, {fault, false}});
    const std::size_t runs = RunsAtDesk(0);
    EXPECT_EQ(SendMany(0, 10), 10);
    EXPECT_EQ(RunsAtDesk(0), runs) << fault;
  }
}

TEST_F(Leaving, APollAnnouncesIt) {
  fleet_.ControlRunner(0, {{"leaving", true}});
  EXPECT_TRUE(Eventually([&] { return Seen(0) + Seen(1) >= 1; }));
}

TEST_F(Leaving, PeersHearOfIt) {
  ASSERT_TRUE(Eventually(
      [&] { return fleet_.Metric(1, "beryllane_fleet_rank") == 1; }));
  fleet_.ControlDesk(0, {{"leaving", true}});
  ASSERT_TRUE(SendUntilSeen(0));
  fleet_.ControlDesk(0, {{"leaving", false}});
  std::this_thread::sleep_for(milliseconds(300));
  const std::size_t runs = RunsAtDesk(0);
  EXPECT_EQ(SendMany(1, 40), 40);
  EXPECT_EQ(RunsAtDesk(0), runs);
  EXPECT_EQ(Seen(1), 0);
}

TEST_F(Leaving, ANewIncarnationIsUsedAgain) {
  fleet_.ControlDesk(0, {{"leaving", true}});
  ASSERT_TRUE(SendUntilSeen(0));
  RestartDesk();
  EXPECT_TRUE(Eventually([&] {
    SendMany(0, 4);
    return RunsAtDesk(0) > 0;
  }));
}

TEST_F(Leaving, ARunningStreamGoesOn) {
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(i, {{"leaving", true}, {"step_ms", 30}});
  }
  const auto answer = fleet_.Ask(0, "/chat/", "q1");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
}

TEST_F(Leaving, WhenAllLeaveCallersAreServedAsLongAsTheRuleAllows) {
  for (int i = 0; i < PlatformFleet::kDesks; ++i) {
    fleet_.ControlDesk(i, {{"leaving", true}});
  }
  ASSERT_TRUE(SendUntilSeen(0, 2));
  const auto seen = Clock::now();
  EXPECT_EQ(SendMany(0, 20), 20);
  EXPECT_LT(Clock::now() - seen, milliseconds(1500));
  std::this_thread::sleep_until(seen + kDrainTimeout);
  const std::size_t runs = RunsAtDesk(0) + RunsAtDesk(1);
  for (int i = 0; i < 10; ++i) {
    const auto start = Clock::now();
    const auto answer = fleet_.Send(0, "/book/", "late" + std::to_string(i));
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), 503U);
    EXPECT_LT(Clock::now() - start, milliseconds(500));
  }
  EXPECT_EQ(RunsAtDesk(0) + RunsAtDesk(1), runs);
}

}  // namespace
}  // namespace beryllane::testing
