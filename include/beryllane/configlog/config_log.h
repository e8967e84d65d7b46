/// @file
/// The accepted configuration as a pure function of a log's order.
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

/// A change of the configuration, published against an expected base.
struct Change {
  /// Unique id; settles whether an append whose answer was lost took place.
  std::string id;
  /// Version that the author saw; the change is accepted only on top of it.
  std::uint64_t base = 0;
  std::string author;
  std::string comment;
  /// JSON merge patch (RFC 7396) on the document of version `base`.
  nlohmann::json patch;
};

/// The state after some offset; readers start from it after truncation.
struct Checkpoint {
  std::uint64_t version = 0;
  /// Offset after the last record that the state reflects.
  std::uint64_t state_end = 0;
  nlohmann::json document;
  /// Id of the change that made `version`.
  std::string change_id;
};

/// What a validator says of a document.
enum class Validity {
  kValid,
  kInvalid,
  /// The document declares a schema number that this program does not know.
  kUnknownSchema,
};

/// Judges a document. It must be pure: every reader must reach one verdict.
using Validator = std::function<Validity(const nlohmann::json&)>;

/// What applying a record led to.
enum class ApplyResult {
  /// A change became the next version.
  kAccepted,
  /// The change's base is not the version then accepted.
  kBaseMismatch,
  /// The changed document does not validate.
  kInvalid,
  /// The record cannot be read; it has no effect on any reader.
  kUnreadable,
  /// A checkpoint; it may have given a reader its first state.
  kCheckpoint,
  /// The record was applied before.
  kDuplicate,
  /// The reader lacks the records before this one and no checkpoint covers
  /// them yet; the record is kept until one arrives.
  kPending,
};

/// One judged change, for history.
struct HistoryEntry {
  std::uint64_t offset = 0;
  WallTime time;
  ApplyResult result = ApplyResult::kAccepted;
  /// Version accepted by it, or the version in force when it was rejected.
  std::uint64_t version = 0;
  Change change;
};

/// Writes a change as a log record. @pre none. Thread-safe.
std::string Encode(const Change& change);
/// Writes a checkpoint as a log record. @pre none. Thread-safe.
std::string Encode(const Checkpoint& checkpoint);
/// Reads a checkpoint record; other bytes give `nullopt`. @pre none.
/// Thread-safe.
std::optional<Checkpoint> DecodeCheckpoint(const std::string& data);

/// Folds log records into versions. Two instances that applied the log up to
/// the same offset hold the same version and document, whatever duplicates,
/// stale reads or checkpoints either met. Not thread-safe.
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
  /// Entries kept in `history()`.
  static constexpr std::size_t kHistoryLimit = 256;

  /// @pre `validator` is pure.
  explicit ConfigLog(Validator validator);

  /// Tells the reader that the log's oldest retained offset is `first`. A
  /// reader that has applied everything before `first` goes on; one that has
  /// not waits for a checkpoint that covers the gap. @pre none.
  void SetLogStart(std::uint64_t first);

  /// Applies a record. Records may repeat, but a gap must be announced by
  /// `SetLogStart`. Complexity: linear in the document. @pre none.
  ApplyResult Apply(const LogRecord& record);

  /// Installs a state from a peer if it is further along than this reader's
  /// own; returns whether it was installed. @pre `checkpoint` comes from a
  /// reader with the same validator rules.
  bool Install(const Checkpoint& checkpoint);

  /// Whether a state is held. @pre none.
  bool has_state() const { return has_state_; }
  /// The accepted version; 0 is the empty document. @pre none.
  std::uint64_t version() const { return version_; }
  /// Offset after the last record applied. @pre none.
  std::uint64_t next_offset() const;
  /// Offset after the last record that the state reflects. @pre none.
  std::uint64_t state_end() const { return state_end_; }
  /// The accepted document. @pre none.
  const nlohmann::json& document() const { return document_; }
  /// Id of the change that made the version. @pre none.
  const std::string& change_id() const { return change_id_; }
  /// Judged changes, oldest first. @pre none.
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// The state as a checkpoint. @pre `has_state()`.
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
  // Records that wait for a checkpoint which covers the gap before them.
  std::vector<LogRecord> pending_;
  std::uint64_t log_start_ = 0;
  std::deque<HistoryEntry> history_;
};

}  // namespace beryllane::configlog

#endif  // BERYLLANE_CONFIGLOG_CONFIG_LOG_H_
