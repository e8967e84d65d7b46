#include "beryllane/placement/pace.h"

#include <algorithm>
#include <vector>

namespace beryllane::placement {
namespace {

using Millis = TargetPace::Millis;

// Waits only lower the throughput of a sample, so the estimate is an upper
// quantile. It is not the maximum, because a prompt that the target had cached
// without the router's knowledge gives too high a throughput.
constexpr double kThroughputQuantile = 0.75;
// Time of an answer that is not prefill: the round trip within a zone and the
// rest of a decode step.
constexpr Millis kFixedTime{4};
// The fixed time is at most this share of a sample's time.
constexpr double kMaxFixedShare = 0.5;
// Throughput that no target reaches; faster answers are not from a prefill.
constexpr double kMaxTokensPerMs = 2000;
// Number of reports of a momentary pace that are kept: those of a prefill.
constexpr std::size_t kMaxMomentary = 32;

// Drops the samples at the front that are too old or too many.
template <typename Samples>
void Prune(Samples& samples, std::size_t limit, RuntimeClock::time_point now) {
  while (!samples.empty() &&
         (samples.size() > limit ||
          now - samples.front().at >= TargetPace::kSampleLifetime)) {
    samples.pop_front();
  }
}

}  // namespace

void TargetPace::OnFirstEvent(std::uint32_t prefill_tokens,
                              std::chrono::nanoseconds elapsed,
                              double load_at_send,
                              RuntimeClock::time_point now) {
  const Millis taken = elapsed;
  if (prefill_tokens < kMinTokens || taken <= Millis(0)) return;
  const Millis prefill =
      std::max(taken - kFixedTime, taken * (1 - kMaxFixedShare));
  const double tokens_per_ms =
      prefill_tokens / prefill.count() * SmallestFactorSince(now - elapsed);
  if (tokens_per_ms > kMaxTokensPerMs) return;
  // Fixed times matter least for long prompts, and waits are the least likely
  // at targets with a low load.
  const double weight = prefill_tokens / (1 + std::max(0.0, load_at_send));
  prefill_samples_.push_back({tokens_per_ms, weight, now});
  Prune(prefill_samples_, kMaxPrefillSamples, now);
  EstimateThroughput();
}

void TargetPace::EstimateThroughput() {
  if (prefill_samples_.size() < kMinPrefillSamples) return;
  std::vector<PrefillSample> samples(prefill_samples_.begin(),
                                     prefill_samples_.end());
  std::sort(samples.begin(), samples.end(),
            [](const PrefillSample& a, const PrefillSample& b) {
              return a.tokens_per_ms < b.tokens_per_ms;
            });
  double total = 0;
  for (const PrefillSample& sample : samples) total += sample.weight;
  double below = 0;
  double value = 0;
  for (const PrefillSample& sample : samples) {
    value = sample.tokens_per_ms;
    below += sample.weight;
    if (below >= kThroughputQuantile * total) break;
  }
  const PrefillSample& oldest_needed =
      prefill_samples_[prefill_samples_.size() - kMinPrefillSamples];
  tokens_per_ms_ = {value, oldest_needed.at + kSampleLifetime};
}

void TargetPace::OnEventGap(std::chrono::nanoseconds gap, double load,
                            RuntimeClock::time_point now) {
  if (gap <= std::chrono::nanoseconds(0)) return;
  const Millis usual = Millis(gap) / MomentaryFactor(now);
  step_samples_.push_back({usual.count(), load, now});
  Prune(step_samples_, kMaxStepSamples, now);
  if (++new_gaps_ < kStepBatch) return;
  new_gaps_ = 0;
  EstimateStepTime();
}

void TargetPace::EstimateStepTime() {
  if (step_samples_.size() < kStepBatch) return;
  // A step takes longer the more requests share it, so the half of the samples
  // with the lower load is used. The median of these is robust against steps
  // that were delayed by a prefill and events that arrived together.
  std::vector<StepSample> samples(step_samples_.begin(), step_samples_.end());
  const auto half =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
  std::nth_element(
      samples.begin(), half, samples.end(),
      [](const StepSample& a, const StepSample& b) { return a.load < b.load; });
  const auto middle =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 4);
  std::nth_element(
      samples.begin(), middle, half,
      [](const StepSample& a, const StepSample& b) { return a.ms < b.ms; });
  const StepSample& oldest_needed =
      step_samples_[step_samples_.size() - kStepBatch];
  step_ms_ = {middle->ms, oldest_needed.at + kSampleLifetime};
}

void TargetPace::OnMomentaryPace(int percent, RuntimeClock::time_point now) {
  if (percent <= 0) return;
  momentary_.push_back({static_cast<double>(percent) / kUsualPercent, now});
  if (momentary_.size() > kMaxMomentary) momentary_.pop_front();
}

double TargetPace::MomentaryFactor(RuntimeClock::time_point now) const {
  const bool is_known =
      !momentary_.empty() && now - momentary_.back().at < kMomentaryLifetime;
  return is_known ? momentary_.back().factor : 1;
}

double TargetPace::SmallestFactorSince(RuntimeClock::time_point start) const {
  // A prefill that was slowed for a part of its time only is left as slow as it
  // was, like one that waited: dividing by the factor of its end would give too
  // high a throughput. It is corrected only if the reports before and after
  // agree; without a report before, the usual pace is assumed.
  double smallest = 1;
  bool is_first = true;
  for (auto it = momentary_.rbegin(); it != momentary_.rend(); ++it) {
    smallest = is_first ? it->factor : std::min(smallest, it->factor);
    is_first = false;
    if (it->at <= start) return smallest;
  }
  return std::min(smallest, 1.0);
}

double TargetPace::PrefillTokensPerMs(RuntimeClock::time_point now) const {
  const bool is_known = tokens_per_ms_ && now < tokens_per_ms_->expires_at;
  const double usual = is_known ? tokens_per_ms_->value : kDefaultTokensPerMs;
  return usual / MomentaryFactor(now);
}

TargetPace::Millis TargetPace::StepTime(RuntimeClock::time_point now) const {
  const bool is_known = step_ms_ && now < step_ms_->expires_at;
  const Millis usual = is_known ? Millis(step_ms_->value) : kDefaultStepTime;
  return usual * MomentaryFactor(now);
}

}  // namespace beryllane::placement
