// Targets that leave and targets that ask for a pause, at the same time and
// under load, on the platform's stand-ins.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

constexpr int kTargets = 10;
// Every third target is in another region, where this router sends requests
// only if it has to.
constexpr std::array kLeaving{0, 1, 2, 5};
constexpr std::array kPaused{3, 4, 6};
// What a router may still send to a target that asked for a pause.
constexpr std::size_t kMaxArrivals = 2;

class TenTargets : public ::testing::Test {
 protected:
  TenTargets() {
    while (fleet_.AddRunner() < kTargets - 1) {
    }
    EXPECT_TRUE(Eventually([&] {
      return fleet_.Metric(0, "beryllane_targets") ==
             kTargets + PlatformFleet::kDesks;
    }));
  }
  // Sends `kCallers * kRequests` requests; how many were answered with 200.
  int AskMany(const std::string& phase) const {
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int n = 0; n < kRequests; ++n) {
          const std::string id =
              phase + std::to_string(caller) + "-" + std::to_string(n);
          // Half of the requests may run only once.
          const auto answer = fleet_.AskPrompt(
              0, n % 2 == 0 ? "/chat/x" : "/advice/x", id, "own-" + id + ":10");
          const bool is_ok = answer.ok() &&
                             answer.value().result_int() == 200 &&
                             answer.value().body() == fleet_.WholeStream();
          answered += is_ok ? 1 : 0;
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    return answered;
  }
  json Seen(int i) const { return fleet_.ControlRunner(i, json::object()); }
  std::vector<int> RunsAtLeaving() const {
    std::vector<int> runs;
    runs.reserve(kLeaving.size());
    for (const int i : kLeaving) runs.push_back(fleet_.RunsAtRunner(i));
    return runs;
  }
  // Refusals by the targets that ask for a pause.
  int TurnedAway() const {
    int count = 0;
    for (const int i : kPaused) {
      count += Seen(i)["turned_away"].get<int>();
    }
    return count;
  }

  static constexpr int kCallers = 8;
  static constexpr int kRequests = 25;
  PlatformFleet fleet_;
};

TEST_F(TenTargets, CallersAreServedWhileFourLeaveAndThreePause) {
  constexpr int kAsked = kCallers * kRequests;
  EXPECT_EQ(AskMany("before"), kAsked);
  for (const int i : kLeaving) {
    fleet_.ControlRunner(i, {{"leaving", true}});
  }
  for (const int i : kPaused) {
    fleet_.ControlRunner(i, {{"pause_ms", 30000}});
  }
  EXPECT_GE(AskMany("change"), kAsked - TurnedAway());
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_leaving_targets_total"),
            kLeaving.size());
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_paused_targets"), kPaused.size());
  const std::vector<int> runs = RunsAtLeaving();
  const int turned_away = TurnedAway();
  EXPECT_EQ(AskMany("after"), kAsked);
  EXPECT_EQ(RunsAtLeaving(), runs);
  EXPECT_EQ(TurnedAway(), turned_away);
  for (const int i : kPaused) {
    EXPECT_LE(Seen(i)["pause_arrivals"].size(), kMaxArrivals);
  }
}

}  // namespace
}  // namespace beryllane::testing
