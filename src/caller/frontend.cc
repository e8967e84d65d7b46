#include "src/caller/frontend.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "fmt/format.h"
#include "src/caller/error_response.h"
#include "src/net/percent_encoding.h"
#include "src/telemetry/log.h"

namespace beryllane::caller {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

net::ServerLimits ServerLimitsFrom(const router::Settings& settings) {
  net::ServerLimits limits;
  limits.body_bytes = settings.max_body_bytes;
  limits.head_timeout = settings.head_timeout;
  limits.body_timeout = settings.body_timeout;
  return limits;
}

net::Response JsonResponse(int status, const json& body) {
  return net::MakeResponse(
      status, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
      "application/json");
}

bool IsPost(const net::Exchange& exchange) {
  return exchange.request().method() == net::http::verb::post;
}

Error NoSuchPath(const std::string& path) {
  return {ErrorId::kNoSuchPath, fmt::format("unknown path \"{}\"", path),
          Verdict::kNotRun};
}

Error MethodNotAllowed(const std::string& path) {
  return {ErrorId::kMethodNotAllowed,
          fmt::format("\"{}\" accepts only POST", path), Verdict::kNotRun};
}

}  // namespace

Frontend::Frontend(router::Node& node)
    : node_(node),
      metrics_(node.metrics()),
      completions_(node, metrics_),
      services_(node, metrics_),
      server_(
          node.request_loops(), ServerLimitsFrom(node.settings()),
          [this](net::Exchange& e) { return HandleCaller(e); }, ErrorResponse),
      admin_(
          node.request_loops(), ServerLimitsFrom(node.settings()),
          [this](net::Exchange& e) { return HandleAdmin(e); }, ErrorResponse) {
  node.metrics().AddCallbackGauge(
      "beryllane_exchanges_running", "Requests being answered now",
      [this] { return static_cast<double>(server_.running()); });
}

Result<Done> Frontend::Start() {
  auto listening = server_.Listen(node_.settings().listen);
  if (!listening.ok()) return listening.error();
  auto admin = admin_.Listen(node_.settings().admin_listen);
  if (!admin.ok()) return admin.error();
  return Done{};
}

awaitable<std::int64_t> Frontend::Drain() {
  constexpr milliseconds kDrainPollInterval{20};
  const auto drain_deadline =
      RuntimeClock::now() + node_.settings().drain_limit;
  telemetry::Log(telemetry::Level::kInfo, telemetry::event::kDraining,
                 {{"running", server_.running()}});
  // Readiness fails first, and responses close their connections, so that the
  // load balancer sends new requests elsewhere before any is refused.
  node_.SetStopping();
  server_.CloseAfterResponses();
  co_await net::Sleep(node_.settings().drain_grace);
  server_.StopAccepting();
  server_.CloseIdle();
  while (server_.running() > 0 && RuntimeClock::now() < drain_deadline) {
    co_await net::Sleep(kDrainPollInterval);
  }
  co_await node_.Drain();
  co_return server_.running();
}

awaitable<void> Frontend::HandleCaller(net::Exchange& exchange) {
  const std::string path(net::Target(exchange.request()));
  const bool is_chat = path == "/v1/chat/completions";
  const bool is_completion = is_chat || path == "/v1/completions";
  if (is_completion && IsPost(exchange)) {
    co_await completions_.Handle(exchange, is_chat);
  } else if (path.starts_with("/services/")) {
    co_await services_.Handle(exchange);
  } else if (path == "/healthz" || path == "/readyz") {
    co_await HandleHealth(exchange, path == "/readyz");
  } else {
    const Error error =
        is_completion ? MethodNotAllowed(path) : NoSuchPath(path);
    net::Response response = ErrorResponse(error);
    co_await exchange.Respond(std::move(response));
  }
}

awaitable<void> Frontend::HandleHealth(net::Exchange& exchange,
                                       bool is_readiness_check) {
  const router::Readiness readiness = node_.CheckReadiness();
  const bool ok = !is_readiness_check || readiness.is_ready;
  const json body{{"ok", ok}, {"reason", readiness.reason}};
  net::Response response = JsonResponse(ok ? 200 : 503, body);
  co_await exchange.Respond(std::move(response));
}

awaitable<void> Frontend::HandleAdmin(net::Exchange& exchange) {
  const std::string path(net::Target(exchange.request()));
  if (path == "/healthz" || path == "/readyz") {
    co_await HandleHealth(exchange, path == "/readyz");
  } else if (path == "/metrics") {
    net::Response response = net::MakeResponse(200, node_.metrics().Serialize(),
                                               "text/plain; version=0.0.4");
    co_await exchange.Respond(std::move(response));
  } else if (path == "/status") {
    json status = co_await net::asio::co_spawn(
        node_.control_loop(), StatusOnControl(), net::asio::use_awaitable);
    net::Response response = JsonResponse(200, status);
    co_await exchange.Respond(std::move(response));
  } else if (path.starts_with("/explain/") && IsPost(exchange)) {
    co_await HandleExplain(exchange);
  } else if (path == "/drain" && IsPost(exchange)) {
    if (on_drain_request_) on_drain_request_();
    const json body{{"draining", true}};
    net::Response response = JsonResponse(202, body);
    co_await exchange.Respond(std::move(response));
  } else {
    net::Response response = ErrorResponse(NoSuchPath(path));
    co_await exchange.Respond(std::move(response));
  }
}

awaitable<json> Frontend::StatusOnControl() { co_return node_.StatusJson(); }

awaitable<void> Frontend::HandleExplain(net::Exchange& exchange) {
  constexpr std::string_view kPathPrefix = "/explain/";
  const std::string account = net::PercentDecode(
      net::Target(exchange.request()).substr(kPathPrefix.size()));
  const std::string body = exchange.TakeBody();
  const bool is_chat = body.find("\"messages\"") != std::string::npos;
  auto explained = completions_.Explain(body, is_chat, account);
  net::Response response = explained.ok() ? JsonResponse(200, explained.value())
                                          : ErrorResponse(explained.error());
  co_await exchange.Respond(std::move(response));
}

}  // namespace beryllane::caller
