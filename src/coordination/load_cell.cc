#include "beryllane/placement/load_cell.h"

#include <algorithm>
#include <cmath>

namespace beryllane::placement {
namespace {

double Seconds(std::chrono::nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

std::chrono::nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void LoadCell::ApplyReport(const LoadReport& report) {
  const std::int64_t sampled_at = report.sampled_at.time_since_epoch().count();
  if (sampled_at <= sampled_ns_.load(std::memory_order_relaxed)) return;
  queued_tokens_.store(report.queued_tokens, std::memory_order_relaxed);
  running_.store(report.running, std::memory_order_relaxed);
  if (report.prefill_tokens_per_second > 0) {
    prefill_tokens_per_second_.store(report.prefill_tokens_per_second,
                                     std::memory_order_relaxed);
  }
  sampled_ns_.store(sampled_at, std::memory_order_relaxed);
}

LoadReport LoadCell::report() const {
  return {queued_tokens_.load(std::memory_order_relaxed),
          running_.load(std::memory_order_relaxed),
          prefill_tokens_per_second_.load(std::memory_order_relaxed),
          RuntimeClock::time_point(std::chrono::nanoseconds(
              sampled_ns_.load(std::memory_order_relaxed)))};
}

bool LoadCell::IsFresh(RuntimeClock::time_point now,
                       std::chrono::nanoseconds age) const {
  const std::int64_t sampled_at = sampled_ns_.load(std::memory_order_relaxed);
  return sampled_at > 0 &&
         now.time_since_epoch().count() - sampled_at < age.count();
}

void LoadCell::AddPending(std::uint32_t tokens, RuntimeClock::time_point now) {
  pending_tokens_.fetch_add(tokens, std::memory_order_relaxed);
  recent_tokens_.store(RecentSentTokens(now) + tokens,
                       std::memory_order_relaxed);
  recent_updated_ns_.store(now.time_since_epoch().count(),
                           std::memory_order_relaxed);
}

void LoadCell::RemovePending(std::uint32_t tokens) {
  pending_tokens_.fetch_sub(tokens, std::memory_order_relaxed);
}

std::chrono::nanoseconds LoadCell::PredictWait(
    RuntimeClock::time_point now) const {
  const LoadReport last_report = report();
  const double rate =
      std::max<std::uint32_t>(last_report.prefill_tokens_per_second, 1);
  const double age = std::max(0.0, Seconds(now - last_report.sampled_at));
  const double reported_left =
      std::max(0.0, last_report.queued_tokens - age * rate);
  const double own = std::max<double>(0, pending_tokens());
  const double queued = std::max(own, reported_left + RecentSentTokens(now));
  return FromSeconds(queued / rate);
}

std::chrono::nanoseconds LoadCell::PrefillTime(double tokens) const {
  const double rate = std::max<std::uint32_t>(
      prefill_tokens_per_second_.load(std::memory_order_relaxed), 1);
  return FromSeconds(tokens / rate);
}

double LoadCell::RecentSentTokens(RuntimeClock::time_point now) const {
  const std::int64_t age = now.time_since_epoch().count() -
                           recent_updated_ns_.load(std::memory_order_relaxed);
  const double decay = std::exp(-Seconds(std::chrono::nanoseconds(age)) /
                                Seconds(kSentTokensTimeConstant));
  return recent_tokens_.load(std::memory_order_relaxed) * decay;
}

}  // namespace beryllane::placement
