#include "src/caller/service_protocol.h"

#include <utility>

#include "beryllane/invariant/invariant.h"
#include "fmt/format.h"
#include "src/caller/error_response.h"

namespace beryllane::caller {
namespace {

using exchange::Classification;
using exchange::Target;
using std::chrono::nanoseconds;
using telemetry::Span;

constexpr int kMinServerErrorStatus = 500;

}  // namespace

ServiceProtocol::ServiceProtocol(net::Exchange& exchange, router::Node& node,
                                 RequestMetrics& metrics,
                                 const RequestContext& context,
                                 const ServiceCall& call,
                                 const std::string& body)
    : exchange_(exchange),
      node_(node),
      metrics_(metrics),
      context_(context),
      call_(call),
      body_(body) {
  const config::Defaults& defaults = context_.state->config->defaults;
  if (!call_.needs_claim()) node_.retry_budget().Credit(defaults.retry_budget);
}

ServiceProtocol::~ServiceProtocol() {
  BERYLLANE_INVARIANT("claimed-call-written-once",
                      !call_.needs_claim() || possible_runs_ <= 1);
}

const router::PoolTargets& ServiceProtocol::targets() const {
  return context_.state->pools.at(call_.pool);
}

const placement::PoolTarget& ServiceProtocol::pool_target() const {
  return targets().view.targets[target_index_];
}

Result<Target> ServiceProtocol::Choose() {
  const auto target_index = placement::PickLessLoadedOfTwo(
      targets().view, telemetry::RandomId(), excluded_, RuntimeClock::now());
  if (!target_index) {
    return Error{ErrorId::kNoTarget,
                 fmt::format("pool {} has no target", call_.pool),
                 Verdict::kNotRun};
  }
  target_index_ = *target_index;
  has_response_ = false;
  metrics_.attempts.Add();
  attempt_trace_ = telemetry::Tracer::Child(context_.trace);
  attempt_start_ = RuntimeClock::now();
  return Target{std::string(pool_target().id),
                targets().addresses[target_index_]};
}

net::CallOptions ServiceProtocol::Options() const {
  net::CallOptions options;
  options.connect_timeout = context_.state->config->defaults.connect_timeout;
  options.answer_timeout = context_.TimeLeft();
  options.total_timeout = context_.TimeLeft();
  // A call with a claimed key may run at most once. After a failed write to a
  // reused connection it would be unknown whether the target received it.
  options.needs_new_connection = call_.needs_claim();
  return options;
}

net::Request ServiceProtocol::Encode(const Target& /*target*/) const {
  const net::Request& received = exchange_.request();
  net::Request request =
      net::MakeRequest(received.method(), call_.path, body_,
                       net::Header(received, "Content-Type"));
  request.set(kRequestIdHeader, context_.id);
  request.set("traceparent", telemetry::ToTraceparent(attempt_trace_));
  request.set("Beryllane-Account", context_.account);
  if (!call_.key.empty()) request.set(kKeyHeader, call_.key);
  const std::string_view accept = net::Header(received, "Accept");
  if (!accept.empty()) request.set("Accept", std::string(accept));
  return request;
}

Classification ServiceProtocol::Classify(const net::AnswerStream& response,
                                         const Target& target) {
  has_response_ = true;
  pool_target().load->ClearSuspicion();
  // The header states that the service did not run the call.
  const bool is_refusal =
      response.status() >= kMinServerErrorStatus &&
      net::Header(response.head(), "Service-Not-Run") == "1";
  if (is_refusal) {
    // Services name no call in their responses; on a reused connection this may
    // be an earlier refusal that was written once more.
    return {Classification::Kind::kFailed,
            {ErrorId::kTargetFailed,
             fmt::format("{} refused the call with status {}", target.id,
                         response.status()),
             response.is_first() ? Verdict::kNotRun : Verdict::kMayHaveRun}};
  }
  return {Classification::Kind::kRelay, {}};
}

net::http::response<net::http::empty_body> ServiceProtocol::StreamHead(
    const net::AnswerStream& response, const Target& /*target*/) const {
  net::http::response<net::http::empty_body> head;
  net::CopyStatus(response.head(), head);
  return head;
}

net::Response ServiceProtocol::BufferedResponse(
    const net::AnswerStream& response, std::string body,
    const Target& target) const {
  net::Response relayed =
      net::MakeResponse(response.status(), std::move(body),
                        net::Header(response.head(), "Content-Type"));
  relayed.set(kVerdictHeader, std::string(ToString(Verdict::kRan)));
  relayed.set(kTargetHeader, target.id);
  return relayed;
}

void ServiceProtocol::OnAttemptEnd(const Target& target, const Error* error) {
  const bool may_have_run =
      error == nullptr || error->verdict != Verdict::kNotRun;
  if (may_have_run) ++possible_runs_;
  if (error != nullptr) {
    excluded_.push_back(targets().view.id_hashes[target_index_]);
    if (!has_response_) {
      pool_target().load->Suspect(RuntimeClock::now() + router::kTargetBackoff);
    }
  }
  Span span{attempt_trace_,      "target",         attempt_start_,
            RuntimeClock::now(), error != nullptr, {}};
  span.attributes.emplace_back("target", target.id);
  node_.tracer().Finish(std::move(span));
}

bool ServiceProtocol::ShouldRetry(Error& error, int attempts) {
  const config::Defaults& defaults = context_.state->config->defaults;
  const bool is_exhausted = attempts >= defaults.max_attempts ||
                            context_.TimeLeft() <= nanoseconds(0);
  if (is_exhausted) return false;
  // Retries only while all errors prove that the call did not run, for instance
  // because no byte of it was sent.
  if (call_.needs_claim()) return error.verdict == Verdict::kNotRun;
  if (!node_.retry_budget().TryAcquire()) return false;
  metrics_.retries.Add();
  return true;
}

}  // namespace beryllane::caller
