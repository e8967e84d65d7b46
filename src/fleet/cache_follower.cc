#include "src/fleet/cache_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "src/fleet/placement.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using telemetry::Level;

// How often the list is searched for runners to follow.
constexpr milliseconds kSearchPace{500};
// Longest wait of a call; runners take up to a second.
constexpr milliseconds kWait{900};
// Time beyond the wait in which an answer arrives between regions.
constexpr milliseconds kPatience{600};
// Changes are collected for this long between calls.
constexpr milliseconds kCallPace{250};
constexpr milliseconds kFailurePause{1000};

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
    co_await net::Sleep(kSearchPace);
    for (const auto& [id, runner] : fleet_.targets()) {
      const bool is_engine = !runner->entry.weights.empty();
      if (!is_engine || followed_.contains(id)) continue;
      if (!peers_.FollowsCacheOf(*runner)) continue;
      followed_.insert(id);
      net::asio::co_spawn(client_.context(), Follow(runner),
                          net::asio::detached);
    }
  }
}

awaitable<void> CacheFollower::Follow(std::shared_ptr<Runner> runner) {
  const std::string id = runner->entry.id;
  std::uint64_t since = 0;
  std::optional<std::int64_t> incarnation;
  const auto is_current = [&] {
    const auto it = fleet_.targets().find(id);
    return it != fleet_.targets().end() && it->second == runner;
  };
  while (is_current() && peers_.FollowsCacheOf(*runner)) {
    net::CallOptions options;
    options.answer_timeout = kWait + kPatience;
    options.unstated_idle_limit = std::chrono::nanoseconds(0);
    auto answer = co_await client_.Call(
        runner->entry.address, platform::MakeCacheCall(since, kWait, id),
        options);
    constexpr int kOk = 200;
    const bool is_answered = answer.ok() && answer.value().result_int() == kOk;
    if (!is_answered) {
      failures_.Add();
      co_await net::Sleep(kFailurePause);
      continue;
    }
    auto decoded = platform::DecodeCacheChanges(answer.value().body());
    if (!decoded.ok()) {
      telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                     {{"target", id}, {"message", decoded.error().message}});
      co_await net::Sleep(kFailurePause);
      continue;
    }
    const platform::CacheChanges& told = decoded.value();
    // A runner that started again holds nothing, also before the list shows it.
    if (incarnation && *incarnation != told.incarnation) runner->cache.Clear();
    // What was dropped unseen stays in the mirror until it is the least
    // recently used; the line tells why parts may be read again meanwhile.
    if (told.has_gap && incarnation) {
      telemetry::Log(Level::kInfo, telemetry::event::kRecordIgnored,
                     {{"target", id},
                      {"message", "older cache changes were dropped unseen"},
                      {"next", told.next}});
    }
    incarnation = told.incarnation;
    since = told.next;
    for (const auto& change : told.changes) Apply(*runner, change);
    changes_.Add(told.changes.size());
    co_await net::Sleep(kCallPace);
  }
  followed_.erase(id);
}

void CacheFollower::Apply(Runner& runner, const platform::CacheChange& change) {
  const std::uint64_t key = PartKey(change.salt, change.part_id);
  const std::uint32_t known_tokens = runner.cache.TokensOf(key);
  if (change.is_gain) {
    // Parts of a single request are of no use to others.
    const bool is_news =
        known_tokens == 0 && fleet_.shared_parts().Contains(key);
    if (!is_news) return;
    runner.cache.Touch(key, change.held_tokens);
    peers_.NotePart(runner, key, change.held_tokens);
  } else if (change.held_tokens < known_tokens / 2) {
    runner.cache.Erase(key);
    peers_.RetractPart(runner, key);
  }
}

}  // namespace beryllane::fleet
