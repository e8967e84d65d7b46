/// @file
/// What one router knows of one runner's load.
#ifndef BERYLLANE_PLACEMENT_LOAD_CELL_H_
#define BERYLLANE_PLACEMENT_LOAD_CELL_H_

#include <atomic>
#include <chrono>
#include <cstdint>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::placement {

/// A runner's own account of its load.
struct LoadReport {
  /// Prompt tokens that wait for or are in prefill.
  std::uint32_t queued_tokens = 0;
  /// Requests that are being decoded.
  std::uint32_t running = 0;
  /// Prompt tokens that the runner prefills per second.
  std::uint32_t prefill_tokens_per_second = 0;
  /// When the runner took the figures, by this process's clock.
  RuntimeClock::time_point sampled_at;
};

/// Combines lagged reports with the work that this router sent since.
class LoadCell {
 public:
  /// Assumed until a runner reports its own rate.
  static constexpr std::uint32_t kDefaultPrefillTokensPerSecond = 8000;
  /// Own work is counted on top of reports for about this long.
  static constexpr std::chrono::milliseconds kSentTokensTimeConstant{1000};

  /// Takes a report unless a newer one is held. @pre none. Thread-safe.
  void ApplyReport(const LoadReport& report);
  /// The report in force. @pre none. Thread-safe; fields may stem from two
  /// reports while one is being written.
  LoadReport report() const;
  /// Whether a report arrived within `age`. @pre none. Thread-safe.
  bool IsFresh(RuntimeClock::time_point now,
               std::chrono::nanoseconds age) const;

  /// Notes work sent: `tokens` of prompt to prefill. @pre none. Thread-safe.
  void AddPending(std::uint32_t tokens, RuntimeClock::time_point now);
  /// Notes that the first token of work noted by `AddPending` arrived, or that
  /// it failed. @pre called once for each `AddPending`, with the same tokens.
  /// Thread-safe.
  void RemovePending(std::uint32_t tokens);

  /// Distinguishes one life of the runner from the next; 0 until known. @pre
  /// none. Thread-safe.
  std::uint64_t incarnation() const {
    return incarnation_.load(std::memory_order_relaxed);
  }
  /// Takes the incarnation that a report or an answer named; what was learned
  /// of an earlier one no longer counts. @pre none. Thread-safe.
  void set_incarnation(std::uint64_t incarnation) {
    incarnation_.store(incarnation, std::memory_order_relaxed);
  }

  /// Predicted time until a new request's prefill starts. @pre none.
  /// Thread-safe.
  std::chrono::nanoseconds PredictWait(RuntimeClock::time_point now) const;
  /// Predicted time to prefill `tokens`. @pre none. Thread-safe.
  std::chrono::nanoseconds PrefillTime(double tokens) const;

  /// Keeps new work away until `until`, after a failure. @pre none.
  /// Thread-safe.
  void Suspect(RuntimeClock::time_point until) {
    suspect_until_ns_.store(until.time_since_epoch().count(),
                            std::memory_order_relaxed);
  }
  /// Ends a suspicion, after an answer. @pre none. Thread-safe.
  void ClearSuspicion() {
    suspect_until_ns_.store(0, std::memory_order_relaxed);
  }
  /// Whether new work should go elsewhere. @pre none. Thread-safe.
  bool IsSuspect(RuntimeClock::time_point now) const {
    return suspect_until_ns_.load(std::memory_order_relaxed) >
           now.time_since_epoch().count();
  }

  /// Tokens sent whose first answer token is outstanding. @pre none.
  /// Thread-safe.
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
