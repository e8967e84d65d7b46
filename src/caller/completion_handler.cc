#include "src/caller/completion_handler.h"

#include <charconv>
#include <optional>
#include <utility>

#include "fmt/format.h"
#include "src/caller/completion_plan.h"
#include "src/caller/error_answer.h"
#include "src/caller/stream_relay.h"
#include "src/telemetry/log.h"

namespace beryllane::caller {
namespace {

using net::asio::awaitable;
using std::chrono::nanoseconds;
using telemetry::Level;
using telemetry::Span;
using telemetry::TraceContext;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kServerErrors = 500;

template <typename T>
T ParseOr(std::string_view text, T fallback, int base = 10) {
  T value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

// Own work at a target from its dispatch to its first token.
class PendingPrefill {
 public:
  PendingPrefill(std::shared_ptr<placement::LoadCell> load,
                 std::uint32_t tokens)
      : load_(std::move(load)), tokens_(tokens) {
    load_->Begin(tokens_, RuntimeClock::now());
  }
  ~PendingPrefill() { Finish(); }
  PendingPrefill(const PendingPrefill&) = delete;
  PendingPrefill& operator=(const PendingPrefill&) = delete;

  void Finish() {
    if (!is_finished_) load_->FirstToken(tokens_);
    is_finished_ = true;
  }

 private:
  std::shared_ptr<placement::LoadCell> load_;
  std::uint32_t tokens_;
  bool is_finished_ = false;
};

void ReadLoadHeader(std::string_view text, placement::LoadCell& load) {
  // "<queued tokens> <running> <prefill tokens per second>"
  const std::size_t first = text.find(' ');
  const std::size_t second = text.find(' ', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return;
  }
  load.Report(
      {ParseOr<std::uint32_t>(text.substr(0, first), 0),
       ParseOr<std::uint32_t>(text.substr(first + 1, second - first - 1), 0),
       ParseOr<std::uint32_t>(text.substr(second + 1), 0),
       RuntimeClock::now()});
}

// How an attempt ended.
enum class AttemptEnd {
  // The caller has its whole answer, or is gone.
  kFinished,
  // Another target may go on.
  kRetry,
  // The request cannot be served.
  kFailed,
};

// Serves one completion request over as many attempts as it takes.
class CompletionRun {
 public:
  CompletionRun(net::Exchange& exchange, router::Node& node,
                RequestMetrics& metrics, const RequestContext& context,
                CompletionPlan plan, const CompletionRequest& request,
                std::string body)
      : exchange_(exchange),
        node_(node),
        metrics_(metrics),
        context_(context),
        plan_(std::move(plan)),
        is_stream_(request.is_stream),
        body_(std::move(body)),
        relay_(context.id) {}

  awaitable<void> Run() {
    const config::Defaults& defaults = plan_.state->config->defaults;
    CountArrival(plan_, node_);
    node_.retry_budget().Credit(defaults.retry_budget);
    for (int attempt = 1;; ++attempt) {
      const AttemptEnd end = co_await Attempt();
      if (end == AttemptEnd::kFinished) co_return;
      if (end == AttemptEnd::kFailed) break;
      if (attempt >= defaults.max_attempts) break;
      if (context_.TimeLeft() <= nanoseconds(0)) {
        error_ = Error{ErrorId::kDeadlineExceeded,
                       "the deadline passed; last failure: " + error_.message,
                       error_.verdict};
        break;
      }
      if (!node_.retry_budget().TryTake()) {
        error_.message += "; the retry budget is spent";
        break;
      }
      metrics_.retries.Add();
    }
    co_await SendError();
  }

 private:
  awaitable<AttemptEnd> Attempt() {
    const auto decision_start = RuntimeClock::now();
    const placement::Decision decision =
        DecideFor(plan_, node_, context_.TimeLeft());
    FinishDecisionSpan(decision, decision_start);
    if (decision.refusal != placement::Refusal::kNone) {
      SetRefusal(decision.refusal);
      co_return AttemptEnd::kFailed;
    }
    const placement::Candidate& choice = decision.choice();
    const placement::Member& member =
        plan_.targets->view.members[choice.member];
    const net::Address address = plan_.targets->addresses[choice.member];
    const TraceContext trace = telemetry::Tracer::Child(context_.trace);
    const auto start = RuntimeClock::now();
    const AttemptEnd end = co_await Dispatch(choice, member, address, trace);
    Span span{trace,
              "target",
              start,
              RuntimeClock::now(),
              end != AttemptEnd::kFinished,
              {}};
    span.attributes.emplace_back("target", member.id);
    if (end != AttemptEnd::kFinished) {
      span.attributes.emplace_back("error", error_.message);
      plan_.excluded.push_back(plan_.targets->view.ids[choice.member]);
      LogAttempt(member);
    }
    node_.tracer().Finish(std::move(span));
    co_return end;
  }

  awaitable<AttemptEnd> Dispatch(const placement::Candidate& choice,
                                 const placement::Member& member,
                                 net::Address address, TraceContext trace) {
    metrics_.attempts.Add();
    if (relay_.next_position() > 0) metrics_.resumes.Add();
    PendingPrefill pending(member.load,
                           plan_.tokens - choice.expected_cached_tokens);
    net::Request request = MakeEngineRequest(trace);
    net::CallOptions options;
    const config::Defaults& defaults = plan_.state->config->defaults;
    options.connect_timeout = defaults.connect_timeout;
    options.answer_timeout = std::min(context_.TimeLeft(), HeadTimeout(choice));
    auto opened = co_await node_.loop(exchange_.loop())
                      .client.Open(address, std::move(request), options);
    if (!opened.ok()) {
      NoteTargetFailure(opened.error(), member);
      co_return AttemptEnd::kRetry;
    }
    net::AnswerStream& answer = *opened.value();
    if (!CheckHead(answer, member)) co_return AttemptEnd::kRetry;
    pending.Finish();
    member.load->Trust();
    Learn(answer, member);
    answer.set_answer_timeout(defaults.progress_timeout);
    if (is_stream_) {
      co_return co_await RelayStream(answer, member);
    }
    co_return co_await RelayWhole(answer, member);
  }

  // An answer that takes far longer than predicted comes from a target that
  // lost the request.
  nanoseconds HeadTimeout(const placement::Candidate& choice) const {
    constexpr int kPredictionFactor = 4;
    const nanoseconds floor = plan_.state->config->defaults.progress_timeout;
    if (!is_stream_) return context_.TimeLeft();
    return floor + kPredictionFactor * (choice.wait + choice.prefill);
  }

  net::Request MakeEngineRequest(const TraceContext& trace) const {
    EngineFields fields;
    fields.cache_salt = plan_.cache_salt;
    fields.weights_version = plan_.model->weights_version;
    fields.priority = plan_.kind.priority;
    fields.resume_from = relay_.next_position();
    net::Request request = net::MakeRequest(
        net::http::verb::post, net::Target(exchange_.request()),
        EngineBody(body_, fields), "application/json");
    request.set(kRequestIdHeader, context_.id);
    request.set("traceparent", telemetry::ToTraceparent(trace));
    return request;
  }

  bool CheckHead(const net::AnswerStream& answer,
                 const placement::Member& member) {
    const int status = answer.status();
    if (status != kOk) {
      const bool may_work_elsewhere = status == kConflict ||
                                      status == kTooManyRequests ||
                                      status >= kServerErrors;
      SetError(ErrorId::kTargetFailed,
               fmt::format("{} answered with status {}", member.id, status),
               may_work_elsewhere ? Verdict::kMayHaveRun : Verdict::kRan);
      return false;
    }
    const std::string_view id = net::Header(answer.head(), "Engine-Request-Id");
    if (id == context_.id) return true;
    metrics_.crossed_answers.Add();
    SetError(ErrorId::kTargetAnswerInvalid,
             fmt::format("{} answered another request", member.id),
             Verdict::kMayHaveRun);
    return false;
  }

  void Learn(const net::AnswerStream& answer, const placement::Member& member) {
    const auto& head = answer.head();
    const auto incarnation =
        ParseOr<std::uint64_t>(net::Header(head, "Engine-Incarnation"), 0, 16);
    ReadLoadHeader(net::Header(head, "Engine-Load"), *member.load);
    if (incarnation != 0) {
      member.load->set_incarnation(incarnation);
      LearnFrom(plan_, node_, incarnation);
    }
    const auto prompt =
        ParseOr<std::uint64_t>(net::Header(head, "Engine-Prompt-Tokens"), 0);
    cached_tokens_ =
        ParseOr<std::uint64_t>(net::Header(head, "Engine-Cached-Tokens"), 0);
    metrics_.prompt_tokens.Add(prompt);
    metrics_.cached_tokens.Add(cached_tokens_);
  }

  template <typename Head>
  void SetAnswerHeaders(Head& head, const placement::Member& member) const {
    head.set(kRequestIdHeader, context_.id);
    head.set(kVerdictHeader, std::string(ToString(Verdict::kRan)));
    head.set(kTargetHeader, member.id);
    head.set(kCachedTokensHeader, std::to_string(cached_tokens_));
    head.set("traceparent", telemetry::ToTraceparent(context_.trace));
  }

  awaitable<AttemptEnd> RelayStream(net::AnswerStream& answer,
                                    const placement::Member& member) {
    relay_.Restart();
    while (!relay_.is_complete()) {
      auto part = co_await answer.Read();
      if (!part.ok()) {
        NoteTargetFailure(part.error(), member);
        co_return AttemptEnd::kRetry;
      }
      if (part.value().empty()) {
        SetError(ErrorId::kStreamBroken,
                 fmt::format("{} ended the stream early", member.id),
                 Verdict::kRan);
        co_return AttemptEnd::kRetry;
      }
      auto events = relay_.Feed(part.value());
      if (!events.ok()) {
        metrics_.crossed_answers.Add();
        error_ = events.error();
        co_return AttemptEnd::kRetry;
      }
      if (!co_await Forward(events.value(), member)) {
        metrics_.caller_gone.Add();
        co_return AttemptEnd::kFinished;
      }
      if (context_.TimeLeft() <= nanoseconds(0)) {
        SetError(ErrorId::kDeadlineExceeded,
                 "the deadline passed while the answer was being sent",
                 Verdict::kRan);
        co_return AttemptEnd::kFailed;
      }
    }
    co_await exchange_.FinishStream();
    // Reading the end lets the connection be used again.
    co_await answer.Read();
    metrics_.answered.Add();
    metrics_.duplicate_events.Add(relay_.duplicates());
    co_return AttemptEnd::kFinished;
  }

  awaitable<bool> Forward(const std::string& events,
                          const placement::Member& member) {
    if (!exchange_.is_started()) {
      net::http::response<net::http::empty_body> head(net::http::status::ok,
                                                      net::kHttp11);
      head.set(net::http::field::content_type, "text/event-stream");
      head.set(net::http::field::cache_control, "no-cache");
      SetAnswerHeaders(head, member);
      metrics_.first_token.Record(RuntimeClock::now() - exchange_.started());
      if (!co_await exchange_.StartStream(std::move(head))) co_return false;
    }
    metrics_.events.Add();
    co_return co_await exchange_.Write(events);
  }

  awaitable<AttemptEnd> RelayWhole(net::AnswerStream& answer,
                                   const placement::Member& member) {
    std::string body;
    for (;;) {
      auto part = co_await answer.Read();
      if (!part.ok()) {
        NoteTargetFailure(part.error(), member);
        co_return AttemptEnd::kRetry;
      }
      if (part.value().empty()) break;
      body += part.value();
    }
    net::Response response =
        net::MakeResponse(kOk, std::move(body), "application/json");
    SetAnswerHeaders(response, member);
    metrics_.first_token.Record(RuntimeClock::now() - exchange_.started());
    metrics_.answered.Add();
    co_await exchange_.Respond(std::move(response));
    co_return AttemptEnd::kFinished;
  }

  void SetError(ErrorId id, std::string message, Verdict verdict) {
    error_ = {id, std::move(message), Combine(error_.verdict, verdict)};
  }

  void NoteTargetFailure(const Error& error, const placement::Member& member) {
    SetError(error.id, member.id + ": " + error.message, error.verdict);
    const bool is_unreachable = error.id == ErrorId::kTargetUnreachable ||
                                error.id == ErrorId::kTargetSilent;
    if (is_unreachable) {
      member.load->Suspect(RuntimeClock::now() + router::kSuspicion);
    }
  }

  void SetRefusal(placement::Refusal refusal) {
    // A failure of an earlier attempt says more than the lack of another
    // target.
    if (!plan_.excluded.empty()) return;
    if (refusal == placement::Refusal::kNoTarget) {
      SetError(ErrorId::kNoTarget,
               fmt::format("pool {} has no target", plan_.model->pool),
               Verdict::kNotRun);
    } else {
      SetError(ErrorId::kOverloaded,
               "no target would start the answer before the deadline",
               Verdict::kNotRun);
    }
  }

  awaitable<void> SendError() {
    metrics_.CountError(error_);
    telemetry::Log(Level::kInfo, telemetry::event::kRequestFailed,
                   {{"request", context_.id},
                    {"account", context_.account},
                    {"error", Name(error_.id)},
                    {"message", error_.message},
                    {"verdict", ToString(error_.verdict)}});
    if (exchange_.is_started()) {
      co_await exchange_.Write(ErrorEvent(error_));
      co_await exchange_.FinishStream();
      exchange_.CloseAfter();
      co_return;
    }
    net::Response answer = ErrorAnswer(error_);
    answer.set(kRequestIdHeader, context_.id);
    co_await exchange_.Respond(std::move(answer));
  }

  void LogAttempt(const placement::Member& member) const {
    telemetry::Log(Level::kInfo, telemetry::event::kAttemptFailed,
                   {{"request", context_.id},
                    {"target", member.id},
                    {"error", Name(error_.id)},
                    {"message", error_.message},
                    {"position", relay_.next_position()}});
  }

  void FinishDecisionSpan(const placement::Decision& decision,
                          RuntimeClock::time_point start) {
    if (!context_.trace.is_sampled) return;
    Span span{telemetry::Tracer::Child(context_.trace),
              "decision",
              start,
              RuntimeClock::now(),
              decision.refusal != placement::Refusal::kNone,
              {}};
    span.attributes.emplace_back("candidates", std::to_string(decision.count));
    if (decision.refusal == placement::Refusal::kNone) {
      const placement::Candidate& choice = decision.choice();
      span.attributes.emplace_back(
          "target", plan_.targets->view.members[choice.member].id);
      span.attributes.emplace_back(
          "expected_cached_tokens",
          std::to_string(choice.expected_cached_tokens));
    }
    node_.tracer().Finish(std::move(span));
  }

  net::Exchange& exchange_;
  router::Node& node_;
  RequestMetrics& metrics_;
  const RequestContext& context_;
  CompletionPlan plan_;
  bool is_stream_;
  std::string body_;
  StreamRelay relay_;
  std::uint64_t cached_tokens_ = 0;
  Error error_{ErrorId::kNoTarget, "no target", Verdict::kNotRun};
};

nlohmann::json CandidateJson(const placement::Candidate& candidate,
                             const router::PoolTargets& targets) {
  const auto millis = [](nanoseconds d) {
    return std::chrono::duration<double, std::milli>(d).count();
  };
  return {{"target", targets.view.members[candidate.member].id},
          {"expected_cached_tokens", candidate.expected_cached_tokens},
          {"wait_ms", millis(candidate.wait)},
          {"prefill_ms", millis(candidate.prefill)},
          {"link_ms", millis(candidate.link)},
          {"billed_ms", millis(candidate.billed)},
          {"price_ms", millis(candidate.price)}};
}

}  // namespace

CompletionHandler::CompletionHandler(router::Node& node,
                                     RequestMetrics& metrics)
    : node_(node), metrics_(metrics) {}

awaitable<void> CompletionHandler::Handle(net::Exchange& exchange,
                                          bool is_chat) {
  using net::asio::experimental::awaitable_operators::operator||;
  metrics_.completions.Add();
  auto context = Establish(exchange, node_);
  std::optional<Error> error;
  std::optional<CompletionRun> run;
  if (!context.ok()) {
    error = context.error();
  } else {
    std::string body = exchange.TakeBody();
    auto request = ParseCompletion(body, is_chat);
    if (!request.ok()) {
      error = request.error();
    } else {
      auto plan = MakePlan(request.value(), context.value().account,
                           context.value().state);
      if (!plan.ok()) {
        error = plan.error();
      } else {
        auto kind =
            KindOf(exchange, context.value(), plan.value().model->default_kind);
        if (!kind.ok()) {
          error = kind.error();
        } else {
          plan.value().kind = std::move(kind.value());
          run.emplace(exchange, node_, metrics_, context.value(),
                      std::move(plan.value()), request.value(),
                      std::move(body));
        }
      }
    }
  }
  if (error) {
    metrics_.CountError(*error);
    net::Response answer = ErrorAnswer(*error);
    co_await exchange.Respond(std::move(answer));
    co_return;
  }
  const TraceContext trace = context.value().trace;
  co_await (run->Run() || exchange.WaitForClose());
  if (!exchange.is_reusable()) exchange.CloseAfter();
  Span span{trace, "edge", exchange.started(), RuntimeClock::now(), false, {}};
  span.attributes.emplace_back("request", context.value().id);
  span.attributes.emplace_back("account", context.value().account);
  node_.tracer().Finish(std::move(span));
}

Result<nlohmann::json> CompletionHandler::Explain(const std::string& body,
                                                  bool is_chat,
                                                  const std::string& account) {
  const auto state = node_.directory().cell().Load();
  if (!state->is_ready()) {
    return Error{ErrorId::kNotReady, node_.CheckReadiness().reason,
                 Verdict::kNotRun};
  }
  if (!state->config->accounts.contains(account)) {
    return Error{ErrorId::kNotAuthenticated,
                 fmt::format("\"{}\" is not a client account", account),
                 Verdict::kNotRun};
  }
  auto request = ParseCompletion(body, is_chat);
  if (!request.ok()) return request.error();
  auto plan = MakePlan(request.value(), account, state);
  if (!plan.ok()) return plan.error();
  const placement::Decision decision =
      DecideFor(plan.value(), node_, state->config->defaults.deadline);
  nlohmann::json candidates = nlohmann::json::array();
  for (std::size_t i = 0; i < decision.count; ++i) {
    candidates.push_back(
        CandidateJson(decision.candidates[i], *plan.value().targets));
  }
  std::string chosen;
  if (decision.refusal == placement::Refusal::kNone) {
    chosen = plan.value().targets->view.members[decision.choice().member].id;
  }
  constexpr std::string_view kRefusals[] = {"", "no target", "overloaded"};
  return nlohmann::json{
      {"chosen", chosen},
      {"refusal", kRefusals[static_cast<int>(decision.refusal)]},
      {"prompt_tokens", plan.value().tokens},
      {"levels", plan.value().levels.size()},
      {"home_width", decision.home_width},
      {"candidates", candidates}};
}

}  // namespace beryllane::caller
