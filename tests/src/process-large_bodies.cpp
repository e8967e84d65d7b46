// Many large requests at once, on the platform's stand-ins.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

constexpr int kCallers = 32;
constexpr std::size_t kBodyBytes = 4000000;

// Bodies of many requests at once took up all memory.
TEST(LargeBodies, ThoseThatTheMemoryHasNoRoomForAreRefused) {
  const PlatformFleet fleet;
  json config = PlatformFleet::FirstConfig();
  config["version"] = 2;
  config["limits"]["maxBodyBytes"] = kBodyBytes;
  fleet.Put("keyed.op", "config", config);
  ASSERT_TRUE(Eventually(
      [&] { return fleet.Metric(0, "beryllane_config_version") == 2; }));
  const std::string body(kBodyBytes, 'x');
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = "r" + std::to_string(i);
      const auto answer = fleet.Send(0, "/book/x", id, {}, body);
      const int status =
          answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
      EXPECT_TRUE(status == 200 || status == 503)
          << id << ": "
          << (answer.ok() ? answer.value().body().substr(0, 200)
                          : answer.error().message);
      if (status == 200) ++served;
      if (status == 503) ++refused;
      EXPECT_EQ(fleet.RunsOf(id), status == 200 ? 1 : 0) << id;
    });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_GT(served, 0);
  EXPECT_GT(refused, 0);
  EXPECT_EQ(served + refused, kCallers);
  EXPECT_EQ(fleet.Metric(0, "beryllane_held_bytes_refusals_total"), refused);
  EXPECT_EQ(fleet.Metric(0, "beryllane_held_bytes "), 0);
}

}  // namespace
}  // namespace beryllane::testing
