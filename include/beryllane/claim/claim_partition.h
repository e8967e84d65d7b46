/// @file
/// Serves the claims of one partition: batches appends, replays the stream
/// and answers from the log's order alone.
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
  /// Entries per appended record at most.
  std::size_t max_batch_entries = 512;
  /// Claims that may wait at once; more are refused as not run.
  std::size_t max_waiting_claims = 8192;
  /// Pause before an append or read is tried again.
  std::chrono::milliseconds retry_backoff{50};
  /// How long claims are remembered; at least `max_age + max_skew`.
  std::chrono::milliseconds claim_retention{std::chrono::minutes(65)};
};

/// How a claim was answered.
enum class ClaimStatus {
  /// This attempt may send the request.
  kWon,
  /// Another attempt of the same key finished; its outcome is attached.
  kAnswered,
  /// Another attempt holds the key and may still answer.
  kInProgress,
  /// Another attempt held the key and ended without an outcome.
  kUnknownOutcome,
  /// The key is too old, or too far in the future.
  kExpired,
  /// The key was claimed for a different request.
  kKeyReused,
  /// The log did not settle the claim in time; it was withdrawn, so the
  /// request will not run.
  kUnavailable,
};

/// The answer to a claim.
struct ClaimAnswer {
  ClaimStatus status = ClaimStatus::kUnavailable;
  std::optional<OutcomeEntry> outcome;
};

/// Counts of a partition's work.
struct ClaimStats {
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t entries = 0;
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
};

/// Serves claims of one partition. Any number of instances on any hosts may
/// serve one partition at once: a claim is answered as won only after the
/// instance has read the stream up to the claim's own record and found it the
/// first of its key. Not thread-safe: all calls and all handlers of `log` run
/// on one thread or strand.
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

  /// Claims a key. `done` is called exactly once, at `deadline` at the
  /// latest if `Tick` is called. @pre `entry.id` is unique.
  void Claim(const ClaimEntry& entry, RuntimeClock::time_point deadline,
             Handler done);
  /// Records the answer of a won attempt. @pre the attempt won.
  void RecordOutcome(OutcomeEntry outcome);
  /// Withdraws an attempt that sent nothing. @pre no byte was sent.
  void Withdraw(const Hash128& key, const Hash128& id);
  /// Expires waiting claims and retries failed work. @pre called at least
  /// every `retry_backoff`.
  void Tick();

  /// Whether the stream has been replayed to its end once. @pre none.
  bool is_replayed() const { return is_replayed_; }
  /// Whether entries wait for the log. @pre none.
  bool is_idle() const;
  /// Work done so far. @pre none.
  const ClaimStats& stats() const { return stats_; }
  /// Keys held. @pre none.
  std::size_t size() const { return table_.size(); }

 private:
  struct Waiter {
    ClaimEntry entry;
    RuntimeClock::time_point deadline;
    Handler done;
    // The attempt lost and waits for the winner's outcome.
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
  // Set while it is unknown whether the entries in flight were appended.
  bool is_append_uncertain_ = false;
  RuntimeClock::time_point retry_at_{};
  std::vector<Entry> queue_;
  std::vector<Entry> in_flight_;
  std::list<Waiter> waiters_;
  ClaimStats stats_;
  // Handlers hold a weak reference and do nothing once it is gone.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace beryllane::claim

#endif  // BERYLLANE_CLAIM_CLAIM_PARTITION_H_
