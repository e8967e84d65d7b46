/// @file
/// A router's estimate of one runner's load.
#ifndef BERYLLANE_PLACEMENT_LOAD_CELL_H_
#define BERYLLANE_PLACEMENT_LOAD_CELL_H_

#include <atomic>
#include <chrono>
#include <cstdint>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::placement {

/// Load figures that a runner reports.
struct LoadReport {
  /// Prompt tokens that wait for prefill or are being prefilled.
  std::uint32_t queued_tokens = 0;
  /// Requests in the decode phase.
  std::uint32_t running = 0;
  /// Prefill throughput; 0 keeps the previously reported one.
  std::uint32_t prefill_tokens_per_second = 0;
  /// When the figures were sampled, by this process's clock.
  RuntimeClock::time_point sampled_at;
};

/// Estimates a runner's load from lagging reports and this router's own work.
class LoadCell {
 public:
  /// Assumed until a runner reports its own throughput.
  static constexpr std::uint32_t kDefaultPrefillTokensPerSecond = 8000;
  /// Decay time constant of the sent tokens that count on top of the reports.
  static constexpr std::chrono::milliseconds kSentTokensTimeConstant{1000};

  /// Stores a report unless a newer one is stored. @pre none. Thread-safe.
  void ApplyReport(const LoadReport& report);
  /// The stored report. @pre none. Thread-safe; while a report is being
  /// stored, the fields may come from two reports.
  LoadReport report() const;
  /// Whether the stored report is younger than `age`. @pre none. Thread-safe.
  bool IsFresh(RuntimeClock::time_point now,
               std::chrono::nanoseconds age) const;

  /// Counts `tokens` of a prompt as sent for prefill. @pre none. Thread-safe.
  void AddPending(std::uint32_t tokens, RuntimeClock::time_point now);
  /// Stops counting tokens as pending, once the first token of the answer
  /// arrived or the request failed. @pre called once for each `AddPending`,
  /// with the same tokens. Thread-safe.
  void RemovePending(std::uint32_t tokens);

  /// Changes whenever the runner restarts; 0 until known. @pre none.
  /// Thread-safe.
  std::uint64_t incarnation() const {
    return incarnation_.load(std::memory_order_relaxed);
  }
  /// Stores the incarnation that a report or an answer named. Cache contents
  /// recorded for an earlier one no longer apply. @pre none. Thread-safe.
  void set_incarnation(std::uint64_t incarnation) {
    incarnation_.store(incarnation, std::memory_order_relaxed);
  }

  /// Predicted time until the prefill of a new request starts. @pre none.
  /// Thread-safe.
  std::chrono::nanoseconds PredictWait(RuntimeClock::time_point now) const;
  /// Predicted time to prefill `tokens`. @pre none. Thread-safe.
  std::chrono::nanoseconds PrefillTime(double tokens) const;

  /// Marks the runner as suspect until `until`, after a failure. @pre none.
  /// Thread-safe.
  void Suspect(RuntimeClock::time_point until) {
    suspect_until_ns_.store(until.time_since_epoch().count(),
                            std::memory_order_relaxed);
  }
  /// Marks the runner as healthy, after an answer. @pre none. Thread-safe.
  void ClearSuspicion() {
    suspect_until_ns_.store(0, std::memory_order_relaxed);
  }
  /// Whether new work should avoid the runner. @pre none. Thread-safe.
  bool IsSuspect(RuntimeClock::time_point now) const {
    return suspect_until_ns_.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
  }

  /// Prompt tokens of sent requests whose first answer token is outstanding.
  /// @pre none. Thread-safe.
  std::int64_t pending_tokens() const {
    return pending_tokens_.load(std::memory_order_relaxed);
  }

 private:
  double RecentSentTokens(RuntimeClock::time_point now) const;

  std::atomic<std::uint64_t> incarnation_{0};
  std::atomic<std::int64_t> suspect_until_ns_{0};
  std::atomic<std::uint32_t> queued_tokens_{0};
  std::atomic<std::uint32_t> running_{0};
  std::atomic<std::uint32_t> prefill_tokens_per_second_{
      kDefaultPrefillTokensPerSecond};
  std::atomic<std::int64_t> sampled_ns_{0};
  std::atomic<std::int64_t> pending_tokens_{0};
  std::atomic<double> recent_tokens_{0};
  std::atomic<std::int64_t> recent_updated_ns_{0};
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_LOAD_CELL_H_
