// A router with a small share of a core before many targets, on the platform's
// stand-ins.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>
#include <vector>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kTargets = 140;
constexpr milliseconds kTimeout{1000};
// A request that reached its time-out is answered within this further time.
constexpr milliseconds kLateness{500};

// Stops a process for the rest of each period in which it has used up its
// share of a core.
class SmallShare {
 public:
  explicit SmallShare(const Process& process)
      : process_(process), thread_([this] { Run(); }) {}
  ~SmallShare() {
    is_ending_ = true;
    thread_.join();
  }
  SmallShare(const SmallShare&) = delete;
  SmallShare& operator=(const SmallShare&) = delete;

 private:
  void Run() const {
    constexpr milliseconds kPeriod{100};
    constexpr milliseconds kAllowance{12};
    while (!is_ending_) {
      const auto end = Clock::now() + kPeriod;
      const auto allowed = process_.ProcessorTime() + kAllowance;
      while (Clock::now() < end && process_.ProcessorTime() < allowed) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      process_.Signal(SIGSTOP);
      std::this_thread::sleep_until(end);
      process_.Signal(SIGCONT);
    }
  }

  const Process& process_;
  std::atomic<bool> is_ending_{false};
  std::thread thread_;
};

class SmallHost : public ::testing::Test {
 protected:
  SmallHost() {
    for (int i = PlatformFleet::kRunners; i < kTargets; ++i) {
      const int server = i % PlatformFleet::kRunners;
      const std::string id =
          "runner-" + std::to_string(server) + "." + std::to_string(i);
      const json model{{"name", PlatformFleet::kModel},
                       {"version", 1},
                       {"adapters", json::array()}};
      fleet_.Put("keyed.servers", id,
                 {{"service", "scribe"},
                  {"address", net::ToString(fleet_.runner_address(server))},
                  {"zone", "zone-a"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"models", json::array({model})},
                  {"sequence", 1},
                  {"born", 1}});
    }
    json config = PlatformFleet::FirstConfig();
    config["version"] = 2;
    for (json& route : config["routes"]) route["timeoutMs"] = kTimeout.count();
    fleet_.Put("keyed.op", "config", config);
    EXPECT_TRUE(Eventually([&] {
      return fleet_.Metric(0, "beryllane_config_version") == 2 &&
             fleet_.Metric(0, "beryllane_targets") ==
                 kTargets + PlatformFleet::kDesks;
    }));
  }

  // Sends requests from many callers, each of which waits a little after a
  // refusal.
  void AskFor(milliseconds duration) {
    constexpr int kCallers = 24;
    const auto end = Clock::now() + duration;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, caller, end] {
        for (int n = 0; Clock::now() < end; ++n) {
          const auto start = Clock::now();
          const std::string id =
              std::to_string(caller) + "-" + std::to_string(n);
          fleet_.AskPrompt(0, "/advice/x", id, "a:5,own-" + id + ":10");
          const bool is_late = Clock::now() - start > kTimeout + kLateness;
          ++asked_;
          late_ += is_late ? 1 : 0;
          std::this_thread::sleep_for(milliseconds(200));
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
  }

  PlatformFleet fleet_;
  std::atomic<int> asked_{0};
  std::atomic<int> late_{0};
};

TEST_F(SmallHost, NoRequestIsHeldPastItsTimeoutWhereAllTargetsAreLimited) {
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(i, {{"limit", 0.2}});
  }
  AskFor(milliseconds(3000));
  EXPECT_GT(fleet_.Metric(0, "beryllane_fleet_limited_targets"), kTargets / 4);
  asked_ = 0;
  late_ = 0;
  {
    const SmallShare share(fleet_.router(0));
    AskFor(milliseconds(5000));
  }
  RecordProperty("asked", asked_);
  EXPECT_GT(asked_, 0);
  EXPECT_EQ(late_, 0) << "of " << asked_;
}

}  // namespace
}  // namespace beryllane::testing
