#include "src/fleet/part_quarantine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "fmt/format.h"
#include "src/fleet/placement.h"
#include "src/net/connect_check.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using quarantine::Admission;
using quarantine::Progress;
using quarantine::QuarantineTable;
using quarantine::Suspect;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using telemetry::Level;

// Field names of messages to peers.
constexpr std::string_view kCrashField = "c";
constexpr std::string_view kClearedField = "k";
constexpr std::string_view kVerdictField = "q";

// Where a verdict or its end came from.
constexpr std::string_view kFromCrashes = "crashes";
constexpr std::string_view kFromAnswer = "answer";
constexpr std::string_view kFromPeer = "peer";
constexpr std::string_view kFromStore = "store";
constexpr std::string_view kFromAge = "age";

// The connections of a runner that crashed break within this time.
constexpr milliseconds kBreakSpread{10};
constexpr milliseconds kConnectCheckTimeout{500};
// An answer counts as just begun for this long, and clears its parts once it
// has gone on for longer.
constexpr milliseconds kStartTime{300};
// With this much evidence from earlier crashes, a request is not sent again
// after another one.
constexpr double kUnsafeRepeatWeight = 1.0;
constexpr milliseconds kTick{100};
// Routers write a verdict one after the other, by rank, until one succeeded.
constexpr milliseconds kWriteDelayPerRank{300};
constexpr milliseconds kMaxWriteDelay{3000};
constexpr milliseconds kWriteBackoff{500};

std::string ToKey(std::uint64_t part) { return fmt::format("{:016x}", part); }

std::optional<std::uint64_t> FromKey(const std::string& key) {
  constexpr int kHex = 16;
  std::uint64_t part = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + key.size(), part, kHex);
  if (error != std::errc() || end != key.data() + key.size()) {
    return std::nullopt;
  }
  return part;
}

std::int64_t MillisSince(RuntimeClock::time_point start) {
  return duration_cast<milliseconds>(RuntimeClock::now() - start).count();
}

Progress ProgressOf(const PromptRequest& request) {
  return request.head_at() || request.body_at() ? Progress::kStarting
                                                : Progress::kWaiting;
}

}  // namespace

PromptRequest::PromptRequest(const platform::CallerRequest& request,
                             const net::asio::any_io_executor& executor)
    : quarantined_(executor, RuntimeClock::time_point::max()) {
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
    parts_.push_back(PartKey(request.model, request.parts[i].id));
    part_ids_.push_back(request.parts[i].id);
  }
}

void PromptRequest::OnSent(std::shared_ptr<Runner> runner,
                           RuntimeClock::time_point now) {
  runner_ = std::move(runner);
  sent_at_ = now;
  head_at_.reset();
  body_at_.reset();
  is_cleared_ = false;
}

awaitable<void> PromptRequest::WaitForQuarantine() {
  co_await quarantined_.async_wait(net::kAsTuple);
  Abandon();
}

PartQuarantine::PartQuarantine(net::asio::io_context& loop,
                               platform::StoreClient& store, Fleet& fleet,
                               Peers& peers, std::string host_id,
                               MetricRegistry& metrics)
    : loop_(loop),
      store_(store),
      fleet_(fleet),
      peers_(peers),
      host_id_(std::move(host_id)),
      crashes_(metrics.GetCounter(
          "beryllane_fleet_target_crashes_total",
          "Crashes of targets that broke off answers of this router")),
      convictions_(metrics.GetCounter("beryllane_fleet_quarantines_total",
                                      "Prompt parts that were quarantined")),
      refusals_(metrics.GetCounter(
          "beryllane_fleet_quarantine_refusals_total",
          "Requests refused because of a quarantined prompt part")) {
  metrics.AddCallbackGauge(
      "beryllane_fleet_quarantined_parts", "Prompt parts in quarantine",
      [this] { return static_cast<double>(table_.entries().size()); });
  store_.OnRestore([this] { OnRestore(); });
  peers_.Subscribe(kCrashField, [this](const json& m) { ReceiveCrash(m); });
  peers_.Subscribe(kClearedField, [this](const json& m) { ReceiveCleared(m); });
  peers_.Subscribe(kVerdictField, [this](const json& m) { ReceiveVerdict(m); });
}

void PartQuarantine::OnRestore() {
  next_offset_.reset();
  const auto delay =
      std::min(kMaxWriteDelay, (1 + peers_.Rank()) * kWriteDelayPerRank);
  for (auto& [part, verdict] : verdicts_) {
    verdict.stored_strikes = 0;
    verdict.write_after = RuntimeClock::now() + delay;
  }
}

std::optional<Error> PartQuarantine::Admit(PromptRequest& request) {
  const auto now = RuntimeClock::now();
  int refused_parts = 0;
  std::uint64_t refused_part = 0;
  for (const std::uint64_t part : request.parts()) {
    const Admission admission = table_.Check(part, now);
    if (admission == Admission::kAdmit) continue;
    ++refused_parts;
    refused_part = part;
    if (admission != Admission::kTrialDue || trials_.contains(part)) continue;
    if (!trial_claims_.insert(part).second) continue;
    const int strikes = table_.entries().at(part).strikes + 1;
    net::Spawn(loop_.get_executor(), "claim-trial", ClaimTrial(part, strikes));
  }
  request.is_trial_ = refused_parts == 1 && trials_.erase(refused_part) > 0;
  auto refusal = FindQuarantined(request);
  if (refusal) {
    refusals_.Add();
    return refusal;
  }
  requests_.insert(&request);
  return std::nullopt;
}

std::optional<Error> PartQuarantine::FindQuarantined(
    const PromptRequest& request) const {
  if (request.is_trial() || table_.entries().empty()) return std::nullopt;
  const auto now = RuntimeClock::now();
  for (std::size_t i = 0; i < request.parts().size(); ++i) {
    if (table_.Check(request.parts()[i], now) == Admission::kAdmit) continue;
    return Error{
        ErrorId::kPromptQuarantined,
        fmt::format("prompt part {} crashed targets", request.part_ids_[i]),
        Verdict::kNotRun};
  }
  return std::nullopt;
}

std::chrono::nanoseconds PartQuarantine::TimeToTrial(
    const PromptRequest& request) const {
  const auto now = RuntimeClock::now();
  std::chrono::nanoseconds longest = std::chrono::seconds(1);
  for (const std::uint64_t part : request.parts()) {
    const auto entry = table_.entries().find(part);
    if (entry == table_.entries().end()) continue;
    longest = std::max(longest, entry->second.until - now);
  }
  return longest;
}

void PartQuarantine::OnBroken(const PromptRequest& request) {
  const auto now = RuntimeClock::now();
  auto [pending, is_first] =
      broken_.try_emplace(request.runner_->id_hash, std::vector<Suspect>());
  const bool has_gone_on =
      request.body_at() && now - *request.body_at() > kStartTime;
  for (std::uint32_t depth = 0; depth < request.parts().size(); ++depth) {
    if (has_gone_on) break;
    part_ids_[request.parts()[depth]] = request.part_ids_[depth];
    pending->second.push_back({request.parts()[depth], ProgressOf(request),
                               depth, request.sent_at()});
  }
  if (!is_first) return;
  net::Spawn(loop_.get_executor(), "confirm-crash",
             ConfirmCrash(request.runner_));
}

awaitable<void> PartQuarantine::ConfirmCrash(std::shared_ptr<Runner> runner) {
  const auto broken_at = RuntimeClock::now();
  co_await net::Sleep(kBreakSpread);
  const bool may_check =
      runner->gate->MaySend({SendKind::kConnectionCheck}, RuntimeClock::now());
  bool is_refused = false;
  if (may_check) {
    is_refused = co_await net::IsConnectionRefused(runner->entry.address,
                                                   kConnectCheckTimeout);
  }
  const std::vector<Suspect> suspects =
      std::move(broken_.extract(runner->id_hash).mapped());
  if (!is_refused) co_return;
  crashes_.Add();
  runner->Suspect(RuntimeClock::now());
  const quarantine::CrashedTarget crashed{runner->id_hash,
                                          runner->entry.start_time};
  attribution_.AddCrash(crashed, broken_at, suspects);
  json listed = json::array();
  json logged = json::array();
  for (const Suspect& suspect : suspects) {
    const bool is_starting = suspect.progress == Progress::kStarting;
    listed.push_back({suspect.key, is_starting, suspect.depth,
                      MillisSince(suspect.sent_at)});
    logged.push_back({NameOf(suspect.key), is_starting ? "starting" : "waiting",
                      attribution_.Weight(suspect.key)});
  }
  peers_.Broadcast(kCrashField, {crashed.id, crashed.incarnation,
                                 MillisSince(broken_at), listed});
  telemetry::Log(Level::kWarning, telemetry::event::kTargetCrashed,
                 {{"target", runner->entry.id}, {"suspects", logged}});
  ConvictCulprits();
}

void PartQuarantine::ReceiveCrash(const json& report) {
  const auto now = RuntimeClock::now();
  const quarantine::CrashedTarget target{report.at(0).get<std::uint64_t>(),
                                         report.at(1).get<std::int64_t>()};
  const auto at = now - milliseconds(report.at(2).get<std::int64_t>());
  std::vector<Suspect> suspects;
  for (const json& listed : report.at(3)) {
    const bool is_starting = listed.at(1).get<bool>();
    suspects.push_back({listed.at(0).get<std::uint64_t>(),
                        is_starting ? Progress::kStarting : Progress::kWaiting,
                        listed.at(2).get<std::uint32_t>(),
                        now - milliseconds(listed.at(3).get<std::int64_t>())});
  }
  attribution_.AddCrash(target, at, suspects);
  if (Runner* runner = fleet_.FindByHash(target.id)) {
    if (runner->suspect_until <= now) runner->Suspect(now);
  }
  ConvictCulprits();
}

void PartQuarantine::ConvictCulprits() {
  while (const auto part = attribution_.TakeCulprit(RuntimeClock::now())) {
    const auto known = table_.entries().find(*part);
    const bool is_known = known != table_.entries().end();
    if (!is_known) Convict(*part, 1, kFromCrashes);
  }
}

void PartQuarantine::Convict(std::uint64_t part, int strikes,
                             std::string_view source) {
  const auto now = RuntimeClock::now();
  if (!table_.Set(part, strikes, now)) return;
  convictions_.Add();
  attribution_.AttributeTo(part, now);
  newly_cleared_.erase(part);
  const auto delay =
      std::min(kMaxWriteDelay, peers_.Rank() * kWriteDelayPerRank);
  verdicts_[part].write_after = now + delay;
  int stopped = 0;
  for (PromptRequest* request : requests_) {
    const auto& parts = request->parts();
    const bool has_part =
        std::find(parts.begin(), parts.end(), part) != parts.end();
    if (!has_part || request->body_at() || request->is_trial()) continue;
    request->quarantined_.cancel();
    ++stopped;
  }
  telemetry::Log(Level::kWarning, telemetry::event::kPartQuarantined,
                 {{"part", NameOf(part)},
                  {"source", source},
                  {"strikes", strikes},
                  {"minutes", QuarantineTable::DurationOf(strikes).count()},
                  {"stopped_requests", stopped}});
  const bool is_own = source == kFromCrashes;
  if (is_own) peers_.Broadcast(kVerdictField, {part, strikes});
}

void PartQuarantine::ReceiveVerdict(const json& verdict) {
  Convict(verdict.at(0).get<std::uint64_t>(), verdict.at(1).get<int>(),
          kFromPeer);
}

void PartQuarantine::OnProgress(PromptRequest& request) {
  const auto now = RuntimeClock::now();
  request.OnBody(now);
  if (now - *request.body_at() > kStartTime) ClearParts(request);
}

void PartQuarantine::OnComplete(PromptRequest& request) { ClearParts(request); }

void PartQuarantine::ClearParts(PromptRequest& request) {
  if (request.is_cleared_) return;
  request.is_cleared_ = true;
  if (attribution_.empty() && table_.entries().empty()) return;
  for (const std::uint64_t part : request.parts()) {
    const bool is_news = ClearPart(part, kFromAnswer);
    if (is_news) newly_cleared_.insert(part);
  }
}

bool PartQuarantine::ClearPart(std::uint64_t part, std::string_view source) {
  const bool had_evidence = attribution_.Clear(part, RuntimeClock::now());
  const bool is_quarantined = table_.entries().contains(part);
  if (is_quarantined) Release(part, source);
  return had_evidence || is_quarantined;
}

void PartQuarantine::Release(std::uint64_t part, std::string_view source) {
  if (!table_.Clear(part)) return;
  trials_.erase(part);
  const auto verdict = verdicts_.extract(part);
  const bool is_stored =
      !verdict.empty() && verdict.mapped().stored_strikes > 0;
  const bool is_news = source != kFromStore && source != kFromPeer;
  if (is_stored && is_news) {
    net::Spawn(loop_.get_executor(), "delete-verdict", DeleteVerdict(part));
  }
  telemetry::Log(Level::kInfo, telemetry::event::kPartReleased,
                 {{"part", NameOf(part)}, {"source", source}});
}

void PartQuarantine::ReleaseIdle(RuntimeClock::time_point now) {
  std::vector<std::uint64_t> idle;
  for (const auto& [part, entry] : table_.entries()) {
    const bool is_idle = now - entry.until > QuarantineTable::kMaxDuration;
    if (is_idle && peers_.Rank() == 0) idle.push_back(part);
  }
  for (const std::uint64_t part : idle) Release(part, kFromAge);
}

std::string PartQuarantine::NameOf(std::uint64_t part) const {
  const auto id = part_ids_.find(part);
  return id == part_ids_.end() ? ToKey(part) : id->second;
}

void PartQuarantine::ReceiveCleared(const json& parts) {
  for (const json& part : parts) {
    const auto key = part.get<std::uint64_t>();
    newly_cleared_.erase(key);
    ClearPart(key, kFromPeer);
  }
}

bool PartQuarantine::IsRepeatUnsafe(const PromptRequest& request) const {
  return std::any_of(request.parts().begin(), request.parts().end(),
                     [this](std::uint64_t part) {
                       return attribution_.Weight(part) >= kUnsafeRepeatWeight;
                     });
}

awaitable<void> PartQuarantine::Run() {
  for (;;) {
    co_await net::Sleep(kTick);
    SendCleared();
    const auto now = RuntimeClock::now();
    attribution_.Forget(now);
    ReleaseIdle(now);
    if (attribution_.empty() && table_.entries().empty()) part_ids_.clear();
    std::map<std::uint64_t, int> due;
    for (const auto& [part, entry] : table_.entries()) {
      const StoredVerdict& verdict = verdicts_[part];
      const bool is_due =
          verdict.stored_strikes < entry.strikes && verdict.write_after <= now;
      if (is_due) due[part] = entry.strikes;
    }
    for (const auto& [part, strikes] : due) {
      co_await WriteVerdict(part, strikes);
    }
  }
}

void PartQuarantine::SendCleared() {
  if (newly_cleared_.empty()) return;
  peers_.Broadcast(kClearedField, newly_cleared_);
  newly_cleared_.clear();
}

std::string PartQuarantine::VerdictRecord(std::uint64_t part,
                                          int strikes) const {
  const json record{
      {"strikes", strikes}, {"part", NameOf(part)}, {"host", host_id_}};
  return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

awaitable<void> PartQuarantine::WriteVerdict(std::uint64_t part, int strikes) {
  const std::string value = VerdictRecord(part, strikes);
  const auto appended =
      co_await store_.Append(std::string(platform::kQuarantineTopic),
                             ToKey(part), value, std::nullopt);
  const auto verdict = verdicts_.find(part);
  if (verdict == verdicts_.end()) co_return;
  if (appended.ok()) {
    int& stored = verdict->second.stored_strikes;
    stored = std::max(stored, strikes);
  } else {
    verdict->second.write_after = RuntimeClock::now() + kWriteBackoff;
  }
}

awaitable<void> PartQuarantine::DeleteVerdict(std::uint64_t part) {
  constexpr int kMaxTries = 10;
  for (int i = 0; i < kMaxTries; ++i) {
    const auto appended = co_await store_.Append(
        std::string(platform::kQuarantineTopic), ToKey(part), "", std::nullopt);
    if (appended.ok()) co_return;
    co_await net::Sleep(kWriteBackoff);
  }
}

// The record that grants the trial also extends the quarantine at all routers,
// so that a router that stops after it leaves no gap.
awaitable<void> PartQuarantine::ClaimTrial(std::uint64_t part, int strikes) {
  if (!next_offset_) {
    // A request after the topic has been read claims the trial.
    trial_claims_.erase(part);
    co_return;
  }
  const std::string value = VerdictRecord(part, strikes);
  const auto appended =
      co_await store_.Append(std::string(platform::kQuarantineTopic),
                             ToKey(part), value, next_offset_);
  trial_claims_.erase(part);
  const bool is_granted = appended.ok() && appended.value().is_appended &&
                          table_.entries().contains(part);
  if (is_granted) trials_.insert(part);
}

void PartQuarantine::OnRecord(const platform::KeyedRecord& record) {
  next_offset_ = record.offset + 1;
  const auto part = FromKey(record.key);
  if (!part) return;
  if (record.value.empty()) {
    attribution_.Clear(*part, RuntimeClock::now());
    Release(*part, kFromStore);
    return;
  }
  const json body = json::parse(record.value, nullptr, false);
  const bool is_valid = body.is_object() && body.contains("strikes") &&
                        body["strikes"].is_number_integer() &&
                        body["strikes"] > 0;
  if (!is_valid) {
    telemetry::Log(Level::kWarning, telemetry::event::kRecordIgnored,
                   {{"topic", "quarantine"},
                    {"key", record.key},
                    {"offset", record.offset}});
    return;
  }
  const int strikes = body["strikes"];
  const json id = body.value("part", json());
  if (id.is_string()) part_ids_.try_emplace(*part, id);
  Convict(*part, strikes, kFromStore);
  const auto verdict = verdicts_.find(*part);
  if (verdict != verdicts_.end()) verdict->second.stored_strikes = strikes;
}

void PartQuarantine::OnRecordSet(const platform::RecordPage& page) {
  std::set<std::uint64_t> listed;
  for (const auto& record : page.records) {
    const auto part = FromKey(record.key);
    if (part && !record.value.empty()) listed.insert(*part);
    OnRecord(record);
  }
  std::vector<std::uint64_t> deleted;
  for (const auto& [part, verdict] : verdicts_) {
    const bool is_deleted =
        verdict.stored_strikes > 0 && !listed.contains(part);
    if (is_deleted) deleted.push_back(part);
  }
  for (const std::uint64_t part : deleted) Release(part, kFromStore);
  next_offset_ = page.next;
}

}  // namespace beryllane::fleet
