/// @file
/// Estimates how fast one target processes prompts and decodes.
#ifndef BERYLLANE_PLACEMENT_PACE_H_
#define BERYLLANE_PLACEMENT_PACE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/placement/prefix_policy.h"

namespace beryllane::placement {

/// Estimates the prefill throughput and the decode step time of one incarnation
/// of a target from the answers that a router saw, and applies the momentary
/// pace that the target reports. Pure: performs no I/O and reads no clock. Not
/// thread-safe.
class TargetPace {
 public:
  using Millis = std::chrono::duration<double, std::milli>;

  /// Prefill throughput, in prompt tokens per ms, before enough samples.
  static constexpr double kDefaultTokensPerMs = kPrefillTokensPerMs;
  /// Decode step time before enough samples, about that of the deployments'
  /// data sheets.
  static constexpr Millis kDefaultStepTime{6};
  /// A request with fewer prompt tokens to process gives no information about
  /// the throughput: network and step time make up much of its time.
  static constexpr std::uint32_t kMinTokens = 1000;
  /// Number of prefill samples from which an estimate replaces the default.
  static constexpr std::size_t kMinPrefillSamples = 4;
  /// Number of latest prefill samples that are kept.
  static constexpr std::size_t kMaxPrefillSamples = 16;
  /// Number of gaps after each of which the step time is estimated again.
  static constexpr std::size_t kStepBatch = 16;
  /// Number of latest gaps that are kept.
  static constexpr std::size_t kMaxStepSamples = 64;
  /// Estimates from older samples expire, so that a target that seems slow is
  /// tried again.
  static constexpr std::chrono::seconds kSampleLifetime{120};
  /// Lifetime of a momentary pace.
  static constexpr std::chrono::milliseconds kMomentaryLifetime{100};
  /// Momentary pace of usual work; larger values take longer.
  static constexpr int kUsualPercent = 100;

  /// The first event of an answer arrived. `prefill_tokens` are the prompt
  /// tokens that had to be processed, `elapsed` is the time since the request
  /// was sent, `load_at_send` the estimated number of requests at the target
  /// then. The momentary pace that came with the answer is passed to
  /// `OnMomentaryPace` first. Ignores samples without information. @pre `now`
  /// does not decrease between calls.
  void OnFirstEvent(std::uint32_t prefill_tokens,
                    std::chrono::nanoseconds elapsed, double load_at_send,
                    RuntimeClock::time_point now);
  /// An event followed the previous one of its stream after `gap`, with an
  /// estimated number of `load` requests at the target. Ignores gaps that are
  /// not positive. @pre `now` does not decrease between calls.
  void OnEventGap(std::chrono::nanoseconds gap, double load,
                  RuntimeClock::time_point now);
  /// The target reported its momentary pace: the present duration of work in
  /// percent of the usual duration. Ignores values that are not positive. @pre
  /// `now` does not decrease between calls.
  void OnMomentaryPace(int percent, RuntimeClock::time_point now);

  /// Prompt tokens per ms that the target processes now; positive. @pre none.
  /// Complexity: constant.
  double PrefillTokensPerMs(RuntimeClock::time_point now) const;
  /// Time of a decode step at low load now; positive. @pre none. Complexity:
  /// constant.
  Millis StepTime(RuntimeClock::time_point now) const;

  /// Discards everything, because another incarnation of the target runs. @pre
  /// none.
  void Reset() { *this = TargetPace(); }

 private:
  struct PrefillSample {
    double tokens_per_ms = 0;
    double weight = 0;
    RuntimeClock::time_point at;
  };
  struct StepSample {
    double ms = 0;
    double load = 0;
    RuntimeClock::time_point at;
  };
  struct Momentary {
    double factor = 1;
    RuntimeClock::time_point at;
  };
  struct Estimate {
    double value = 0;
    RuntimeClock::time_point expires_at;
  };

  // Duration of work now relative to the usual duration.
  double MomentaryFactor(RuntimeClock::time_point now) const;
  // The smallest relative duration that is known for the time since `start`.
  double SmallestFactorSince(RuntimeClock::time_point start) const;
  void EstimateThroughput();
  void EstimateStepTime();

  std::deque<PrefillSample> prefill_samples_;
  std::deque<StepSample> step_samples_;
  // Number of gaps since the step time was last estimated.
  std::size_t new_gaps_ = 0;
  std::deque<Momentary> momentary_;
  std::optional<Estimate> tokens_per_ms_;
  std::optional<Estimate> step_ms_;
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_PACE_H_
