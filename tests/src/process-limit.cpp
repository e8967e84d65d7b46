// Targets that name a limit of requests a second, with several routers on the
// platform's stand-ins.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr double kLimit = 3;
constexpr double kNoLimit = -1;
constexpr milliseconds kSettleTime{3000};
constexpr milliseconds kWindow{4000};
// What a target takes in a window: one and a half times its limit and five.
constexpr int kMaxRuns = 23;

class Limit : public ::testing::Test {
 protected:
  static constexpr int kRouters = 3;

  // Callers that send one request after the other through uneven routers.
  class Load {
   public:
    Load(const PlatformFleet& fleet, const std::string& path) {
      constexpr int kCallers = 8;
      for (int i = 0; i < kCallers; ++i) {
        const int router = i < kCallers / 2 ? 0 : i % kRouters;
        threads_.emplace_back([this, &fleet, path, router, i] {
          for (int n = 0; !is_stopping_; ++n) {
            const std::string id =
                path + std::to_string(i) + "-" + std::to_string(n);
            const auto answer = fleet.AskPrompt(router, path, id,
                                                "shared:500,own-" + id + ":10");
            const bool is_ok =
                answer.ok() && answer.value().result_int() == 200;
            ++(is_ok ? answered_ : refused_);
            std::this_thread::sleep_for(milliseconds(is_ok ? 1 : 50));
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

   private:
    std::atomic<bool> is_stopping_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> refused_{0};
    std::vector<std::thread> threads_;
  };

  void LimitRunners(int count, double limit) const {
    for (int i = 0; i < count; ++i) fleet_.ControlRunner(i, {{"limit", limit}});
  }
  int RunsAtDesk(int i) const {
    int runs = 0;
    const json seen = fleet_.ControlDesk(i, json::object());
    for (const auto& [id, count] : seen["runs"].items()) {
      runs += count.get<int>();
    }
    return runs;
  }

  PlatformFleet fleet_{kRouters};
};

TEST_F(Limit, RunnersGetNoMoreThanTheLimitThatTheyName) {
  LimitRunners(PlatformFleet::kRunners, kLimit);
  const Load load(fleet_, "/advice/x");
  std::this_thread::sleep_for(kSettleTime);
  std::array<int, PlatformFleet::kRunners> before{};
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    before[i] = fleet_.RunsAtRunner(i);
  }
  const int answered = load.answered();
  std::this_thread::sleep_for(kWindow);
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    EXPECT_LE(fleet_.RunsAtRunner(i) - before[i], kMaxRuns) << i;
  }
  // Half of what the limits allow, at least, is used.
  EXPECT_GE(load.answered() - answered, 18);
}

TEST_F(Limit, PlainServicesGetNoMoreThanTheLimitThatTheyName) {
  for (int i = 0; i < PlatformFleet::kDesks; ++i) {
    fleet_.ControlDesk(i, {{"limit", kLimit}});
  }
  const Load load(fleet_, "/book/x");
  std::this_thread::sleep_for(kSettleTime);
  std::array<int, PlatformFleet::kDesks> before{};
  for (int i = 0; i < PlatformFleet::kDesks; ++i) before[i] = RunsAtDesk(i);
  std::this_thread::sleep_for(kWindow);
  for (int i = 0; i < PlatformFleet::kDesks; ++i) {
    EXPECT_LE(RunsAtDesk(i) - before[i], kMaxRuns) << i;
  }
}

TEST_F(Limit, TrafficGoesToRunnersWithoutALimitAndReturnsWhenItEnds) {
  LimitRunners(PlatformFleet::kRunners - 1, kLimit);
  const Load load(fleet_, "/advice/x");
  std::this_thread::sleep_for(kSettleTime);
  const int answered = load.answered();
  std::this_thread::sleep_for(kWindow);
  EXPECT_GE(load.answered() - answered, 100);
  LimitRunners(PlatformFleet::kRunners - 1, kNoLimit);
  EXPECT_TRUE(Eventually([&] {
    for (int i = 0; i < kRouters; ++i) {
      if (fleet_.Metric(i, "beryllane_fleet_limited_targets") > 0) return false;
    }
    return true;
  }));
}

}  // namespace
}  // namespace beryllane::testing
