#include "src/fleet/peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "beryllane/placement/rendezvous.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using telemetry::Level;

// Loads change over the duration of a request, so shorter intervals improve
// placement little.
constexpr milliseconds kBatchInterval{200};
// The batch interval grows with the number of routers, which limits the rate at
// each receiver to some hundred messages per second. It stays below
// `kRouterTimeout`.
constexpr milliseconds kBatchIntervalPerRouter{10};
constexpr milliseconds kMaxBatchInterval{700};
constexpr milliseconds kPartIntervalPerRouter{2};
// A prefill takes some hundred milliseconds. Other routers must receive the
// hint before then, so that requests for the same parts go to the same runner.
constexpr milliseconds kPartInterval{20};
constexpr milliseconds kRegisterBackoff{500};
constexpr milliseconds kListenBackoff{200};
constexpr milliseconds kMaxRegisterDelay{1000};
// Interval of reports of limits; several fit into their lifetime.
constexpr milliseconds kLimitInterval{400};
// An empty batch is sent after this time; well below `kRouterTimeout`.
constexpr milliseconds kHeartbeatInterval{500};
// Time after which a reader that failed is selected again.
constexpr milliseconds kReaderBackoff{2000};
// Typical time for which a target loads new weights.
constexpr milliseconds kSwitchDuration{900};

// Field names of a message; short, because each message goes to every peer.
constexpr const char* kSender = "h";
constexpr const char* kLoads = "l";
constexpr const char* kParts = "p";
constexpr const char* kOrders = "o";
constexpr const char* kLease = "e";
constexpr const char* kLimits = "m";
constexpr const char* kLeaving = "g";
// Whether a message names a single limit and is no report of all.
constexpr bool kIsOneLimit = true;
// Limit that stands for none.
constexpr double kNoLimit = -1;
// Answer age that stands for none.
constexpr std::int64_t kNoAnswer = -1;
// A router that was heard from within this time may still send requests to
// targets.
constexpr milliseconds kSenderTimeout{5000};

}  // namespace

Peers::Peers(net::asio::io_context& loop, platform::StoreClient& store,
             Fleet& fleet, Identity self, MetricRegistry& metrics)
    : store_(store),
      fleet_(fleet),
      self_(std::move(self)),
      known_hosts_{self_.host_id},
      unread_hints_(metrics.GetCounter(
          "beryllane_fleet_unread_hints_total",
          "Messages of peers whose hints were not read on a busy loop")),
      bus_(loop, metrics,
           [this](const std::string& message) { Receive(message); }) {
  store_.OnRestore([this] { is_registration_lost_ = true; });
}

awaitable<void> Peers::Run() {
  auto listening = bus_.Listen(self_.bus_address);
  if (!listening.ok()) {
    telemetry::Log(Level::kError, telemetry::event::kPeersUnavailable,
                   {{"message", listening.error().message}});
  }
  while (!listening.ok()) {
    co_await net::Sleep(kListenBackoff);
    listening = bus_.Listen(self_.bus_address);
  }
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnLoop(executor, "registration", [this] { return Registration(); });
  net::SpawnLoop(executor, "hints", [this] { return SendHints(); });
}

awaitable<void> Peers::Registration() {
  while (!is_registered()) {
    const bool is_done = co_await Register();
    if (!is_done) {
      co_await net::Sleep(kRegisterBackoff);
    }
  }
  co_await RegisterAfterRestores();
}

awaitable<void> Peers::SendHints() {
  while (!is_registered()) {
    co_await net::Sleep(kPartInterval);
  }
  for (;;) {
    // Scaling the intervals with the number of routers keeps the rate at each
    // receiver constant.
    const auto routers = static_cast<int>(routers_.size());
    co_await net::Sleep(
        std::max(kPartInterval, routers * kPartIntervalPerRouter));
    const auto interval = std::clamp(routers * kBatchIntervalPerRouter,
                                     kBatchInterval, kMaxBatchInterval);
    fleet_.peer_activity().set_live(LivePeers());
    EndUnconfirmedLimits();
    const bool is_due = RuntimeClock::now() - sent_at_ >= interval;
    if (is_due || !new_parts_.empty()) SendBatch();
  }
}

// Routers that start later find only those whose records the store has.
awaitable<void> Peers::RegisterAfterRestores() {
  // Spreads the calls of all routers.
  const auto delay =
      milliseconds(HashBytes(self_.host_id).low %
                   static_cast<std::uint64_t>(kMaxRegisterDelay.count()));
  for (;;) {
    co_await net::Sleep(kRegisterBackoff);
    if (!is_registration_lost_) continue;
    co_await net::Sleep(delay);
    is_registration_lost_ = false;
    bool is_registered = false;
    try {
      is_registered = co_await Register();
    } catch (const std::exception& error) {
      net::ReportTaskFailure("registration", error.what());
    }
    is_registration_lost_ = is_registration_lost_ || !is_registered;
  }
}

// Each router appends its address and then connects to those that registered
// before it. Each pair thus has one connection, and no router has to read the
// list a second time.
awaitable<bool> Peers::Register() {
  std::string value = json{{"address", self_.bus_address},
                           {"zone", self_.availability_zone},
                           {"relay", self_.relay_address}}
                          .dump();
  auto appended = co_await store_.Append(std::string(platform::kPeerTopic),
                                         self_.host_id, value, std::nullopt);
  if (!appended.ok()) co_return false;
  const std::uint64_t own_offset = appended.value().offset;
  const auto registrations = co_await ReadRegistrations(own_offset);
  if (!registrations) co_return false;
  // Ordered by the offset of the newest registration.
  std::map<std::uint64_t, std::string> sources;
  std::map<std::string, std::uint64_t> newest;
  for (const auto& record : *registrations) {
    known_hosts_.insert(record.key);
    const json body = json::parse(record.value, nullptr, false);
    const bool is_valid = body.is_object() && body.contains("address") &&
                          body["address"].is_string();
    const bool is_earlier =
        record.offset < own_offset && record.key != self_.host_id;
    if (!is_valid || !is_earlier) continue;
    Connect(body["address"], record.key);
    // Routers of earlier versions register without zone and relay.
    const json relay = body.value("relay", json());
    const bool is_in_zone =
        body.value("zone", json()) == self_.availability_zone;
    const auto [known, is_new] = newest.try_emplace(record.key, record.offset);
    if (!is_new) sources.erase(std::exchange(known->second, record.offset));
    if (is_in_zone && relay.is_string()) sources[record.offset] = relay;
  }
  earlier_in_zone_.clear();
  for (auto& [offset, relay] : sources) earlier_in_zone_.push_back(relay);
  constexpr int kOffsetBits = 32;
  registered_at_ = RuntimeClock::now();
  registration_rank_ = store_.era().number << kOffsetBits | own_offset;
  co_return true;
}

awaitable<std::optional<std::vector<platform::KeyedRecord>>>
Peers::ReadRegistrations(std::uint64_t own_offset) {
  const std::string topic(platform::kPeerTopic);
  // While the store keeps the whole log, a read or two return it; the newest
  // record of each key takes a call for each page.
  constexpr int kMaxReads = 3;
  std::vector<platform::KeyedRecord> records;
  std::uint64_t next = 0;
  for (int i = 0; i < kMaxReads && next <= own_offset; ++i) {
    auto read = co_await store_.Read(topic, next, milliseconds(0));
    if (!read.ok()) co_return std::nullopt;
    if (!read.value()) break;
    for (auto& record : read.value()->records) {
      records.push_back(std::move(record));
    }
    next = read.value()->next;
  }
  if (next > own_offset) co_return records;
  auto newest = co_await store_.ReadNewest(topic);
  if (!newest.ok()) co_return std::nullopt;
  co_return std::move(newest.value().records);
}

void Peers::Connect(const std::string& address, const std::string& host) {
  const bool is_connected = address == self_.bus_address ||
                            routers_.contains(host) ||
                            !dialed_.insert(address).second;
  if (is_connected) return;
  auto dialed = bus_.Dial(address);
  if (!dialed.ok()) {
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "peers"},
                    {"key", host},
                    {"message", dialed.error().message}});
  }
}

std::optional<std::string> Peers::ZoneReader(bool can_read_store) const {
  const auto now = RuntimeClock::now();
  const Router* reader = nullptr;
  for (const auto& [host, router] : routers_) {
    const bool is_usable =
        router.availability_zone == self_.availability_zone &&
        router.IsAlive(now) && router.excluded_until <= now;
    const bool is_earlier = reader == nullptr || router.registration_rank <
                                                     reader->registration_rank;
    if (is_usable && is_earlier) reader = &router;
  }
  if (reader == nullptr) return std::nullopt;
  const bool is_first =
      !registration_rank_ || *registration_rank_ < reader->registration_rank;
  if (is_first && can_read_store) return std::nullopt;
  return reader->relay_address;
}

int Peers::Rank() const {
  const auto now = RuntimeClock::now();
  const bool is_new = now - registered_at_ < kSenderTimeout;
  const auto is_live = [&](const std::string& host) {
    const auto heard = routers_.find(host);
    return heard == routers_.end() ? is_new : heard->second.IsAlive(now);
  };
  // The set is ordered, so the routers before this one have smaller ids.
  return static_cast<int>(std::count_if(
      known_hosts_.begin(), known_hosts_.find(self_.host_id), is_live));
}

bool Peers::FollowsCacheOf(const Runner& runner) const {
  const auto now = RuntimeClock::now();
  const std::string& zone = runner.entry.availability_zone;
  const auto is_live_in_zone = [&](const auto& router) {
    return router.second.IsAlive(now) &&
           router.second.availability_zone == zone;
  };
  const bool is_self_in_zone = zone == self_.availability_zone;
  const bool has_router_in_zone =
      is_self_in_zone ||
      std::any_of(routers_.begin(), routers_.end(), is_live_in_zone);
  if (has_router_in_zone && !is_self_in_zone) return false;
  const Hash128 key = HashBytes(runner.entry.id);
  const std::uint64_t own =
      placement::RendezvousScore(key, HashBytes(self_.host_id).low);
  return std::none_of(
      routers_.begin(), routers_.end(), [&](const auto& router) {
        const bool is_contender = has_router_in_zone
                                      ? is_live_in_zone(router)
                                      : router.second.IsAlive(now);
        return is_contender && placement::RendezvousScore(
                                   key, HashBytes(router.first).low) > own;
      });
}

std::optional<std::string> Peers::OwnerOf(const Hash128& key) const {
  const auto now = RuntimeClock::now();
  std::uint64_t highest =
      placement::RendezvousScore(key, HashBytes(self_.host_id).low);
  const Router* owner = nullptr;
  for (const auto& [host, router] : routers_) {
    if (!router.IsAlive(now)) continue;
    const std::uint64_t score =
        placement::RendezvousScore(key, HashBytes(host).low);
    if (score <= highest) continue;
    highest = score;
    owner = &router;
  }
  if (owner == nullptr) return std::nullopt;
  return owner->relay_address;
}

AllowanceMembers Peers::Members() const {
  const auto now = RuntimeClock::now();
  const auto alive = std::count_if(
      routers_.begin(), routers_.end(),
      [now](const auto& router) { return router.second.IsAlive(now); });
  return {static_cast<int>(alive) + 1, static_cast<int>(known_hosts_.size())};
}

void Peers::ExcludeReader(const std::string& reader) {
  for (auto& [host, router] : routers_) {
    if (router.relay_address == reader) {
      router.excluded_until = RuntimeClock::now() + kReaderBackoff;
    }
  }
}

void Peers::Broadcast(std::string_view field, const json& value) {
  const auto bytes = json::to_msgpack(json{{std::string(field), value}});
  bus_.Send(std::string(bytes.begin(), bytes.end()));
}

void Peers::AnnounceLimit(const Runner& runner) {
  Broadcast(kLimits, {self_.host_id, {LimitReport(runner)}, kIsOneLimit});
}

void Peers::AnnounceLeaving(const Runner& runner) {
  if (runner.gate->is_hinted()) return;
  Broadcast(kLeaving, {runner.id_hash, runner.entry.start_time});
}

void Peers::ReceiveLeaving(const json& target) {
  Runner* runner = fleet_.FindByHash(target.at(0).get<std::uint64_t>());
  const bool is_same_incarnation =
      runner != nullptr &&
      runner->entry.start_time == target.at(1).get<std::int64_t>();
  if (is_same_incarnation) runner->gate->OnPeerHint();
}

json Peers::LimitReport(const Runner& runner) {
  const SharedLimit& limit = runner.limit;
  const auto now = RuntimeClock::now();
  const auto age = limit.AnswerAge(now);
  return {runner.id_hash, limit.is_set() ? limit.per_second() : kNoLimit,
          limit.Demand(now),
          age ? duration_cast<milliseconds>(*age).count() : kNoAnswer};
}

bool Peers::HasLimits() const {
  const auto& targets = fleet_.targets();
  return std::any_of(targets.begin(), targets.end(), [](const auto& target) {
    return target.second->limit.is_set();
  });
}

void Peers::EndUnconfirmedLimits() {
  const auto now = RuntimeClock::now();
  if (now - limits_checked_at_ < kLimitInterval) return;
  limits_checked_at_ = now;
  for (const auto& [id, runner] : fleet_.targets()) {
    if (!runner->limit.EndIfUnconfirmed(now)) continue;
    telemetry::Log(Level::kInfo, telemetry::event::kTargetLimit,
                   {{"target", id},
                    {"requests_per_second", kNoLimit},
                    {"reason", "no answer has named it lately"}});
  }
}

json Peers::LimitReports() const {
  const auto now = RuntimeClock::now();
  json limits = json::array();
  for (const auto& [id, runner] : fleet_.targets()) {
    const bool is_listed =
        runner->limit.is_set() &&
        runner->limit.Demand(now) >= SharedLimit::kMinReportedDemand;
    if (is_listed) limits.push_back(LimitReport(*runner));
  }
  return limits;
}

void Peers::ReceiveLimits(const json& reports) {
  const auto now = RuntimeClock::now();
  const std::uint32_t peer = RouterOf(reports.at(0)).index;
  for (const json& report : reports.at(1)) {
    Runner* runner = fleet_.FindByHash(report.at(0).get<std::uint64_t>());
    if (runner == nullptr) continue;
    // Routers of earlier versions do not state the age.
    const std::int64_t age =
        report.size() > 3 ? report.at(3).get<std::int64_t>() : 0;
    std::optional<nanoseconds> answer_age;
    if (age != kNoAnswer) answer_age = milliseconds(age);
    runner->limit.OnPeerReport(peer, report.at(1), report.at(2), answer_age,
                               now);
  }
  const bool is_one = reports.size() > 2 && reports.at(2) == kIsOneLimit;
  if (!is_one) fleet_.peer_activity().OnReport(peer, now);
}

Peers::Router& Peers::RouterOf(const std::string& host) {
  const auto [known, is_new] = routers_.try_emplace(host);
  if (is_new) known->second.index = static_cast<std::uint32_t>(routers_.size());
  return known->second;
}

int Peers::LivePeers() const {
  const auto now = RuntimeClock::now();
  const auto live = static_cast<int>(
      std::count_if(routers_.begin(), routers_.end(), [&](const auto& router) {
        return now - router.second.last_received_at < kSenderTimeout;
      }));
  // A router that hears nobody is cut off itself, or has just started.
  const bool is_new = now - started_at_ < kSenderTimeout;
  const auto known = static_cast<int>(known_hosts_.size()) - 1;
  return live == 0 || is_new ? std::max(live, known) : live;
}

void Peers::AnnounceOrder(const Runner& runner, const std::string& model,
                          std::uint64_t version) {
  const json message{{kOrders, {{runner.id_hash, model, version, false}}}};
  const auto bytes = json::to_msgpack(message);
  bus_.Send(std::string(bytes.begin(), bytes.end()));
}

void Peers::AnnounceWeights(const Runner& runner, const std::string& model,
                            std::uint64_t version) {
  const json message{{kOrders, {{runner.id_hash, model, version, true}}}};
  const auto bytes = json::to_msgpack(message);
  bus_.Send(std::string(bytes.begin(), bytes.end()));
}

void Peers::AnnounceLease() {
  const auto bytes = json::to_msgpack(json{{kLease, true}});
  bus_.Send(std::string(bytes.begin(), bytes.end()));
}

void Peers::NotePart(const Runner& runner, std::uint64_t part,
                     std::uint32_t tokens) {
  constexpr std::size_t kMaxPendingParts = 1000;
  if (new_parts_.size() < kMaxPendingParts) {
    new_parts_.push_back({runner.id_hash, part, tokens});
  }
}

std::string Peers::EncodeBatch() {
  json loads = json::array();
  for (const auto& [id, runner] : fleet_.targets()) {
    const std::pair<int, std::uint64_t> load{
        runner->own_running, runner->own_pending_prefill_tokens};
    auto& sent = sent_loads_[runner->id_hash];
    if (sent == load) continue;
    sent = load;
    loads.push_back({runner->id_hash, load.first, load.second});
  }
  const auto now = RuntimeClock::now();
  const bool is_due = now - sent_at_ >= kHeartbeatInterval;
  if (loads.empty() && new_parts_.empty() && !is_due) return "";
  sent_at_ = now;
  json parts = json::array();
  for (const PartHint& hint : new_parts_) {
    parts.push_back({hint.runner, hint.part, hint.tokens});
  }
  new_parts_.clear();
  json message{{kSender,
                {self_.host_id, self_.availability_zone, self_.relay_address,
                 registration_rank_.value_or(0)}},
               {kLoads, loads},
               {kParts, parts}};
  const bool is_report_due = now - limits_sent_at_ >= kLimitInterval;
  if (is_report_due && HasLimits()) {
    limits_sent_at_ = now;
    message[kLimits] = {self_.host_id, LimitReports()};
  }
  const auto bytes = json::to_msgpack(message);
  return {bytes.begin(), bytes.end()};
}

void Peers::SendBatch() {
  const std::string batch = EncodeBatch();
  if (!batch.empty()) bus_.Send(batch);
}

void Peers::Receive(const std::string& message) {
  json body;
  try {
    body = json::from_msgpack(message);
  } catch (const json::exception&) {
    return;
  }
  if (!body.is_object()) return;
  const auto find = [this](const json& hash) {
    return fleet_.FindByHash(hash.get<std::uint64_t>());
  };
  const auto now = RuntimeClock::now();
  try {
    for (const auto& [field, handler] : handlers_) {
      if (body.contains(field)) handler(body.at(field));
    }
    if (body.contains(kLease)) rollout_announced_at_ = now;
    for (const json& order : body.value(kOrders, json::array())) {
      rollout_announced_at_ = now;
      Runner* runner = find(order.at(0));
      if (runner == nullptr) continue;
      const bool is_in_place = order.at(3).get<bool>();
      if (is_in_place) {
        runner->RaiseVersion(order.at(1), order.at(2));
        runner->switching_until = {};
      } else {
        runner->switching_until = now + kSwitchDuration;
      }
    }
    if (body.contains(kLimits)) ReceiveLimits(body.at(kLimits));
    if (body.contains(kLeaving)) ReceiveLeaving(body.at(kLeaving));
    if (!body.contains(kSender)) return;
    const json& from = body.at(kSender);
    const std::string sender = from.at(0);
    known_hosts_.insert(sender);
    Router& router = RouterOf(sender);
    router.availability_zone = from.at(1);
    router.relay_address = from.at(2);
    router.registration_rank = from.at(3);
    router.last_received_at = now;
    fleet_.zone_balance().OnRouterHeard(router.index, router.availability_zone,
                                        now);
    if (loop_lag_ != nullptr && loop_lag_->IsBusy()) {
      unread_hints_.Add();
    } else {
      ReceiveHints(body, router);
    }
  } catch (const json::exception& error) {
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "peers"}, {"message", error.what()}});
  }
}

void Peers::ReceiveHints(const json& body, const Router& sender) {
  const auto now = RuntimeClock::now();
  for (const json& load : body.value(kLoads, json::array())) {
    Runner* runner = fleet_.FindByHash(load.at(0).get<std::uint64_t>());
    if (runner == nullptr) continue;
    runner->peer_running.Set(sender.index, load.at(1), now);
    runner->peer_prefill_tokens.Set(sender.index, load.at(2), now);
  }
  for (const json& part : body.value(kParts, json::array())) {
    Runner* runner = fleet_.FindByHash(part.at(0).get<std::uint64_t>());
    if (runner == nullptr) continue;
    const std::uint32_t tokens = part.at(2);
    if (tokens == kRetracted) {
      runner->cache.Erase(part.at(1));
      continue;
    }
    const std::chrono::duration<double, std::milli> reading(
        tokens / runner->PrefillTokensPerMs(now));
    const auto ready_at =
        now + std::chrono::duration_cast<milliseconds>(reading);
    runner->cache.Touch(part.at(1), tokens, ready_at);
    fleet_.shared_parts().Touch(part.at(1), 1);
  }
}

}  // namespace beryllane::fleet
