// Prompt parts that crash runners, with several routers on the platform's
// stand-ins.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <future>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kDeadlyPart = "dead";
constexpr const char* kQuarantined = "beryllane_fleet_quarantined_parts";

int StatusOf(const Result<net::Response>& answer) {
  return answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
}

class Quarantine : public ::testing::Test {
 protected:
  static constexpr int kRouters = 3;
  // Crashes after which a part must be known to all routers.
  static constexpr int kMaxCrashes = 5;

  Quarantine() {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) MakeDeadly(i);
  }

  void MakeDeadly(int runner) const {
    EXPECT_TRUE(Eventually([&] {
      return !fleet_.ControlRunner(runner, {{"deadly_part", kDeadlyPart}})
                  .is_null();
    }));
  }
  // Counts the runners that have crashed, and starts those that were down for
  // `downtime`.
  void RestartCrashed(milliseconds downtime) {
    const auto now = std::chrono::steady_clock::now();
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      if (!down_since_[i] && fleet_.runner(i).EndedWith()) {
        ++crashes_;
        down_since_[i] = now;
      }
      if (!down_since_[i] || now - *down_since_[i] < downtime) continue;
      fleet_.StartRunner(i);
      MakeDeadly(i);
      down_since_[i].reset();
    }
  }
  Result<net::Response> AskDeadly(int router, int number) const {
    const std::string own = std::to_string(number);
    return fleet_.AskPrompt(router, "/advice/x", "deadly-" + own,
                            "shared:500,dead:300,own-" + own + ":10");
  }
  Result<net::Response> AskSound(int router, int number) const {
    const std::string own = std::to_string(number);
    return fleet_.AskPrompt(router, "/advice/x", "sound-" + own,
                            "shared:500,fine:300,own-" + own + ":10");
  }
  bool EachRouterQuarantinesOnePart() const {
    for (int i = 0; i < kRouters; ++i) {
      if (fleet_.Metric(i, kQuarantined) != 1) return false;
    }
    return true;
  }
  // Sends requests with the deadly part through all routers in turn. A runner
  // that crashes is down for two seconds.
  void CrashRunners(int requests) {
    constexpr milliseconds kDowntime{2000};
    constexpr milliseconds kPause{300};
    for (int i = 0; i < requests; ++i) {
      AskDeadly(i % kRouters, i);
      AskSound(i % kRouters, i);
      std::this_thread::sleep_for(kPause);
      RestartCrashed(kDowntime);
    }
    RestartCrashed(milliseconds(0));
  }

  PlatformFleet fleet_{kRouters};
  int crashes_ = 0;
  std::array<std::optional<std::chrono::steady_clock::time_point>,
             PlatformFleet::kRunners>
      down_since_;
};

TEST_F(Quarantine, APartThatCrashesRunnersStopsReachingThem) {
  constexpr int kRequests = 12;
  CrashRunners(kRequests);
  EXPECT_LE(crashes_, kMaxCrashes);
  EXPECT_TRUE(EachRouterQuarantinesOnePart());
  const int crashes = crashes_;
  for (int i = 0; i < kRouters; ++i) {
    const auto refused = AskDeadly(i, kRequests + i);
    EXPECT_EQ(StatusOf(refused), 503);
    EXPECT_EQ(HeaderOf(refused.value(), "Beryllane-Verdict"), "not-run");
    EXPECT_GT(std::stod(HeaderOf(refused.value(), "Retry-After")), 60);
    EXPECT_TRUE(Eventually(
        [&] { return StatusOf(AskSound(i, kRequests + i)) == 200; }));
  }
  RestartCrashed(milliseconds(0));
  EXPECT_EQ(crashes_, crashes);
}

TEST_F(Quarantine, RoutersThatAllRestartKnowTheQuarantinedPart) {
  constexpr int kRequests = 6;
  CrashRunners(kRequests);
  EXPECT_TRUE(EachRouterQuarantinesOnePart());
  EXPECT_TRUE(Eventually([&] {
    const json ends = fleet_.ControlStore(json::object())["ends"];
    return ends.value("keyed.beryllane-quarantine", 0) > 0;
  }));
  const int crashes = crashes_;
  for (int i = 0; i < kRouters; ++i) fleet_.router(i).Kill();
  for (int i = 0; i < kRouters; ++i) fleet_.StartRouter(i);
  EXPECT_TRUE(Eventually([&] { return EachRouterQuarantinesOnePart(); }));
  for (int i = 0; i < kRouters; ++i) {
    EXPECT_TRUE(fleet_.WaitReady(i));
    EXPECT_EQ(StatusOf(AskDeadly(i, kRequests + i)), 503);
  }
  RestartCrashed(milliseconds(0));
  EXPECT_EQ(crashes_, crashes);
}

TEST_F(Quarantine, RunnersThatAreKilledConvictNoPart) {
  constexpr int kRounds = 8;
  for (int i = 0; i < kRounds; ++i) {
    for (int r = 0; r < PlatformFleet::kRunners; ++r) {
      fleet_.ControlRunner(r, {{"step_ms", 20}});
    }
    auto answer = std::async(std::launch::async,
                             [&] { return AskSound(i % kRouters, i); });
    int running = -1;
    EXPECT_TRUE(Eventually([&] {
      for (int r = 0; r < PlatformFleet::kRunners && running < 0; ++r) {
        const json seen = fleet_.ControlRunner(r, json::object());
        if (seen.value("running", 0) > 0) running = r;
      }
      return running >= 0;
    }));
    ASSERT_GE(running, 0);
    fleet_.runner(running).Kill();
    EXPECT_EQ(StatusOf(answer.get()), 200);
    fleet_.StartRunner(running);
    MakeDeadly(running);
  }
  for (int i = 0; i < kRouters; ++i) {
    EXPECT_EQ(fleet_.Metric(i, kQuarantined), 0);
  }
}

}  // namespace
}  // namespace beryllane::testing
