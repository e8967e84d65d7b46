#include "src/fleet/store_follower.h"

#include <random>
#include <set>
#include <utility>

#include "platform/config_codec.h"
#include "src/fleet/first_sources.h"
#include "src/fleet/part_quarantine.h"
#include "src/fleet/peers.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using telemetry::Level;

// Duration of a long poll for the operator's records. An empty answer proves
// freshness, so this is well below the revocation bound.
constexpr milliseconds kOperatorPollTimeout{700};
// Targets write about once a second each. The interval is well below the time
// in which requests to a leaving target must end.
constexpr milliseconds kTargetReadInterval{700};
// Duration of a long poll for the quarantine's records. Peers announce them as
// well; the poll serves routers that missed an announcement.
constexpr milliseconds kQuarantinePollTimeout{2500};
// Interval of the calls to the zone's reader, which put no load on the store.
constexpr milliseconds kRelayReadInterval{400};
// Interval at which a condition is checked without a call.
constexpr milliseconds kWaitInterval{150};
// Routers of the zone that are asked, one after the other, before the store is.
constexpr int kMaxReaders = 3;
// The zone's reader answers from memory, over the zone's network.
constexpr milliseconds kRelayTimeout{300};
// If the zone's reader has not answered for this long, the store is read
// directly.
constexpr milliseconds kRelayLifetime{1000};
// A proof of freshness ages up to the duration of the reader's long poll; an
// older one shows that the reader has lost the store. Together with the time
// for a direct read it stays well below the bound within which a configuration
// must be in force.
constexpr milliseconds kMaxProofAge{1100};
// The other routers have been heard of by then: several of their batches fit
// in.
constexpr milliseconds kStartTime{2500};
// A router of the zone that starts, too, has read the store within some of
// these intervals.
constexpr milliseconds kFirstReadInterval{50};
// A router of the zone that has started answers from memory. Others may be
// starting at the same time, so waiting longer would delay all of them.
constexpr milliseconds kFirstReadTimeout{150};
// With an older proof the store is read without a wait. A proof that a long
// poll has just given is younger.
constexpr milliseconds kMaxAgeBeforePoll{300};
// If the store fails for longer, entries of live targets may have expired.
constexpr milliseconds kMinOutage{800};
// Live targets are listed again within two seconds of the store's recovery.
constexpr milliseconds kReregistrationTime{2200};

}  // namespace

StoreFollower::StoreFollower(platform::StoreClient& store,
                             wire::PeerClient& relay_client, Fleet& fleet,
                             std::function<void()> on_config,
                             std::function<void()> on_weights)
    : store_(store),
      relay_client_(relay_client),
      fleet_(fleet),
      on_config_(std::move(on_config)),
      on_weights_(std::move(on_weights)),
      backoff_(std::random_device{}()) {
  store_.OnRestore([this] { OnRestore(); });
}

void StoreFollower::OnRestore() {
  operator_next_.reset();
  targets_next_.reset();
  quarantine_next_.reset();
  relayed_at_.reset();
  relay_.SetEra(store_.era().number);
  // Entries that were written since the copy was made are missing until their
  // targets write again.
  reregistration_until_ = RuntimeClock::now() + kReregistrationTime;
}

awaitable<void> StoreFollower::Run() {
  co_await ReadFirst();
  const auto executor = co_await net::asio::this_coro::executor;
  net::SpawnLoop(executor, "store-targets", [this] { return FollowTargets(); });
  net::SpawnLoop(executor, "store-quarantine",
                 [this] { return FollowQuarantine(); });
  net::SpawnLoop(executor, "store-operator",
                 [this] { return FollowOperator(); });
}

awaitable<void> StoreFollower::ReadFirst() {
  if (peers_ == nullptr) co_return;
  const auto is_in_time = [this] {
    return RuntimeClock::now() - started_at_ < kStartTime;
  };
  while (!peers_->is_registered()) {
    if (!is_in_time()) co_return;
    co_await net::Sleep(kFirstReadInterval);
  }
  const std::uint64_t rank = peers_->registration_rank();
  relay_.set_rank(rank);
  FirstSources sources(peers_->earlier_in_zone(), rank);
  while (is_in_time()) {
    const auto source = sources.Next();
    if (!source) co_return;
    const RelayReply reply = co_await ReadFrom(*source, kFirstReadTimeout);
    switch (reply.outcome) {
      case RelayOutcome::kRead:
        first_source_ = source;
        co_return;
      case RelayOutcome::kOutdated:
        break;
      case RelayOutcome::kNoRecords:
        sources.OnNoRecords(reply.rank);
        break;
      case RelayOutcome::kRefused:
        sources.OnRefusal(*source);
        break;
      case RelayOutcome::kNoAnswer:
        sources.OnSilence(*source);
        break;
    }
    co_await net::Sleep(kFirstReadInterval);
  }
}

awaitable<void> StoreFollower::FollowOperator() {
  for (;;) {
    // A router that the store has turned away finds out when it is served
    // again, so that it can read for others.
    if (operator_next_ && IsRelayActive() && is_up_) {
      co_await net::Sleep(kWaitInterval);
      continue;
    }
    const auto sent = RuntimeClock::now();
    if (co_await ReadOperator()) {
      backoff_.OnSuccess();
    } else {
      co_await net::Sleep(backoff_.OnFailure(RuntimeClock::now() - sent));
    }
  }
}

awaitable<bool> StoreFollower::ReadOperator() {
  const auto sent = BootClock::now();
  if (!operator_next_) {
    auto page =
        co_await store_.ReadNewest(std::string(platform::kOperatorTopic));
    if (!page.ok()) {
      SetStoreUp(false, page.error().message);
      co_return false;
    }
    SetStoreUp(true, "");
    ApplyOperatorSet(page.value());
    freshness_.OnReadResponse(sent, false, {});
    // Reads the first list of targets over the open connection: opening another
    // may be slow while many hosts start at once.
    if (!targets_next_) {
      co_await ReadTargets();
    }
    co_return true;
  }
  // Routers that follow this one need a proof before a long poll ends.
  const bool is_fresh =
      freshness_.IsWithin(kMaxAgeBeforePoll, BootClock::now());
  const milliseconds wait = is_fresh ? kOperatorPollTimeout : milliseconds(0);
  auto page = co_await store_.Read(std::string(platform::kOperatorTopic),
                                   *operator_next_, wait);
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
  // A relayed answer may have advanced the offset during this read.
  if (!operator_next_ || read.next < *operator_next_) co_return true;
  for (const auto& record : read.records) ApplyOperator(record);
  relay_.operator_tail().Add(*operator_next_, read);
  operator_next_ = read.next;
  if (!read.reaches_end()) co_return !read.records.empty();
  // An empty answer before the end of the poll does not prove that the store
  // waited.
  const bool has_waited = BootClock::now() - sent >= wait;
  freshness_.OnReadResponse(sent, read.records.empty() && has_waited, wait);
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
    const auto proof_age = freshness_.Age(BootClock::now());
    if (!fleet_.SetDesiredWeights(*weights, freshness_.complete_until())) {
      return;
    }
    telemetry::Log(
        Level::kInfo, telemetry::event::kWeightsNamed,
        {{"model", weights->model},
         {"version", weights->version},
         {"offset", record.offset},
         {"named_within_ms",
          proof_age
              ? std::chrono::duration_cast<milliseconds>(*proof_age).count()
              : -1}});
    on_weights_();
  }
}

awaitable<void> StoreFollower::FollowTargets() {
  for (;;) {
    const bool is_relayed = co_await ReadFromRelay();
    // While the store is down, the calls for the operator's records show its
    // return.
    bool ok = is_relayed;
    if (!is_relayed && !IsRelayActive() && is_up_) {
      ok = co_await ReadTargets();
    }
    const auto now = RuntimeClock::now();
    if (!ok && !targets_failing_since_) targets_failing_since_ = now;
    if (ok && targets_failing_since_) {
      if (now - *targets_failing_since_ > kMinOutage) {
        reregistration_until_ = now + kReregistrationTime;
      }
      targets_failing_since_.reset();
    }
    RemoveDueTargets();
    if (ok) fleet_.OnListRead();
    const milliseconds interval =
        is_relayed ? kRelayReadInterval : kTargetReadInterval;
    co_await net::Sleep(ok ? interval : kWaitInterval);
  }
}

awaitable<bool> StoreFollower::ReadTargets() {
  if (!targets_next_) {
    auto page = co_await store_.ReadNewest(std::string(platform::kTargetTopic),
                                           platform::ListScope::kReadable);
    if (!page.ok()) co_return false;
    ApplyTargetSet(page.value());
    co_return true;
  }
  auto page = co_await store_.Read(std::string(platform::kTargetTopic),
                                   *targets_next_, milliseconds(0));
  if (!page.ok()) co_return false;
  if (!page.value()) {
    targets_next_.reset();
    co_return co_await ReadTargets();
  }
  // The page that ends an outage may already contain the removals.
  if (targets_failing_since_ &&
      RuntimeClock::now() - *targets_failing_since_ > kMinOutage) {
    reregistration_until_ = RuntimeClock::now() + kReregistrationTime;
  }
  for (const auto& record : page.value()->records) ApplyTarget(record);
  relay_.targets_tail().Add(*targets_next_, *page.value());
  targets_next_ = page.value()->next;
  if (page.value()->reaches_end()) co_return true;
  // Until the rest is read, the list may lack targets and show some that left.
  if (page.value()->records.empty()) co_return false;
  co_return co_await ReadTargets();
}

awaitable<void> StoreFollower::FollowQuarantine() {
  for (;;) {
    const bool is_followed = quarantine_next_ && IsRelayActive();
    bool has_read = false;
    if (!is_followed && is_up_) {
      has_read = co_await ReadQuarantine();
    }
    if (!has_read) {
      co_await net::Sleep(kWaitInterval);
    }
  }
}

awaitable<bool> StoreFollower::ReadQuarantine() {
  const std::string topic(platform::kQuarantineTopic);
  if (!quarantine_next_) {
    auto page = co_await store_.ReadNewest(topic);
    if (!page.ok()) co_return false;
    ApplyQuarantineSet(page.value());
    co_return true;
  }
  const std::uint64_t from = *quarantine_next_;
  auto page = co_await store_.Read(topic, from, kQuarantinePollTimeout);
  if (!page.ok()) co_return false;
  if (!page.value()) {
    quarantine_next_.reset();
    co_return true;
  }
  // A relayed answer may have advanced the offset during this read.
  if (from == *quarantine_next_) ApplyQuarantine(*page.value());
  co_return true;
}

void StoreFollower::ApplyQuarantine(const platform::RecordPage& page) {
  for (const auto& record : page.records) quarantine_->OnRecord(record);
  relay_.quarantine_tail().Add(*quarantine_next_, page);
  quarantine_next_ = page.next;
}

bool StoreFollower::IsRelayActive() const {
  return relayed_at_ && RuntimeClock::now() - *relayed_at_ < kRelayLifetime;
}

std::optional<std::string> StoreFollower::Reader() const {
  auto reader = peers_->ZoneReader(is_up_);
  const bool is_starting = RuntimeClock::now() - started_at_ < kStartTime;
  return reader || !is_starting ? reader : first_source_;
}

awaitable<bool> StoreFollower::ReadFromRelay() {
  const bool has_read_all = operator_next_ && targets_next_ && quarantine_next_;
  if (peers_ == nullptr || !has_read_all) co_return false;
  // The router that follows a lost reader in the order becomes the reader, and
  // has read what it relays until then.
  for (int i = 0; i < kMaxReaders; ++i) {
    const auto reader = Reader();
    if (!reader) break;
    const RelayReply reply = co_await ReadFrom(*reader, kRelayTimeout);
    if (reply.outcome == RelayOutcome::kRead) co_return true;
    // A router that has just become the reader has its first proof soon.
    const bool is_outdated = reply.outcome == RelayOutcome::kOutdated;
    if (is_outdated && IsRelayActive()) co_return false;
    peers_->ExcludeReader(*reader);
    if (reader == first_source_) first_source_.reset();
  }
  relayed_at_.reset();
  co_return false;
}

awaitable<StoreFollower::RelayReply> StoreFollower::ReadFrom(
    std::string relay, milliseconds timeout) {
  const auto sent = BootClock::now();
  const RelayRequest request{operator_next_, targets_next_, quarantine_next_,
                             store_.era().number};
  auto reply = co_await relay_client_.Call(relay, Encode(request), timeout);
  if (!reply.ok()) co_return RelayReply{RelayOutcome::kNoAnswer, std::nullopt};
  if (const auto none = DecodeNoRecords(reply.value())) {
    co_return RelayReply{RelayOutcome::kNoRecords, none->rank};
  }
  const auto answer = DecodeRelayAnswer(reply.value());
  const bool is_useful = answer && answer->proof_age >= milliseconds(0) &&
                         answer->era == store_.era().number;
  RelayReply outcome{RelayOutcome::kRefused, std::nullopt};
  if (is_useful && answer->proof_age > kMaxProofAge) {
    outcome.outcome = RelayOutcome::kOutdated;
  } else if (is_useful) {
    // Records that are not applied prove nothing.
    const bool is_applied = request.operator_next == operator_next_;
    ApplyRelayed(request, *answer);
    // The reader determined the age of its proof after the request was sent.
    if (is_applied) {
      freshness_.OnReadResponse(sent - answer->proof_age, false, {});
    }
    relayed_at_ = RuntimeClock::now();
    outcome.outcome = RelayOutcome::kRead;
  }
  co_return outcome;
}

// An offset that has changed since the request was sent belongs to newer
// records than the answer's.
void StoreFollower::ApplyRelayed(const RelayRequest& request,
                                 const RelayAnswer& answer) {
  if (request.operator_next == operator_next_) {
    if (operator_next_) {
      for (const auto& record : answer.operator_page.records) {
        ApplyOperator(record);
      }
      relay_.operator_tail().Add(*operator_next_, answer.operator_page);
      operator_next_ = answer.operator_page.next;
    } else {
      ApplyOperatorSet(answer.operator_page);
    }
  }
  if (request.targets_next == targets_next_) {
    if (targets_next_) {
      for (const auto& record : answer.targets_page.records) {
        ApplyTarget(record);
      }
      relay_.targets_tail().Add(*targets_next_, answer.targets_page);
      targets_next_ = answer.targets_page.next;
    } else {
      ApplyTargetSet(answer.targets_page);
    }
  }
  if (request.quarantine_next == quarantine_next_) {
    if (quarantine_next_) {
      ApplyQuarantine(answer.quarantine_page);
    } else {
      ApplyQuarantineSet(answer.quarantine_page);
    }
  }
}

bool StoreFollower::ApplyTarget(const platform::KeyedRecord& record) {
  if (record.value.empty()) {
    RemoveTarget(record.key);
    return false;
  }
  auto entry = platform::DecodeTarget(record.key, record.value);
  if (!entry.ok()) {
    ++ignored_targets_;
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "targets"},
                    {"key", record.key},
                    {"offset", record.offset},
                    {"message", entry.error().message}});
    return false;
  }
  deferred_removals_.erase(record.key);
  const auto known = fleet_.targets().find(record.key);
  const bool is_change =
      known == fleet_.targets().end() ||
      known->second->entry.start_time != entry.value().start_time ||
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
  return true;
}

void StoreFollower::ApplyOperatorSet(const platform::RecordPage& page) {
  for (const auto& record : page.records) ApplyOperator(record);
  operator_next_ = page.next;
  relay_.SetEra(store_.era().number);
  relay_.operator_tail().Reset(page);
}

void StoreFollower::ApplyQuarantineSet(const platform::RecordPage& page) {
  quarantine_->OnRecordSet(page);
  quarantine_next_ = page.next;
  relay_.SetEra(store_.era().number);
  relay_.quarantine_tail().Reset(page);
}

void StoreFollower::ApplyTargetSet(const platform::RecordPage& page) {
  std::set<std::string> listed;
  for (const auto& record : page.records) {
    const bool is_used = ApplyTarget(record);
    if (is_used || !record.value.empty()) listed.insert(record.key);
    // A target whose entry another writer replaced writes again if it lives.
    if (!is_used && fleet_.targets().contains(record.key)) {
      deferred_removals_.try_emplace(record.key,
                                     RuntimeClock::now() + kReregistrationTime);
    }
  }
  // Live targets that are not listed write again soon after the list was read.
  if (!page.is_whole) {
    reregistration_until_ = RuntimeClock::now() + kReregistrationTime;
  }
  std::vector<std::string> missing;
  for (const auto& [id, runner] : fleet_.targets()) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) RemoveTarget(id);
  targets_next_ = page.next;
  relay_.SetEra(store_.era().number);
  if (page.is_whole) {
    relay_.targets_tail().Reset(page);
  } else {
    relay_.targets_tail().Clear();
  }
  has_targets_ = true;
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
                   {{"target", it->first},
                    {"reason", "not registered again after a store outage"}});
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
