// Tests of the estimate of a target's pace from its answers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

#include "beryllane/placement/pace.h"

namespace beryllane::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using Millis = TargetPace::Millis;
using TimePoint = RuntimeClock::time_point;

constexpr double kTruePaces[] = {28.6, 40.8, 69.4, 110};

nanoseconds Nanos(double ms) {
  return std::chrono::duration_cast<nanoseconds>(Millis(ms));
}

// Feeds `count` samples without waits, one every 300 ms.
void FeedSteady(TargetPace& pace, double tokens_per_ms, int count,
                TimePoint& now) {
  constexpr std::uint32_t kTokens = 8000;
  constexpr double kFixedMs = 4;
  for (int i = 0; i < count; ++i) {
    now += milliseconds(300);
    pace.OnFirstEvent(kTokens, Nanos(kTokens / tokens_per_ms + kFixedMs), 0,
                      now);
  }
}

// Three seconds of requests at one target. One in ten is an outlier: its prompt
// was cached without the router's knowledge, or its answer was delayed by half
// a second to three. Every second request waits at the target, for as long as
// an exponential distribution with half the time of a prefill gives.
class Traffic {
 public:
  Traffic(double tokens_per_ms, std::uint32_t seed)
      : tokens_per_ms_(tokens_per_ms), random_(seed) {}

  double EstimateAfterThreeSeconds() {
    constexpr int kRequests = 9;
    constexpr int kOutlierEvery = 10;
    TimePoint now;
    TargetPace pace;
    const auto outlier = static_cast<int>(Draw(0, kOutlierEvery));
    bool has_waited = Draw(0, 1) < 0.5;
    for (int i = 0; i < kRequests; ++i) {
      now += Nanos(Draw(270, 390));
      // Of two requests in a row, one waits.
      const bool is_second = i % 2 == 1;
      has_waited = is_second ? !has_waited : Draw(0, 1) < 0.5;
      pace.OnMomentaryPace(TargetPace::kUsualPercent, now);
      const auto tokens = static_cast<std::uint32_t>(Draw(3000, 9190));
      pace.OnFirstEvent(tokens, Elapsed(tokens, has_waited, i == outlier), 0,
                        now);
      // A chat request with a cached prompt.
      pace.OnFirstEvent(60, Nanos(Draw(3, 40)), 0, now);
    }
    return pace.PrefillTokensPerMs(now);
  }

 private:
  double Draw(double from, double to) {
    return from + (to - from) * static_cast<double>(random_()) / 0x1p32;
  }
  nanoseconds Elapsed(double tokens, bool has_waited, bool is_outlier) {
    constexpr double kMeanPromptTokens = 6000;
    // The round trip within a zone and a part of a decode step.
    double ms = tokens / tokens_per_ms_ + 2.8 + Draw(0, 6);
    const double wait =
        -std::log(1 - Draw(0, 1)) * 0.5 * kMeanPromptTokens / tokens_per_ms_;
    if (has_waited) ms += wait;
    if (is_outlier) {
      const bool is_cached = Draw(0, 1) < 0.5;
      ms = is_cached ? ms / Draw(2, 8) : ms + Draw(500, 3000);
    }
    return Nanos(ms);
  }

  double tokens_per_ms_;
  std::mt19937 random_;
};

// The milestone asks for an error of at most 20% after 3 s of traffic. A draw
// can make nearly all long prompts wait, so 1 trial in 100 may miss it.
TEST(TargetPace, IsWithinAFifthAfterThreeSecondsOfTraffic) {
  constexpr int kTrials = 2000;
  constexpr double kMaxError = 0.2;
  constexpr double kMaxMissShare = 0.01;
  for (const double truth : kTruePaces) {
    int misses = 0;
    double worst = 0;
    for (std::uint32_t seed = 1; seed <= kTrials; ++seed) {
      const double estimate = Traffic(truth, seed).EstimateAfterThreeSeconds();
      const double error = std::abs(estimate / truth - 1);
      worst = std::max(worst, error);
      if (error > kMaxError) ++misses;
    }
    RecordProperty("misses_at_" + std::to_string(truth), misses);
    std::printf("pace %.1f: %d of %d trials missed, largest error %.3f\n",
                truth, misses, kTrials, worst);
    EXPECT_LE(misses, kTrials * kMaxMissShare) << truth;
  }
}

TEST(TargetPace, IsTheDefaultBeforeEnoughSamples) {
  TimePoint now;
  TargetPace pace;
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
  EXPECT_EQ(pace.StepTime(now), TargetPace::kDefaultStepTime);
  FeedSteady(pace, 110, TargetPace::kMinPrefillSamples - 1, now);
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
  FeedSteady(pace, 110, 1, now);
  EXPECT_NEAR(pace.PrefillTokensPerMs(now), 110, 1);
}

TEST(TargetPace, IsForgottenWithTheIncarnation) {
  TimePoint now;
  TargetPace pace;
  FeedSteady(pace, 110, 10, now);
  for (int i = 0; i < 64; ++i) pace.OnEventGap(milliseconds(9), 1, now);
  pace.OnMomentaryPace(250, now);
  EXPECT_NE(pace.PrefillTokensPerMs(now), 40);
  EXPECT_NE(pace.StepTime(now), TargetPace::kDefaultStepTime);
  pace.Reset();
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
  EXPECT_EQ(pace.StepTime(now), TargetPace::kDefaultStepTime);
  // No sample of the earlier incarnation counts towards the minimum.
  FeedSteady(pace, 28.6, TargetPace::kMinPrefillSamples - 1, now);
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
}

// The time of a cached prompt is that of the network and of a decode step.
TEST(TargetPace, LearnsNothingFromCachedPromptsOfFewTokens) {
  TimePoint now;
  TargetPace pace;
  for (int i = 0; i < 100; ++i) {
    pace.OnFirstEvent(i % 60, milliseconds(9), 0, now);
  }
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
  FeedSteady(pace, 69.4, 8, now);
  const double before = pace.PrefillTokensPerMs(now);
  for (int i = 0; i < 100; ++i) {
    pace.OnFirstEvent(i % 60, milliseconds(9), 0, now);
  }
  EXPECT_EQ(pace.PrefillTokensPerMs(now), before);
}

TEST(TargetPace, TheMomentaryPaceIsAppliedOnTopFor100Ms) {
  TimePoint now;
  TargetPace pace;
  FeedSteady(pace, 69.4, 8, now);
  for (int i = 0; i < 64; ++i) pace.OnEventGap(milliseconds(5), 1, now);
  const double usual = pace.PrefillTokensPerMs(now);
  const Millis step = pace.StepTime(now);
  EXPECT_EQ(step, milliseconds(5));
  pace.OnMomentaryPace(250, now);
  EXPECT_DOUBLE_EQ(pace.PrefillTokensPerMs(now), usual / 2.5);
  EXPECT_DOUBLE_EQ(pace.StepTime(now).count(), step.count() * 2.5);
  now += milliseconds(99);
  EXPECT_DOUBLE_EQ(pace.PrefillTokensPerMs(now), usual / 2.5);
  now += milliseconds(1);
  EXPECT_EQ(pace.PrefillTokensPerMs(now), usual);
  EXPECT_EQ(pace.StepTime(now), step);
  // A newer report replaces an older one at once.
  pace.OnMomentaryPace(250, now);
  pace.OnMomentaryPace(50, now);
  EXPECT_DOUBLE_EQ(pace.PrefillTokensPerMs(now), usual * 2);
  pace.OnMomentaryPace(0, now);
  EXPECT_DOUBLE_EQ(pace.PrefillTokensPerMs(now), usual * 2);
}

// A slow period is reported by the momentary pace and must not be counted a
// second time by the estimate.
TEST(TargetPace, ATargetThatIsSlowAllTheTimeIsEstimatedAtItsUsualPace) {
  constexpr double kUsual = 40.8;
  TimePoint now;
  TargetPace pace;
  pace.OnMomentaryPace(250, now);
  for (int i = 0; i < 9; ++i) {
    now += milliseconds(600);
    pace.OnMomentaryPace(250, now);
    pace.OnFirstEvent(8000, Nanos(8000 / kUsual * 2.5), 0, now);
  }
  EXPECT_NEAR(pace.PrefillTokensPerMs(now + seconds(1)), kUsual, kUsual / 5);
}

// Dividing a sample by the figure that came with its end would give up to 2.5
// times the throughput if only the end was slow.
TEST(TargetPace, APrefillThatWasSlowOnlyAtItsEndDoesNotRaiseTheEstimate) {
  constexpr double kUsual = 40.8;
  TimePoint now;
  TargetPace pace;
  for (int i = 0; i < 9; ++i) {
    pace.OnMomentaryPace(100, now);
    now += milliseconds(300);
    pace.OnMomentaryPace(250, now);
    pace.OnFirstEvent(8000, Nanos(8000 / kUsual + 4), 0, now);
    now += milliseconds(150);
  }
  EXPECT_NEAR(pace.PrefillTokensPerMs(now), kUsual, kUsual / 5);
}

TEST(TargetPace, AnEstimateExpiresSoThatASlowTargetIsTriedAgain) {
  TimePoint now;
  TargetPace pace;
  FeedSteady(pace, 5, 8, now);
  EXPECT_NEAR(pace.PrefillTokensPerMs(now), 5, 1);
  now += TargetPace::kSampleLifetime;
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
  FeedSteady(pace, 69.4, 1, now);
  EXPECT_EQ(pace.PrefillTokensPerMs(now), 40);
}

TEST(TargetPace, TheStepTimeIsThatOfLowLoadAndIgnoresOutliers) {
  TimePoint now;
  TargetPace pace;
  for (int i = 0; i < 64; ++i) {
    now += milliseconds(20);
    const bool is_busy = i % 4 == 1;
    // Events that arrived together and steps that waited for a prefill.
    const bool is_outlier = i % 10 == 0;
    const double gap = is_outlier ? (i % 20 == 0 ? 0.05 : 200) : 6.08;
    pace.OnEventGap(Nanos(is_busy ? 30 : gap), is_busy ? 20 : 2, now);
  }
  EXPECT_NEAR(pace.StepTime(now).count(), 6.08, 0.01);
  pace.OnEventGap(nanoseconds(0), 1, now);
  pace.OnEventGap(nanoseconds(-5), 1, now);
  EXPECT_NEAR(pace.StepTime(now).count(), 6.08, 0.01);
}

RC_GTEST_PROP(TargetPace, AnyInputGivesPositiveFiniteFigures, ()) {
  TimePoint now;
  TargetPace pace;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 40000));
    pace.OnMomentaryPace(*rc::gen::inRange(-5, 10001), now);
    pace.OnFirstEvent(*rc::gen::arbitrary<std::uint32_t>(),
                      nanoseconds(*rc::gen::arbitrary<std::int32_t>()),
                      *rc::gen::inRange(-2, 600), now);
    pace.OnEventGap(nanoseconds(*rc::gen::arbitrary<std::int32_t>()),
                    *rc::gen::inRange(-2, 600), now);
    for (const double value :
         {pace.PrefillTokensPerMs(now), pace.StepTime(now).count()}) {
      RC_ASSERT(std::isfinite(value));
      RC_ASSERT(value > 0);
    }
  }
}

}  // namespace
}  // namespace beryllane::placement
