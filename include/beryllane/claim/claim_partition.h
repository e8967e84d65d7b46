/// @file
/// Serves the claims of one partition: appends them to the log in batches,
/// replays the stream and decides claims by the order of the log alone.
#ifndef BERYLLANE_CLAIM_CLAIM_PARTITION_H_
#define BERYLLANE_CLAIM_CLAIM_PARTITION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "beryllane/claim/claim_table.h"
#include "beryllane/claim/log_stream.h"
#include "beryllane/clock/runtime_clock.h"

namespace beryllane::claim {

/// Settings of a partition.
struct ClaimOptions {
  ClaimBounds bounds;
  /// Maximum number of entries per appended record.
  std::size_t max_batch_entries = 512;
  /// Maximum number of claims that wait for an answer. Further claims are
  /// answered with `kUnavailable`, and their requests do not run.
  std::size_t max_waiting_claims = 8192;
  /// Wait before a failed append or read is retried.
  std::chrono::milliseconds retry_backoff{50};
  /// How long claims are kept; at least `max_age + max_skew`.
  std::chrono::milliseconds claim_retention{std::chrono::minutes(65)};
};

/// Status of the answer to a claim.
enum class ClaimStatus {
  /// This attempt may send the request.
  kWon,
  /// Another attempt with the same key finished; its outcome is attached.
  kAnswered,
  /// Another attempt holds the key and may still finish.
  kInProgress,
  /// Another attempt held the key and ended without a known outcome.
  kUnknownOutcome,
  /// The key was issued too long ago, or too far in the future.
  kExpired,
  /// The key was claimed for a different request.
  kKeyReused,
  /// The log did not decide the claim in time, or the claim was refused or
  /// withdrawn. The request will not run.
  kUnavailable,
};

/// The answer to a claim, with the outcome where the status is `kAnswered`.
struct ClaimAnswer {
  ClaimStatus status = ClaimStatus::kUnavailable;
  std::optional<OutcomeEntry> outcome;
};

/// Counters of a partition's work.
struct ClaimStats {
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t entries = 0;
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
};

/// Serves claims of one partition. Any number of instances on any hosts may
/// serve the same partition concurrently: an instance reports a claim as won
/// only after it has read the stream up to the claim's own record and found it
/// to be the first of its key. Not thread-safe: all calls and all handlers of
/// `log` run on one thread or strand.
///
/// Example:
/// @code
///   ClaimPartition partition(log, {});
///   partition.Claim(entry, deadline, [](ClaimAnswer answer) { ... });
/// @endcode
class ClaimPartition {
 public:
  using Handler = std::function<void(ClaimAnswer)>;

  /// @pre `log` outlives the partition, and handlers of `log` that are still
  /// outstanding at destruction may be called later; they have no effect.
  ClaimPartition(LogStream& log, ClaimOptions options);
  ~ClaimPartition();
  ClaimPartition(const ClaimPartition&) = delete;
  ClaimPartition& operator=(const ClaimPartition&) = delete;

  /// Claims a key. `done` is called exactly once, at the latest by the
  /// first `Tick` from `deadline` on. @pre `entry.id` is unique.
  void Claim(const ClaimEntry& entry, RuntimeClock::time_point deadline,
             Handler done);
  /// Records the outcome of a won attempt. @pre the attempt won.
  void RecordOutcome(OutcomeEntry outcome);
  /// Withdraws an attempt that sent nothing. @pre no byte was sent.
  void Withdraw(const Hash128& key, const Hash128& id);
  /// Expires waiting claims and retries failed reads and appends. @pre called
  /// at least every `retry_backoff`.
  void Tick();

  /// Whether the stream has been read to its end at least once. @pre none.
  bool is_replayed() const { return is_replayed_; }
  /// Whether no entry is queued or being appended. @pre none.
  bool is_idle() const;
  /// Counters since construction. @pre none.
  const ClaimStats& stats() const { return stats_; }
  /// Number of keys held. @pre none.
  std::size_t size() const { return table_.size(); }

 private:
  struct Waiter {
    ClaimEntry entry;
    RuntimeClock::time_point deadline;
    Handler done;
    // Another attempt holds the key; this one waits for its outcome.
    bool awaits_outcome = false;
  };

  void StartIo();
  void StartAppend();
  void OnAppended(const Result<AppendAck>& result);
  void StartRead();
  void OnRead(const Result<LogPage>& result);
  void OnProgress();
  void CompleteWaiters();
  std::optional<ClaimAnswer> AnswerFromWinner(const ClaimEntry& entry,
                                              const WinningClaim& winner) const;
  bool IsLogged(const Entry& entry) const;
  void RequeueUnlogged();

  LogStream& log_;
  ClaimOptions options_;
  ClaimTable table_;
  bool is_replayed_ = false;
  bool is_appending_ = false;
  bool is_reading_ = false;
  bool needs_read_ = true;
  // Set after a failed append until a read shows which of the entries in
  // flight were logged.
  bool is_append_uncertain_ = false;
  RuntimeClock::time_point retry_at_{};
  std::vector<Entry> queue_;
  std::vector<Entry> in_flight_;
  std::list<Waiter> waiters_;
  ClaimStats stats_;
  // Handlers of `log_` hold a weak reference and do nothing once the partition
  // is destroyed.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_PARTITION_H_
