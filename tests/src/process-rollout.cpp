// Rollouts of weights by one holder of the lease, on the platform's stand-ins.
#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "beryllane/clock/runtime_clock.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

class PlatformRollout : public ::testing::Test {
 protected:
  bool AllHave(int version) const {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      if (Seen(i)["version"] != version) return false;
    }
    return true;
  }
  json Seen(int i) const { return fleet_.ControlRunner(i, json::object()); }
  void Name(int version) const {
    fleet_.Put("keyed.op", "version/m1",
               json{{"model", "m1"}, {"version", version}});
  }

  PlatformFleet fleet_{3};
};

TEST_F(PlatformRollout, OneHolderBringsAllRunnersToTheNamedWeights) {
  Name(2);
  EXPECT_TRUE(Eventually([&] { return AllHave(2); }));
  Name(5);
  EXPECT_TRUE(Eventually([&] { return AllHave(5); }));
  std::set<std::string> holders;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json orders = Seen(i)["orders"];
    EXPECT_EQ(orders.size(), 2U);
    std::uint64_t last_token = 0;
    for (const json& order : orders) {
      holders.insert(order["holder"].get<std::string>());
      EXPECT_GE(order["fencingToken"].get<std::uint64_t>(), last_token);
      last_token = order["fencingToken"].get<std::uint64_t>();
    }
  }
  EXPECT_EQ(holders.size(), 1U);
  const auto answer = fleet_.Ask(0, "/advice/x", "r1");
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
}

TEST_F(PlatformRollout, TokensRiseWhenTheStoreReturnsFromAnOlderCopy) {
  fleet_.ControlStore({{"copy", true}});
  Name(2);
  ASSERT_TRUE(Eventually([&] { return AllHave(2); }));
  fleet_.ControlStore({{"down", true}, {"restore", true}});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet_.ControlStore({{"down", false}});
  Name(3);
  EXPECT_TRUE(Eventually([&] { return AllHave(3); }));
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json orders = Seen(i)["orders"];
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_GT(orders[1]["fencingToken"].get<std::uint64_t>(),
              orders[0]["fencingToken"].get<std::uint64_t>());
  }
}

TEST_F(PlatformRollout, AnEarlierReportIsNotTakenForTheAnswerToAnOrder) {
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(
        i, {{"repeat_report_after_ms", 100}, {"ignore_orders", true}});
  }
  Name(2);
  EXPECT_TRUE(Eventually([&] {
    return fleet_.Metric(0, "beryllane_orders_total") +
               fleet_.Metric(1, "beryllane_orders_total") +
               fleet_.Metric(2, "beryllane_orders_total") >=
           PlatformFleet::kRunners;
  }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(fleet_.LogOf(i).find("weights-in-place"), std::string::npos);
  }
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(i, {{"ignore_orders", false}});
  }
  EXPECT_TRUE(Eventually([&] { return AllHave(2); }));
}

TEST_F(PlatformRollout, AnotherRouterGoesOnWhenTheHolderIsKilled) {
  Name(2);
  EXPECT_TRUE(Eventually([&] { return AllHave(2); }));
  const std::string holder = Seen(0)["orders"][0]["holder"];
  const int index = holder.back() - '0';
  fleet_.router(index).Kill();
  Name(3);
  EXPECT_TRUE(Eventually([&] { return AllHave(3); }));
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json orders = Seen(i)["orders"];
    EXPECT_NE(orders[1]["holder"], holder);
    EXPECT_GT(orders[1]["fencingToken"].get<std::uint64_t>(),
              orders[0]["fencingToken"].get<std::uint64_t>());
  }
}

TEST_F(PlatformRollout, LostAnswersOfTheStoreDelayButDoNotSplitTheLease) {
  fleet_.ControlStore({{"lose_answers", 0.5}});
  Name(2);
  EXPECT_TRUE(Eventually([&] { return AllHave(2); }));
  std::map<std::uint64_t, std::set<std::string>> holders_by_token;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json orders = Seen(i)["orders"];
    for (const json& order : orders) {
      holders_by_token[order["fencingToken"].get<std::uint64_t>()].insert(
          order["holder"].get<std::string>());
    }
  }
  for (const auto& [token, holders] : holders_by_token) {
    EXPECT_EQ(holders.size(), 1U) << token;
  }
}

// Each rollout had two places, which the targets that did not answer took again
// and again.
TEST_F(PlatformRollout, TargetsThatIgnoreOrdersDoNotHoldUpOthers) {
  fleet_.ControlRunner(0, {{"ignore_orders", true}});
  fleet_.ControlRunner(1, {{"ignore_orders", true}});
  Name(2);
  EXPECT_TRUE(Eventually([&] { return Seen(2)["version"] == 2; }));
  fleet_.ControlRunner(0, {{"ignore_orders", false}});
  fleet_.ControlRunner(1, {{"ignore_orders", false}});
  EXPECT_TRUE(Eventually([&] { return AllHave(2); }));
}

// Each waiting router read the lease once a second for as long as a target had
// old weights.
TEST_F(PlatformRollout, RoutersThatWaitForAHolderLeaveTheStoreAlone) {
  constexpr const char* kLease = "keyed.beryllane-lease";
  constexpr int kRenewals = 8;
  constexpr int kMostReads = 2;
  fleet_.ControlRunner(0, {{"ignore_orders", true}});
  Name(2);
  EXPECT_TRUE(Eventually(
      [&] { return Seen(1)["version"] == 2 && Seen(2)["version"] == 2; }));
  const json before = fleet_.ControlStore(json::object());
  EXPECT_TRUE(Eventually([&] {
    const json now = fleet_.ControlStore(json::object());
    return now["ends"][kLease] >= before["ends"][kLease].get<int>() + kRenewals;
  }));
  const json after = fleet_.ControlStore(json::object());
  EXPECT_LE(after["reads"][kLease].get<int>(),
            before["reads"].value(kLease, 0) + kMostReads);
}

// A refusal counted as a proof of the desired weights, so that the target was
// not ordered to load them.
TEST_F(PlatformRollout, ARefusalIsNoProofOfTheDesiredWeights) {
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(
        i, {{"version", 2}, {"listed_version", 1}, {"ignore_orders", true}});
  }
  Name(3);
  for (int router = 0; router < 3; ++router) {
    EXPECT_TRUE(Eventually([&] {
      return fleet_.LogOf(router).find("\"weights-named\"") !=
             std::string::npos;
    }));
  }
  constexpr int kAsked = 12;
  for (int n = 0; n < kAsked; ++n) {
    fleet_.Ask(n % 3, "/chat/x", "r" + std::to_string(n));
  }
  bool has_refused = false;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json refused = Seen(i)["refused_versions"];
    has_refused = has_refused || !refused.empty();
    EXPECT_EQ(std::count(refused.begin(), refused.end(), "3"), 0);
  }
  EXPECT_TRUE(has_refused);
}

// The age of weights was checked when a target was chosen, not when the request
// left the target's queue.
TEST(PlatformOlderWeights, NoRunBeginsAfterTheBound) {
  using std::chrono::milliseconds;
  constexpr milliseconds kBound{3000};
  const PlatformFleet fleet(1, nullptr, kBound);
  const auto set_all = [&](const json& change) {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet.ControlRunner(i, change);
    }
  };
  const auto queued = [&] {
    int count = 0;
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      count += fleet.ControlRunner(i, json::object())["queued"].get<int>();
    }
    return count;
  };
  set_all({{"ignore_orders", true}, {"hold", true}});
  std::vector<std::future<Result<net::Response>>> answers;
  const auto ask = [&](const std::string& path, const std::string& id) {
    answers.push_back(std::async(std::launch::async, [&fleet, path, id] {
      return fleet.Ask(0, path, id);
    }));
  };
  ask("/chat/x", "before");
  EXPECT_TRUE(Eventually([&] { return queued() == 1; }));
  fleet.Put("keyed.op", "version/m1", json{{"model", "m1"}, {"version", 2}});
  const auto named = RuntimeClock::now();
  EXPECT_TRUE(Eventually([&] {
    return fleet.LogOf(0).find("\"weights-named\"") != std::string::npos;
  }));
  ask("/chat/x", "once");
  ask("/advice/x", "resumable");
  EXPECT_TRUE(Eventually([&] { return RuntimeClock::now() - named > kBound; }));
  set_all({{"hold", false}});
  for (auto& answer : answers) answer.wait();
  for (const char* id : {"before", "once", "resumable"}) {
    EXPECT_EQ(fleet.RunsOf(id), 0) << id;
  }
}

}  // namespace
}  // namespace beryllane::testing
