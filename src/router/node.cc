#include "src/router/node.h"

#include <sys/resource.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "beryllane/invariant/invariant.h"
#include "beryllane/placement/rendezvous.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::router {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;
using telemetry::Level;

constexpr std::size_t kReuseSlots = 1 << 17;
constexpr std::size_t kRateSlots = 1 << 15;
// A router that has had no confirmation of its configuration from the log or a
// peer, and no reply from a peer, for this long is not ready.
constexpr milliseconds kIsolationTimeout{12000};

double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosPerSecond = 1e6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
             kMicrosPerSecond;
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident = 0;
  statm >> total_pages >> resident;
  constexpr double kPageBytes = 4096;
  return resident * kPageBytes;
}

void LogInvariantViolation(const char* id, const char* file, int line) {
  telemetry::Log(Level::kError, telemetry::event::kInvariant,
                 {{"id", id}, {"file", file}, {"line", line}});
}

}  // namespace

Node::Node(Settings settings)
    : settings_(std::move(settings)),
      request_loops_(settings_.threads),
      tracer_({settings_.trace_sink, settings_.trace_ratio, settings_.host_id,
               settings_.availability_zone}),
      reuse_(kReuseSlots),
      rates_(kRateSlots),
      directory_(settings_),
      client_(control_loops_.at(0)),
      config_stream_(client_, control_loops_.at(0), settings_.log_service,
                     kConfigStream, metrics_, {}),
      config_(config_stream_, metrics_, settings_.log_retention,
              [this](std::shared_ptr<const config::Config> config) {
                directory_.SetConfig(std::move(config));
              }),
      peer_client_(control_loops_.at(0), metrics_),
      peer_server_(
          control_loops_.at(0), metrics_,
          [this](const std::string& message, wire::ReplyFunction reply) {
            HandlePeerRequest(message, std::move(reply));
          }),
      claims_(client_, control_loops_.at(0), settings_, directory_,
              peer_client_, metrics_),
      gossip_(settings_, directory_, config_, peer_client_, metrics_),
      load_poller_(client_, settings_, directory_, metrics_) {
  for (std::size_t i = 0; i < request_loops_.size(); ++i) {
    request_loop_states_.push_back(std::make_unique<RequestLoopState>(
        request_loops_.at(i), directory_.state_cell()));
  }
  invariant::SetHandler(LogInvariantViolation);
  invariant::SetFatal(settings_.fatal_invariants);
  metrics_.AddCallbackGauge("beryllane_process_cpu_seconds",
                            "CPU time used by the process", ProcessCpuSeconds);
  metrics_.AddCallbackGauge("beryllane_process_resident_bytes",
                            "Resident memory of the process", ResidentBytes);
  metrics_.AddCallbackGauge(
      "beryllane_ready", "Whether requests can be served",
      [this] { return CheckReadiness().is_ready ? 1 : 0; });
  metrics_.AddCallbackGauge("beryllane_trace_spans_dropped",
                            "Spans dropped because the sink was slow", [this] {
                              return static_cast<double>(tracer_.dropped());
                            });
  metrics_.AddCallbackGauge(
      "beryllane_invariant_violations", "Internal invariants violated", [] {
        double sum = 0;
        for (const auto& [id, count] : invariant::Counts()) {
          sum += static_cast<double>(count);
        }
        return sum;
      });
}

Node::~Node() { Stop(); }

Result<Done> Node::Start() {
  auto listen_result = peer_server_.Listen(settings_.peer_listen);
  if (!listen_result.ok()) return listen_result;
  net::asio::io_context& loop = control_loops_.at(0);
  const auto executor = loop.get_executor();
  net::Spawn(executor, "config", config_.Run());
  net::Spawn(executor, "hosts", PollHosts());
  net::Spawn(executor, "gossip", gossip_.Run());
  net::Spawn(executor, "loads", load_poller_.Run());
  net::Spawn(executor, "claims", claims_.Run());
  net::Spawn(executor, "maintenance", RunMaintenance());
  net::Spawn(executor, "tracer", tracer_.Run(client_));
  control_loops_.Start();
  return Done{};
}

void Node::Stop() {
  control_loops_.Stop();
  control_loops_.Join();
  tracer_.Flush();
}

awaitable<void> Node::Drain() {
  constexpr milliseconds kCheckInterval{20};
  is_draining_.store(true);
  directory_.SetDraining();
  co_await gossip_.AnnounceLeaving();
  const auto deadline = RuntimeClock::now() + settings_.drain_limit;
  while (!claims_.is_idle() && RuntimeClock::now() < deadline) {
    co_await net::Sleep(kCheckInterval);
  }
}

awaitable<void> Node::PollHosts() {
  constexpr milliseconds kInterval{1000};
  std::optional<std::uint64_t> version;
  for (;;) {
    auto hosts =
        co_await platform::FetchHosts(client_, settings_.host_list, version);
    if (hosts.ok()) {
      SetHostListUp(true, "");
      if (hosts.value()) {
        version = hosts.value()->version;
        gossip_.SetHostListJson(platform::SerializeHosts(hosts.value()->hosts));
        directory_.SetHosts(std::move(hosts.value()->hosts));
      }
    } else {
      SetHostListUp(false, hosts.error().message);
    }
    co_await net::Sleep(kInterval);
  }
}

void Node::SetHostListUp(bool is_up, const std::string& message) {
  if (is_up == is_host_list_up_) return;
  is_host_list_up_ = is_up;
  telemetry::Log(
      is_up ? Level::kInfo : Level::kWarning,
      is_up ? telemetry::event::kHostListUp : telemetry::event::kHostListDown,
      {{"message", message}});
}

awaitable<void> Node::RunMaintenance() {
  constexpr milliseconds kInterval{1000};
  bool was_ready = false;
  for (;;) {
    co_await net::Sleep(kInterval / (was_ready ? 1 : 10));
    config_.ReparseOnExpiry();
    co_await config_.RefreshCheckpoint(CheckpointRank());
    const auto confirmed =
        std::max(config_.confirmed_at(), gossip_.last_peer_reply_at());
    is_isolated_.store(RuntimeClock::now() - confirmed > kIsolationTimeout);
    const Readiness readiness = CheckReadiness();
    if (readiness.is_ready == was_ready) continue;
    was_ready = readiness.is_ready;
    telemetry::Log(
        Level::kInfo,
        was_ready ? telemetry::event::kReady : telemetry::event::kNotReady,
        {{"reason", readiness.reason}});
  }
}

std::size_t Node::CheckpointRank() const {
  const auto state = directory_.state_cell().Load();
  const Hash128 key = HashBytes("checkpoint");
  const std::uint64_t own =
      placement::RendezvousScore(key, HashBytes(settings_.host_id).low);
  std::size_t rank = 0;
  for (const Peer& router : state->routers) {
    if (placement::RendezvousScore(key, router.hash) > own) ++rank;
  }
  return rank;
}

void Node::HandlePeerRequest(const std::string& message,
                             wire::ReplyFunction reply) {
  const auto request = wire::DecodeRequest(message);
  if (!request) {
    reply("");
    return;
  }
  if (const auto* exchange = std::get_if<wire::StateExchange>(&*request)) {
    reply(gossip_.Serve(*exchange, message.size()));
  } else if (const auto* claim = std::get_if<wire::ClaimRequest>(&*request)) {
    claims_.ServeClaim(*claim, std::move(reply));
  } else if (const auto* update = std::get_if<wire::ClaimUpdate>(&*request)) {
    claims_.ServeUpdate(*update, reply);
  }
}

Readiness Node::CheckReadiness() const {
  const auto state = directory_.state_cell().Load();
  if (is_stopping_.load()) return {false, "the router is stopping"};
  if (!state->config) {
    return {
        false,
        "no configuration yet: neither the log service nor a peer gave one"};
  }
  if (!state->has_hosts) {
    return {false, "no host list yet: neither the platform nor a peer gave it"};
  }
  if (is_isolated_.load()) {
    return {false, "neither the log service nor a peer answers"};
  }
  return {true, "ready"};
}

json Node::StatusJson() const {
  const auto state = directory_.state_cell().Load();
  const Readiness readiness = CheckReadiness();
  json routers = json::array();
  for (const Peer& router : state->routers) routers.push_back(router.id);
  json targets = json::array();
  const auto now = RuntimeClock::now();
  for (const auto& [id, target] : directory_.targets()) {
    const placement::LoadReport report = target.load->report();
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - report.sampled_at);
    targets.push_back({{"id", id},
                       {"pool", target.host.pool},
                       {"zone", target.host.zone},
                       {"leaving", target.host.is_leaving},
                       {"suspect", target.load->IsSuspect(now)},
                       {"queued_tokens", report.queued_tokens},
                       {"running", report.running},
                       {"report_age_ms", age.count()}});
  }
  return {{"host", settings_.host_id},
          {"availability_zone", settings_.availability_zone},
          {"ready", readiness.is_ready},
          {"reason", readiness.reason},
          {"config_version", state->config ? state->config->version : 0},
          {"config_through", config_.log().state_end()},
          {"log_up", config_.is_log_up()},
          {"host_list_up", is_host_list_up_},
          {"routers", routers},
          {"targets", targets}};
}

}  // namespace beryllane::router
