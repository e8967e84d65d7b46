#include "src/router/state_gossip.h"

#include <algorithm>
#include <utility>

#include "src/net/spawn.h"
#include "src/telemetry/trace.h"

namespace beryllane::router {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using wire::LoadEntry;
using wire::StateExchange;

constexpr milliseconds kCallTimeout{800};
// Estimated encoded size of one load entry, and of an exchange without any.
constexpr double kLoadEntryBytes = 27;
constexpr double kExchangeBytes = 40;
// An exchange starts only when the budget allows some load entries in both of
// its messages.
constexpr double kMinExchangeBudgetBytes = 400;
constexpr std::size_t kMaxLoadEntries = 128;
// Older reports are not sent to peers.
constexpr milliseconds kMaxLoadAge{5000};
// Consecutive failed exchanges after which a peer counts as unavailable.
constexpr int kFailuresUntilUnavailable = 2;

}  // namespace

double ByteBudget::Available(RuntimeClock::time_point now) {
  constexpr double kMaxBurstSeconds = 2;
  const double elapsed =
      std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  available_bytes_ = std::min(available_bytes_ + elapsed * bytes_per_second_,
                              kMaxBurstSeconds * bytes_per_second_);
  return available_bytes_;
}

StateGossip::StateGossip(const Settings& settings, Directory& directory,
                         ConfigFollower& config, wire::PeerClient& peers,
                         MetricRegistry& metrics)
    : settings_(settings),
      directory_(directory),
      config_(config),
      peers_(peers),
      exchanges_(metrics.GetCounter("beryllane_gossip_exchanges_total",
                                    "State exchanges started")),
      exchange_failures_(
          metrics.GetCounter("beryllane_gossip_failures_total",
                             "State exchanges that were not answered")) {}

std::vector<Peer> StateGossip::OtherRouters() const {
  std::vector<Peer> others;
  for (const Peer& router : directory_.state_cell().Load()->routers) {
    if (router.id != settings_.host_id) others.push_back(router);
  }
  if (!others.empty()) return others;
  for (const std::string& address : settings_.peers) {
    if (address != settings_.peer_listen) others.push_back({"", address, 0});
  }
  return others;
}

awaitable<void> StateGossip::Run() {
  constexpr milliseconds kStartupInterval{100};
  bool has_state = false;
  for (;;) {
    co_await net::Sleep(has_state ? kInterval : kStartupInterval);
    if (is_leaving_) co_return;
    const double available = budget_.Available(RuntimeClock::now());
    if (has_state && available < kMinExchangeBudgetBytes) continue;
    const std::vector<Peer> others = OtherRouters();
    if (others.empty()) continue;
    const Peer& peer = others[telemetry::RandomId() % others.size()];
    const bool has_answered = co_await ExchangeWith(peer, !has_state);
    const bool is_complete =
        config_.log().has_state() && directory_.has_hosts();
    if (has_answered || is_complete) has_state = is_complete;
  }
}

awaitable<bool> StateGossip::ExchangeWith(const Peer& peer, bool needs_state) {
  exchanges_.Add();
  StateExchange request = MakeExchange(AffordableLoadEntries());
  request.wants_full_state = needs_state;
  std::string message = wire::Encode(request);
  const std::size_t sent = message.size();
  auto reply =
      co_await peers_.Call(peer.address, std::move(message), kCallTimeout);
  budget_.Spend(static_cast<double>(sent));
  if (!reply.ok()) {
    exchange_failures_.Add();
    RecordFailure(peer);
    co_return false;
  }
  if (!needs_state) budget_.Spend(static_cast<double>(reply.value().size()));
  const auto decoded = wire::DecodeRequest(reply.value());
  const auto* answer =
      decoded ? std::get_if<StateExchange>(&*decoded) : nullptr;
  if (answer == nullptr) co_return false;
  failures_[peer.id] = 0;
  last_peer_reply_at_ = RuntimeClock::now();
  ApplyExchange(*answer);
  co_return true;
}

void StateGossip::RecordFailure(const Peer& peer) {
  if (peer.id.empty()) return;
  if (++failures_[peer.id] >= kFailuresUntilUnavailable) {
    directory_.SetPeerUnavailable(peer.id, true);
  }
}

std::size_t StateGossip::AffordableLoadEntries() {
  // The other message of the exchange is about as large.
  constexpr double kMessagesPerExchange = 2;
  const double share =
      budget_.Available(RuntimeClock::now()) / kMessagesPerExchange -
      kExchangeBytes;
  return static_cast<std::size_t>(std::max(0.0, share) / kLoadEntryBytes);
}

StateExchange StateGossip::MakeExchange(std::size_t max_loads) {
  StateExchange exchange;
  exchange.sender = settings_.host_id;
  exchange.config_through = config_.log().state_end();
  exchange.config_version = config_.log().version();
  exchange.is_leaving = is_leaving_;
  const auto& targets = directory_.targets();
  if (targets.empty()) return exchange;
  // Starts where the last exchange ended, so that successive exchanges cover
  // all targets even when the budget allows few entries.
  const std::size_t wanted =
      std::min({max_loads, kMaxLoadEntries, targets.size()});
  auto it = targets.begin();
  std::advance(it, next_load_index_ % targets.size());
  const auto now = RuntimeClock::now();
  std::size_t visited = 0;
  while (visited < targets.size() && exchange.loads.size() < wanted) {
    const auto& [id, target] = *it;
    if (target.load->IsFresh(now, kMaxLoadAge)) {
      const placement::LoadReport report = target.load->report();
      const auto age =
          std::chrono::duration_cast<milliseconds>(now - report.sampled_at);
      exchange.loads.push_back(
          {RunnerHash(id), age, report.queued_tokens, report.running,
           report.prefill_tokens_per_second, target.load->incarnation()});
    }
    ++visited;
    if (++it == targets.end()) it = targets.begin();
  }
  next_load_index_ += static_cast<std::uint32_t>(visited);
  return exchange;
}

std::string StateGossip::Serve(const StateExchange& request,
                               std::size_t bytes) {
  ApplyExchange(request);
  budget_.Spend(static_cast<double>(bytes));
  StateExchange reply = MakeExchange(AffordableLoadEntries());
  AttachConfig(request, reply);
  if (request.wants_full_state) reply.hosts = host_list_json_;
  std::string message = wire::Encode(reply);
  // Checkpoints and host lists are sent rarely, mostly to starting peers. They
  // are not charged to the budget, so that they do not delay exchanges.
  const bool has_full_state = reply.checkpoint || !reply.hosts.empty();
  if (!has_full_state) budget_.Spend(static_cast<double>(message.size()));
  return message;
}

void StateGossip::AttachConfig(const StateExchange& request,
                               StateExchange& reply) const {
  if (!config_.log().has_state()) return;
  if (request.config_through >= config_.log().state_end()) return;
  auto records = config_.RecordsFrom(request.config_through);
  if (records && !request.wants_full_state) {
    reply.records = std::move(*records);
  } else {
    reply.checkpoint = config_.log().MakeCheckpoint();
  }
}

void StateGossip::ApplyExchange(const StateExchange& message) {
  if (!message.sender.empty()) {
    directory_.SetPeerUnavailable(message.sender, message.is_leaving);
  }
  ApplyLoads(message.loads);
  if (message.checkpoint) config_.InstallRelayed(*message.checkpoint);
  config_.ApplyRelayed(message.records);
  if (message.config_through <= config_.log().state_end()) config_.Confirm();
  if (!message.hosts.empty() && !directory_.has_hosts()) {
    auto hosts = platform::ParseHosts(message.hosts);
    if (hosts.ok()) directory_.SetHosts(std::move(hosts.value().hosts));
  }
}

void StateGossip::ApplyLoads(const std::vector<LoadEntry>& loads) {
  const auto now = RuntimeClock::now();
  for (const LoadEntry& entry : loads) {
    const Target* target = directory_.FindByHash(entry.runner_hash);
    if (target == nullptr || entry.age < milliseconds(0)) continue;
    const placement::LoadReport report{entry.queued_tokens, entry.running,
                                       entry.prefill_tokens_per_second,
                                       now - entry.age};
    if (report.sampled_at <= target->load->report().sampled_at) continue;
    target->load->ApplyReport(report);
    if (entry.incarnation != 0) {
      target->load->set_incarnation(entry.incarnation);
    }
  }
}

awaitable<void> StateGossip::AnnounceLeaving() {
  is_leaving_ = true;
  const auto executor = co_await net::asio::this_coro::executor;
  // Concurrent, because many peers may be stopping too and not reply.
  auto outstanding = std::make_shared<std::size_t>(0);
  for (const Peer& peer : OtherRouters()) {
    ++*outstanding;
    net::Spawn(executor, "announce", AnnounceTo(peer.address, outstanding));
  }
  constexpr milliseconds kPollInterval{10};
  const auto deadline = RuntimeClock::now() + kCallTimeout;
  while (*outstanding > 0 && RuntimeClock::now() < deadline) {
    co_await net::Sleep(kPollInterval);
  }
}

awaitable<void> StateGossip::AnnounceTo(
    std::string address, std::shared_ptr<std::size_t> outstanding) {
  const wire::PeerRequest request = MakeExchange(0);
  co_await peers_.Call(std::move(address), wire::Encode(request), kCallTimeout);
  --*outstanding;
}

}  // namespace beryllane::router
