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

void LoadCell::Report(const LoadReport& report) {
  const std::int64_t taken = report.taken.time_since_epoch().count();
  if (taken <= taken_ns_.load(std::memory_order_relaxed)) return;
  queued_tokens_.store(report.queued_tokens, std::memory_order_relaxed);
  running_.store(report.running, std::memory_order_relaxed);
  if (report.prefill_tokens_per_second > 0) {
    prefill_rate_.store(report.prefill_tokens_per_second,
                        std::memory_order_relaxed);
  }
  taken_ns_.store(taken, std::memory_order_relaxed);
}

LoadReport LoadCell::report() const {
  return {queued_tokens_.load(std::memory_order_relaxed),
          running_.load(std::memory_order_relaxed),
          prefill_rate_.load(std::memory_order_relaxed),
          RuntimeClock::time_point(std::chrono::nanoseconds(
              taken_ns_.load(std::memory_order_relaxed)))};
}

bool LoadCell::IsFresh(RuntimeClock::time_point now,
                       std::chrono::nanoseconds age) const {
  const std::int64_t taken = taken_ns_.load(std::memory_order_relaxed);
  return taken > 0 && now.time_since_epoch().count() - taken < age.count();
}

void LoadCell::Begin(std::uint32_t tokens, RuntimeClock::time_point now) {
  own_pending_.fetch_add(tokens, std::memory_order_relaxed);
  own_recent_.store(RecentOwnTokens(now) + tokens, std::memory_order_relaxed);
  own_recent_at_ns_.store(now.time_since_epoch().count(),
                          std::memory_order_relaxed);
}

void LoadCell::FirstToken(std::uint32_t tokens) {
  own_pending_.fetch_sub(tokens, std::memory_order_relaxed);
}

std::chrono::nanoseconds LoadCell::PredictWait(
    RuntimeClock::time_point now) const {
  const LoadReport last = report();
  const double rate =
      std::max<std::uint32_t>(last.prefill_tokens_per_second, 1);
  const double age = std::max(0.0, Seconds(now - last.taken));
  const double reported_left = std::max(0.0, last.queued_tokens - age * rate);
  const double own = std::max<double>(0, own_pending());
  const double queued = std::max(own, reported_left + RecentOwnTokens(now));
  return FromSeconds(queued / rate);
}

std::chrono::nanoseconds LoadCell::PrefillTime(double tokens) const {
  const double rate =
      std::max<std::uint32_t>(prefill_rate_.load(std::memory_order_relaxed), 1);
  return FromSeconds(tokens / rate);
}

double LoadCell::RecentOwnTokens(RuntimeClock::time_point now) const {
  const std::int64_t age = now.time_since_epoch().count() -
                           own_recent_at_ns_.load(std::memory_order_relaxed);
  const double decay = std::exp(-Seconds(std::chrono::nanoseconds(age)) /
                                Seconds(kOwnWorkMemory));
  return own_recent_.load(std::memory_order_relaxed) * decay;
}

}  // namespace beryllane::placement
