#include "beryllane/claim/claim_partition.h"

#include <algorithm>
#include <utility>

#include "beryllane/invariant/invariant.h"

namespace beryllane::claim {
namespace {

bool IsClaimOf(const Entry& entry, const Hash128& id) {
  const auto* claim = std::get_if<ClaimEntry>(&entry);
  return claim != nullptr && claim->id == id;
}

// Whether the table shows that an entry was logged.
struct LoggedVisitor {
  const ClaimTable& table;

  bool operator()(const ClaimEntry& e) const {
    return table.DecisionOf(e).has_value();
  }
  bool operator()(const WithdrawalEntry& e) const {
    ClaimEntry probe;
    probe.id = e.id;
    return table.DecisionOf(probe) == ClaimDecision::kWithdrawn;
  }
  bool operator()(const OutcomeEntry& e) const {
    const WinningClaim* winner = table.Find(e.key);
    return winner != nullptr && winner->outcome.has_value();
  }
};

}  // namespace

ClaimPartition::ClaimPartition(LogStream& log, ClaimOptions options)
    : log_(log), options_(options), table_(options.bounds) {
  StartIo();
}

ClaimPartition::~ClaimPartition() {
  std::list<Waiter> waiters = std::move(waiters_);
  for (Waiter& waiter : waiters) waiter.done({ClaimStatus::kUnavailable, {}});
}

void ClaimPartition::Claim(const ClaimEntry& entry,
                           RuntimeClock::time_point deadline, Handler done) {
  if (waiters_.size() >= options_.max_waiting_claims) {
    ++stats_.refused;
    done({ClaimStatus::kUnavailable, {}});
    return;
  }
  const WinningClaim* winner = table_.Find(entry.key);
  if (winner != nullptr) {
    if (auto answer = AnswerFromWinner(entry, *winner)) {
      done(std::move(*answer));
      return;
    }
  } else {
    queue_.emplace_back(entry);
  }
  waiters_.push_back({entry, deadline, std::move(done), winner != nullptr});
  StartIo();
}

void ClaimPartition::RecordOutcome(OutcomeEntry outcome) {
  queue_.emplace_back(std::move(outcome));
  StartIo();
}

void ClaimPartition::Withdraw(const Hash128& key, const Hash128& id) {
  queue_.emplace_back(WithdrawalEntry{key, id});
  StartIo();
}

void ClaimPartition::Tick() {
  const RuntimeClock::time_point now = RuntimeClock::now();
  std::list<Waiter> expired;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    const auto current = it++;
    if (current->deadline <= now) {
      expired.splice(expired.end(), waiters_, current);
    } else if (current->awaits_outcome) {
      needs_read_ = true;  // Another instance may record the outcome.
    }
  }
  for (Waiter& waiter : expired) {
    if (waiter.awaits_outcome) {
      waiter.done({ClaimStatus::kInProgress, {}});
      continue;
    }
    const auto erased = std::erase_if(queue_, [&](const Entry& entry) {
      return IsClaimOf(entry, waiter.entry.id);
    });
    // The claim may be in the log already, or be appended later.
    if (erased == 0) Withdraw(waiter.entry.key, waiter.entry.id);
    ++stats_.refused;
    waiter.done({ClaimStatus::kUnavailable, {}});
  }
  table_.DropBefore(RuntimeClock::WallNow() - options_.claim_retention);
  StartIo();
}

bool ClaimPartition::is_idle() const {
  return queue_.empty() && in_flight_.empty();
}

void ClaimPartition::StartIo() {
  if (RuntimeClock::now() < retry_at_) return;
  if (needs_read_ && !is_reading_) StartRead();
  const bool can_append =
      is_replayed_ && !is_appending_ && !is_append_uncertain_;
  if (can_append && !queue_.empty()) StartAppend();
}

void ClaimPartition::StartAppend() {
  const std::size_t count = std::min(queue_.size(), options_.max_batch_entries);
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
  in_flight_.assign(std::make_move_iterator(queue_.begin()),
                    std::make_move_iterator(end));
  queue_.erase(queue_.begin(), end);
  is_appending_ = true;
  ++stats_.appends;
  stats_.entries += count;
  const std::weak_ptr<char> alive = alive_;
  log_.Append(EncodeBatch(in_flight_),
              [this, alive](const Result<AppendAck>& result) {
                if (alive.lock()) OnAppended(result);
              });
}

void ClaimPartition::OnAppended(const Result<AppendAck>& result) {
  is_appending_ = false;
  if (!result.ok()) {
    // The record may have been appended nevertheless; the next read tells.
    ++stats_.append_failures;
    is_append_uncertain_ = true;
    needs_read_ = true;
    retry_at_ = RuntimeClock::now() + options_.retry_backoff;
    return;
  }
  const AppendAck& appended = result.value();
  if (appended.offset == table_.next_offset()) {
    table_.Apply(appended.offset, appended.time, in_flight_);
  } else if (appended.offset > table_.next_offset()) {
    needs_read_ = true;  // Another instance appended before this record.
  }
  in_flight_.clear();
  OnProgress();
}

void ClaimPartition::StartRead() {
  is_reading_ = true;
  needs_read_ = false;
  ++stats_.reads;
  const std::weak_ptr<char> alive = alive_;
  log_.Read(table_.next_offset(), [this, alive](const Result<LogPage>& page) {
    if (alive.lock()) OnRead(page);
  });
}

void ClaimPartition::OnRead(const Result<LogPage>& result) {
  is_reading_ = false;
  if (!result.ok()) {
    needs_read_ = true;
    retry_at_ = RuntimeClock::now() + options_.retry_backoff;
    return;
  }
  const LogPage& page = result.value();
  table_.SetLogStart(page.first);
  for (const configlog::LogRecord& record : page.records) {
    const auto batch = DecodeBatch(record.data);
    BERYLLANE_INVARIANT("claim-record-readable", batch.has_value());
    table_.Apply(record.offset, record.time,
                 batch.value_or(std::vector<Entry>{}));
  }
  const bool is_at_end = table_.next_offset() >= page.end;
  if (!is_at_end) {
    needs_read_ = true;
  } else {
    is_replayed_ = true;
    if (is_append_uncertain_ && !needs_read_) RequeueUnlogged();
  }
  OnProgress();
}

void ClaimPartition::OnProgress() {
  if (is_replayed_) CompleteWaiters();
  StartIo();
}

void ClaimPartition::CompleteWaiters() {
  std::vector<std::pair<Handler, ClaimAnswer>> answers;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    const auto current = it++;
    ClaimAnswer answer;
    const auto decision = table_.DecisionOf(current->entry);
    const WinningClaim* winner = table_.Find(current->entry.key);
    if (decision == ClaimDecision::kWon) {
      BERYLLANE_INVARIANT(
          "claim-winner-is-first",
          winner != nullptr && winner->claim.id == current->entry.id);
      answer.status = ClaimStatus::kWon;
    } else if (decision == ClaimDecision::kExpired) {
      answer.status = ClaimStatus::kExpired;
    } else if (winner != nullptr &&
               (decision == ClaimDecision::kLost || current->awaits_outcome)) {
      auto known = AnswerFromWinner(current->entry, *winner);
      if (!known) {
        current->awaits_outcome = true;
        continue;
      }
      answer = std::move(*known);
    } else if (decision.has_value()) {
      // Withdrawn, or lost to an attempt that has been withdrawn since; the
      // caller may retry.
      answer.status = ClaimStatus::kUnavailable;
    } else {
      if (current->awaits_outcome) {
        // The claim that held the key was withdrawn, so no outcome will follow.
        // This attempt had not queued a claim of its own, and does so now.
        current->awaits_outcome = false;
        queue_.emplace_back(current->entry);
      }
      continue;
    }
    answers.emplace_back(std::move(current->done), std::move(answer));
    waiters_.erase(current);
  }
  for (auto& [done, answer] : answers) done(std::move(answer));
}

std::optional<ClaimAnswer> ClaimPartition::AnswerFromWinner(
    const ClaimEntry& entry, const WinningClaim& winner) const {
  if (winner.claim.fingerprint != entry.fingerprint) {
    return ClaimAnswer{ClaimStatus::kKeyReused, {}};
  }
  if (winner.outcome && winner.outcome->status == kUnknownStatus) {
    return ClaimAnswer{ClaimStatus::kUnknownOutcome, {}};
  }
  if (winner.outcome) {
    return ClaimAnswer{ClaimStatus::kAnswered, winner.outcome};
  }
  if (RuntimeClock::WallNow() > winner.claim.expires) {
    return ClaimAnswer{ClaimStatus::kUnknownOutcome, {}};
  }
  return std::nullopt;
}

bool ClaimPartition::IsLogged(const Entry& entry) const {
  return std::visit(LoggedVisitor{table_}, entry);
}

void ClaimPartition::RequeueUnlogged() {
  is_append_uncertain_ = false;
  std::vector<Entry> unlogged;
  for (Entry& entry : in_flight_) {
    if (!IsLogged(entry)) unlogged.push_back(std::move(entry));
  }
  in_flight_.clear();
  queue_.insert(queue_.begin(), std::make_move_iterator(unlogged.begin()),
                std::make_move_iterator(unlogged.end()));
}

}  // namespace beryllane::claim
