/// @file
/// The accepted configuration as a pure function of the records of a log.
#ifndef BERYLLANE_CONFIGLOG_CONFIG_LOG_H_
#define BERYLLANE_CONFIGLOG_CONFIG_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::configlog {

/// One record of the configuration stream as the log returned it.
struct LogRecord {
  std::uint64_t offset = 0;
  WallTime time;
  std::string data;
};

/// A proposed change of the configuration, conditional on its base version.
struct Change {
  /// Unique id, by which the author finds out whether an append whose response
  /// was lost took place.
  std::string id;
  /// Version that the change is based on. The change is accepted only if no
  /// other change has been accepted since that version.
  std::uint64_t base = 0;
  std::string author;
  std::string comment;
  /// JSON merge patch (RFC 7396) on the document of version `base`.
  nlohmann::json patch;
};

/// The state as of some offset. Readers start from it when earlier records
/// have been truncated.
struct Checkpoint {
  std::uint64_t version = 0;
  /// Offset after the last record that the state reflects.
  std::uint64_t state_end = 0;
  nlohmann::json document;
  /// Id of the change that created `version`.
  std::string change_id;
};

/// Result of validating a document.
enum class Validity {
  kValid,
  kInvalid,
  /// The document declares a schema number that this program does not know;
  /// the change is accepted.
  kUnknownSchema,
};

/// Validates a document. It must be pure, so that all readers accept the same
/// changes.
using Validator = std::function<Validity(const nlohmann::json&)>;

/// Result of applying a record.
enum class ApplyResult {
  /// The change created the next version.
  kAccepted,
  /// The change's base is not the version accepted at that offset.
  kBaseMismatch,
  /// The changed document is invalid.
  kInvalid,
  /// The record cannot be parsed; every reader ignores it.
  kUnreadable,
  /// The record is a checkpoint. A reader that lacks earlier records may have
  /// started from it.
  kCheckpoint,
  /// The record, or the change that it holds, was applied before.
  kDuplicate,
  /// Records before this one are missing and no checkpoint covers them yet.
  /// The record is kept until one arrives.
  kPending,
};

/// A change and its result, for the history.
struct HistoryEntry {
  std::uint64_t offset = 0;
  WallTime time;
  ApplyResult result = ApplyResult::kAccepted;
  /// Version that the change created, or the accepted version when the change
  /// was rejected.
  std::uint64_t version = 0;
  Change change;
};

/// Encodes a change as a log record. @pre none. Thread-safe.
std::string Encode(const Change& change);
/// Encodes a checkpoint as a log record. @pre none. Thread-safe.
std::string Encode(const Checkpoint& checkpoint);
/// Decodes a checkpoint record; returns `nullopt` for any other data. @pre
/// none. Thread-safe.
std::optional<Checkpoint> DecodeCheckpoint(const std::string& data);

/// Applies log records to the configuration. Two instances that have applied
/// the log up to the same offset hold the same version and document, whichever
/// duplicates, stale reads or checkpoints each of them received. Not
/// thread-safe.
///
/// Example:
/// @code
///   ConfigLog log(validator);
///   log.SetLogStart(0);
///   for (const LogRecord& record : records) log.Apply(record);
///   use(log.version(), log.document());
/// @endcode
class ConfigLog {
 public:
  /// Maximum number of entries in `history()`.
  static constexpr std::size_t kHistoryLimit = 256;

  /// @pre `validator` is pure.
  explicit ConfigLog(Validator validator);

  /// Sets the oldest offset that the log retains. A reader that has applied
  /// every record before `first` continues; any other waits for a checkpoint
  /// that covers the gap. @pre none.
  void SetLogStart(std::uint64_t first);

  /// Applies a record. Records may repeat, but a gap must be announced by
  /// `SetLogStart`. Complexity: linear in the document. @pre none.
  ApplyResult Apply(const LogRecord& record);

  /// Installs a peer's state if it is ahead of this reader's; returns whether
  /// it was installed. @pre `checkpoint` comes from a reader with the same
  /// validator rules.
  bool Install(const Checkpoint& checkpoint);

  /// Whether the reader has a state. @pre none.
  bool has_state() const { return has_state_; }
  /// The accepted version; 0 is the empty document. @pre none.
  std::uint64_t version() const { return version_; }
  /// Offset of the next record to read, after the applied and pending ones.
  /// @pre none.
  std::uint64_t next_offset() const;
  /// Offset after the last record that the state reflects. @pre none.
  std::uint64_t state_end() const { return state_end_; }
  /// The accepted document. @pre none.
  const nlohmann::json& document() const { return document_; }
  /// Id of the change that created the accepted version. @pre none.
  const std::string& change_id() const { return change_id_; }
  /// The latest changes and their results, oldest first. @pre none.
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// Returns the state as a checkpoint. @pre `has_state()`.
  Checkpoint MakeCheckpoint() const;

 private:
  ApplyResult ApplyInOrder(const LogRecord& record);
  ApplyResult ApplyChange(const LogRecord& record, Change change);
  void Restore(const Checkpoint& checkpoint);
  void ApplyPending();

  Validator validator_;
  bool has_state_ = false;
  std::uint64_t version_ = 0;
  std::uint64_t state_end_ = 0;
  nlohmann::json document_ = nlohmann::json::object();
  std::string change_id_;
  // Records after a gap, kept until a checkpoint covers the gap.
  std::vector<LogRecord> pending_;
  // Oldest retained offset as of the latest gap.
  std::uint64_t log_start_ = 0;
  std::deque<HistoryEntry> history_;
};

}  // namespace beryllane::configlog

#endif  // BERYLLANE_CONFIGLOG_CONFIG_LOG_H_
