#include "src/caller/completion_handler.h"

#include <optional>
#include <utility>

#include "fmt/format.h"
#include "src/caller/completion_plan.h"
#include "src/caller/completion_protocol.h"
#include "src/caller/error_response.h"
#include "src/telemetry/log.h"

namespace beryllane::caller {
namespace {

using exchange::ForwardResult;
using net::asio::awaitable;
using std::chrono::nanoseconds;
using telemetry::Span;
using telemetry::TraceContext;

// A parsed request and its placement plan, ready to be forwarded.
struct ParsedCompletion {
  CompletionPlan plan;
  bool is_stream = false;
  std::string body;
};

Result<ParsedCompletion> ParseAndPlan(net::Exchange& exchange, bool is_chat,
                                      const RequestContext& context) {
  ParsedCompletion parsed;
  parsed.body = exchange.TakeBody();
  auto request = ParseCompletion(parsed.body, is_chat);
  if (!request.ok()) return request.error();
  parsed.is_stream = request.value().is_stream;
  auto plan = MakePlan(request.value(), context.account, context.state);
  if (!plan.ok()) return plan.error();
  parsed.plan = std::move(plan.value());
  auto kind =
      FindRequestKind(exchange, context, parsed.plan.model->default_kind);
  if (!kind.ok()) return kind.error();
  parsed.plan.kind = std::move(kind.value());
  return parsed;
}

awaitable<void> SendError(net::Exchange& exchange, RequestMetrics& metrics,
                          const RequestContext& context, const Error& error) {
  metrics.CountError(error);
  telemetry::Log(telemetry::Level::kInfo, telemetry::event::kRequestFailed,
                 {{"request", context.id},
                  {"account", context.account},
                  {"error", Name(error.id)},
                  {"message", error.message},
                  {"verdict", ToString(error.verdict)}});
  if (exchange.is_started()) {
    co_await exchange.Write(ErrorEvent(error));
    co_await exchange.FinishStream();
    exchange.CloseAfter();
    co_return;
  }
  net::Response response = ErrorResponse(error);
  response.set(kRequestIdHeader, context.id);
  co_await exchange.Respond(std::move(response));
}

awaitable<void> SendResult(net::Exchange& exchange, RequestMetrics& metrics,
                           const RequestContext& context,
                           ForwardResult result) {
  switch (result.kind) {
    case ForwardResult::Kind::kResponse:
      metrics.answered.Add();
      co_await exchange.Respond(std::move(result.response));
      break;
    case ForwardResult::Kind::kStreamed:
      metrics.answered.Add();
      break;
    case ForwardResult::Kind::kCallerGone:
      metrics.caller_gone.Add();
      break;
    case ForwardResult::Kind::kFailed:
      co_await SendError(exchange, metrics, context, result.error);
      break;
  }
}

nlohmann::json CandidateJson(const placement::Candidate& candidate,
                             const router::PoolTargets& targets) {
  const auto millis = [](nanoseconds d) {
    return std::chrono::duration<double, std::milli>(d).count();
  };
  return {{"target", targets.view.targets[candidate.target_index].id},
          {"expected_cached_tokens", candidate.expected_cached_tokens},
          {"wait_ms", millis(candidate.wait)},
          {"prefill_ms", millis(candidate.prefill)},
          {"link_ms", millis(candidate.round_trip)},
          {"billed_ms", millis(candidate.transfer_cost)},
          {"price_ms", millis(candidate.cost)}};
}

}  // namespace

CompletionHandler::CompletionHandler(router::Node& node,
                                     RequestMetrics& metrics)
    : node_(node), metrics_(metrics) {}

awaitable<void> CompletionHandler::Handle(net::Exchange& exchange,
                                          bool is_chat) {
  using net::asio::experimental::awaitable_operators::operator||;
  metrics_.completions.Add();
  auto context = MakeRequestContext(exchange, node_);
  std::optional<Error> error;
  std::optional<CompletionProtocol> protocol;
  if (!context.ok()) {
    error = context.error();
  } else {
    auto parsed = ParseAndPlan(exchange, is_chat, context.value());
    if (!parsed.ok()) {
      error = parsed.error();
    } else {
      protocol.emplace(exchange, node_, metrics_, context.value(),
                       std::move(parsed.value().plan), parsed.value().is_stream,
                       std::move(parsed.value().body));
    }
  }
  if (error) {
    metrics_.CountError(*error);
    net::Response response = ErrorResponse(*error);
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  exchange::RequestForwarder forwarder(
      exchange, node_.request_loop(exchange.loop()).client, &*protocol);
  auto raced = co_await (forwarder.Run() || exchange.WaitForClose());
  ForwardResult result;
  result.kind = ForwardResult::Kind::kCallerGone;
  if (raced.index() == 0) result = std::move(std::get<0>(raced));
  co_await SendResult(exchange, metrics_, context.value(), std::move(result));
  if (!exchange.is_reusable()) exchange.CloseAfter();
  Span span{context.value().trace, "edge", exchange.started(),
            RuntimeClock::now(),   false,  {}};
  span.attributes.emplace_back("request", context.value().id);
  span.attributes.emplace_back("account", context.value().account);
  node_.tracer().Finish(std::move(span));
}

Result<nlohmann::json> CompletionHandler::Explain(const std::string& body,
                                                  bool is_chat,
                                                  const std::string& account) {
  const auto state = node_.directory().state_cell().Load();
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
      DecidePlacement(plan.value(), node_, state->config->defaults.deadline);
  nlohmann::json candidates = nlohmann::json::array();
  for (std::size_t i = 0; i < decision.count; ++i) {
    candidates.push_back(
        CandidateJson(decision.candidates[i], *plan.value().targets));
  }
  std::string chosen_target;
  if (decision.refusal == placement::Refusal::kNone) {
    chosen_target =
        plan.value().targets->view.targets[decision.choice().target_index].id;
  }
  constexpr std::string_view kRefusals[] = {"", "no target", "overloaded"};
  return nlohmann::json{
      {"chosen", chosen_target},
      {"refusal", kRefusals[static_cast<int>(decision.refusal)]},
      {"prompt_tokens", plan.value().tokens},
      {"levels", plan.value().levels.size()},
      {"home_width", decision.preferred_count},
      {"candidates", candidates}};
}

}  // namespace beryllane::caller
