#include "src/fleet/store_follower.h"

#include <set>
#include <utility>

#include "platform/config_codec.h"
#include "src/fleet/peers.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using telemetry::Level;

// Time that a read of the operator's records waits for a change. Its empty
// answer is what proves freshness, so it is well under the revocation bound.
constexpr milliseconds kOperatorWait{700};
// Targets write about once a second each; a reader sees changes at this pace,
// well under the time in which a leaving target must get no more requests.
constexpr milliseconds kTargetPace{700};
// Pace of the calls to the reader of the zone, which cost nothing.
constexpr milliseconds kRelayPace{400};
constexpr milliseconds kRetryPause{150};
// A reader answers from memory, within the zone.
constexpr milliseconds kRelayPatience{300};
// Without an answer for this long, the store is read again.
constexpr milliseconds kRelayLife{1000};
// A reader's proof ages up to the wait of its read; an older one shows that
// the reader has lost the store. Together with the time to read the store
// instead, it stays well under the bound in which a configuration must be in
// force.
constexpr milliseconds kOldestProof{1100};
// A store that fails for longer may have let entries of living targets lapse.
constexpr milliseconds kOutage{800};
// Living targets are back on the list within two seconds of its return.
constexpr milliseconds kReturnTime{2200};

}  // namespace

StoreFollower::StoreFollower(platform::StoreClient& store,
                             wire::PeerClient& relay_client, Fleet& fleet,
                             std::function<void()> on_config,
                             std::function<void()> on_weights)
    : store_(store),
      relay_client_(relay_client),
      fleet_(fleet),
      on_config_(std::move(on_config)),
      on_weights_(std::move(on_weights)) {}

awaitable<void> StoreFollower::FollowOperator() {
  for (;;) {
    if (operator_next_ && IsRelayActive()) {
      co_await net::Sleep(kRetryPause);
      continue;
    }
    const bool ok = co_await ReadOperator();
    if (!ok) {
      co_await net::Sleep(kRetryPause);
    }
  }
}

awaitable<bool> StoreFollower::ReadOperator() {
  const auto sent = BootClock::now();
  if (!operator_next_) {
    auto page = co_await store_.Newest(std::string(platform::kOperatorTopic));
    if (!page.ok()) {
      SetStoreUp(false, page.error().message);
      co_return false;
    }
    SetStoreUp(true, "");
    for (const auto& record : page.value().records) ApplyOperator(record);
    operator_next_ = page.value().next;
    relay_.operator_tail().Add(*operator_next_, {{}, *operator_next_});
    freshness_.OnAnswer(sent, false, {});
    // The first list of targets is read over the connection that is open, as
    // new ones may be slow while many hosts start at once.
    if (!targets_next_) {
      co_await ReadTargets();
    }
    co_return true;
  }
  auto page = co_await store_.Read(std::string(platform::kOperatorTopic),
                                   *operator_next_, kOperatorWait);
  if (!page.ok()) {
    SetStoreUp(false, page.error().message);
    co_return false;
  }
  SetStoreUp(true, "");
  if (!page.value()) {
    operator_next_.reset();
    co_return true;
  }
  const platform::RecordPage& read = *page.value();
  // A relayed answer may have overtaken this read.
  if (read.next < operator_next_) co_return true;
  for (const auto& record : read.records) ApplyOperator(record);
  relay_.operator_tail().Add(*operator_next_, read);
  operator_next_ = read.next;
  // An answer that came early and empty proves no waiting.
  const bool has_waited = BootClock::now() - sent >= kOperatorWait;
  freshness_.OnAnswer(sent, read.records.empty() && has_waited, kOperatorWait);
  co_return true;
}

void StoreFollower::ApplyOperator(const platform::KeyedRecord& record) {
  auto decoded = platform::DecodeOperatorRecord(record.key, record.value);
  if (!decoded.ok()) {
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "operator"},
                    {"key", record.key},
                    {"offset", record.offset},
                    {"message", decoded.error().message}});
    return;
  }
  if (auto* config = std::get_if<FleetConfig>(&decoded.value())) {
    const std::uint64_t version = config->version;
    if (!fleet_.SetConfig(std::move(*config))) return;
    telemetry::Log(Level::kInfo, telemetry::event::kConfigInForce,
                   {{"version", version}, {"offset", record.offset}});
    on_config_();
  } else if (auto* weights = std::get_if<DesiredWeights>(&decoded.value())) {
    const bool is_first_read = !freshness_.Age(BootClock::now());
    if (!fleet_.SetDesiredWeights(*weights, is_first_read)) return;
    telemetry::Log(Level::kInfo, telemetry::event::kWeightsNamed,
                   {{"model", weights->model},
                    {"version", weights->version},
                    {"offset", record.offset}});
    on_weights_();
  }
}

awaitable<void> StoreFollower::FollowTargets() {
  for (;;) {
    const bool is_relayed = co_await ReadFromRelay();
    const bool ok = is_relayed || co_await ReadTargets();
    const auto now = RuntimeClock::now();
    if (!ok && !targets_failing_since_) targets_failing_since_ = now;
    if (ok && targets_failing_since_) {
      if (now - *targets_failing_since_ > kOutage) {
        reregistration_until_ = now + kReturnTime;
      }
      targets_failing_since_.reset();
    }
    RemoveDueTargets();
    const milliseconds pace = is_relayed ? kRelayPace : kTargetPace;
    co_await net::Sleep(ok ? pace : kRetryPause);
  }
}

awaitable<bool> StoreFollower::ReadTargets() {
  if (!targets_next_) {
    auto page = co_await store_.Newest(std::string(platform::kTargetTopic));
    if (!page.ok()) co_return false;
    ApplyTargetSet(page.value());
    targets_next_ = page.value().next;
    relay_.targets_tail().Add(*targets_next_, {{}, *targets_next_});
    has_targets_ = true;
    co_return true;
  }
  auto page = co_await store_.Read(std::string(platform::kTargetTopic),
                                   *targets_next_, milliseconds(0));
  if (!page.ok()) co_return false;
  if (!page.value()) {
    targets_next_.reset();
    co_return co_await ReadTargets();
  }
  // A removal that comes right after an outage is seen in the same page.
  if (targets_failing_since_ &&
      RuntimeClock::now() - *targets_failing_since_ > kOutage) {
    reregistration_until_ = RuntimeClock::now() + kReturnTime;
  }
  for (const auto& record : page.value()->records) ApplyTarget(record);
  relay_.targets_tail().Add(*targets_next_, *page.value());
  targets_next_ = page.value()->next;
  co_return true;
}

bool StoreFollower::IsRelayActive() const {
  return relayed_at_ && RuntimeClock::now() - *relayed_at_ < kRelayLife;
}

awaitable<bool> StoreFollower::ReadFromRelay() {
  if (peers_ == nullptr || !operator_next_ || !targets_next_) {
    co_return false;
  }
  const auto reader = peers_->ZoneReader();
  if (!reader) co_return false;
  const auto sent = BootClock::now();
  const RelayRequest request{*operator_next_, *targets_next_};
  auto reply =
      co_await relay_client_.Call(*reader, Encode(request), kRelayPatience);
  std::optional<RelayAnswer> answer;
  if (reply.ok()) answer = DecodeRelayAnswer(reply.value());
  const bool is_useful = answer && answer->proof_age >= milliseconds(0) &&
                         answer->proof_age < kOldestProof;
  if (!is_useful) {
    peers_->ExcludeReader(*reader);
    relayed_at_.reset();
    co_return false;
  }
  if (answer->operator_page.next >= *operator_next_) {
    for (const auto& record : answer->operator_page.records) {
      ApplyOperator(record);
    }
    relay_.operator_tail().Add(request.operator_next, answer->operator_page);
    operator_next_ = answer->operator_page.next;
  }
  for (const auto& record : answer->targets_page.records) ApplyTarget(record);
  relay_.targets_tail().Add(request.targets_next, answer->targets_page);
  targets_next_ = answer->targets_page.next;
  // The reader knew its proof's age no earlier than the question was sent.
  freshness_.OnAnswer(sent - answer->proof_age, false, {});
  relayed_at_ = RuntimeClock::now();
  co_return true;
}

void StoreFollower::ApplyTarget(const platform::KeyedRecord& record) {
  if (record.value.empty()) {
    RemoveTarget(record.key);
    return;
  }
  auto entry = platform::DecodeTarget(record.key, record.value);
  if (!entry.ok()) {
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "targets"},
                    {"key", record.key},
                    {"offset", record.offset},
                    {"message", entry.error().message}});
    return;
  }
  deferred_removals_.erase(record.key);
  const auto known = fleet_.targets().find(record.key);
  const bool is_change =
      known == fleet_.targets().end() ||
      known->second->entry.born != entry.value().born ||
      known->second->entry.is_draining != entry.value().is_draining;
  if (is_change) {
    telemetry::Log(Level::kInfo, telemetry::event::kTargetChanged,
                   {{"target", record.key},
                    {"address", net::ToString(entry.value().address)},
                    {"service", entry.value().service},
                    {"state", entry.value().is_draining ? "draining" : "ready"},
                    {"offset", record.offset}});
  }
  fleet_.SetTarget(std::move(entry.value()));
}

void StoreFollower::ApplyTargetSet(const platform::RecordPage& page) {
  std::set<std::string> listed;
  for (const auto& record : page.records) {
    if (!record.value.empty()) listed.insert(record.key);
    ApplyTarget(record);
  }
  std::vector<std::string> missing;
  for (const auto& [id, runner] : fleet_.targets()) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) RemoveTarget(id);
}

void StoreFollower::RemoveTarget(const std::string& id) {
  if (!fleet_.targets().contains(id)) return;
  if (RuntimeClock::now() < reregistration_until_) {
    deferred_removals_.try_emplace(id, reregistration_until_);
    return;
  }
  telemetry::Log(Level::kInfo, telemetry::event::kTargetGone, {{"target", id}});
  fleet_.RemoveTarget(id);
}

void StoreFollower::RemoveDueTargets() {
  const auto now = RuntimeClock::now();
  for (auto it = deferred_removals_.begin(); it != deferred_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    telemetry::Log(Level::kInfo, telemetry::event::kTargetGone,
                   {{"target", it->first}, {"reason", "still missing"}});
    fleet_.RemoveTarget(it->first);
    it = deferred_removals_.erase(it);
  }
}

void StoreFollower::SetStoreUp(bool is_up, const std::string& message) {
  if (is_up == is_up_) return;
  is_up_ = is_up;
  relay_.set_is_store_up(is_up);
  const auto age = freshness_.Age(BootClock::now());
  telemetry::Log(
      is_up ? Level::kInfo : Level::kWarning,
      is_up ? telemetry::event::kStoreUp : telemetry::event::kStoreDown,
      {{"message", message},
       {"proof_age_ms",
        age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1}});
}

}  // namespace beryllane::fleet
