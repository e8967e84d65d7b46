// Targets that write an earlier refusal once more on a kept connection, while a
// later request is on its way.
#include <gtest/gtest.h>

#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

class RepeatedRefusal : public ::testing::Test {
 protected:
  // Leaves one plain service and one model runner.
  void KeepOneTargetOfEach() {
    fleet_.desk(1).Kill();
    fleet_.runner(1).Kill();
    fleet_.runner(2).Kill();
    for (const char* id : {"desk-1", "runner-1", "runner-2"}) {
      fleet_.ControlStore(
          {{"drop", {{"topic", "keyed.servers"}, {"key", id}}}});
    }
    EXPECT_TRUE(
        Eventually([&] { return fleet_.Metric(0, "beryllane_targets") == 2; }));
  }
  void ControlAll(const json& change) const {
    for (int i = 0; i < PlatformFleet::kDesks; ++i) {
      fleet_.ControlDesk(i, change);
    }
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet_.ControlRunner(i, change);
    }
  }
  // Makes all targets refuse one request, and repeat that refusal this long
  // after each later answer.
  void RepeatARefusal(bool has_id, int after_ms, unsigned status = 503U) {
    ControlAll({{"refuse", true}, {"name_refusals", has_id}});
    ExpectStatus(fleet_.Send(0, "/book/x", "refused"), status);
    ExpectStatus(fleet_.Ask(0, "/chat/x", "refused"), status);
    ControlAll({{"refuse", false}, {"repeat_refusal_after_ms", after_ms}});
  }
  static void ExpectStatus(const Result<net::Response>& answer,
                           unsigned status) {
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), status) << answer.value().body();
  }
  // Sends requests that reuse connections; each must be answered and run once.
  void ExpectEachRunsOnce(const std::string& path) const {
    constexpr int kRequests = 6;
    const bool is_prompt = path.starts_with("/chat/");
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = path + std::to_string(i);
      ExpectStatus(
          is_prompt ? fleet_.Ask(0, path, id) : fleet_.Send(0, path, id), 200U);
    }
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = path + std::to_string(i);
      EXPECT_TRUE(Eventually([&] { return fleet_.RunsOf(id) >= 1; }));
      EXPECT_EQ(fleet_.RunsOf(id), 1) << id;
    }
  }

  PlatformFleet fleet_;
};

TEST_F(RepeatedRefusal, ThatNamesNoRequestIsNoProofOfNotRun) {
  KeepOneTargetOfEach();
  RepeatARefusal(false, 100);
  ExpectEachRunsOnce("/book/x");
}

TEST_F(RepeatedRefusal, ThatNamesNoRequestLeadsToNoSecondRun) {
  RepeatARefusal(false, 100);
  ExpectEachRunsOnce("/book/x");
}

TEST_F(RepeatedRefusal, ThatNamesNoRequestIsNoProofForAStream) {
  KeepOneTargetOfEach();
  RepeatARefusal(false, 100);
  ExpectEachRunsOnce("/chat/x");
}

TEST_F(RepeatedRefusal, WithNeitherNameNorProofIsNotRelayed) {
  KeepOneTargetOfEach();
  ControlAll({{"refusal_status", 429}, {"prove_refusals", false}});
  RepeatARefusal(false, 100, 502U);
  ExpectEachRunsOnce("/book/x");
}

TEST_F(RepeatedRefusal, ThatNamesItsRequestIsSkipped) {
  KeepOneTargetOfEach();
  RepeatARefusal(true, 100);
  ExpectEachRunsOnce("/book/x");
  ExpectEachRunsOnce("/chat/x");
}

TEST_F(RepeatedRefusal, RightAfterAnAnswerIsNotTakenForTheNext) {
  KeepOneTargetOfEach();
  RepeatARefusal(false, 0);
  ExpectEachRunsOnce("/book/x");
}

TEST_F(RepeatedRefusal, OfARequestThatMayRunAgainLeadsToAnAnswer) {
  RepeatARefusal(false, 100);
  for (int i = 0; i < 6; ++i) {
    ExpectStatus(fleet_.Send(0, "/book/stock/x", "again-" + std::to_string(i)),
                 200U);
  }
}

TEST_F(RepeatedRefusal, OfATargetThatNamesNoneIsBelievedOnANewConnection) {
  KeepOneTargetOfEach();
  ControlAll({{"name_refusals", false}});
  ExpectStatus(fleet_.Send(0, "/book/x", "answered"), 200U);
  ControlAll({{"refuse", true}});
  ExpectStatus(fleet_.Send(0, "/book/x", "kept", {{"Deadline-Ms", "600"}}),
               504U);
  ExpectStatus(fleet_.Send(0, "/book/x", "new"), 503U);
  ControlAll({{"name_refusals", true}});
  ExpectStatus(fleet_.Send(0, "/book/x", "named"), 503U);
  EXPECT_EQ(fleet_.RunsOf("kept") + fleet_.RunsOf("new"), 0);
  EXPECT_EQ(fleet_.Metric(0, "beryllane_fleet_unproven_refusals_total"), 1);
}

}  // namespace
}  // namespace beryllane::testing
