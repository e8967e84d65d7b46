#include "src/ctl/config_reader.h"

#include "src/config/parse.h"
#include "src/router/config_follower.h"

namespace beryllane::ctl {

using configlog::HistoryEntry;
using net::asio::awaitable;

ConfigReader::ConfigReader(Context& context)
    : stream_(context.client, context.loop, context.options.log_service,
              router::kConfigStream, context.metrics, {}),
      log_(config::Validate) {}

awaitable<Result<Done>> ConfigReader::CatchUp() {
  for (;;) {
    auto page = co_await stream_.ReadPage(log_.next_offset(),
                                          std::chrono::milliseconds(0));
    if (!page.ok()) co_return page.error();
    log_.SetLogStart(page.value().first);
    for (const auto& record : page.value().records) {
      log_.Apply(record);
      if (log_.has_state()) documents_[log_.version()] = log_.document();
    }
    if (log_.next_offset() >= page.value().end) break;
  }
  if (!log_.has_state()) {
    co_return Error{ErrorId::kLogAnswerInvalid,
                    "the stream is truncated and holds no checkpoint",
                    Verdict::kNotRun};
  }
  co_return Done{};
}

std::optional<HistoryEntry> ConfigReader::FindChange(
    const std::string& id) const {
  for (const HistoryEntry& entry : log_.history()) {
    if (entry.change.id == id) return entry;
  }
  return std::nullopt;
}

awaitable<Result<HistoryEntry>> ConfigReader::Publish(
    configlog::Change change) {
  constexpr int kMaxAttempts = 5;
  constexpr std::chrono::milliseconds kPause{300};
  Error last;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto appended = co_await stream_.AppendRecord(configlog::Encode(change));
    if (!appended.ok()) last = appended.error();
    auto caught_up = co_await CatchUp();
    if (caught_up.ok()) {
      if (auto entry = FindChange(change.id)) co_return std::move(*entry);
    } else {
      last = caught_up.error();
    }
    co_await net::Sleep(kPause);
  }
  last.message += "; the change may still be accepted: look for its id " +
                  change.id + " in the history";
  last.verdict = Verdict::kMayHaveRun;
  co_return last;
}

std::optional<nlohmann::json> ConfigReader::DocumentAt(
    std::uint64_t version) const {
  if (version == 0) return nlohmann::json::object();
  const auto it = documents_.find(version);
  if (it == documents_.end()) return std::nullopt;
  return it->second;
}

}  // namespace beryllane::ctl
