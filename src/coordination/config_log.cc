#include "beryllane/configlog/config_log.h"

#include <algorithm>
#include <utility>

#include "beryllane/invariant/invariant.h"

namespace beryllane::configlog {
namespace {

using nlohmann::json;

std::optional<json> ParseRecord(const std::string& data) {
  json record = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (record.is_discarded() || !record.is_object()) return std::nullopt;
  return record;
}

bool HasUnsigned(const json& record, const char* field) {
  const auto it = record.find(field);
  return it != record.end() && it->is_number_unsigned();
}

std::string StringOrEmpty(const json& record, const char* field) {
  const auto it = record.find(field);
  if (it == record.end() || !it->is_string()) return "";
  return it->get<std::string>();
}

std::optional<Change> ParseChange(const json& record) {
  if (!HasUnsigned(record, "base")) return std::nullopt;
  if (StringOrEmpty(record, "id").empty()) return std::nullopt;
  const auto patch = record.find("patch");
  if (patch == record.end() || !patch->is_object()) return std::nullopt;
  return Change{StringOrEmpty(record, "id"),
                record["base"].get<std::uint64_t>(),
                StringOrEmpty(record, "author"),
                StringOrEmpty(record, "comment"), *patch};
}

std::optional<Checkpoint> ParseCheckpoint(const json& record) {
  if (!HasUnsigned(record, "version")) return std::nullopt;
  if (!HasUnsigned(record, "through")) return std::nullopt;
  const auto document = record.find("document");
  if (document == record.end() || !document->is_object()) return std::nullopt;
  return Checkpoint{record["version"].get<std::uint64_t>(),
                    record["through"].get<std::uint64_t>(), *document,
                    StringOrEmpty(record, "change_id")};
}

}  // namespace

std::string Encode(const Change& change) {
  return json{{"type", "change"},          {"id", change.id},
              {"base", change.base},       {"author", change.author},
              {"comment", change.comment}, {"patch", change.patch}}
      .dump();
}

std::string Encode(const Checkpoint& checkpoint) {
  return json{{"type", "checkpoint"},
              {"version", checkpoint.version},
              {"through", checkpoint.state_end},
              {"document", checkpoint.document},
              {"change_id", checkpoint.change_id}}
      .dump();
}

std::optional<Checkpoint> DecodeCheckpoint(const std::string& data) {
  const auto record = ParseRecord(data);
  if (!record || StringOrEmpty(*record, "type") != "checkpoint") {
    return std::nullopt;
  }
  return ParseCheckpoint(*record);
}

ConfigLog::ConfigLog(Validator validator) : validator_(std::move(validator)) {}

std::uint64_t ConfigLog::next_offset() const {
  if (!pending_.empty()) return pending_.back().offset + 1;
  if (!has_state_) return log_start_;
  return std::max(state_end_, log_start_);
}

void ConfigLog::SetLogStart(std::uint64_t first) {
  if (!has_state_ && first == 0 && pending_.empty()) {
    has_state_ = true;  // Nothing is truncated: the state is version 0.
    return;
  }
  if (has_state_ && state_end_ >= first) return;
  if (first <= log_start_) return;
  // Records before `first` are truncated. Pending ones among them would leave
  // a gap, so they cannot be applied any more.
  std::erase_if(pending_, [&](const LogRecord& r) { return r.offset < first; });
  log_start_ = first;
}

ApplyResult ConfigLog::Apply(const LogRecord& record) {
  const bool is_contiguous = has_state_ && state_end_ >= log_start_;
  if (is_contiguous) {
    if (record.offset < state_end_) return ApplyResult::kDuplicate;
    BERYLLANE_INVARIANT("config-contiguous", record.offset == state_end_);
    return ApplyInOrder(record);
  }
  if (record.offset < next_offset()) return ApplyResult::kDuplicate;
  pending_.push_back(record);
  const auto checkpoint = DecodeCheckpoint(record.data);
  if (!checkpoint || checkpoint->state_end < log_start_) {
    return ApplyResult::kPending;
  }
  Restore(*checkpoint);
  return ApplyResult::kCheckpoint;
}

bool ConfigLog::Install(const Checkpoint& checkpoint) {
  if (has_state_ && checkpoint.state_end <= state_end_) return false;
  if (has_state_ && checkpoint.version < version_) return false;
  Restore(checkpoint);
  return true;
}

Checkpoint ConfigLog::MakeCheckpoint() const {
  return {version_, state_end_, document_, change_id_};
}

ApplyResult ConfigLog::ApplyInOrder(const LogRecord& record) {
  state_end_ = record.offset + 1;
  auto parsed = ParseRecord(record.data);
  if (!parsed) return ApplyResult::kUnreadable;
  const std::string type = StringOrEmpty(*parsed, "type");
  if (type == "checkpoint") return ApplyResult::kCheckpoint;
  if (type != "change") return ApplyResult::kUnreadable;
  auto change = ParseChange(*parsed);
  if (!change) return ApplyResult::kUnreadable;
  return ApplyChange(record, std::move(*change));
}

ApplyResult ConfigLog::ApplyChange(const LogRecord& record, Change change) {
  ApplyResult result = ApplyResult::kAccepted;
  if (change.id == change_id_) {
    // The accepted change was appended again after its response was lost.
    result = ApplyResult::kDuplicate;
  } else if (change.base != version_) {
    result = ApplyResult::kBaseMismatch;
  } else {
    json next = document_;
    next.merge_patch(change.patch);
    if (validator_(next) == Validity::kInvalid) {
      result = ApplyResult::kInvalid;
    } else {
      document_ = std::move(next);
      change_id_ = change.id;
      ++version_;
    }
  }
  history_.push_back(
      {record.offset, record.time, result, version_, std::move(change)});
  if (history_.size() > kHistoryLimit) history_.pop_front();
  return result;
}

void ConfigLog::Restore(const Checkpoint& checkpoint) {
  BERYLLANE_INVARIANT("config-monotone",
                      !has_state_ || checkpoint.version >= version_);
  has_state_ = true;
  version_ = checkpoint.version;
  state_end_ = checkpoint.state_end;
  document_ = checkpoint.document;
  change_id_ = checkpoint.change_id;
  if (state_end_ >= log_start_) ApplyPending();
}

void ConfigLog::ApplyPending() {
  std::vector<LogRecord> records = std::move(pending_);
  pending_.clear();
  for (const LogRecord& record : records) {
    if (record.offset >= state_end_) ApplyInOrder(record);
  }
}

}  // namespace beryllane::configlog
