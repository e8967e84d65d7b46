// The soak's judge finds each broken promise in a record with one planted, and
// none in a clean record.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "tests/soak/fault_plan.h"
#include "tests/soak/promises.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::soak {
namespace {

using std::chrono::milliseconds;

class SoakJudge : public ::testing::Test {
 protected:
  static constexpr const char* kId = "call-0-0";

  SoakJudge() {
    call_.id = kId;
    call_.kind = RequestKind::kBook;
    call_.key = "key";
    call_.sent_at = Instant(std::chrono::seconds(100));
    call_.ended_at = call_.sent_at + milliseconds(20);
    call_.end = CallEnd::kAnswered;
    call_.status = 200;
    call_.answered_id = kId;
    call_.is_sealed = true;
    call_.body = std::string("ran at desk-0: ") + kId;
    run_ = {kId,
            "desk-0",
            call_.sent_at + milliseconds(5),
            PathOf(RequestKind::kBook),
            kId,
            "workshop"};
  }

  void MakeStream(int events) {
    call_.kind = RequestKind::kChat;
    run_.path = PathOf(RequestKind::kChat);
    call_.body.clear();
    for (int i = 1; i <= events; ++i) {
      const std::string number = std::to_string(i);
      call_.body += "id: ";
      call_.body += number;
      call_.body += "\ndata: word ";
      call_.body += number;
      call_.body += " of ";
      call_.body += kId;
      call_.body += "\n\n";
    }
  }

  std::size_t Broken(int runs = 1) const {
    SoakRecord record = record_;
    record.calls.push_back(call_);
    for (int i = 0; i < runs; ++i) record.runs.push_back(run_);
    return FindBroken(record, PromiseBounds{}).size();
  }

  CallRecord call_;
  RunRecord run_;
  SoakRecord record_;
};

TEST_F(SoakJudge, ACleanRecordBreaksNothing) {
  EXPECT_EQ(Broken(), 0U);
  constexpr int kAll = 20;
  MakeStream(kAll);
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(SoakJudge, FindsASecondRun) { EXPECT_EQ(Broken(2), 1U); }

TEST_F(SoakJudge, FindsARefusalOfARequestThatRan) {
  call_.status = 503;
  EXPECT_EQ(Broken(), 1U);
  EXPECT_EQ(Broken(0), 0U);
}

TEST_F(SoakJudge, FindsAnAnswerToAnotherRequest) {
  call_.answered_id = "call-0-1";
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsAnAnswerThatWasNotItsTargets) {
  call_.body = "ran at desk-1: call-0-0";
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsAStreamThatLooksCompleteAndIsNot) {
  MakeStream(3);
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsAPieceThatComesTwiceInACutStream) {
  MakeStream(3);
  call_.body += call_.body;
  call_.end = CallEnd::kClosed;
  record_.disturbances.push_back({call_.sent_at, call_.ended_at, ""});
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsARunThatNobodyAskedFor) {
  RunRecord stray = run_;
  stray.id = "call-9-9";
  record_.runs.push_back(stray);
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsARunWithAnotherBodyOrAccount) {
  run_.body = "smuggled";
  EXPECT_EQ(Broken(), 1U);
  run_.account = "other";
  EXPECT_EQ(Broken(), 2U);
}

TEST_F(SoakJudge, FindsARunWithARevokedKey) {
  record_.revocations.push_back(
      {"key", call_.sent_at - milliseconds(3500), Instant::max()});
  EXPECT_EQ(Broken(), 1U);
  // Within the bound it may still run.
  record_.revocations.back().from = call_.sent_at - milliseconds(2500);
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(SoakJudge, FindsACallWithoutAnAnswerInACalmSpan) {
  call_.end = CallEnd::kClosed;
  call_.status = 0;
  EXPECT_EQ(Broken(), 1U);
  EXPECT_EQ(Broken(0), 0U);
  record_.disturbances.push_back({call_.sent_at - milliseconds(3000),
                                  call_.sent_at - milliseconds(2000), ""});
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(SoakJudge, FindsOneTokenOfTwoHoldersAndAnOlderToken) {
  const Instant at = call_.sent_at;
  record_.orders = {{"runner-0", at, "a", 3}, {"runner-1", at, "b", 3}};
  EXPECT_EQ(Broken(), 1U);
  record_.orders = {{"runner-0", at, "a", 3}, {"runner-0", at, "b", 2}};
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(SoakJudge, FindsMoreAttemptsThanLostTargetsExcuse) {
  call_.kind = RequestKind::kStock;
  run_.path = PathOf(RequestKind::kStock);
  EXPECT_EQ(Broken(3), 0U);
  for (int i = 0; i < 3; ++i) record_.calls.push_back(call_);
  EXPECT_EQ(Broken(3), 1U);
}

TEST_F(SoakJudge, ARunAtATargetThatHadAnnouncedItsLeaving) {
  run_.start_time = 7;
  RunRecord earlier = run_;
  earlier.id = "earlier";
  earlier.is_leaving = true;
  CallRecord seen = call_;
  seen.id = seen.answered_id = earlier.id;
  seen.body = "ran at desk-0: earlier";
  earlier.body = earlier.id;
  seen.sent_at = call_.sent_at - milliseconds(2502);
  seen.ended_at = call_.sent_at - milliseconds(2501);
  record_.calls.push_back(seen);
  record_.runs.push_back(earlier);
  EXPECT_EQ(Broken(), 1U);
  record_.router_breaks.push_back({seen.router, seen.ended_at});
  EXPECT_EQ(Broken(), 0U);
  record_.router_breaks.clear();
  run_.start_time = 8;
  EXPECT_EQ(Broken(), 0U);
  run_.start_time = 7;
  record_.calls[0].ended_at += milliseconds(2);
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(SoakJudge, FindsRequestsThatReachATargetInItsPause) {
  const auto arrive = [&](milliseconds after) {
    record_.turned_away.push_back(
        {kId, "desk-1", 7, call_.sent_at + after, milliseconds(3000) - after});
  };
  for (const int after : {0, 400, 500, 600, 700, 3000}) {
    arrive(milliseconds(after));
  }
  EXPECT_EQ(Broken(), 0U);
  arrive(milliseconds(800));
  std::swap(record_.turned_away[5], record_.turned_away[6]);
  EXPECT_EQ(Broken(), 1U);
  record_.router_breaks.push_back(
      {call_.router, call_.sent_at + milliseconds(650)});
  EXPECT_EQ(Broken(), 0U);
  record_.router_breaks.clear();
  record_.disturbances.push_back(
      {call_.sent_at, call_.sent_at + milliseconds(800), "desk-1"});
  EXPECT_EQ(Broken(), 0U);
  record_.disturbances.back().link = "desk-0";
  EXPECT_EQ(Broken(), 1U);
}

TEST(FaultPlan, OneSeedGivesOnePlanAndOthersGiveOthers) {
  const PlanShape shape;
  const auto plan = DrawPlan(1, shape);
  const auto again = DrawPlan(1, shape);
  ASSERT_FALSE(plan.empty());
  ASSERT_EQ(plan.size(), again.size());
  for (std::size_t i = 0; i < plan.size(); ++i) {
    EXPECT_EQ(Describe(plan[i]), Describe(again[i]));
    EXPECT_LT(plan[i].at, shape.span);
  }
  EXPECT_NE(Describe(plan[0]), Describe(DrawPlan(2, shape)[0]));
}

TEST(FaultPlan, EachKindOfFaultComesAndFaultsOverlap) {
  PlanShape shape;
  shape.span = std::chrono::minutes(5);
  std::array<int, kFaultKinds> seen{};
  int overlaps = 0;
  const auto plan = DrawPlan(1, shape);
  for (std::size_t i = 0; i < plan.size(); ++i) {
    ++seen.at(static_cast<std::size_t>(plan[i].kind));
    if (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts) ++overlaps;
  }
  EXPECT_EQ(std::count(seen.begin(), seen.end(), 0), 0);
  EXPECT_GT(overlaps, 0);
}

}  // namespace
}  // namespace beryllane::soak
