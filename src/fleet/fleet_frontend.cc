#include "src/fleet/fleet_frontend.h"

#include <algorithm>
#include <utility>

#include "beryllane/hash/hash.h"
#include "fmt/format.h"
#include "src/caller/error_response.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using exchange::ForwardResult;
using net::asio::awaitable;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using telemetry::Level;

// Maximum time between the check of a credential and sending its request.
constexpr milliseconds kRevocationMargin{200};
// The store is read again within this time of its recovery.
constexpr milliseconds kStoreRegainTime{1000};
// By then a retry reaches another host or finds a free slot.
constexpr milliseconds kRetryAfter{200};
// A queue that is too long for a request is not much shorter before then.
constexpr milliseconds kQueueRetryAfter{500};
// A used-up allowance is shared by the account's other requests; an earlier
// return would mostly be refused again.
constexpr milliseconds kAllowanceRetryAfter{500};
// Maximum wait for units of an allowance, for the time in which routers notice
// that the owner of its ledger has gone. A request with little time left waits
// for a part of that time only.
constexpr milliseconds kMaxLeaseWait{1600};
constexpr int kLeaseWaitDivisor = 2;
// Memory of a waiting request besides its body: head, connection, state.
constexpr std::size_t kRequestBytes = 8 * 1024;
// Part of the shortest goal of a service that may pass in the queues of its
// targets; the rest is for the prefill and the way.
constexpr int kStartDelayDivisor = 2;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;

// The shortest latency target among the routes of a service.
milliseconds ShortestGoal(const FleetConfig& config,
                          const std::string& service) {
  milliseconds shortest = milliseconds::max();
  for (const Route& route : config.routes) {
    for (const TrafficShare& share : route.shares) {
      if (share.service == service) {
        shortest = std::min(shortest, route.latency_target);
      }
    }
  }
  return shortest;
}

WeightsBounds WeightsBoundsOf(const platform::Bounds& bounds) {
  WeightsBounds weights;
  weights.lifetime = bounds.old_weights_lifetime;
  weights.settle_time =
      std::max(milliseconds(0), bounds.stable_window - kStoreRegainTime);
  return weights;
}

Error Refusal(ErrorId id, std::string message) {
  return {id, std::move(message), Verdict::kNotRun};
}

// Status 503 guarantees that the request did not run, so errors without that
// guarantee must use another status.
int StatusOf(const Error& error) {
  constexpr int kServerErrors = 500;
  const int status = HttpStatus(error.id);
  if (status < kServerErrors) return status;
  if (error.verdict == Verdict::kNotRun) return kUnavailable;
  return status == kUnavailable ? kBadGateway : status;
}

void SetRetryAfter(net::Response& answer, std::chrono::nanoseconds time) {
  const std::chrono::duration<double> seconds = time;
  answer.set(net::http::field::retry_after,
             fmt::format("{:.3f}", seconds.count()));
}

}  // namespace

FleetFrontend::FleetFrontend(const platform::Settings& settings,
                             net::HttpClient& client, Fleet& fleet,
                             Peers& peers, PartQuarantine& quarantine,
                             allowance::AccountAllowances& allowances,
                             admission::AdmissionLines& admission_lines,
                             const StoreFollower& follower,
                             const net::LoopLag& loop_lag,
                             MetricRegistry& metrics)
    : settings_(settings),
      client_(client),
      fleet_(fleet),
      peers_(peers),
      quarantine_(quarantine),
      allowances_(allowances),
      admission_lines_(admission_lines),
      follower_(follower),
      loop_lag_(loop_lag),
      placement_settings_{settings.availability_zone, settings.region,
                          settings.region_of_zone,
                          WeightsBoundsOf(settings.bounds)},
      metrics_(metrics) {}

bool FleetFrontend::IsConfigFresh() const {
  if (!settings_.bounds.is_revocation_strict) return true;
  return follower_.freshness().IsWithin(
      settings_.bounds.max_revocation_delay - kRevocationMargin,
      BootClock::now());
}

bool FleetFrontend::IsReady(std::string& reason) const {
  if (is_stopping_) {
    reason = "the router is stopping";
  } else if (!fleet_.config()) {
    reason = "no configuration yet";
  } else if (!follower_.has_targets()) {
    reason = "no list of targets yet";
  } else if (!IsConfigFresh()) {
    reason = "the store has not confirmed the configuration for too long";
  } else {
    return true;
  }
  return false;
}

Result<const Account*> FleetFrontend::Authenticate(
    const FleetConfig& config, const Route& route,
    const std::string& credential) const {
  if (!config.needs_credentials || route.is_public) return nullptr;
  if (!IsConfigFresh()) {
    return Refusal(ErrorId::kNotReady,
                   "credentials cannot be checked: the store has not "
                   "confirmed the configuration for too long");
  }
  const auto account = config.account_by_credential.find(credential);
  if (account == config.account_by_credential.end()) {
    return Refusal(ErrorId::kNotAuthenticated,
                   "the credential belongs to no client account");
  }
  return &config.accounts[account->second];
}

Result<RoutedRequest> FleetFrontend::Admit(const net::Exchange& exchange) {
  RoutedRequest routed;
  routed.config = fleet_.config();
  if (!routed.config || !follower_.has_targets()) {
    return Refusal(ErrorId::kNotReady, "no configuration yet");
  }
  auto request = platform::DecodeRequest(exchange.request());
  if (!request.ok()) return request.error();
  routed.request = std::move(request.value());
  routed.route =
      FindRoute(*routed.config, routed.request.host, routed.request.path);
  if (routed.route == nullptr) {
    if (!IsConfigFresh()) {
      return Refusal(ErrorId::kNotReady, "the configuration may be outdated");
    }
    return Refusal(ErrorId::kNoSuchPath,
                   fmt::format("no route for host \"{}\" and path \"{}\"",
                               routed.request.host, routed.request.path));
  }
  auto account =
      Authenticate(*routed.config, *routed.route, routed.request.credential);
  if (!account.ok()) return account.error();
  routed.account = account.value();
  const std::string& name = PickService(*routed.route, routed.request.id);
  const auto service = routed.config->services.find(name);
  if (service == routed.config->services.end()) {
    return Refusal(ErrorId::kNoTarget,
                   fmt::format("service {} is not configured", name));
  }
  routed.service = &service->second;
  routed.started = exchange.started();
  const milliseconds timeout =
      std::min(routed.request.deadline.value_or(routed.route->timeout),
               routed.route->timeout);
  routed.deadline = routed.started + timeout;
  return routed;
}

awaitable<void> FleetFrontend::WaitForCallerToGo(net::Exchange& exchange,
                                                 PromptRequest& prompt) {
  co_await exchange.WaitForClose();
  prompt.Abandon();
}

awaitable<std::optional<Error>> FleetFrontend::WaitForAdmission(
    RoutedRequest& routed, RunnerProtocol& protocol) {
  const bool is_admitted_by_line =
      admission_lines_.is_enabled() && routed.service->engine;
  if (!is_admitted_by_line) co_return std::nullopt;
  WaitingRequest waiting;
  waiting.urgency = UrgencyOf(*routed.route, routed.account);
  if (routed.account != nullptr) {
    waiting.account = HashBytes(routed.account->name).low;
  }
  waiting.kind = HashBytes(routed.route->name).low;
  waiting.arrived = routed.started;
  waiting.goal = routed.started + routed.route->latency_target;
  waiting.deadline = routed.deadline;
  waiting.work = routed.request.prompt_tokens;
  waiting.bytes = routed.body.size() + kRequestBytes;
  auto& line = admission_lines_.LineOf(routed.service->name);
  line.set_target_delay(ShortestGoal(*routed.config, routed.service->name) /
                        kStartDelayDivisor);
  auto find_obstacle = [&]() -> std::optional<admission::Rejection> {
    auto error = protocol.FindObstacle();
    if (!error) return std::nullopt;
    admission::Rejection rejection;
    rejection.error = std::move(*error);
    return rejection;
  };
  auto entered = co_await line.Enter(waiting, find_obstacle);
  if (auto* rejection = std::get_if<admission::Rejection>(&entered)) {
    if (rejection->retry_after > std::chrono::nanoseconds(0)) {
      routed.retry_after = rejection->retry_after;
    }
    co_return std::move(rejection->error);
  }
  protocol.SetStartPlace(std::move(std::get<admission::StartPlace>(entered)));
  co_return std::nullopt;
}

awaitable<std::optional<Error>> FleetFrontend::ChargeAllowance(
    const RoutedRequest& routed, std::optional<allowance::Charge>& charge) {
  const Account* account = routed.account;
  if (account == nullptr || !account->allowance) co_return std::nullopt;
  const double cost = allowance::CostOf(*account->allowance, routed.request);
  const auto wait =
      std::min(kMaxLeaseWait, routed.TimeLeft() / kLeaseWaitDivisor);
  auto charged =
      co_await allowances_.Acquire(*account, cost, RuntimeClock::now() + wait);
  if (!charged.ok()) co_return std::move(charged.error());
  charge = std::move(charged.value());
  co_return std::nullopt;
}

awaitable<ForwardResult> FleetFrontend::ChargeAndForward(
    net::Exchange& exchange, RoutedRequest& routed, RunnerProtocol& protocol,
    std::optional<allowance::Charge>& charge) {
  ForwardResult refused;
  refused.kind = ForwardResult::Kind::kFailed;
  auto error = co_await ChargeAllowance(routed, charge);
  if (!error) {
    error = co_await WaitForAdmission(routed, protocol);
  }
  const bool is_outdated =
      !error && charge && charge->IsOutdated(BootClock::now());
  if (is_outdated) {
    charge.reset();
    error = co_await ChargeAllowance(routed, charge);
  }
  if (error) {
    refused.error = std::move(*error);
    co_return refused;
  }
  exchange::RequestForwarder forwarder(exchange, client_, &protocol);
  co_return co_await forwarder.Run();
}

awaitable<ForwardResult> FleetFrontend::Forward(net::Exchange& exchange,
                                                RoutedRequest& routed,
                                                RunnerProtocol& protocol,
                                                PromptRequest& prompt) {
  using net::asio::experimental::awaitable_operators::operator||;
  ForwardResult result;
  result.kind = ForwardResult::Kind::kFailed;
  if (auto refusal = quarantine_.Admit(prompt)) {
    result.error = std::move(*refusal);
    co_return result;
  }
  const std::shared_ptr<void> registration(
      nullptr, [&](void*) { quarantine_.Leave(prompt); });
  std::optional<allowance::Charge> charge;
  auto raced = co_await (ChargeAndForward(exchange, routed, protocol, charge) ||
                         WaitForCallerToGo(exchange, prompt) ||
                         prompt.WaitForQuarantine());
  switch (raced.index()) {
    case 0:
      result = std::move(std::get<0>(raced));
      break;
    case 1:
      result.kind = ForwardResult::Kind::kCallerGone;
      break;
    default:
      result.error = {
          ErrorId::kPromptQuarantined,
          "the request was stopped: a part of its prompt crashed "
          "targets",
          protocol.attempts() == 0 ? Verdict::kNotRun : Verdict::kMayHaveRun};
  }
  const bool has_failed = result.kind == ForwardResult::Kind::kFailed;
  const bool is_not_run = has_failed ? result.error.verdict == Verdict::kNotRun
                                     : protocol.attempts() == 0;
  if (charge && is_not_run) allowances_.Refund(*charge);
  co_return result;
}

std::chrono::nanoseconds FleetFrontend::RetryAfter(
    const Error& error, const RoutedRequest& routed,
    const PromptRequest& prompt) const {
  if (error.id == ErrorId::kPromptQuarantined) {
    return quarantine_.TimeToTrial(prompt);
  }
  if (routed.retry_after) return *routed.retry_after;
  if (error.id == ErrorId::kRateLimited) {
    return SpreadRetryAfter(std::max<std::chrono::nanoseconds>(
                                kAllowanceRetryAfter,
                                allowances_.TimeToUnits(routed.account->name)),
                            routed.TimeLeft(),
                            HashBytes(routed.request.id).low);
  }
  const std::chrono::nanoseconds to_capacity =
      TimeToCapacity(fleet_, routed.service->name, RuntimeClock::now());
  const bool is_overloaded = error.id == ErrorId::kOverloaded;
  if (to_capacity <= std::chrono::nanoseconds(0) && !is_overloaded) {
    return kRetryAfter;
  }
  const milliseconds shortest = is_overloaded ? kQueueRetryAfter : kRetryAfter;
  return SpreadRetryAfter(
      std::max<std::chrono::nanoseconds>(shortest, to_capacity),
      routed.TimeLeft(), HashBytes(routed.request.id).low);
}

awaitable<void> FleetFrontend::Shed(net::Exchange& exchange) {
  constexpr milliseconds kBase{500};
  constexpr milliseconds kSpread{500};
  metrics_.shed.Add();
  // Spreads the callers evenly without a look at their requests.
  constexpr std::uint64_t kStep = 309;
  const auto offset = milliseconds(metrics_.shed.value() * kStep %
                                   static_cast<std::uint64_t>(kSpread.count()));
  net::Response answer = caller::ErrorResponse(
      Refusal(ErrorId::kOverloaded, "the router computes too much already"));
  answer.result(static_cast<unsigned>(kUnavailable));
  SetRetryAfter(answer, kBase + offset);
  co_await exchange.Respond(std::move(answer));
}

awaitable<void> FleetFrontend::Handle(net::Exchange& exchange) {
  if (is_stopping_) exchange.CloseAfter();
  if (is_refusing_) {
    co_await SendError(exchange, "",
                       Refusal(ErrorId::kNotReady, "the router is stopping"),
                       kRetryAfter);
    co_return;
  }
  if (loop_lag_.IsOverloaded()) {
    co_await Shed(exchange);
    co_return;
  }
  if (platform::IsFramingAmbiguous(exchange.request())) {
    exchange.CloseAfter();
    co_await SendError(exchange, "",
                       Refusal(ErrorId::kMalformedHttp,
                               "the only transfer encoding taken is chunked"),
                       kRetryAfter);
    co_return;
  }
  const bool is_trace_with_body =
      exchange.request().method() == net::http::verb::trace &&
      !exchange.request().body().empty();
  if (is_trace_with_body) {
    exchange.CloseAfter();
    co_await SendError(exchange, "",
                       Refusal(ErrorId::kMalformedHttp,
                               "a TRACE request must not have a body"),
                       kRetryAfter);
    co_return;
  }
  auto admitted = Admit(exchange);
  if (!admitted.ok()) {
    co_await SendError(exchange, "", admitted.error(), kRetryAfter);
    co_return;
  }
  RoutedRequest& routed = admitted.value();
  routed.body = exchange.TakeBody();
  metrics_.requests.Add();
  fleet_.BudgetOf(routed.service->name).CountRequest(RuntimeClock::now());
  PromptRequest prompt(routed.request, co_await net::asio::this_coro::executor);
  RunnerProtocol protocol(fleet_, peers_, quarantine_, placement_settings_,
                          metrics_, exchange.request(), routed, prompt);
  ForwardResult result = co_await Forward(exchange, routed, protocol, prompt);
  LogOutcome(routed, protocol, result);
  switch (result.kind) {
    case ForwardResult::Kind::kResponse:
      metrics_.answered.Add();
      co_await exchange.Respond(std::move(result.response));
      break;
    case ForwardResult::Kind::kStreamed:
      metrics_.answered.Add();
      break;
    case ForwardResult::Kind::kCallerGone:
      metrics_.caller_gone.Add();
      exchange.CloseAfter();
      break;
    case ForwardResult::Kind::kFailed:
      // An aborted stream must not look complete, so the connection is closed
      // without the final chunk.
      if (exchange.is_started()) {
        metrics_.failed.Add();
        exchange.CloseAfter();
      } else {
        co_await SendError(exchange, routed.request.id, result.error,
                           RetryAfter(result.error, routed, prompt));
      }
      break;
  }
}

void FleetFrontend::LogOutcome(const RoutedRequest& routed,
                               const RunnerProtocol& protocol,
                               const ForwardResult& result) const {
  constexpr std::string_view kNames[] = {"answered", "streamed", "caller-gone",
                                         "failed"};
  const auto elapsed = RuntimeClock::now() - routed.started;
  const auto age = follower_.freshness().Age(BootClock::now());
  nlohmann::json fields{
      {"request", routed.request.id},
      {"outcome", kNames[static_cast<int>(result.kind)]},
      {"route", routed.route->name},
      {"account", routed.account == nullptr ? "" : routed.account->name},
      {"service", routed.service->name},
      {"target", protocol.last_target()},
      {"attempts", protocol.attempts()},
      {"took_ms", duration_cast<milliseconds>(elapsed).count()},
      {"config", routed.config->version},
      {"config_age_ms", age ? duration_cast<milliseconds>(*age).count() : -1}};
  if (result.kind == ForwardResult::Kind::kResponse) {
    fields["status"] = result.response.result_int();
  }
  if (result.kind == ForwardResult::Kind::kFailed) {
    fields["error"] = Name(result.error.id);
    fields["message"] = result.error.message;
    fields["verdict"] = ToString(result.error.verdict);
  }
  const bool is_failure = result.kind == ForwardResult::Kind::kFailed;
  telemetry::Log(is_failure ? Level::kWarning : Level::kInfo,
                 telemetry::event::kRequestDone, std::move(fields));
}

awaitable<void> FleetFrontend::SendError(net::Exchange& exchange,
                                         const std::string& request_id,
                                         Error error,
                                         std::chrono::nanoseconds retry_after) {
  const int status = StatusOf(error);
  net::Response answer = caller::ErrorResponse(error);
  answer.result(static_cast<unsigned>(status));
  if (status == kUnavailable || status == kTooManyRequests) {
    SetRetryAfter(answer, retry_after);
  }
  (error.verdict == Verdict::kNotRun ? metrics_.refused : metrics_.failed)
      .Add();
  if (request_id.empty()) {
    telemetry::Log(Level::kWarning, telemetry::event::kRequestFailed,
                   {{"error", Name(error.id)},
                    {"message", error.message},
                    {"status", status}});
  }
  co_await exchange.Respond(std::move(answer));
}

}  // namespace beryllane::fleet
