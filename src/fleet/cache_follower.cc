#include "src/fleet/cache_follower.h"

#include <optional>
#include <utility>

#include "platform/request_codec.h"
#include "src/fleet/pause_record.h"
#include "src/fleet/placement.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using telemetry::Level;

// Interval at which the list of targets is searched for runners to follow.
constexpr milliseconds kSearchInterval{500};
// Duration of a long poll; runners accept up to one second.
constexpr milliseconds kPollTimeout{900};
// Time in addition to the poll in which an answer arrives from another region.
constexpr milliseconds kAnswerMargin{600};
// Further time for the connection and for a long list of changes.
constexpr milliseconds kTransferTime{2000};
constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;
// Pause between calls, so that one answer covers several changes.
constexpr milliseconds kCallInterval{250};
constexpr milliseconds kFailureBackoff{1000};

bool MayPoll(const Runner& runner) {
  return runner.gate->MaySend(Sending{SendKind::kCachePoll},
                              RuntimeClock::now());
}

}  // namespace

CacheFollower::CacheFollower(net::HttpClient& client, Fleet& fleet,
                             Peers& peers, MetricRegistry& metrics)
    : client_(client),
      fleet_(fleet),
      peers_(peers),
      changes_(metrics.GetCounter("beryllane_cache_changes_total",
                                  "Changes of runners' caches received")),
      failures_(metrics.GetCounter("beryllane_cache_call_failures_total",
                                   "Calls for cache changes that failed")) {}

awaitable<void> CacheFollower::Run() {
  for (;;) {
    co_await net::Sleep(kSearchInterval);
    for (const auto& [id, runner] : fleet_.targets()) {
      const bool is_engine = !runner->entry.weights.empty();
      if (!is_engine || followed_.contains(id) || !MayPoll(*runner)) continue;
      if (!peers_.FollowsCacheOf(*runner)) continue;
      followed_.insert(id);
      net::Spawn(client_.context().get_executor(), "cache", Follow(runner));
    }
  }
}

awaitable<void> CacheFollower::Follow(std::shared_ptr<Runner> runner) {
  const std::string id = runner->entry.id;
  try {
    co_await ReadChanges(std::move(runner));
  } catch (const std::exception& error) {
    net::ReportTaskFailure("cache", error.what());
  }
  followed_.erase(id);
}

awaitable<void> CacheFollower::ReadChanges(std::shared_ptr<Runner> runner) {
  const std::string id = runner->entry.id;
  std::uint64_t since = 0;
  std::optional<std::int64_t> incarnation;
  const auto is_current = [&] {
    const auto it = fleet_.targets().find(id);
    return it != fleet_.targets().end() && it->second == runner;
  };
  while (is_current() && runner->gate->IsOpen() &&
         peers_.FollowsCacheOf(*runner)) {
    if (!MayPoll(*runner)) {
      co_await net::Sleep(kCallInterval);
      continue;
    }
    net::CallOptions options;
    options.may_send = [runner] { return MayPoll(*runner); };
    options.answer_timeout = kPollTimeout + kAnswerMargin;
    options.total_timeout = options.answer_timeout + kTransferTime;
    options.body_limit = kMaxAnswerBytes;
    options.unstated_idle_limit = std::chrono::nanoseconds(0);
    fleet_.WatchAnswers(*runner, options);
    auto answer = co_await client_.Call(
        runner->entry.address,
        platform::MakeCacheChangesRequest(since, kPollTimeout, id), options);
    constexpr int kOk = 200;
    const bool is_answered = answer.ok() && answer.value().result_int() == kOk;
    if (!is_answered) {
      failures_.Add();
      if (answer.ok()) NotePause(*runner, answer.value());
      co_await net::Sleep(kFailureBackoff);
      continue;
    }
    auto decoded = platform::DecodeCacheChanges(answer.value().body());
    if (!decoded.ok()) {
      telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                     {{"target", id}, {"message", decoded.error().message}});
      co_await net::Sleep(kFailureBackoff);
      continue;
    }
    const platform::CacheChanges& batch = decoded.value();
    // A restarted runner has an empty cache; the list of targets may show the
    // new incarnation only later.
    if (incarnation && *incarnation != batch.incarnation) runner->cache.Clear();
    // Removals that were missed stay in the estimate until LRU eviction. The
    // log line explains why prefills may be repeated until then.
    if (batch.has_gap && incarnation) {
      telemetry::Log(
          Level::kInfo, telemetry::event::kRecordIgnored,
          {{"target", id},
           {"message", "cache changes were discarded before they were read"},
           {"next", batch.next}});
    }
    incarnation = batch.incarnation;
    since = batch.next;
    for (const auto& change : batch.changes) Apply(*runner, change);
    changes_.Add(batch.changes.size());
    co_await net::Sleep(kCallInterval);
  }
}

void CacheFollower::NotePause(Runner& runner, const net::Response& answer) {
  RecordPause(fleet_, runner, platform::DecodeAnswer(answer.base()),
              {"cache-poll", ""});
}

void CacheFollower::Apply(Runner& runner, const platform::CacheChange& change) {
  const std::uint64_t key = PartKey(change.salt, change.part_id);
  const std::uint32_t known_tokens = runner.cache.TokensOf(key);
  if (change.is_added) {
    // Parts that only one request uses are not worth tracking.
    const bool is_new =
        known_tokens == 0 && fleet_.shared_parts().Contains(key);
    if (!is_new) return;
    runner.cache.Touch(key, change.held_tokens);
    peers_.NotePart(runner, key, change.held_tokens);
  } else if (change.held_tokens < known_tokens / 2) {
    runner.cache.Erase(key);
    peers_.RetractPart(runner, key);
  }
}

}  // namespace beryllane::fleet
