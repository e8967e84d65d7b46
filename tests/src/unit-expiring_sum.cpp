// Tests of sums of values that others report and that expire.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "beryllane/limit/expiring_sum.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using TimePoint = RuntimeClock::time_point;

constexpr milliseconds kLifetime{1000};

TEST(ExpiringSum, TheLatestValueOfEachSourceCounts) {
  ExpiringSum<std::int64_t> sum(kLifetime);
  const TimePoint start;
  sum.Set(1, 5, start);
  sum.Set(2, 7, start);
  sum.Set(1, 3, start + milliseconds(10));
  EXPECT_EQ(sum.Total(start + milliseconds(10)), 10);
  EXPECT_EQ(sum.Count(start + milliseconds(10)), 2U);
}

TEST(ExpiringSum, AValueExpiresUnlessItIsReportedAgain) {
  ExpiringSum<std::int64_t> sum(kLifetime);
  const TimePoint start;
  sum.Set(1, 5, start);
  sum.Set(2, 7, start);
  sum.Set(1, 5, start + milliseconds(600));
  EXPECT_EQ(sum.Total(start + milliseconds(999)), 12);
  EXPECT_EQ(sum.Total(start + milliseconds(1000)), 5);
  EXPECT_EQ(sum.Total(start + milliseconds(1600)), 0);
  EXPECT_EQ(sum.Count(start + milliseconds(1600)), 0U);
}

TEST(ExpiringSum, AnEmptySumHasNoRoundingErrors) {
  ExpiringSum<double> sum(kLifetime);
  const TimePoint start;
  for (std::uint32_t source = 0; source < 100; ++source) {
    sum.Set(source, 0.1 * source, start);
  }
  for (std::uint32_t source = 0; source < 100; ++source) {
    sum.Set(source, 0, start);
  }
  EXPECT_EQ(sum.Total(start), 0);
}

RC_GTEST_PROP(ExpiringSum, EqualsTheSumOverAllSources, ()) {
  struct Known {
    std::int64_t value = 0;
    TimePoint at;
  };
  ExpiringSum<std::int64_t> sum(kLifetime);
  std::map<std::uint32_t, Known> known;
  TimePoint now;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 500));
    const auto source = *rc::gen::inRange<std::uint32_t>(0, 8);
    const auto value = *rc::gen::inRange<std::int64_t>(0, 4);
    sum.Set(source, value, now);
    known[source] = {value, now};
    std::int64_t expected = 0;
    for (const auto& [id, report] : known) {
      if (now - report.at < kLifetime) expected += report.value;
    }
    RC_ASSERT(sum.Total(now) == expected);
  }
}

}  // namespace
}  // namespace beryllane
