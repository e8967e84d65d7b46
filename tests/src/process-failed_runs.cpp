// Failures of targets that have run a request, as callers get them.
#include <gtest/gtest.h>

#include "fmt/format.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

class FailedRuns : public ::testing::Test {
 protected:
  // Makes all targets run requests and answer with `status`.
  void FailWith(unsigned status) const {
    const json change{{"fail", true}, {"fail_status", status}};
    for (int i = 0; i < PlatformFleet::kDesks; ++i) {
      fleet_.ControlDesk(i, change);
    }
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet_.ControlRunner(i, change);
    }
  }
  // Sends a request that runs and fails with `status`.
  void ExpectAnswer(const std::string& path, unsigned status,
                    unsigned expected) {
    SCOPED_TRACE(fmt::format("{} {}", path, status));
    const std::string id = fmt::format("r{}", ++requests_);
    const bool is_prompt =
        path.starts_with("/chat/") || path.starts_with("/advice/");
    const auto answer =
        is_prompt ? fleet_.AskPrompt(0, path, id, "a" + id + ":5,b" + id + ":5")
                  : fleet_.Send(0, path, id);
    ASSERT_TRUE(answer.ok()) << answer.error().message;
    EXPECT_EQ(answer.value().result_int(), expected);
    const bool is_relayed = status == expected;
    EXPECT_EQ(!net::Header(answer.value(), "Response-Seal").empty(),
              is_relayed);
    if (is_relayed) {
      EXPECT_EQ(answer.value().body(), "failed");
    }
    EXPECT_GE(fleet_.RunsOf(id), 1);
  }

  PlatformFleet fleet_;
  int requests_ = 0;
};

// A 503 for a request that had run was relayed, and callers sent it again.
TEST_F(FailedRuns, PromiseNoCallerThatARequestWhichRunsOnceHasNotRun) {
  constexpr unsigned kBadGateway = 502;
  for (const unsigned status : {408U, 429U, 503U}) {
    FailWith(status);
    for (const char* path : {"/book/x", "/chat/x"}) {
      ExpectAnswer(path, status, kBadGateway);
    }
    for (const char* path : {"/book/stock/x", "/advice/x"}) {
      ExpectAnswer(path, status, status);
    }
  }
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_unproven_promises_total"), 6);
}

// A status that the library does not name reached callers as 000.
TEST_F(FailedRuns, ReachCallersWithTheirStatus) {
  for (const unsigned status : {404U, 425U, 499U, 500U, 520U, 599U}) {
    FailWith(status);
    for (const char* path :
         {"/book/x", "/chat/x", "/book/stock/x", "/advice/x"}) {
      ExpectAnswer(path, status, status);
    }
  }
}

}  // namespace
}  // namespace beryllane::testing
