#include "src/router/claim_gateway.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <utility>

#include "src/telemetry/trace.h"

namespace beryllane::router {
namespace {

using claim::ClaimAnswer;
using claim::ClaimEntry;
using claim::ClaimOptions;
using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{20};
constexpr milliseconds kUpdateTimeout{1000};
// The partition's owner gets half of the time left for a claim. The other half
// is for a local claim if the owner does not reply.
constexpr int kOwnerTimeoutDivisor = 2;

// Keys are refused once they are older than a quarter of the log's retention.
// The rest of the retention covers clock error, paused processes and replay.
ClaimOptions MakeClaimOptions(milliseconds retention) {
  constexpr int kRetentionDivisor = 4;
  ClaimOptions options;
  options.bounds.max_age = retention / kRetentionDivisor;
  options.bounds.max_skew = std::min<milliseconds>(
      options.bounds.max_skew, retention / kRetentionDivisor);
  options.claim_retention = options.bounds.max_age + options.bounds.max_skew +
                            retention / kRetentionDivisor;
  return options;
}

}  // namespace

ClaimGateway::ClaimGateway(net::HttpClient& client, net::asio::io_context& loop,
                           const Settings& settings, const Directory& directory,
                           wire::PeerClient& peers, MetricRegistry& metrics)
    : client_(client),
      loop_(loop),
      log_service_(settings.log_service),
      host_id_(settings.host_id),
      directory_(directory),
      peers_(peers),
      metrics_(metrics),
      options_(MakeClaimOptions(settings.log_retention)),
      local_claims_(metrics.GetCounter("beryllane_claims_total",
                                       "Claims by where they were served",
                                       {{"served", "here"}})),
      remote_claims_(metrics.GetCounter("beryllane_claims_total",
                                        "Claims by where they were served",
                                        {{"served", "peer"}})),
      peer_failures_(metrics.GetCounter(
          "beryllane_claim_peer_failures_total",
          "Claims that the partition's router did not answer")),
      keys_(metrics.GetGauge("beryllane_claim_keys",
                             "Keys held by partitions here")) {}

Hash128 NewAttemptId() {
  return {telemetry::RandomId(), telemetry::RandomId()};
}

claim::ClaimPartition& ClaimGateway::GetOrCreatePartition(std::uint32_t index) {
  LocalPartition& local = local_partitions_[index];
  if (!local.partition) {
    local.stream = std::make_unique<platform::HttpLogStream>(
        client_, loop_, log_service_, "claims-" + std::to_string(index),
        metrics_, platform::LogClientOptions{});
    local.partition =
        std::make_unique<claim::ClaimPartition>(*local.stream, options_);
  }
  return *local.partition;
}

std::string ClaimGateway::OwnerAddress(std::uint32_t index) const {
  const auto state = directory_.state_cell().Load();
  const Hash128 key = HashBytes("claims-" + std::to_string(index));
  const Peer* owner = OwnerOf(*state, key);
  if (owner == nullptr || owner->id == host_id_) return "";
  return owner->address;
}

awaitable<ClaimGateway::ClaimResult> ClaimGateway::Claim(
    ClaimEntry entry, milliseconds time_left) {
  const std::uint32_t partition = PartitionOf(entry.key);
  const auto deadline = RuntimeClock::now() + time_left;
  const std::string owner = OwnerAddress(partition);
  if (owner.empty()) {
    local_claims_.Add();
    ClaimAnswer answer = co_await ClaimLocally(entry, deadline);
    co_return ClaimResult{std::move(answer), entry.id};
  }
  remote_claims_.Add();
  const milliseconds owner_timeout = time_left / kOwnerTimeoutDivisor;
  wire::ClaimRequest request;
  request.partition = partition;
  request.entry = entry;
  request.time_left = owner_timeout;
  const auto reply =
      co_await peers_.Call(owner, wire::Encode(request), owner_timeout);
  if (reply.ok()) {
    auto answer = wire::DecodeClaimAnswer(reply.value());
    if (answer) co_return ClaimResult{std::move(*answer), entry.id};
  }
  peer_failures_.Add();
  // The owner may have logged the claim under this id and may withdraw it at
  // any time, so nothing may be sent to a target under this id. Withdraw the
  // id, then claim under a new one; the log must hold them in this order.
  ApplyLocally(claim::WithdrawalEntry{entry.key, entry.id});
  entry.id = NewAttemptId();
  ClaimAnswer answer = co_await ClaimLocally(entry, deadline);
  co_return ClaimResult{std::move(answer), entry.id};
}

awaitable<ClaimAnswer> ClaimGateway::ClaimLocally(
    ClaimEntry entry, RuntimeClock::time_point deadline) {
  auto initiate = [this, entry, deadline](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    GetOrCreatePartition(PartitionOf(entry.key))
        .Claim(entry, deadline,
               [shared](ClaimAnswer answer) { (*shared)(std::move(answer)); });
  };
  auto answer =
      co_await net::asio::async_initiate<decltype(net::asio::use_awaitable),
                                         void(ClaimAnswer)>(
          std::move(initiate), net::asio::use_awaitable);
  co_return answer;
}

awaitable<void> ClaimGateway::Update(claim::Entry entry) {
  const Hash128 key = std::visit([](const auto& e) { return e.key; }, entry);
  const std::string owner = OwnerAddress(PartitionOf(key));
  if (!owner.empty()) {
    const wire::PeerRequest request =
        wire::ClaimUpdate{PartitionOf(key), entry};
    const auto reply =
        co_await peers_.Call(owner, wire::Encode(request), kUpdateTimeout);
    if (reply.ok()) co_return;
    peer_failures_.Add();
  }
  ApplyLocally(std::move(entry));
}

void ClaimGateway::ApplyLocally(claim::Entry entry) {
  const Hash128 key = std::visit([](const auto& e) { return e.key; }, entry);
  claim::ClaimPartition& partition = GetOrCreatePartition(PartitionOf(key));
  if (auto* outcome = std::get_if<claim::OutcomeEntry>(&entry)) {
    partition.RecordOutcome(std::move(*outcome));
  } else if (const auto* withdrawn =
                 std::get_if<claim::WithdrawalEntry>(&entry)) {
    partition.Withdraw(withdrawn->key, withdrawn->id);
  }
}

void ClaimGateway::ServeClaim(const wire::ClaimRequest& request,
                              wire::ReplyFunction reply) {
  // Not checked for ownership: a peer that sees other live routers may choose
  // another owner, and any number of routers may serve one partition.
  const auto deadline = RuntimeClock::now() + request.time_left;
  GetOrCreatePartition(PartitionOf(request.entry.key))
      .Claim(request.entry, deadline,
             [reply = std::move(reply)](const ClaimAnswer& answer) {
               reply(wire::Encode(answer));
             });
}

void ClaimGateway::ServeUpdate(const wire::ClaimUpdate& update,
                               const wire::ReplyFunction& reply) {
  ApplyLocally(update.entry);
  reply("ok");
}

awaitable<void> ClaimGateway::Run() {
  for (;;) {
    co_await net::Sleep(kTickInterval);
    std::size_t keys = 0;
    for (LocalPartition& local : local_partitions_) {
      if (!local.partition) continue;
      local.partition->Tick();
      keys += local.partition->size();
    }
    keys_.Set(static_cast<std::int64_t>(keys));
  }
}

bool ClaimGateway::is_idle() const {
  return std::all_of(local_partitions_.begin(), local_partitions_.end(),
                     [](const LocalPartition& local) {
                       return !local.partition || local.partition->is_idle();
                     });
}

}  // namespace beryllane::router
