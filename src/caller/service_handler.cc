#include "src/caller/service_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <optional>
#include <utility>

#include "fmt/format.h"
#include "src/caller/error_response.h"
#include "src/caller/service_call.h"
#include "src/caller/service_protocol.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::caller {
namespace {

using claim::ClaimStatus;
using net::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using telemetry::Span;
using telemetry::TraceContext;

// Largest response body that is stored in the log for replay to repeated calls.
constexpr std::size_t kMaxLoggedBodyBytes = 4096;
// Time after the deadline of a call by which its attempt has certainly ended.
constexpr milliseconds kExpiryGrace{2000};

// The response of a target, or the error if there is none.
struct CallResult {
  std::optional<net::Response> response;
  Error error;
};

class ServiceCallExecution {
 public:
  ServiceCallExecution(net::Exchange& exchange, router::Node& node,
                       RequestMetrics& metrics, const RequestContext& context,
                       ServiceCall call)
      : exchange_(exchange),
        node_(node),
        metrics_(metrics),
        context_(context),
        call_(std::move(call)),
        body_(exchange.TakeBody()) {}

  awaitable<void> Run() {
    CallResult result;
    if (call_.needs_claim()) {
      result = co_await RunWithClaim();
    } else {
      result = co_await Send();
    }
    if (!result.response) {
      metrics_.CountError(result.error);
      telemetry::Log(telemetry::Level::kInfo, telemetry::event::kRequestFailed,
                     {{"request", context_.id},
                      {"account", context_.account},
                      {"error", Name(result.error.id)},
                      {"message", result.error.message},
                      {"verdict", ToString(result.error.verdict)}});
      result.response = ErrorResponse(result.error);
    } else {
      metrics_.answered.Add();
    }
    result.response->set(kRequestIdHeader, context_.id);
    co_await exchange_.Respond(std::move(*result.response));
  }

 private:
  Hash128 ClaimKey() const {
    return ChainHash(HashBytes(context_.account), call_.key);
  }

  Hash128 Fingerprint() const {
    const std::string_view method(exchange_.request().method_string().data(),
                                  exchange_.request().method_string().size());
    return ChainHash(ChainHash(HashBytes(method), call_.path), body_);
  }

  awaitable<CallResult> RunWithClaim() {
    claim::ClaimEntry entry;
    entry.key = ClaimKey();
    entry.id = router::NewAttemptId();
    entry.fingerprint = Fingerprint();
    entry.issued = call_.key_issued;
    const auto left =
        std::chrono::duration_cast<milliseconds>(context_.TimeLeft());
    entry.expires = RuntimeClock::WallNow() + left + kExpiryGrace;
    // The claim may use half of the time left; the rest is for the call itself.
    constexpr int kDeadlineDivisor = 2;
    const router::ClaimGateway::ClaimResult claimed =
        co_await AcquireClaim(entry, left / kDeadlineDivisor);
    const claim::ClaimAnswer& answer = claimed.answer;
    if (answer.status != ClaimStatus::kWon) co_return ResultWithNoClaim(answer);
    entry.id = claimed.id;
    const bool is_past_deadline = context_.TimeLeft() <= nanoseconds(0);
    if (is_past_deadline) {
      PostClaimUpdate(claim::WithdrawalEntry{entry.key, entry.id});
      co_return Failure(ErrorId::kDeadlineExceeded,
                        "the deadline passed before the call was sent",
                        Verdict::kNotRun);
    }
    CallResult result = co_await Send();
    RecordOutcome(entry, result);
    co_return result;
  }

  awaitable<router::ClaimGateway::ClaimResult> AcquireClaim(
      claim::ClaimEntry entry, milliseconds timeout) {
    const auto start = RuntimeClock::now();
    const TraceContext trace = telemetry::Tracer::Child(context_.trace);
    auto claimed = co_await net::asio::co_spawn(
        node_.control_loop(), node_.claims().Claim(entry, timeout),
        net::asio::use_awaitable);
    const auto end = RuntimeClock::now();
    metrics_.claim_wait.Record(end - start);
    Span span{trace,
              "peer",
              start,
              end,
              claimed.answer.status == ClaimStatus::kUnavailable,
              {}};
    span.attributes.emplace_back(
        "status", std::to_string(static_cast<int>(claimed.answer.status)));
    node_.tracer().Finish(std::move(span));
    co_return claimed;
  }

  CallResult ResultWithNoClaim(const claim::ClaimAnswer& answer) const {
    switch (answer.status) {
      case ClaimStatus::kAnswered:
        return Replay(*answer.outcome);
      case ClaimStatus::kInProgress:
        return Failure(ErrorId::kInProgress,
                       "another request with this key is in progress",
                       Verdict::kMayHaveRun);
      case ClaimStatus::kUnknownOutcome:
        return Failure(ErrorId::kOutcomeUnknown,
                       "an earlier request with this key was sent, but its "
                       "outcome is unknown",
                       Verdict::kMayHaveRun);
      case ClaimStatus::kExpired:
        return Failure(ErrorId::kKeyExpired,
                       "the key was too old when its claim was logged",
                       Verdict::kNotRun);
      case ClaimStatus::kKeyReused:
        return Failure(ErrorId::kKeyReused,
                       "the key was used for a different request",
                       Verdict::kNotRun);
      case ClaimStatus::kUnavailable:
      case ClaimStatus::kWon:
        break;
    }
    return Failure(ErrorId::kClaimUnavailable,
                   "the log service did not decide the claim in time",
                   Verdict::kNotRun);
  }

  CallResult Replay(const claim::OutcomeEntry& outcome) const {
    net::Response response =
        net::MakeResponse(outcome.status, outcome.body, outcome.content_type);
    response.set(kVerdictHeader, std::string(ToString(Verdict::kRan)));
    response.set("Beryllane-Replayed", "1");
    return {std::move(response), {}};
  }

  // Records the outcome of an attempt whose claim was won. A withdrawal
  // releases the key; an unknown outcome never does.
  void RecordOutcome(const claim::ClaimEntry& entry, const CallResult& result) {
    const bool is_not_run =
        !result.response && result.error.verdict == Verdict::kNotRun;
    if (is_not_run) {
      PostClaimUpdate(claim::WithdrawalEntry{entry.key, entry.id});
      return;
    }
    claim::OutcomeEntry outcome;
    outcome.key = entry.key;
    outcome.id = entry.id;
    if (result.response &&
        result.response->body().size() <= kMaxLoggedBodyBytes) {
      outcome.status = static_cast<int>(result.response->result_int());
      outcome.content_type = net::Header(*result.response, "Content-Type");
      outcome.body = result.response->body();
    }
    PostClaimUpdate(std::move(outcome));
  }

  void PostClaimUpdate(claim::Entry entry) {
    net::Spawn(node_.control_loop().get_executor(), "claim-update",
               node_.claims().Update(std::move(entry)));
  }

  awaitable<CallResult> Send() {
    ServiceProtocol protocol(exchange_, node_, metrics_, context_, call_,
                             body_);
    exchange::RequestForwarder forwarder(
        exchange_, node_.request_loop(exchange_.loop()).client, &protocol);
    exchange::ForwardResult forwarded = co_await forwarder.Run();
    CallResult result;
    if (forwarded.kind == exchange::ForwardResult::Kind::kResponse) {
      result.response = std::move(forwarded.response);
    } else {
      result.error = std::move(forwarded.error);
    }
    co_return result;
  }

  static CallResult Failure(ErrorId id, std::string message, Verdict verdict) {
    return {std::nullopt, Error{id, std::move(message), verdict}};
  }

  net::Exchange& exchange_;
  router::Node& node_;
  RequestMetrics& metrics_;
  const RequestContext& context_;
  ServiceCall call_;
  std::string body_;
};

}  // namespace

ServiceHandler::ServiceHandler(router::Node& node, RequestMetrics& metrics)
    : node_(node), metrics_(metrics) {}

awaitable<void> ServiceHandler::Handle(net::Exchange& exchange) {
  metrics_.service_calls.Add();
  auto context = MakeRequestContext(exchange, node_);
  if (!context.ok()) {
    metrics_.CountError(context.error());
    net::Response response = ErrorResponse(context.error());
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  auto call =
      ParseServiceCall(exchange, context.value(), node_.claims().bounds());
  if (!call.ok()) {
    metrics_.CountError(call.error());
    net::Response response = ErrorResponse(call.error());
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  // The call continues after the caller disconnects, so that its outcome is
  // recorded.
  ServiceCallExecution run(exchange, node_, metrics_, context.value(),
                           std::move(call.value()));
  co_await run.Run();
  Span span{context.value().trace, "edge", exchange.started(),
            RuntimeClock::now(),   false,  {}};
  span.attributes.emplace_back("request", context.value().id);
  span.attributes.emplace_back("account", context.value().account);
  node_.tracer().Finish(std::move(span));
}

}  // namespace beryllane::caller
