// Allowances of client accounts that several routers keep together.
#include <gtest/gtest.h>

#include <atomic>
#include <cmath>
#include <thread>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr double kPerSecond = 20;
constexpr double kBurst = 20;
constexpr const char* kFreeKey = "key-of-unlimited";

// The first configuration with a limit for its account, and an account without.
json LimitedConfig() {
  json config = PlatformFleet::FirstConfig();
  config["version"] = 2;
  config["tenants"][0]["ratePerS"] = kPerSecond;
  config["tenants"][0]["burst"] = kBurst;
  config["tenants"].push_back(
      {{"name", "unlimited"}, {"apiKeys", json::array({kFreeKey})}});
  return config;
}

class AccountAllowance : public ::testing::Test {
 protected:
  static constexpr int kRouters = 3;

  AccountAllowance() {
    fleet_.Put("keyed.op", "config", LimitedConfig());
    for (int i = 0; i < kRouters; ++i) {
      EXPECT_TRUE(Eventually(
          [&] { return fleet_.Metric(i, "beryllane_config_version") == 2; }));
    }
  }

  // Sends from several callers through `routers` for some time.
  void Load(const std::vector<int>& routers, milliseconds duration) {
    constexpr int kCallers = 9;
    std::vector<std::thread> threads;
    threads.reserve(kCallers);
    const auto end = Clock::now() + duration;
    for (int i = 0; i < kCallers; ++i) {
      threads.emplace_back([&, i] {
        const int router =
            routers[static_cast<std::size_t>(i) % routers.size()];
        for (int n = 0; Clock::now() < end; ++n) {
          const std::string id = "c" + std::to_string(next_id_++);
          const auto answer = fleet_.Send(router, "/book/stock/x", id);
          const int status = answer.ok() ? answer.value().result_int() : 0;
          if (status == 0) ++unanswered_;
          if (status == 200) ++served_;
          if (status == 429) {
            ++refused_;
            const bool has_time =
                answer.value().count(net::http::field::retry_after) > 0;
            if (!has_time) ++without_time_;
          }
          std::this_thread::sleep_for(milliseconds(5));
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }

  PlatformFleet fleet_{kRouters};
  std::atomic<int> next_id_{0};
  std::atomic<int> served_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> without_time_{0};
  std::atomic<int> unanswered_{0};
};

// Guards against a limit that each router applies by itself.
TEST_F(AccountAllowance, AllRoutersTogetherServeNoMoreThanTheLimit) {
  const auto begin = Clock::now();
  Load({0, 1, 2}, seconds(4));
  const std::chrono::duration<double> took = Clock::now() - begin;
  EXPECT_LE(served_, (kPerSecond * took.count() + kBurst) * 1.1 + 1);
  EXPECT_GE(served_, 0.7 * kPerSecond * 4);
  EXPECT_GT(refused_, 0);
  EXPECT_EQ(without_time_, 0);
  // A request that waited for a lease which had arrived already had no answer.
  EXPECT_EQ(unanswered_, 0);
}

// Guards against shares of which a router without callers uses none.
TEST_F(AccountAllowance, OneRouterMayUseTheWholeAllowance) {
  Load({1}, seconds(4));
  EXPECT_GE(served_, 0.7 * kPerSecond * 4);
}

// Guards against a second full allowance once the owner of the ledger is gone,
// and against an account that is refused until it returns.
TEST_F(AccountAllowance, HoldsWhileEachRouterIsLostInTurn) {
  const auto begin = Clock::now();
  for (int lost = 0; lost < kRouters; ++lost) {
    fleet_.router(lost).Kill();
    const int before = served_;
    Load({(lost + 1) % kRouters, (lost + 2) % kRouters}, seconds(4));
    // Half of the limit, as a third of the routers is not heard and a new
    // owner begins after 1.5 s.
    EXPECT_GE(served_ - before, 0.25 * kPerSecond * 4) << lost;
    fleet_.StartRouter(lost);
    ASSERT_TRUE(fleet_.WaitReady(lost));
  }
  const std::chrono::duration<double> took = Clock::now() - begin;
  EXPECT_LE(served_, (kPerSecond * took.count() + kBurst) * 1.1 + 1);
}

TEST_F(AccountAllowance, AccountsWithoutALimitAskNobody) {
  for (int n = 0; n < 30; ++n) {
    const auto answer =
        fleet_.Send(n % kRouters, "/book/stock/x", "free" + std::to_string(n),
                    {}, "body", kFreeKey);
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), 200u);
  }
  for (int i = 0; i < kRouters; ++i) {
    EXPECT_EQ(fleet_.Metric(i, "beryllane_allowance_leases_requested_total"),
              0);
  }
}

}  // namespace
}  // namespace beryllane::testing
