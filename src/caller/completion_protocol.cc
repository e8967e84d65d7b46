#include "src/caller/completion_protocol.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "fmt/format.h"
#include "src/caller/error_response.h"
#include "src/telemetry/log.h"

namespace beryllane::caller {
namespace {

using exchange::Classification;
using exchange::Target;
using std::chrono::nanoseconds;
using telemetry::Level;
using telemetry::Span;

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kMinServerErrorStatus = 500;

template <typename T>
T ParseOr(std::string_view text, T fallback, int base = 10) {
  T value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

void ReadLoadHeader(std::string_view text, placement::LoadCell& load) {
  // Value of an engine's `Engine-Load` header:
  // "<queued tokens> <running requests> <prefill tokens per second>". The last
  // is the rate that the engine states for itself, not one measured here.
  const std::size_t first = text.find(' ');
  const std::size_t second = text.find(' ', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return;
  }
  load.ApplyReport(
      {ParseOr<std::uint32_t>(text.substr(0, first), 0),
       ParseOr<std::uint32_t>(text.substr(first + 1, second - first - 1), 0),
       ParseOr<std::uint32_t>(text.substr(second + 1), 0),
       RuntimeClock::now()});
}

}  // namespace

CompletionProtocol::CompletionProtocol(net::Exchange& exchange,
                                       router::Node& node,
                                       RequestMetrics& metrics,
                                       const RequestContext& context,
                                       CompletionPlan plan, bool is_stream,
                                       std::string body)
    : exchange_(exchange),
      node_(node),
      metrics_(metrics),
      context_(context),
      plan_(std::move(plan)),
      is_stream_(is_stream),
      body_(std::move(body)),
      relay_(context.id) {
  CountPrefixArrivals(plan_, node_);
  node_.retry_budget().Credit(defaults().retry_budget);
}

const config::Defaults& CompletionProtocol::defaults() const {
  return plan_.state->config->defaults;
}

const placement::PoolTarget& CompletionProtocol::pool_target() const {
  return plan_.targets->view.targets[choice_.target_index];
}

Result<Target> CompletionProtocol::Choose() {
  const auto decision_start = RuntimeClock::now();
  const placement::Decision decision =
      DecidePlacement(plan_, node_, context_.TimeLeft());
  FinishDecisionSpan(decision, decision_start);
  if (decision.refusal != placement::Refusal::kNone) {
    return RefusalError(decision.refusal);
  }
  choice_ = decision.choice();
  attempt_trace_ = telemetry::Tracer::Child(context_.trace);
  attempt_start_ = RuntimeClock::now();
  metrics_.attempts.Add();
  if (relay_.next_position() > 0) metrics_.resumes.Add();
  relay_.DiscardPartial();
  pending_prefill_.emplace(pool_target().load,
                           plan_.tokens - choice_.expected_cached_tokens);
  return Target{std::string(pool_target().id),
                plan_.targets->addresses[choice_.target_index]};
}

Error CompletionProtocol::RefusalError(placement::Refusal refusal) const {
  if (refusal == placement::Refusal::kNoTarget) {
    return {ErrorId::kNoTarget,
            fmt::format("pool {} has no target", plan_.model->pool),
            Verdict::kNotRun};
  }
  return {ErrorId::kOverloaded,
          "no target would start the answer before the deadline",
          Verdict::kNotRun};
}

net::Request CompletionProtocol::Encode(const Target& /*target*/) const {
  EngineFields fields;
  fields.cache_salt = plan_.cache_salt;
  fields.weights_version = plan_.model->weights_version;
  fields.priority = plan_.kind.priority;
  fields.resume_from = relay_.next_position();
  net::Request request =
      net::MakeRequest(net::http::verb::post, net::Target(exchange_.request()),
                       EngineBody(body_, fields), "application/json");
  request.set(kRequestIdHeader, context_.id);
  request.set("traceparent", telemetry::ToTraceparent(attempt_trace_));
  return request;
}

net::CallOptions CompletionProtocol::Options() const {
  net::CallOptions options;
  options.connect_timeout = defaults().connect_timeout;
  options.answer_timeout = std::min(context_.TimeLeft(), HeadTimeout());
  options.total_timeout = context_.TimeLeft();
  return options;
}

// A target that takes far longer than predicted to respond is assumed to have
// lost the request.
nanoseconds CompletionProtocol::HeadTimeout() const {
  constexpr int kPredictionFactor = 4;
  if (!is_stream_) return context_.TimeLeft();
  return nanoseconds(defaults().progress_timeout) +
         kPredictionFactor * (choice_.wait + choice_.prefill);
}

nanoseconds CompletionProtocol::ProgressTimeout() const {
  return defaults().progress_timeout;
}

Classification CompletionProtocol::Classify(const net::AnswerStream& response,
                                            const Target& target) {
  const int status = response.status();
  if (status != kOkStatus) {
    const bool may_work_elsewhere = status == kConflictStatus ||
                                    status == kTooManyRequestsStatus ||
                                    status >= kMinServerErrorStatus;
    return {Classification::Kind::kFailed,
            {ErrorId::kTargetFailed,
             fmt::format("{} responded with status {}", target.id, status),
             may_work_elsewhere ? Verdict::kMayHaveRun : Verdict::kRan}};
  }
  const std::string_view id = net::Header(response.head(), "Engine-Request-Id");
  if (id != context_.id) {
    metrics_.crossed_answers.Add();
    return {Classification::Kind::kFailed,
            {ErrorId::kTargetAnswerInvalid,
             fmt::format("{} sent the response to another request", target.id),
             Verdict::kMayHaveRun}};
  }
  pending_prefill_->Finish();
  pool_target().load->ClearSuspicion();
  ReadEngineHeaders(response);
  return {Classification::Kind::kRelay, {}};
}

void CompletionProtocol::ReadEngineHeaders(const net::AnswerStream& response) {
  const auto& head = response.head();
  const auto incarnation =
      ParseOr<std::uint64_t>(net::Header(head, "Engine-Incarnation"), 0, 16);
  ReadLoadHeader(net::Header(head, "Engine-Load"), *pool_target().load);
  if (incarnation != 0) {
    pool_target().load->set_incarnation(incarnation);
    RecordCachedPrefixes(plan_, node_, incarnation);
  }
  const auto prompt =
      ParseOr<std::uint64_t>(net::Header(head, "Engine-Prompt-Tokens"), 0);
  cached_tokens_ =
      ParseOr<std::uint64_t>(net::Header(head, "Engine-Cached-Tokens"), 0);
  metrics_.prompt_tokens.Add(prompt);
  metrics_.cached_tokens.Add(cached_tokens_);
}

Result<std::string> CompletionProtocol::Feed(const std::string& bytes) {
  if (context_.TimeLeft() <= nanoseconds(0)) {
    return Error{ErrorId::kDeadlineExceeded,
                 "the deadline passed while the response was being sent",
                 Verdict::kRan};
  }
  auto events = relay_.Feed(bytes);
  if (!events.ok()) metrics_.crossed_answers.Add();
  if (events.ok()) metrics_.stream_reads.Add();
  return events;
}

Result<Done> CompletionProtocol::OnStreamEnd() const {
  return Error{ErrorId::kStreamBroken,
               fmt::format("{} closed the stream before its end marker",
                           pool_target().id),
               Verdict::kRan};
}

template <typename Head>
void CompletionProtocol::SetResponseHeaders(Head& head,
                                            const Target& target) const {
  head.set(kRequestIdHeader, context_.id);
  head.set(kVerdictHeader, std::string(ToString(Verdict::kRan)));
  head.set(kTargetHeader, target.id);
  head.set(kCachedTokensHeader, std::to_string(cached_tokens_));
  head.set("traceparent", telemetry::ToTraceparent(context_.trace));
}

net::http::response<net::http::empty_body> CompletionProtocol::StreamHead(
    const net::AnswerStream& /*response*/, const Target& target) const {
  net::http::response<net::http::empty_body> head(net::http::status::ok,
                                                  net::kHttp11);
  head.set(net::http::field::content_type, "text/event-stream");
  head.set(net::http::field::cache_control, "no-cache");
  SetResponseHeaders(head, target);
  metrics_.first_token.Record(RuntimeClock::now() - exchange_.started());
  return head;
}

net::Response CompletionProtocol::BufferedResponse(
    const net::AnswerStream& /*answer*/, std::string body,
    const Target& target) const {
  net::Response response =
      net::MakeResponse(kOkStatus, std::move(body), "application/json");
  SetResponseHeaders(response, target);
  metrics_.first_token.Record(RuntimeClock::now() - exchange_.started());
  return response;
}

void CompletionProtocol::OnAttemptEnd(const Target& target,
                                      const Error* error) {
  pending_prefill_.reset();
  Span span{attempt_trace_,      "target",         attempt_start_,
            RuntimeClock::now(), error != nullptr, {}};
  span.attributes.emplace_back("target", target.id);
  if (error == nullptr) {
    metrics_.duplicate_events.Add(relay_.duplicates());
  } else {
    span.attributes.emplace_back("error", error->message);
    plan_.excluded.push_back(
        plan_.targets->view.id_hashes[choice_.target_index]);
    const bool is_unreachable = error->id == ErrorId::kTargetUnreachable ||
                                error->id == ErrorId::kTargetSilent;
    if (is_unreachable) {
      pool_target().load->Suspect(RuntimeClock::now() + router::kTargetBackoff);
    }
    telemetry::Log(Level::kInfo, telemetry::event::kAttemptFailed,
                   {{"request", context_.id},
                    {"target", target.id},
                    {"error", Name(error->id)},
                    {"message", error->message},
                    {"position", relay_.next_position()}});
  }
  node_.tracer().Finish(std::move(span));
}

bool CompletionProtocol::ShouldRetry(Error& error, int attempts) {
  if (error.id == ErrorId::kDeadlineExceeded) return false;
  if (attempts >= defaults().max_attempts) return false;
  if (context_.TimeLeft() <= nanoseconds(0)) {
    error = Error{ErrorId::kDeadlineExceeded,
                  "the deadline passed; last failure: " + error.message,
                  error.verdict};
    return false;
  }
  if (!node_.retry_budget().TryAcquire()) {
    error.message += "; no retry: the retry budget is exhausted";
    return false;
  }
  metrics_.retries.Add();
  return true;
}

void CompletionProtocol::FinishDecisionSpan(
    const placement::Decision& decision,
    RuntimeClock::time_point decision_start) {
  if (!context_.trace.is_sampled) return;
  Span span{telemetry::Tracer::Child(context_.trace),
            "decision",
            decision_start,
            RuntimeClock::now(),
            decision.refusal != placement::Refusal::kNone,
            {}};
  span.attributes.emplace_back("candidates", std::to_string(decision.count));
  if (decision.refusal == placement::Refusal::kNone) {
    const placement::Candidate& choice = decision.choice();
    span.attributes.emplace_back(
        "target", plan_.targets->view.targets[choice.target_index].id);
    span.attributes.emplace_back("expected_cached_tokens",
                                 std::to_string(choice.expected_cached_tokens));
  }
  node_.tracer().Finish(std::move(span));
}

}  // namespace beryllane::caller
