// Attribution of crashes to keys, and the quarantine of keys.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "beryllane/quarantine/crash_attribution.h"
#include "beryllane/quarantine/quarantine_table.h"

namespace beryllane::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using TimePoint = RuntimeClock::time_point;

constexpr std::uint64_t kGuilty = 77;
constexpr std::uint64_t kSharedFirstPart = 5;

TimePoint At(int millis) { return TimePoint(milliseconds(millis)); }

CrashedTarget Target(int id) { return {static_cast<std::uint64_t>(id)}; }

Suspect Starting(std::uint64_t key, int sent_ms, std::uint32_t depth = 1) {
  return {key, Progress::kStarting, depth, At(sent_ms)};
}

Suspect Waiting(std::uint64_t key, int sent_ms, std::uint32_t depth = 1) {
  return {key, Progress::kWaiting, depth, At(sent_ms)};
}

TEST(CrashAttribution, FindsThePartThatIsInAllCrashes) {
  CrashAttribution attribution;
  attribution.AddCrash({1}, At(1000),
                       {Starting(kGuilty, 800), Waiting(1, 900)});
  attribution.AddCrash({2}, At(2000),
                       {Starting(kGuilty, 1500), Waiting(2, 1900)});
  EXPECT_EQ(attribution.TakeCulprit(At(2000)), std::nullopt);
  attribution.AddCrash({3}, At(3000),
                       {Starting(kGuilty, 2800), Waiting(3, 2900)});
  EXPECT_EQ(attribution.TakeCulprit(At(3000)), kGuilty);
  EXPECT_EQ(attribution.TakeCulprit(At(3000)), std::nullopt);
}

TEST(CrashAttribution, APartThatAnswersBetweenCrashesIsNotTheCulprit) {
  CrashAttribution attribution;
  for (int i = 1; i <= 9; ++i) {
    const int at = 1000 * i;
    attribution.AddCrash(Target(i), At(at),
                         {Starting(kSharedFirstPart, at - 100, 0)});
    EXPECT_EQ(attribution.TakeCulprit(At(at)), std::nullopt);
    attribution.Clear(kSharedFirstPart, At(at + 500));
  }
}

TEST(CrashAttribution, AnAnswerBeforeACrashDoesNotClearIt) {
  CrashAttribution attribution;
  for (int i = 1; i <= 3; ++i) {
    const int at = 1000 * i;
    attribution.AddCrash(Target(i), At(at), {Starting(kGuilty, at - 100)});
    attribution.Clear(kGuilty, At(at - 500 * i));
  }
  EXPECT_DOUBLE_EQ(attribution.Weight(kGuilty), 2);
}

TEST(CrashAttribution, CompanionsOfTheCulpritAreNotConvictedAfterIt) {
  CrashAttribution attribution;
  for (int i = 1; i <= 6; ++i) {
    const int at = 1000 * i;
    attribution.AddCrash(Target(i), At(at), {Starting(kGuilty, at - 100, 2)});
    attribution.AddCrash(Target(i), At(at),
                         {Waiting(kSharedFirstPart, at - 50, 0)});
  }
  EXPECT_EQ(attribution.TakeCulprit(At(6000)), kGuilty);
  EXPECT_EQ(attribution.TakeCulprit(At(6000)), std::nullopt);
  attribution.AddCrash(
      {7}, At(7000),
      {Waiting(kSharedFirstPart, 6900, 0), Waiting(kGuilty, 6000, 2)});
  EXPECT_DOUBLE_EQ(attribution.Weight(kSharedFirstPart), 0);
}

TEST(CrashAttribution, OfEqualEvidenceTheDeepestPartIsChosen) {
  CrashAttribution attribution;
  for (int i = 1; i <= 3; ++i) {
    const int at = 1000 * i;
    attribution.AddCrash(Target(i), At(at),
                         {Starting(kSharedFirstPart, at - 100, 0),
                          Starting(kGuilty, at - 100, 2)});
  }
  EXPECT_EQ(attribution.TakeCulprit(At(3000)), kGuilty);
}

TEST(CrashAttribution, TargetsThatFailTogetherConvictNoPart) {
  CrashAttribution attribution;
  for (int i = 1; i <= 12; ++i) {
    attribution.AddCrash(Target(i), At(1000 + i),
                         {Starting(kSharedFirstPart, 900, 0)});
  }
  EXPECT_EQ(attribution.TakeCulprit(At(1100)), std::nullopt);
}

// Guards against a part of many requests that is refused because targets fail
// together and hosts that are further away go on sending to them for a moment.
TEST(CrashAttribution, RequestsSentWhileTargetsFailTogetherConvictNoPart) {
  CrashAttribution attribution;
  for (int i = 1; i <= 12; ++i) {
    const int sent_ms = 900 + 20 * i;
    attribution.AddCrash(Target(i), At(1000 + 20 * i),
                         {Starting(kSharedFirstPart, sent_ms, 0)});
  }
  EXPECT_EQ(attribution.TakeCulprit(At(1300)), std::nullopt);
}

TEST(CrashAttribution, ATargetThatCrashesAgainAndAgainConvictsNoPart) {
  CrashAttribution attribution;
  for (int i = 1; i <= 9; ++i) {
    const int at = 3000 * i;
    attribution.AddCrash({1}, At(at), {Starting(kSharedFirstPart, at - 100)});
  }
  EXPECT_EQ(attribution.TakeCulprit(At(27000)), std::nullopt);
}

TEST(CrashAttribution, ReportsOfSeveralHostsOnOneCrashCountOnce) {
  CrashAttribution attribution;
  for (int i = 1; i <= 9; ++i) {
    attribution.AddCrash({1}, At(1000 + i), {Starting(kGuilty, 900 + 2 * i)});
  }
  EXPECT_DOUBLE_EQ(attribution.Weight(kGuilty), 1);
}

TEST(CrashAttribution, ATargetThatRestartsAtOnceCrashesAnew) {
  CrashAttribution attribution;
  attribution.AddCrash({1, 100}, At(1000), {Starting(kGuilty, 900)});
  attribution.AddCrash({1, 200}, At(1200), {Starting(kGuilty, 1100)});
  EXPECT_DOUBLE_EQ(attribution.Weight(kGuilty), 2);
}

TEST(CrashAttribution, APartThatCrashesBeforeTheAnswerBeginsIsFoundLater) {
  CrashAttribution attribution;
  for (int i = 1; i <= 4; ++i) {
    const int at = 1000 * i;
    attribution.AddCrash(Target(i), At(at), {Waiting(kGuilty, at - 100)});
    EXPECT_EQ(attribution.TakeCulprit(At(at)), std::nullopt);
  }
  attribution.AddCrash({5}, At(5000), {Waiting(kGuilty, 4900)});
  EXPECT_EQ(attribution.TakeCulprit(At(5000)), kGuilty);
}

TEST(CrashAttribution, OldCrashesAreForgotten) {
  CrashAttribution attribution;
  attribution.AddCrash({1}, At(1000), {Starting(kGuilty, 900)});
  attribution.AddCrash({2}, At(2000), {Starting(kGuilty, 1900)});
  attribution.AddCrash({3}, At(100000), {Starting(kGuilty, 99900)});
  EXPECT_EQ(attribution.TakeCulprit(At(100000)), std::nullopt);
  EXPECT_DOUBLE_EQ(attribution.Weight(kGuilty), 1);
}

// Whatever the order in which hosts learn of crashes, they agree.
RC_GTEST_PROP(CrashAttributionProperty, TheOrderOfReportsDoesNotMatter, ()) {
  struct Report {
    std::uint64_t target;
    int at;
    Suspect suspect;
  };
  std::vector<Report> reports;
  const int count = *rc::gen::inRange(3, 12);
  for (int i = 0; i < count; ++i) {
    const int at = 2000 * (i + 1);
    const auto key = *rc::gen::inRange<std::uint64_t>(1, 4);
    reports.push_back({static_cast<std::uint64_t>(i % 3), at,
                       *rc::gen::arbitrary<bool>() ? Starting(key, at - 100)
                                                   : Waiting(key, at - 100)});
  }
  const auto culprit_of = [](const std::vector<Report>& order) {
    CrashAttribution attribution;
    for (const Report& report : order) {
      attribution.AddCrash({report.target}, At(report.at), {report.suspect});
    }
    return attribution.TakeCulprit(At(25000));
  };
  auto shuffled = reports;
  for (std::size_t i = shuffled.size(); i > 1; --i) {
    std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
  }
  RC_ASSERT(culprit_of(reports) == culprit_of(shuffled));
}

TEST(QuarantineTable, RefusesUntilItLapsesAndThenAsksForATrial) {
  QuarantineTable table;
  EXPECT_EQ(table.Check(1, At(0)), Admission::kAdmit);
  EXPECT_TRUE(table.Set(1, 1, At(0)));
  EXPECT_EQ(table.Check(1, At(0)), Admission::kRefuse);
  EXPECT_EQ(table.Check(2, At(0)), Admission::kAdmit);
  const auto lapsed = At(0) + QuarantineTable::kFirstDuration;
  EXPECT_EQ(table.Check(1, lapsed - milliseconds(1)), Admission::kRefuse);
  EXPECT_EQ(table.Check(1, lapsed), Admission::kTrialDue);
  EXPECT_TRUE(table.Clear(1));
  EXPECT_EQ(table.Check(1, At(0)), Admission::kAdmit);
}

TEST(QuarantineTable, EachStrikeDoublesTheDurationUpToALimit) {
  EXPECT_EQ(QuarantineTable::DurationOf(1), minutes(2));
  EXPECT_EQ(QuarantineTable::DurationOf(2), minutes(4));
  EXPECT_EQ(QuarantineTable::DurationOf(1000), QuarantineTable::kMaxDuration);
}

TEST(QuarantineTable, AStrikeThatIsKnownDoesNotExtendTheQuarantine) {
  QuarantineTable table;
  EXPECT_TRUE(table.Set(1, 2, At(0)));
  EXPECT_FALSE(table.Set(1, 2, At(0) + seconds(100)));
  EXPECT_FALSE(table.Set(1, 1, At(0) + seconds(100)));
  EXPECT_EQ(table.Check(1, At(0) + minutes(4)), Admission::kTrialDue);
}

TEST(QuarantineTable, ItsSizeIsBounded) {
  QuarantineTable table;
  for (std::uint64_t key = 0; key < QuarantineTable::kMaxEntries; ++key) {
    EXPECT_TRUE(table.Set(key, 1, At(0)));
  }
  EXPECT_FALSE(table.Set(1000, 1, At(0)));
  EXPECT_TRUE(table.Set(0, 2, At(0)));
}

}  // namespace
}  // namespace beryllane::quarantine
