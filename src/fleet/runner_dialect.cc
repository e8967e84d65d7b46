#include "src/fleet/runner_dialect.h"

#include <algorithm>
#include <utility>

#include "beryllane/placement/prefix_policy.h"
#include "fmt/format.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using exchange::Judgement;
using exchange::Target;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Millis = std::chrono::duration<double, std::milli>;

constexpr int kMultipleChoices = 300;
constexpr int kServerErrors = 500;
// A connection across regions takes under 100 ms.
constexpr milliseconds kConnectTimeout{400};
// Targets state how long a connection may idle in whole seconds, and nothing
// where it is less than one.
constexpr milliseconds kUnstatedIdleLimit{500};
// A target that answered any request this recently can be reached.
constexpr milliseconds kSignOfLife{1000};
// A target that takes new weights refuses for about this long.
constexpr milliseconds kSwitchPause{400};
// A full target frees a slot in about this time.
constexpr milliseconds kFullPause{150};

// Rank of a request at its runner, from 0, the first. What is not urgent keeps
// its place before what states no rank.
int UrgencyOf(const Route& route, const Account* account) {
  constexpr int kLast = 4;
  const bool has_own = account != nullptr && account->priority.has_value();
  const int priority = has_own ? *account->priority : route.priority;
  return std::clamp(priority, 0, kLast);
}

}  // namespace

FleetMetrics::FleetMetrics(MetricRegistry& registry)
    : requests(registry.GetCounter("beryllane_fleet_requests_total",
                                   "Requests of callers that were routed")),
      answered(registry.GetCounter("beryllane_fleet_answered_total",
                                   "Requests whose target's answer was sent")),
      refused(registry.GetCounter("beryllane_fleet_refused_total",
                                  "Requests refused as not run")),
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
      foreign_answers(
          registry.GetCounter("beryllane_fleet_foreign_answers_total",
                              "Answers that belonged to another request")),
      first_byte(registry.GetHistogram("beryllane_fleet_first_byte_seconds",
                                       "Time to the head of the answer")) {}

milliseconds RoutedRequest::TimeLeft() const {
  const auto left = duration_cast<milliseconds>(limit - RuntimeClock::now());
  return std::max(milliseconds(0), left);
}

RunnerDialect::RunnerDialect(Fleet& fleet, Peers& peers, const Place& place,
                             FleetMetrics& metrics,
                             const net::Request& received,
                             RoutedRequest& routed)
    : fleet_(fleet),
      peers_(peers),
      place_(place),
      metrics_(metrics),
      received_(received),
      routed_(routed) {
  if (routed.route->is_stream && IsIdempotent()) {
    relay_.emplace(routed.request.last_event_id);
  }
}

RunnerDialect::~RunnerDialect() { ReleaseRunner(); }

void RunnerDialect::ReleaseRunner() {
  if (!is_counted_) return;
  is_counted_ = false;
  --choice_.runner->own_running;
  choice_.runner->own_unread_tokens -= choice_.unread_tokens;
  choice_.unread_tokens = 0;
}

Result<Target> RunnerDialect::Choose() {
  if (routed_.TimeLeft() <= milliseconds(0)) {
    return Error{ErrorId::kDeadlineExceeded, "the deadline passed",
                 Verdict::kNotRun};
  }
  const PlacementInput input{*routed_.service, routed_.account, routed_.request,
                             tried_};
  auto choice = ChooseTarget(fleet_, place_, input, RuntimeClock::now());
  if (!choice.ok()) return choice.error();
  choice_ = std::move(choice.value());
  Runner& runner = *choice_.runner;
  ++runner.own_running;
  runner.own_unread_tokens += choice_.unread_tokens;
  is_counted_ = true;
  ExpectCachedParts();
  tried_.push_back(runner.entry.id);
  metrics_.attempts.Add();
  LogChoice();
  return Target{runner.entry.id, runner.entry.address};
}

void RunnerDialect::LogChoice() const {
  telemetry::Log(
      telemetry::Level::kInfo, telemetry::event::kPlaced,
      {{"request", routed_.request.id},
       {"target", choice_.runner->entry.id},
       {"attempt", tried_.size()},
       {"price_ms", choice_.price_ms},
       {"candidates", choice_.candidates},
       {"unread_tokens", choice_.unread_tokens},
       {"held_tokens", choice_.held_tokens},
       {"fetch_from",
        choice_.fetch_from ? net::ToString(*choice_.fetch_from) : ""},
       {"load", choice_.runner->EstimatedLoad(RuntimeClock::now())},
       {"weights", choice_.weights_version.value_or(0)},
       {"config", routed_.config->version},
       {"send_delay_ms", duration_cast<milliseconds>(SendDelay()).count()},
       {"time_left_ms", routed_.TimeLeft().count()}});
}

net::Request RunnerDialect::Encode(const Target& target) {
  platform::TargetRequestOptions call;
  call.target_id = target.id;
  call.time_left = std::max(milliseconds(1), routed_.TimeLeft());
  if (routed_.account != nullptr) call.account = routed_.account->name;
  if (routed_.service->engine) {
    call.weights_version = choice_.weights_version;
    call.cache_salt = choice_.cache_salt;
    call.urgency = UrgencyOf(*routed_.route, routed_.account);
    call.fetch_from = choice_.fetch_from;
  }
  if (relay_) call.last_event_id = relay_->last_id();
  return platform::EncodeForTarget(received_, routed_.body, call);
}

std::chrono::nanoseconds RunnerDialect::SendDelay() const {
  return std::max(std::chrono::nanoseconds(0),
                  choice_.send_at - RuntimeClock::now());
}

net::CallOptions RunnerDialect::Options() const {
  net::CallOptions options;
  options.connect_timeout =
      std::min<std::chrono::nanoseconds>(kConnectTimeout, routed_.TimeLeft());
  options.answer_timeout = ProgressTimeout();
  options.unstated_idle_limit = kUnstatedIdleLimit;
  return options;
}

std::chrono::nanoseconds RunnerDialect::ProgressTimeout() const {
  return std::max(milliseconds(1), routed_.TimeLeft());
}

Judgement RunnerDialect::Judge(const net::AnswerStream& answer,
                               const Target& target) {
  const platform::TargetAnswer facts = platform::DecodeAnswer(answer.head());
  const auto now = RuntimeClock::now();
  const bool is_foreign =
      !facts.request_id.empty() && facts.request_id != routed_.request.id;
  if (is_foreign) {
    metrics_.foreign_answers.Add();
    return {Judgement::Kind::kForeign, {}};
  }
  Runner& runner = *choice_.runner;
  runner.heard_at = now;
  if (facts.running) runner.ReportLoad(*facts.running, *facts.waiting, now);
  if (facts.is_not_run) {
    constexpr int kOtherTarget = 421;
    const WeightsGoal goal = fleet_.GoalOf(routed_.request.model);
    const bool may_switch =
        choice_.weights_version && *choice_.weights_version < goal.version;
    if (facts.status == kOtherTarget && may_switch) {
      runner.LearnVersion(routed_.request.model, goal.version);
    } else if (facts.status == kOtherTarget) {
      runner.Suspect(now);
    } else if (may_switch) {
      runner.switching_until = now + kSwitchPause;
    } else {
      runner.full_until = now + kFullPause;
    }
    return {Judgement::Kind::kFailed,
            {ErrorId::kTargetFailed,
             fmt::format("{} refused with status {}", target.id, facts.status),
             Verdict::kNotRun}};
  }
  const bool is_success =
      facts.status < kMultipleChoices && facts.is_sealed && !facts.is_encoded;
  if (is_success) {
    runner.Trust();
    metrics_.first_byte.Record(now - routed_.started);
    // The prompt is read; what follows runs without holding up others.
    runner.own_unread_tokens -= choice_.unread_tokens;
    choice_.unread_tokens = 0;
    for (const std::uint64_t key : expected_parts_) {
      runner.cache.MarkReady(key);
    }
    expected_parts_.clear();
    return {Judgement::Kind::kRelay, {}};
  }
  Error error{
      ErrorId::kTargetFailed,
      fmt::format("{} answered with status {}", target.id, facts.status),
      Verdict::kRan};
  if (facts.status < kMultipleChoices) {
    error = {ErrorId::kTargetAnswerInvalid,
             target.id + " sent a success that is not the target's own",
             Verdict::kMayHaveRun};
    return {Judgement::Kind::kFailed, std::move(error)};
  }
  if (facts.status >= kServerErrors) {
    return {Judgement::Kind::kFailedWithAnswer, std::move(error)};
  }
  return {Judgement::Kind::kRelay, {}};
}

void RunnerDialect::ExpectCachedParts() {
  expected_parts_.clear();
  if (!routed_.service->engine) return;
  const auto keys = PartKeys(routed_.request, choice_.cache_salt);
  const auto now = RuntimeClock::now();
  const auto ready_at = now + duration_cast<milliseconds>(
                                  Millis(choice_.runner->UnreadTokens(now) /
                                         placement::kPrefillTokensPerMs));
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::uint32_t tokens = routed_.request.parts[i].tokens;
    if (!choice_.runner->cache.Holds(keys[i])) {
      expected_parts_.push_back(keys[i]);
      peers_.NotePart(*choice_.runner, keys[i], tokens);
    }
    choice_.runner->cache.Use(keys[i], tokens, ready_at);
    fleet_.shared_parts().Use(keys[i], 1);
  }
}

void RunnerDialect::ForgetExpectedParts() {
  for (const std::uint64_t key : expected_parts_) {
    choice_.runner->cache.Forget(key);
    peers_.RetractPart(*choice_.runner, key);
  }
  expected_parts_.clear();
}

bool RunnerDialect::IsStream(const net::AnswerStream& answer) const {
  return routed_.route->is_stream && answer.status() < kMultipleChoices;
}

Result<std::string> RunnerDialect::Feed(std::string bytes) {
  choice_.runner->heard_at = RuntimeClock::now();
  if (!relay_) return bytes;
  return relay_->Feed(bytes);
}

Result<Done> RunnerDialect::OnStreamEnd() const {
  if (!relay_ || relay_->is_at_event_end()) return Done{};
  return Error{ErrorId::kStreamBroken,
               choice_.runner->entry.id + " ended the stream within an event",
               Verdict::kRan};
}

net::http::response<net::http::empty_body> RunnerDialect::StreamHead(
    const net::AnswerStream& answer, const Target& /*target*/) const {
  net::http::response<net::http::empty_body> head(answer.head().result(),
                                                  net::kHttp11);
  platform::CopyAnswerHeaders(answer.head(), head);
  return head;
}

net::Response RunnerDialect::WholeAnswer(const net::AnswerStream& answer,
                                         std::string body,
                                         const Target& /*target*/) const {
  net::Response response(answer.head().result(), net::kHttp11);
  platform::CopyAnswerHeaders(answer.head(), response);
  response.body() = std::move(body);
  return response;
}

void RunnerDialect::OnAttemptEnd(const Target& target, const Error* error) {
  ReleaseRunner();
  if (relay_) relay_->Restart();
  if (error == nullptr) return;
  ForgetExpectedParts();
  const bool is_unreachable = error->id == ErrorId::kTargetUnreachable ||
                              error->id == ErrorId::kTargetSilent;
  const auto now = RuntimeClock::now();
  // A target that answers others is slow with this request, not away.
  const bool is_alive = error->id == ErrorId::kTargetSilent &&
                        now - choice_.runner->heard_at < kSignOfLife;
  if (is_unreachable && !is_alive) choice_.runner->Suspect(now);
  // A connection that never opened is no arrival.
  const bool has_arrived = error->id != ErrorId::kTargetUnreachable;
  if (has_arrived) ++arrivals_;
  if (error->verdict != Verdict::kNotRun) ++runs_;
  telemetry::Log(telemetry::Level::kWarning, telemetry::event::kAttemptFailed,
                 {{"request", routed_.request.id},
                  {"target", target.id},
                  {"error", Name(error->id)},
                  {"message", error->message},
                  {"verdict", ToString(error->verdict)},
                  {"time_left_ms", routed_.TimeLeft().count()}});
}

bool RunnerDialect::MayTryAgain(Error& error, int attempts) {
  // Bounds the targets that are tried without the request arriving anywhere.
  constexpr int kMaxTries = 6;
  if (attempts >= kMaxTries || routed_.TimeLeft() <= milliseconds(0)) {
    return false;
  }
  const bool is_safe = error.verdict == Verdict::kNotRun || IsIdempotent();
  if (!is_safe) return false;
  if (arrivals_ == 0) return true;
  if (runs_ >= routed_.route->max_attempts) return false;
  RetryWindow& budget = fleet_.BudgetOf(routed_.service->name);
  if (!budget.TryAcquire(RuntimeClock::now())) {
    metrics_.budget_spent.Add();
    return false;
  }
  metrics_.repeats.Add();
  return true;
}

}  // namespace beryllane::fleet
