#include "src/router/config_follower.h"

#include <algorithm>
#include <utility>

#include "beryllane/invariant/invariant.h"
#include "src/config/parse.h"
#include "src/telemetry/log.h"

namespace beryllane::router {
namespace {

using configlog::ApplyResult;
using configlog::LogRecord;
using std::chrono::milliseconds;
using telemetry::Level;

// Records kept for peers that are behind; a peer that lacks older records gets
// a checkpoint.
constexpr std::size_t kMaxRecentRecords = 64;

}  // namespace

ConfigFollower::ConfigFollower(platform::HttpLogStream& stream,
                               MetricRegistry& metrics, milliseconds retention,
                               ChangeHandler on_change)
    : stream_(stream),
      retention_(retention),
      on_change_(std::move(on_change)),
      log_(config::Validate),
      accepted_(metrics.GetCounter("beryllane_config_changes_total",
                                   "Configuration changes judged",
                                   {{"result", "accepted"}})),
      rejected_(metrics.GetCounter("beryllane_config_changes_total",
                                   "Configuration changes judged",
                                   {{"result", "rejected"}})),
      version_gauge_(metrics.GetGauge("beryllane_config_version",
                                      "Configuration version in force")) {}

net::asio::awaitable<void> ConfigFollower::Run() {
  constexpr milliseconds kLongPollTimeout{5000};
  constexpr milliseconds kRetryBackoff{300};
  for (;;) {
    auto page = co_await stream_.ReadPage(log_.next_offset(), kLongPollTimeout);
    if (!page.ok()) {
      SetLogUp(false, page.error().message);
      co_await net::Sleep(kRetryBackoff);
      continue;
    }
    SetLogUp(true, "");
    ApplyPage(page.value());
  }
}

void ConfigFollower::ApplyPage(const LogPage& page) {
  log_.SetLogStart(page.first);
  for (const LogRecord& record : page.records) ApplyRecord(record);
  if (log_.has_state() && log_.next_offset() >= page.end) Confirm();
  PublishIfNew();
}

void ConfigFollower::ApplyRecord(const LogRecord& record) {
  if (record.offset < log_.next_offset()) return;
  const std::uint64_t before = log_.version();
  const ApplyResult result = log_.Apply(record);
  BERYLLANE_INVARIANT("config-never-reverts", log_.version() >= before);
  recent_.push_back(record);
  if (recent_.size() > kMaxRecentRecords) recent_.pop_front();
  if (!checkpointed_at_ || result == ApplyResult::kCheckpoint) {
    checkpointed_at_ = record.time;
  }
  if (result == ApplyResult::kAccepted) accepted_.Add();
  const bool is_rejected = result == ApplyResult::kBaseMismatch ||
                           result == ApplyResult::kInvalid ||
                           result == ApplyResult::kUnreadable;
  if (!is_rejected) return;
  rejected_.Add();
  telemetry::Log(Level::kWarning, telemetry::event::kConfigRejected,
                 {{"offset", record.offset},
                  {"result", static_cast<int>(result)},
                  {"version", log_.version()}});
}

void ConfigFollower::ApplyRelayed(const std::vector<LogRecord>& records) {
  if (!log_.has_state()) return;
  for (const LogRecord& record : records) {
    if (record.offset == log_.next_offset()) ApplyRecord(record);
  }
  PublishIfNew();
}

void ConfigFollower::InstallRelayed(const configlog::Checkpoint& checkpoint) {
  if (!log_.Install(checkpoint)) return;
  recent_.clear();
  Confirm();
  PublishIfNew();
}

std::optional<std::vector<LogRecord>> ConfigFollower::RecordsFrom(
    std::uint64_t through) const {
  if (through >= log_.state_end()) return std::vector<LogRecord>{};
  if (recent_.empty() || recent_.front().offset > through) return std::nullopt;
  std::vector<LogRecord> records;
  for (const LogRecord& record : recent_) {
    if (record.offset >= through) records.push_back(record);
  }
  return records;
}

void ConfigFollower::ReparseOnExpiry() {
  if (!next_expiry_ || RuntimeClock::WallNow() < *next_expiry_) return;
  published_version_ = 0;
  PublishIfNew();
}

void ConfigFollower::PublishIfNew() {
  if (!log_.has_state() || log_.version() == 0) return;
  if (log_.version() == published_version_) return;
  published_version_ = log_.version();
  auto config = std::make_shared<config::Config>();
  config::Faults faults;
  if (!config::TryParseConfig(log_.document(), log_.version(),
                              RuntimeClock::WallNow(), *config, faults)) {
    // The document uses a schema that this version of the program does not
    // know.
    telemetry::Log(
        Level::kError, telemetry::event::kConfigUnreadable,
        {{"version", log_.version()}, {"faults", config::ToText(faults)}});
    return;
  }
  next_expiry_ = config->next_expiry;
  version_gauge_.Set(static_cast<std::int64_t>(log_.version()));
  telemetry::Log(Level::kInfo, telemetry::event::kConfigInForce,
                 {{"version", log_.version()}, {"change", log_.change_id()}});
  on_change_(std::move(config));
}

net::asio::awaitable<void> ConfigFollower::RefreshCheckpoint(std::size_t rank) {
  // Writing a checkpoint every quarter of the retention leaves time for a long
  // outage of the log.
  constexpr int kCheckpointsPerRetention = 4;
  constexpr std::size_t kRankSteps = 8;
  if (!log_.has_state() || log_.version() == 0 || !checkpointed_at_) co_return;
  const milliseconds interval = retention_ / kCheckpointsPerRetention;
  const auto rank_delay = interval * std::min(rank, kRankSteps) / kRankSteps;
  if (RuntimeClock::WallNow() < *checkpointed_at_ + interval + rank_delay) {
    co_return;
  }
  std::string record = configlog::Encode(log_.MakeCheckpoint());
  co_await stream_.AppendRecord(std::move(record));
}

void ConfigFollower::SetLogUp(bool is_up, const std::string& message) {
  if (is_up == is_log_up_) return;
  is_log_up_ = is_up;
  telemetry::Log(is_up ? Level::kInfo : Level::kWarning,
                 is_up ? telemetry::event::kLogUp : telemetry::event::kLogDown,
                 {{"message", message}});
}

}  // namespace beryllane::router
