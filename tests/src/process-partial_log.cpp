// A router that reads the operator's log in parts, as a store with much to
// answer sends it.
#include <gtest/gtest.h>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;

int StatusOf(const Result<net::Response>& answer) {
  return answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
}

// A part of the log counted as a proof that the configuration was the newest.
TEST(PartialLog, ACredentialThatARestOfTheLogRevokesIsNotAccepted) {
  constexpr std::uint64_t kVersions = 6;
  const PlatformFleet fleet;
  const auto send = [&](const std::string& id) {
    return StatusOf(fleet.Send(0, "/book/x", id));
  };
  ASSERT_EQ(send("before"), kOk);
  fleet.ControlStore({{"down", true}});
  ASSERT_TRUE(Eventually([&] { return fleet.ReadyStatus(0) == kUnavailable; }));
  json config = PlatformFleet::FirstConfig();
  const std::uint64_t first = config["version"];
  for (std::uint64_t i = 1; i <= kVersions; ++i) {
    config["version"] = first + i;
    if (i == kVersions) config["tenants"][0]["apiKeys"] = {"another-key"};
    fleet.Put("keyed.op", "config", config);
  }
  // Each answer has one record.
  fleet.ControlStore(
      {{"down", false}, {"answer_bytes", 1}, {"answer_ms", 200}});
  int requests = 0;
  int status = kUnavailable;
  const auto has_revoked = [&] {
    status = send("r" + std::to_string(++requests));
    EXPECT_TRUE(status == kUnavailable || status == kUnauthorized) << status;
    return status == kUnauthorized;
  };
  EXPECT_TRUE(Eventually(has_revoked));
  EXPECT_GT(requests, 1);
  EXPECT_EQ(fleet.ReadyStatus(0), kOk);
}

}  // namespace
}  // namespace beryllane::testing
