#include <gtest/gtest.h>

#include "beryllane/verdict/verdict.h"

namespace beryllane {
namespace {

TEST(Verdict, FollowsHowFarAnExchangeGot) {
  EXPECT_EQ(VerdictAt(ExchangeStage::kBeforeFirstByte), Verdict::kNotRun);
  EXPECT_EQ(VerdictAt(ExchangeStage::kRequestWritten), Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictAt(ExchangeStage::kResponseStarted), Verdict::kRan);
  EXPECT_EQ(VerdictAt(ExchangeStage::kResponseComplete), Verdict::kRan);
}

TEST(Verdict, OfTwoAttemptsIsThatOfTheOneThatGotFurthest) {
  EXPECT_EQ(Combine(Verdict::kNotRun, Verdict::kNotRun), Verdict::kNotRun);
  EXPECT_EQ(Combine(Verdict::kNotRun, Verdict::kMayHaveRun),
            Verdict::kMayHaveRun);
  EXPECT_EQ(Combine(Verdict::kRan, Verdict::kMayHaveRun), Verdict::kRan);
}

TEST(Verdict, SurvivesItsHeader) {
  for (const Verdict v :
       {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    EXPECT_EQ(ParseVerdict(ToString(v)), v);
  }
  EXPECT_EQ(ParseVerdict("maybe"), std::nullopt);
}

}  // namespace
}  // namespace beryllane
