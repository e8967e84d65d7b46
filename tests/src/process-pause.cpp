// Targets that ask for a pause, on the platform's stand-ins.
#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPause{3000};
// Lifetime of a lease, the gap of this fleet, and the margin for clocks.
constexpr milliseconds kHandover{1200 + 1000 + 200};
// What a router may still send to a target that asked for a pause.
constexpr std::size_t kMaxArrivals = 2;

class PausedTargets : public ::testing::Test {
 protected:
  // Callers that send one request after the other.
  class Load {
   public:
    Load(const PlatformFleet& fleet, const std::string& path) {
      constexpr int kCallers = 8;
      for (int i = 0; i < kCallers; ++i) {
        threads_.emplace_back([this, &fleet, path, i] {
          for (int n = 0; !is_stopping_; ++n) {
            const std::string id =
                path + std::to_string(i) + "-" + std::to_string(n);
            const auto answer =
                fleet.AskPrompt(0, path, id, "own-" + id + ":10");
            const bool is_ok =
                answer.ok() && answer.value().result_int() == 200;
            ++(is_ok ? answered_ : failed_);
            std::this_thread::sleep_for(milliseconds(10));
          }
        });
      }
    }
    ~Load() {
      is_stopping_ = true;
      for (std::thread& thread : threads_) thread.join();
    }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;

    int answered() const { return answered_; }
    int failed() const { return failed_; }

   private:
    std::atomic<bool> is_stopping_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> failed_{0};
    std::vector<std::thread> threads_;
  };

  json Runner(int i) const { return fleet_.ControlRunner(i, json::object()); }
  void PauseRunners(int count, milliseconds pause,
                    const std::string& text = "") const {
    for (int i = 0; i < count; ++i) {
      fleet_.ControlRunner(
          i, {{"pause_ms", pause.count()}, {"retry_after", text}});
    }
  }
  void NameWeights(int version) const {
    fleet_.Put("keyed.op", "version/m1",
               json{{"model", "m1"}, {"version", version}});
  }
  bool LogHas(const std::string& event) const {
    return fleet_.LogOf(0).find("\"" + event + "\"") != std::string::npos;
  }
  static double RetryAfterOf(const Result<net::Response>& answer) {
    return std::stod(HeaderOf(answer.value(), "Retry-After"));
  }

  PlatformFleet fleet_;
};

TEST_F(PausedTargets, NothingReachesOneUntilItsEndAndTrafficReturns) {
  // Routers that have just started give no orders yet.
  std::this_thread::sleep_for(kHandover);
  const Load load(fleet_, "/advice/x");
  PauseRunners(1, kPause);
  const auto before_end =
      std::chrono::steady_clock::now() + kPause - milliseconds(500);
  ASSERT_TRUE(Eventually([&] { return Runner(0)["turned_away"] > 0; }));
  const int runs = fleet_.RunsAtRunner(0);
  NameWeights(2);
  std::this_thread::sleep_until(before_end);
  EXPECT_EQ(Runner(0)["orders"].size(), 0U);
  EXPECT_EQ(Runner(1)["version"], 2);
  EXPECT_EQ(Runner(2)["version"], 2);
  EXPECT_TRUE(Eventually([&] { return Runner(0)["version"] == 2; }));
  EXPECT_TRUE(Eventually([&] { return fleet_.RunsAtRunner(0) > runs; }));
  EXPECT_LE(Runner(0)["pause_arrivals"].size(), kMaxArrivals)
      << Runner(0)["pause_arrivals"];
  EXPECT_EQ(load.failed(), 0);
  EXPECT_GE(load.answered(), 50);
  EXPECT_TRUE(Eventually([&] { return LogHas("pause-ended"); }));
  EXPECT_GE(fleet_.Metric(0, "beryllane_fleet_pauses_total"), 1);
  EXPECT_GE(fleet_.Metric(0, "beryllane_fleet_pause_avoided_total"), 50);
}

TEST_F(PausedTargets, AStreamIsNotResumedAtOne) {
  PauseRunners(1, milliseconds(20000));
  int sent = 0;
  const auto ask = [&] {
    const std::string id = "r" + std::to_string(sent++);
    return fleet_.AskPrompt(0, "/advice/x", id, "own-" + id + ":10");
  };
  ASSERT_TRUE(Eventually([&] {
    const bool is_answered = ask().ok();
    return is_answered && Runner(0)["turned_away"] > 0;
  }));
  for (const int cut : {1, 2}) {
    fleet_.ControlRunner(cut, {{"cut_at", 5}});
    for (int i = 0; i < 3; ++i) {
      const auto answer = ask();
      ASSERT_TRUE(answer.ok());
      EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
    }
    fleet_.ControlRunner(cut, {{"cut_at", -1}});
  }
  EXPECT_EQ(Runner(0)["turned_away"], 1);
}

TEST_F(PausedTargets, IfAllArePausedCallersAreRefusedAtOnceAndSpreadOut) {
  PauseRunners(PlatformFleet::kRunners, kPause);
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.AskPrompt(0, "/chat/x", "first" + std::to_string(i), "own:10");
  }
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_paused_targets"),
            PlatformFleet::kRunners);
  std::set<double> times;
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        fleet_.AskPrompt(0, "/chat/x", "r" + std::to_string(i), "own:10");
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), 503U);
    EXPECT_GT(RetryAfterOf(answer), 1);
    EXPECT_LT(RetryAfterOf(answer), 4.5);
    times.insert(RetryAfterOf(answer));
  }
  EXPECT_GE(times.size(), 10U);
  const auto answer = fleet_.AskPrompt(0, "/chat/x", "hurried", "own:10",
                                       {{"Deadline-Ms", "1200"}});
  ASSERT_TRUE(answer.ok());
  EXPECT_LE(RetryAfterOf(answer), 0.4);
  std::this_thread::sleep_for(kPause);
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    EXPECT_LE(Runner(i)["turned_away"], 1);
    EXPECT_LE(Runner(i)["pause_arrivals"].size(), kMaxArrivals)
        << Runner(i)["pause_arrivals"];
  }
  const auto served = fleet_.AskPrompt(0, "/chat/x", "later", "own:10");
  ASSERT_TRUE(served.ok());
  EXPECT_EQ(served.value().result_int(), 200U);
}

TEST_F(PausedTargets, PlainServicesAreLeftAloneToo) {
  fleet_.ControlDesk(0, {{"pause_ms", kPause.count()}});
  const Load load(fleet_, "/book/x");
  std::this_thread::sleep_for(kPause);
  const json seen = fleet_.ControlDesk(0, json::object());
  EXPECT_GE(seen["turned_away"], 1);
  EXPECT_LE(seen["pause_arrivals"].size(), kMaxArrivals);
  EXPECT_EQ(load.failed(), 0);
}

TEST_F(PausedTargets, NonsenseIsLoggedAndTheTargetGoesOnServing) {
  PauseRunners(1, milliseconds(300), "Fri, 04 Dec 2026 23:59:59 GMT");
  const Load load(fleet_, "/advice/x");
  EXPECT_TRUE(Eventually([&] { return LogHas("pause-invalid"); }));
  EXPECT_TRUE(Eventually([&] { return fleet_.RunsAtRunner(0) > 0; }));
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_paused_targets"), 0);
  EXPECT_EQ(load.failed(), 0);
}

}  // namespace
}  // namespace beryllane::testing
