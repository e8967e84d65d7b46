#include "src/fleet/runner_protocol.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"
#include "src/fleet/pause_record.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using exchange::Classification;
using exchange::Target;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Millis = std::chrono::duration<double, std::milli>;

constexpr int kMultipleChoices = 300;
constexpr int kServerErrors = 500;
// Connecting to another region takes less than 100 ms.
constexpr milliseconds kConnectTimeout{400};
// Targets state their idle timeout in whole seconds, and nothing if it is below
// one second.
constexpr milliseconds kUnstatedIdleLimit{500};
// A target that sent anything this recently is considered reachable.
constexpr milliseconds kReachabilityLifetime{1000};
// A target that loads new weights refuses requests for about this long.
constexpr milliseconds kSwitchBackoff{400};
// A target that is full frees a slot within about this time.
constexpr milliseconds kFullBackoff{150};

// Ids of the prompt parts that other requests may share.
std::string SharedPartIds(const platform::CallerRequest& request) {
  std::string ids;
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
    if (i > 0) ids += ',';
    ids += request.parts[i].id;
  }
  return ids;
}

// Whether the router lacked what a connection needs, so that nothing was sent.
bool IsOwnShortage(const Error& error) {
  return error.id == ErrorId::kOverloaded && error.verdict == Verdict::kNotRun;
}

// Whether callers take this status as a promise that the request has not run
// and will not. They may then send a request again that may run only once.
// 421, which promises the same, is a proof by itself.
bool PromisesNoRun(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return status == kRequestTimeout || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

// Time since `start` in milliseconds; -1 if there is none.
std::int64_t MillisSince(std::optional<RuntimeClock::time_point> start) {
  if (!start) return -1;
  return duration_cast<milliseconds>(RuntimeClock::now() - *start).count();
}

}  // namespace

int UrgencyOf(const Route& route, const Account* account) {
  // The least urgent value that still precedes requests without an urgency.
  constexpr int kLast = 4;
  const bool has_own = account != nullptr && account->priority.has_value();
  const int priority = has_own ? *account->priority : route.priority;
  return std::clamp(priority, 0, kLast);
}

FleetMetrics::FleetMetrics(MetricRegistry& registry)
    : requests(registry.GetCounter("beryllane_fleet_requests_total",
                                   "Requests of callers that were routed")),
      answered(registry.GetCounter("beryllane_fleet_answered_total",
                                   "Requests whose target's answer was sent")),
      refused(registry.GetCounter("beryllane_fleet_refused_total",
                                  "Requests refused as not run")),
      shed(registry.GetCounter(
          "beryllane_fleet_shed_total",
          "Requests refused unread because the loop was overloaded")),
      failed(registry.GetCounter("beryllane_fleet_failed_total",
                                 "Requests that failed and may have run")),
      caller_gone(
          registry.GetCounter("beryllane_fleet_caller_gone_total",
                              "Requests whose caller closed its connection")),
      attempts(registry.GetCounter("beryllane_fleet_attempts_total",
                                   "Requests sent to targets")),
      repeats(registry.GetCounter(
          "beryllane_fleet_repeats_total",
          "Requests sent to another target after a failure")),
      budget_spent(registry.GetCounter(
          "beryllane_fleet_budget_spent_total",
          "Repeats not made because the retry budget was spent")),
      placed_elsewhere(registry.GetCounter(
          "beryllane_fleet_placed_elsewhere_total",
          "Requests placed anew because their target was closed to them "
          "before they were sent")),
      pause_avoided(registry.GetCounter(
          "beryllane_fleet_pause_avoided_total",
          "Paused targets that placed requests passed over")),
      foreign_answers(
          registry.GetCounter("beryllane_fleet_foreign_answers_total",
                              "Answers that belonged to another request")),
      unproven_refusals(registry.GetCounter(
          "beryllane_fleet_unproven_refusals_total",
          "Refusals that may have belonged to another request")),
      unproven_promises(registry.GetCounter(
          "beryllane_fleet_unproven_promises_total",
          "Failures replaced because their status would have promised, "
          "without a proof, that the request had not run")),
      older_weights_runs(registry.GetCounter(
          "beryllane_fleet_older_weights_runs_total",
          "Runs that began on weights older than the desired ones")),
      withdrawn(registry.GetCounter(
          "beryllane_fleet_withdrawn_total",
          "Requests withdrawn from targets because the run had not begun "
          "before newer weights had to be used")),
      older_weights_lag(registry.GetHistogram(
          "beryllane_fleet_older_weights_lag_seconds",
          "Time since newer weights were read, for runs on older weights")),
      first_byte(registry.GetHistogram("beryllane_fleet_first_byte_seconds",
                                       "Time to the head of the answer")),
      choice(registry.GetHistogram("beryllane_fleet_choice_seconds",
                                   "Time to choose a target")) {}

milliseconds RoutedRequest::TimeLeft() const {
  const auto left = duration_cast<milliseconds>(deadline - RuntimeClock::now());
  return std::max(milliseconds(0), left);
}

RunnerProtocol::RunnerProtocol(Fleet& fleet, Peers& peers,
                               PartQuarantine& quarantine,
                               const PlacementSettings& settings,
                               FleetMetrics& metrics,
                               const net::Request& received,
                               RoutedRequest& routed, PromptRequest& prompt)
    : fleet_(fleet),
      peers_(peers),
      quarantine_(quarantine),
      placement_settings_(settings),
      metrics_(metrics),
      caller_request_(received),
      routed_(routed),
      prompt_(prompt) {
  if (routed.service->engine) {
    // The memory that a request occupies is what a busy runner lacks first.
    is_large_ = fleet_.AddWork(
        routed.service->name,
        routed.request.prompt_tokens + routed.request.expected_output_tokens);
  }
  if (routed.route->is_stream && IsIdempotent()) {
    relay_.emplace(routed.request.last_event_id);
  }
}

RunnerProtocol::~RunnerProtocol() { ReleaseLoad(); }

void RunnerProtocol::EndWait() {
  if (is_waiting_) choice_.runner->start_wait.OnEnded(prompt_.sent_at());
  is_waiting_ = false;
}

void RunnerProtocol::ReleaseLoad() {
  EndWait();
  if (!is_load_counted_) return;
  is_load_counted_ = false;
  --choice_.runner->own_running;
  choice_.runner->own_pending_prefill_tokens -= choice_.uncached_tokens;
  choice_.uncached_tokens = 0;
}

std::optional<Error> RunnerProtocol::FindObstacle() const {
  if (auto refusal = quarantine_.FindQuarantined(prompt_)) return refusal;
  return FindPlacementObstacle(fleet_, placement_settings_, Input(),
                               RuntimeClock::now());
}

PlacementInput RunnerProtocol::Input() const {
  return {*routed_.service, routed_.account,
          routed_.request,  tried_targets_,
          routed_.started,  is_large_,
          routed_.deadline, routed_.route->latency_target};
}

Result<Target> RunnerProtocol::Choose() {
  if (routed_.TimeLeft() <= milliseconds(0)) {
    return Error{ErrorId::kDeadlineExceeded, "the deadline passed",
                 Verdict::kNotRun};
  }
  if (auto refusal = quarantine_.FindQuarantined(prompt_)) return *refusal;
  const PlacementInput input = Input();
  const auto asked = RuntimeClock::now();
  auto choice = ChooseTarget(fleet_, placement_settings_, input, asked);
  metrics_.choice.Record(RuntimeClock::now() - asked);
  if (!choice.ok()) return choice.error();
  choice_ = std::move(choice.value());
  Runner& runner = *choice_.runner;
  RecordPauseEnd(runner, RuntimeClock::now());
  metrics_.pause_avoided.Add(choice_.paused);
  runner.limit.CountSent();
  ++runner.own_running;
  runner.own_pending_prefill_tokens += choice_.uncached_tokens;
  is_load_counted_ = true;
  ExpectCachedParts();
  tried_targets_.push_back(runner.entry.id);
  metrics_.attempts.Add();
  LogChoice();
  return Target{runner.entry.id, runner.entry.address};
}

void RunnerProtocol::LogChoice() const {
  telemetry::Log(
      telemetry::Level::kInfo, telemetry::event::kPlaced,
      {{"request", routed_.request.id},
       {"target", choice_.runner->entry.id},
       {"parts", SharedPartIds(routed_.request)},
       {"attempt", tried_targets_.size()},
       {"price_ms", choice_.cost_ms},
       {"candidates", choice_.candidates},
       {"unread_tokens", choice_.uncached_tokens},
       {"held_tokens", choice_.held_tokens},
       {"fetch_from",
        choice_.fetch_from ? net::ToString(*choice_.fetch_from) : ""},
       {"load", choice_.runner->EstimatedLoad(RuntimeClock::now())},
       {"weights", choice_.weights_version.value_or(0)},
       {"config", routed_.config->version},
       {"send_delay_ms", duration_cast<milliseconds>(SendDelay()).count()},
       {"time_left_ms", routed_.TimeLeft().count()}});
}

net::Request RunnerProtocol::Encode(const Target& target) {
  const auto now = RuntimeClock::now();
  prompt_.OnSent(choice_.runner, now);
  choice_.runner->start_wait.OnSent(now);
  // Without this request, which `Choose` counted.
  load_at_send_ = choice_.runner->EstimatedLoad(now) - 1;
  is_pace_reported_ = false;
  last_event_at_.reset();
  is_waiting_ = true;
  is_withdrawn_ = false;
  has_failure_answer_ = false;
  platform::TargetRequestOptions call;
  call.target_id = target.id;
  call.time_left = std::max(milliseconds(1), routed_.TimeLeft());
  if (routed_.account != nullptr) call.account = routed_.account->name;
  if (routed_.service->engine) {
    call.weights_version = choice_.weights_version;
    call.cache_salt = choice_.cache_salt;
    call.urgency = UrgencyOf(*routed_.route, routed_.account);
    if (!MayCopy()) {
      choice_.fetch_source.reset();
      choice_.fetch_from.reset();
    }
    call.fetch_from = choice_.fetch_from;
  }
  if (relay_) call.last_event_id = relay_->last_id();
  return platform::EncodeForTarget(caller_request_, routed_.body, call);
}

std::chrono::nanoseconds RunnerProtocol::SendDelay() const {
  return std::max(std::chrono::nanoseconds(0),
                  choice_.not_before - RuntimeClock::now());
}

net::CallOptions RunnerProtocol::Options() {
  net::CallOptions options;
  options.connect_timeout =
      std::min<std::chrono::nanoseconds>(kConnectTimeout, routed_.TimeLeft());
  options.answer_timeout = ProgressTimeout();
  options.total_timeout = routed_.TimeLeft();
  options.may_send = [this] { return MaySend(); };
  options.more_time = [this] { return ExtendWait(); };
  fleet_.WatchAnswers(*choice_.runner, options);
  options.unstated_idle_limit = kUnstatedIdleLimit;
  const bool is_naming_unsure =
      choice_.runner->refusal_naming.NeedsNewConnection(RuntimeClock::now());
  options.needs_new_connection =
      has_unproven_refusal_ || (is_naming_unsure && !IsIdempotent());
  return options;
}

bool RunnerProtocol::IsAdmitted() const {
  const SendKind kind =
      choice_.is_last_resort ? SendKind::kLastResort : SendKind::kRequest;
  return MayCopy() && choice_.runner->gate->MaySend({kind, routed_.started},
                                                    RuntimeClock::now());
}

bool RunnerProtocol::MayCopy() const {
  return !choice_.fetch_source ||
         choice_.fetch_source->gate->MaySend({SendKind::kCopySource},
                                             RuntimeClock::now());
}

std::chrono::nanoseconds RunnerProtocol::ProgressTimeout() const {
  constexpr std::chrono::nanoseconds kShortest = milliseconds(1);
  std::chrono::nanoseconds left = routed_.TimeLeft();
  if (is_waiting_) left = std::min(left, TimeToStart());
  return std::max(kShortest, left);
}

std::chrono::nanoseconds RunnerProtocol::TimeToStart() const {
  if (!routed_.service->engine) return std::chrono::nanoseconds::max();
  const WeightsBounds& bounds = placement_settings_.weights;
  const auto deadline =
      fleet_.DesiredWeightsOf(routed_.request.model)
          .StartDeadline(choice_.weights_version.value_or(0), bounds);
  // A version that is read while the request waits leaves at least the time to
  // settle, so its deadline has not passed at the next check.
  constexpr int kChecks = 2;
  constexpr milliseconds kMinInterval{250};
  if (!deadline) return std::max(kMinInterval, bounds.settle_time / kChecks);
  return *deadline - BootClock::now();
}

bool RunnerProtocol::MaySend() const {
  return IsAdmitted() && TimeToStart() > std::chrono::nanoseconds(0);
}

std::chrono::nanoseconds RunnerProtocol::ExtendWait() {
  constexpr std::chrono::nanoseconds kNone{0};
  const std::chrono::nanoseconds left = routed_.TimeLeft();
  if (left <= kNone) return kNone;
  if (!is_waiting_) return left;
  const auto to_start = TimeToStart();
  if (to_start > kNone) return std::min(left, to_start);
  is_withdrawn_ = true;
  metrics_.withdrawn.Add();
  LogWithdrawal();
  return kNone;
}

void RunnerProtocol::ReleaseStartPlace(RuntimeClock::time_point now) {
  if (!start_place_) return;
  Runner& runner = *choice_.runner;
  const std::uint64_t desired =
      fleet_.DesiredWeightsOf(routed_.request.model).version();
  const bool is_loading = runner.switching_until > prompt_.sent_at() ||
                          choice_.weights_version.value_or(desired) < desired;
  // A wait for weights says nothing about the load.
  if (!is_loading) {
    start_place_->OnStarted(choice_.uncached_tokens, now - prompt_.sent_at(),
                            runner.EstimatedLoad(now));
  }
  start_place_.reset();
}

void RunnerProtocol::OnBegan() {
  if (!is_waiting_) return;
  is_waiting_ = false;
  choice_.runner->start_wait.OnBegan(prompt_.sent_at(), RuntimeClock::now());
}

Classification RunnerProtocol::Classify(const net::AnswerStream& answer,
                                        const Target& target) {
  const platform::TargetAnswer facts = platform::DecodeAnswer(answer.head());
  const auto now = RuntimeClock::now();
  const bool is_for_other_request =
      !facts.request_id.empty() && facts.request_id != routed_.request.id;
  if (is_for_other_request) {
    metrics_.foreign_answers.Add();
    return {Classification::Kind::kMismatched, {}};
  }
  Runner& runner = *choice_.runner;
  const bool is_named = !facts.request_id.empty();
  // A run's own answer has the seal.
  const bool is_refusal = facts.is_not_run || !facts.is_sealed;
  if (is_refusal) runner.refusal_naming.OnRefusal(is_named, now);
  if (is_refusal && !RefusalNaming::IsProof(is_named, answer.is_first())) {
    return OnUnprovenRefusal(facts, target);
  }
  runner.last_received_at = now;
  runner.RecordLoad(facts.running, facts.waiting, now);
  if (facts.pace_percent) {
    runner.RecordPace(*facts.pace_percent, now);
    fleet_.set_reports_pace(routed_.service->name);
  }
  RecordPause(fleet_, runner, facts, {"request", routed_.request.id});
  // A refusal without a limit does not show that the limit has ended.
  if (facts.requests_per_second || facts.is_sealed) {
    RecordLimit(facts.requests_per_second);
  }
  has_failure_answer_ = facts.is_not_run;
  if (facts.is_not_run) {
    ApplyRefusal(facts);
    return {Classification::Kind::kFailed,
            {ErrorId::kTargetFailed,
             fmt::format("{} refused with status {}", target.id, facts.status),
             Verdict::kNotRun}};
  }
  const bool is_success =
      facts.status < kMultipleChoices && facts.is_sealed && !facts.is_encoded;
  if (is_success) {
    prompt_.OnHead(now);
    RecordOlderRun(facts);
    OnBegan();
    if (facts.pace_percent) RecordFirstEvent(now);
    ReleaseStartPlace(now);
    if (ContinuesStream(answer) && !relay_) relay_.emplace(std::nullopt);
    runner.ClearSuspicion();
    metrics_.first_byte.Record(now - routed_.started);
    // The prefill is complete; decoding does not delay the prefill of others.
    runner.own_pending_prefill_tokens -= choice_.uncached_tokens;
    choice_.uncached_tokens = 0;
    for (const std::uint64_t key : expected_parts_) {
      runner.cache.MarkReady(key);
    }
    expected_parts_.clear();
    return {Classification::Kind::kRelay, {}};
  }
  has_failure_answer_ = true;
  EndWait();
  Error error{
      ErrorId::kTargetFailed,
      fmt::format("{} answered with status {}", target.id, facts.status),
      Verdict::kRan};
  if (facts.status < kMultipleChoices) {
    error = {ErrorId::kTargetAnswerInvalid,
             target.id + " sent a success that is not the target's own",
             Verdict::kMayHaveRun};
    return {Classification::Kind::kFailed, std::move(error)};
  }
  if (PromisesNoRun(facts.status) && !IsIdempotent()) {
    metrics_.unproven_promises.Add();
    error.message += " without proof that the request did not run";
    if (!facts.is_sealed) error.verdict = Verdict::kMayHaveRun;
    return {Classification::Kind::kFailed, std::move(error)};
  }
  if (facts.status >= kServerErrors) {
    return {Classification::Kind::kFailedWithResponse, std::move(error)};
  }
  return {Classification::Kind::kRelay, {}};
}

void RunnerProtocol::RecordFirstEvent(RuntimeClock::time_point now) {
  // A resumed stream may continue from a state that the target saved.
  const bool is_resumed = relay_ && relay_->last_id();
  if (!routed_.service->engine || is_resumed) return;
  // How many of the shared tokens a copy saved is unknown.
  const std::uint32_t tokens =
      choice_.fetch_from ? std::min(choice_.own_tokens, choice_.uncached_tokens)
                         : choice_.uncached_tokens;
  choice_.runner->pace.OnFirstEvent(tokens, now - prompt_.sent_at(),
                                    load_at_send_, now);
  is_pace_reported_ = true;
}

void RunnerProtocol::RecordEvents(std::string_view bytes,
                                  RuntimeClock::time_point now) {
  if (!is_pace_reported_) return;
  constexpr std::string_view kEventEnd = "\n\n";
  int events = 0;
  for (auto at = bytes.find(kEventEnd); at != std::string_view::npos;
       at = bytes.find(kEventEnd, at + kEventEnd.size())) {
    ++events;
  }
  if (events == 0) return;
  Runner& runner = *choice_.runner;
  if (last_event_at_) {
    runner.pace.OnEventGap((now - *last_event_at_) / events,
                           runner.EstimatedLoad(now), now);
  }
  last_event_at_ = now;
}

void RunnerProtocol::ApplyRefusal(const platform::TargetAnswer& answer) {
  constexpr int kMisdirectedRequest = 421;
  const auto now = RuntimeClock::now();
  const std::string& model = routed_.request.model;
  Runner& runner = *choice_.runner;
  const bool may_switch =
      choice_.weights_version &&
      *choice_.weights_version < fleet_.DesiredWeightsOf(model).version();
  if (answer.status != kMisdirectedRequest) {
    (may_switch ? runner.switching_until : runner.full_until) =
        now + (may_switch ? kSwitchBackoff : kFullBackoff);
    return;
  }
  LogWeightsRefusal(answer);
  // Without a version in the answer it is unknown which weights the target has.
  // A guess would keep the target from being ordered to load.
  if (answer.weights_version) {
    runner.RaiseVersion(model, *answer.weights_version);
    return;
  }
  const std::uint64_t expected = choice_.weights_version.value_or(0);
  if (runner.RefuteVersion(model, expected)) return;
  // A newer version was reported while the request was on its way.
  if (runner.VersionOf(model) > expected) return;
  if (may_switch) {
    runner.switching_until = now + kSwitchBackoff;
  } else {
    runner.Suspect(now);
  }
}

Classification RunnerProtocol::OnUnprovenRefusal(
    const platform::TargetAnswer& answer, const Target& target) {
  metrics_.unproven_refusals.Add();
  has_unproven_refusal_ = true;
  telemetry::Log(telemetry::Level::kWarning, telemetry::event::kUnprovenRefusal,
                 {{"request", routed_.request.id},
                  {"target", target.id},
                  {"status", answer.status},
                  {"skipped", !IsIdempotent()}});
  // The request may be running, and must not run elsewhere then.
  if (!IsIdempotent()) return {Classification::Kind::kMismatched, {}};
  return {Classification::Kind::kFailed,
          {ErrorId::kTargetAnswerInvalid,
           fmt::format("{} answered with status {} and named no request",
                       target.id, answer.status),
           Verdict::kMayHaveRun}};
}

void RunnerProtocol::RecordOlderRun(
    const platform::TargetAnswer& answer) const {
  if (!choice_.weights_version) return;
  const std::string& model = routed_.request.model;
  const DesiredWeightsState desired = fleet_.DesiredWeightsOf(model);
  const std::uint64_t used = *choice_.weights_version;
  if (used >= desired.version()) return;
  const auto lag = desired.Lag(used, BootClock::now());
  const auto waited = RuntimeClock::now() - prompt_.sent_at();
  metrics_.older_weights_runs.Add();
  metrics_.older_weights_lag.Record(lag);
  const TargetEntry& entry = choice_.runner->entry;
  telemetry::Log(
      telemetry::Level::kInfo, telemetry::event::kOlderWeightsRun,
      {{"request", routed_.request.id},
       {"target", entry.id},
       {"start_time", entry.start_time},
       {"expected", used},
       {"answered", answer.weights_version.value_or(0)},
       {"believed", choice_.runner->VersionOf(model)},
       {"desired", desired.version()},
       {"lag_at_send_ms", duration_cast<milliseconds>(lag - waited).count()},
       {"waited_ms", duration_cast<milliseconds>(waited).count()},
       {"lag_ms", duration_cast<milliseconds>(lag).count()},
       {"left_ms", duration_cast<milliseconds>(TimeToStart()).count()}});
}

void RunnerProtocol::LogWithdrawal() const {
  const std::string& model = routed_.request.model;
  const DesiredWeightsState desired = fleet_.DesiredWeightsOf(model);
  const std::uint64_t expected = choice_.weights_version.value_or(0);
  const auto lag = desired.Lag(expected, BootClock::now());
  const auto waited = RuntimeClock::now() - prompt_.sent_at();
  telemetry::Log(telemetry::Level::kWarning,
                 telemetry::event::kRequestWithdrawn,
                 {{"request", routed_.request.id},
                  {"target", choice_.runner->entry.id},
                  {"expected", expected},
                  {"believed", choice_.runner->VersionOf(model)},
                  {"desired", desired.version()},
                  {"waited_ms", duration_cast<milliseconds>(waited).count()},
                  {"lag_ms", duration_cast<milliseconds>(lag).count()}});
}

void RunnerProtocol::LogWeightsRefusal(
    const platform::TargetAnswer& answer) const {
  const std::string& model = routed_.request.model;
  const TargetEntry& entry = choice_.runner->entry;
  telemetry::Log(telemetry::Level::kInfo, telemetry::event::kWeightsRefused,
                 {{"request", routed_.request.id},
                  {"target", entry.id},
                  {"start_time", entry.start_time},
                  {"expected", choice_.weights_version.value_or(0)},
                  {"answered", answer.weights_version.value_or(0)},
                  {"believed", choice_.runner->VersionOf(model)},
                  {"desired", fleet_.DesiredWeightsOf(model).version()}});
}

void RunnerProtocol::RecordLimit(std::optional<double> requests_per_second) {
  SharedLimit& limit = choice_.runner->limit;
  const bool is_change = limit.OnAnswer(requests_per_second.value_or(-1),
                                        prompt_.sent_at(), RuntimeClock::now());
  if (!is_change) return;
  telemetry::Log(
      telemetry::Level::kInfo, telemetry::event::kTargetLimit,
      {{"target", choice_.runner->entry.id},
       {"requests_per_second", limit.is_set() ? limit.per_second() : -1}});
  peers_.AnnounceLimit(*choice_.runner);
}

void RunnerProtocol::ExpectCachedParts() {
  expected_parts_.clear();
  if (!routed_.service->engine) return;
  const auto keys = PartKeys(routed_.request, choice_.cache_salt);
  const auto now = RuntimeClock::now();
  const auto ready_at = now + duration_cast<milliseconds>(Millis(
                                  choice_.runner->PendingPrefillTokens(now) /
                                  choice_.runner->PrefillTokensPerMs(now)));
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::uint32_t tokens = routed_.request.parts[i].tokens;
    if (!choice_.runner->cache.Contains(keys[i])) {
      expected_parts_.push_back(keys[i]);
      peers_.NotePart(*choice_.runner, keys[i], tokens);
    }
    choice_.runner->cache.Touch(keys[i], tokens, ready_at);
    fleet_.shared_parts().Touch(keys[i], 1);
  }
}

void RunnerProtocol::RetractExpectedParts() {
  for (const std::uint64_t key : expected_parts_) {
    choice_.runner->cache.Erase(key);
    peers_.RetractPart(*choice_.runner, key);
  }
  expected_parts_.clear();
}

bool RunnerProtocol::IsStream(const net::AnswerStream& answer) const {
  return routed_.route->is_stream && answer.status() < kMultipleChoices;
}

bool RunnerProtocol::ContinuesStream(const net::AnswerStream& answer) const {
  return IsStream(answer) && net::Header(answer.head(), "Content-Type")
                                 .starts_with("text/event-stream");
}

Result<std::string> RunnerProtocol::Feed(std::string bytes) {
  const auto now = RuntimeClock::now();
  choice_.runner->last_received_at = now;
  quarantine_.OnProgress(prompt_);
  if (!relay_) return bytes;
  RecordEvents(bytes, now);
  return relay_->Feed(bytes);
}

Result<Done> RunnerProtocol::OnStreamEnd() const {
  if (!relay_) return Done{};
  if (relay_->is_at_event_end() && relay_->is_resumption_empty()) {
    return Error{ErrorId::kTargetAnswerInvalid,
                 choice_.runner->entry.id + " resumed the stream with no event",
                 Verdict::kRan};
  }
  if (relay_->is_at_event_end()) return Done{};
  return Error{ErrorId::kStreamBroken,
               choice_.runner->entry.id + " ended the stream within an event",
               Verdict::kRan};
}

net::http::response<net::http::empty_body> RunnerProtocol::StreamHead(
    const net::AnswerStream& answer, const Target& /*target*/) const {
  net::http::response<net::http::empty_body> head;
  net::CopyStatus(answer.head(), head);
  platform::CopyAnswerHeaders(answer.head(), head);
  return head;
}

net::Response RunnerProtocol::BufferedResponse(const net::AnswerStream& answer,
                                               std::string body,
                                               const Target& /*target*/) const {
  net::Response response;
  net::CopyStatus(answer.head(), response);
  platform::CopyAnswerHeaders(answer.head(), response);
  response.body() = std::move(body);
  return response;
}

void RunnerProtocol::OnAttemptEnd(const Target& target, const Error* error) {
  ReleaseLoad();
  if (relay_) relay_->Restart();
  if (error == nullptr) {
    if (!has_failure_answer_) quarantine_.OnComplete(prompt_);
    return;
  }
  RetractExpectedParts();
  if (IsBrokenOff(*error)) quarantine_.OnBroken(prompt_);
  const bool is_unreachable = error->id == ErrorId::kTargetUnreachable ||
                              error->id == ErrorId::kTargetSilent;
  const auto now = RuntimeClock::now();
  // A target that answers other requests is reachable and only slow with this
  // one.
  const bool is_alive =
      error->id == ErrorId::kTargetSilent &&
      now - choice_.runner->last_received_at < kReachabilityLifetime;
  if (is_unreachable && !is_alive && !is_withdrawn_) {
    choice_.runner->Suspect(now);
  }
  const bool is_unsent = error->id == ErrorId::kTargetWithdrawn;
  if (is_unsent) OnUnsent();
  const bool has_arrived = error->id != ErrorId::kTargetUnreachable &&
                           !is_unsent && !IsOwnShortage(*error);
  if (has_arrived) ++delivered_;
  if (error->verdict != Verdict::kNotRun) ++possible_runs_;
  LogFailedAttempt(target, *error);
}

void RunnerProtocol::OnUnsent() {
  ++unsent_;
  if (IsAdmitted()) return;
  // It may still be the last resort.
  tried_targets_.pop_back();
  metrics_.placed_elsewhere.Add();
}

void RunnerProtocol::LogFailedAttempt(const Target& target,
                                      const Error& error) const {
  telemetry::Log(telemetry::Level::kWarning, telemetry::event::kAttemptFailed,
                 {{"request", routed_.request.id},
                  {"target", target.id},
                  {"parts", SharedPartIds(routed_.request)},
                  {"error", Name(error.id)},
                  {"message", error.message},
                  {"verdict", ToString(error.verdict)},
                  {"sent_ms_ago", MillisSince(prompt_.sent_at())},
                  {"head_ms_ago", MillisSince(prompt_.head_at())},
                  {"body_ms_ago", MillisSince(prompt_.body_at())},
                  {"time_left_ms", routed_.TimeLeft().count()}});
}

bool RunnerProtocol::IsBrokenOff(const Error& error) const {
  const bool is_broken =
      error.id == ErrorId::kTargetFailed || error.id == ErrorId::kStreamBroken;
  return is_broken && !has_failure_answer_ && !prompt_.is_abandoned() &&
         error.verdict != Verdict::kNotRun && !prompt_.parts().empty();
}

bool RunnerProtocol::ShouldRetry(Error& error, int attempts) {
  // Bounds all attempts, including those that reach no target.
  constexpr int kMaxTries = 6;
  const int tries = attempts - unsent_;
  if (tries >= kMaxTries || routed_.TimeLeft() <= milliseconds(0)) {
    return false;
  }
  const bool is_safe = error.verdict == Verdict::kNotRun || IsIdempotent();
  if (!is_safe || IsOwnShortage(error)) return false;
  if (IsBrokenOff(error) && quarantine_.IsRepeatUnsafe(prompt_)) return false;
  const bool was_sent = error.id != ErrorId::kTargetWithdrawn;
  if (delivered_ == 0 || !was_sent) return true;
  if (possible_runs_ >= routed_.route->max_attempts) return false;
  RetryWindow& budget = fleet_.BudgetOf(routed_.service->name);
  if (!budget.TryAcquire(RuntimeClock::now())) {
    metrics_.budget_spent.Add();
    return false;
  }
  metrics_.repeats.Add();
  return true;
}

}  // namespace beryllane::fleet
