#include "src/fleet/fleet_node.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>
#include <vector>

#include "platform/config_codec.h"
#include "src/caller/error_response.h"
#include "src/net/descriptors.h"
#include "src/net/signals.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using telemetry::Level;

// A holder may act on its lease for this long after its newest record; renewals
// are sent well before.
constexpr milliseconds kLeaseLifetime{1200};
constexpr milliseconds kLeaseMargin{200};
// The load balancer checks readiness once per second and removes a host after
// two failed checks.
constexpr milliseconds kBalancerDetectionTime{2600};
// Part of the grace period reserved for the exit of the process.
constexpr milliseconds kExitMargin{400};
// Minimum number of hosts by which the retry budget is divided, for the time
// before the other hosts are known.
constexpr std::size_t kMinHosts = 6;
// Share of the retry budget that is used; the rest covers requests and retries
// that the platform counts differently.
constexpr double kBudgetShare = 0.8;

lease::Timing LeaseTiming(const platform::Bounds& bounds) {
  return {kLeaseLifetime, bounds.lease_gap, kLeaseMargin};
}

allowance::AllowanceTolerance ToleranceOf(const platform::Bounds& bounds) {
  return {bounds.allowance_overage, bounds.allowance_slack};
}

Peers::Identity IdentityOf(const platform::Settings& settings) {
  const std::uint16_t bus_port = settings.first_internal_port;
  const auto relay_port = static_cast<std::uint16_t>(bus_port + 1);
  return {settings.host_id, settings.availability_zone,
          net::ToString({settings.ip, bus_port}),
          net::ToString({settings.ip, relay_port})};
}

// Share of the process's memory that bodies may take up.
constexpr std::size_t kHeldShare = 4;

// Descriptors that a process uses where its settings state no number.
constexpr std::size_t kDefaultDescriptors = 16384;
// A process that still drains at the same addresses has ended by then, and an
// interface that is just being set up is there.
constexpr milliseconds kListenPatience{30000};
constexpr milliseconds kListenInterval{100};
constexpr milliseconds kReloadPatience{3000};
// Connections to the readiness check and to the metrics.
constexpr std::size_t kMaxOperatorConnections = 64;

net::ServerLimits CallerServerLimits(const platform::Settings& settings) {
  net::ServerLimits limits;
  const std::size_t stated = settings.max_descriptors;
  limits.max_connections = net::CallerConnections(
      net::RaiseDescriptorLimit(stated > 0 ? stated : kDefaultDescriptors));
  if (settings.memory_bytes > 0) {
    limits.held_bytes = settings.memory_bytes / kHeldShare;
  }
  return limits;
}

net::ServerLimits OperatorServerLimits() {
  net::ServerLimits limits;
  limits.max_connections = kMaxOperatorConnections;
  return limits;
}

net::Response RejectInput(const Error& error) {
  if (error.id == ErrorId::kOverloaded) {
    telemetry::Log(Level::kWarning, telemetry::event::kRequestFailed,
                   {{"error", Name(error.id)}, {"message", error.message}});
  }
  return caller::ErrorResponse(error);
}

net::Response PlainAnswer(int status, std::string text) {
  return net::MakeResponse(status, std::move(text), "text/plain");
}

}  // namespace

FleetNode::FleetNode(platform::Settings settings, std::string settings_path,
                     std::uint16_t metrics_port)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      metrics_port_(metrics_port),
      client_(pool_.at(0)),
      store_http_client_(pool_.at(0)),
      store_(store_http_client_, settings_.store_address, metrics_),
      relay_client_(pool_.at(0), metrics_),
      follower_(
          store_, relay_client_, fleet_, [this] { ApplyLimits(); }, [] {}),
      relay_server_(
          pool_.at(0), metrics_,
          [this](const std::string& message, const wire::ReplyFunction& reply) {
            auto lease = allowances_.Serve(message);
            reply(lease ? *lease : follower_.relay().Serve(message));
          }),
      peers_(pool_.at(0), store_, fleet_, IdentityOf(settings_), metrics_),
      allowances_(pool_.at(0), relay_client_, peers_, fleet_, settings_.host_id,
                  metrics_),
      quarantine_(pool_.at(0), store_, fleet_, peers_, settings_.host_id,
                  metrics_),
      cache_follower_(client_, fleet_, peers_, metrics_),
      rollout_(store_, client_, fleet_, peers_, settings_.host_id,
               LeaseTiming(settings_.bounds), metrics_),
      frontend_(settings_, client_, fleet_, peers_, quarantine_, allowances_,
                admission_lines_, follower_, loop_lag_, metrics_),
      caller_server_(
          pool_, CallerServerLimits(settings_),
          [this](net::Exchange& e) { return frontend_.Handle(e); },
          RejectInput),
      readiness_server_(
          pool_, OperatorServerLimits(),
          [this](net::Exchange& e) { return AnswerReady(e); },
          caller::ErrorResponse),
      metrics_server_(
          pool_, OperatorServerLimits(),
          [this](net::Exchange& e) { return AnswerMetrics(e); },
          caller::ErrorResponse) {
  follower_.set_peers(&peers_);
  peers_.set_loop_lag(&loop_lag_);
  follower_.set_quarantine(&quarantine_);
  fleet_.set_drain_timeout(settings_.bounds.drain_timeout);
  fleet_.set_on_leaving(
      [this](Runner& runner, const platform::TargetNotice& notice) {
        OnLeaving(runner, notice);
      });
  rollout_.set_weights_lifetime(settings_.bounds.old_weights_lifetime);
  allowances_.set_tolerance(ToleranceOf(settings_.bounds));
  admission_lines_.set_enabled(settings_.uses_admission_lines);
  UpdateRetryOptions();
  RegisterGauges();
}

void FleetNode::OnLeaving(Runner& runner,
                          const platform::TargetNotice& notice) {
  leaving_targets_.Add();
  const auto left = runner.gate->last_start() - RuntimeClock::now();
  telemetry::Log(Level::kInfo, telemetry::event::kTargetLeaving,
                 {{"target", runner.entry.id},
                  {"start_time", runner.entry.start_time},
                  {"request", notice.request_id},
                  {"status", notice.status},
                  {"last_resort_ms",
                   std::chrono::duration_cast<milliseconds>(left).count()},
                  {"running", runner.own_running},
                  {"is_hinted", runner.gate->is_hinted()}});
  client_.CloseIdle(runner.entry.address);
  peers_.AnnounceLeaving(runner);
}

void FleetNode::RegisterGauges() {
  metrics_.AddCallbackGauge("beryllane_ready", "Whether requests can be served",
                            [this] {
                              std::string reason;
                              return frontend_.IsReady(reason) ? 1 : 0;
                            });
  metrics_.AddCallbackGauge(
      "beryllane_exchanges_running", "Requests being answered now",
      [this] { return static_cast<double>(caller_server_.running()); });
  RegisterExchangeGauges();
  metrics_.AddCallbackGauge(
      "beryllane_held_bytes", "Memory that bodies of requests and answers hold",
      [this] { return static_cast<double>(caller_server_.held().held()); });
  metrics_.AddCallbackGauge(
      "beryllane_held_bytes_refusals_total",
      "Bodies for which there was no memory",
      [this] { return static_cast<double>(caller_server_.held().refusals()); });
  metrics_.AddCallbackGauge(
      "beryllane_config_age_seconds",
      "Age of the proof that the configuration is the newest", [this] {
        const auto age = follower_.freshness().Age(BootClock::now());
        return age ? std::chrono::duration<double>(*age).count() : -1;
      });
  metrics_.AddCallbackGauge(
      "beryllane_config_version", "Version of the configuration in force",
      [this] {
        const auto config = fleet_.config();
        return config ? static_cast<double>(config->version) : 0;
      });
  metrics_.AddCallbackGauge("beryllane_targets", "Targets on the list", [this] {
    return static_cast<double>(fleet_.targets().size());
  });
  metrics_.AddCallbackGauge(
      "beryllane_ignored_target_records",
      "Records of targets that were not used because they are malformed",
      [this] { return static_cast<double>(follower_.ignored_targets()); });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_rank",
      "Routers with a smaller host id that this router hears",
      [this] { return static_cast<double>(peers_.Rank()); });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_limited_targets", "Targets that name a rate limit",
      [this] {
        const auto& targets = fleet_.targets();
        return static_cast<double>(std::count_if(
            targets.begin(), targets.end(),
            [](const auto& t) { return t.second->limit.is_set(); }));
      });
  RegisterPauseGauges();
  RegisterPaceGauges();
  metrics_.AddCallbackGauge(
      "beryllane_log_dropped_total",
      "Log lines dropped because their reader was slow",
      [] { return static_cast<double>(telemetry::DroppedLogLines()); });
}

void FleetNode::RegisterExchangeGauges() {
  const net::ExchangeCounts& counts = caller_server_.counts();
  const auto add = [this](const std::string& name, const std::string& help,
                          const std::atomic<std::uint64_t>& count) {
    metrics_.AddCallbackGauge(
        name, help, [&count] { return static_cast<double>(count.load()); });
  };
  add("beryllane_exchanges_read_total", "Requests read from callers",
      counts.read);
  add("beryllane_exchanges_answered_total", "Requests answered completely",
      counts.answered);
  add("beryllane_exchanges_caller_gone_total",
      "Requests whose caller left before the answer was complete",
      counts.caller_gone);
  add("beryllane_exchanges_cut_total",
      "Requests whose connection was closed before the answer was complete",
      counts.cut);
  metrics_.AddCallbackGauge(
      "beryllane_exchanges_reading", "Requests being read now",
      [this] { return static_cast<double>(caller_server_.reading()); });
  metrics_.AddCallbackGauge(
      "beryllane_caller_connections", "Open connections of callers",
      [this] { return static_cast<double>(caller_server_.connections()); });
  const net::ConnectionCounts& without_room =
      caller_server_.connection_counts();
  add("beryllane_caller_connections_closed_idle_total",
      "Idle connections that were closed to make room for another",
      without_room.closed_idle);
  add("beryllane_caller_connections_refused_total",
      "Connections that were refused for lack of room", without_room.refused);
  metrics_.AddCallbackGauge(
      "beryllane_target_connections_idle", "Idle connections to targets",
      [this] { return static_cast<double>(client_.idle_connections()); });
  metrics_.AddCallbackGauge(
      "beryllane_task_failures_total", "Tasks that an exception ended",
      [] { return static_cast<double>(net::TaskFailures()); });
}

void FleetNode::RegisterPauseGauges() {
  metrics_.AddCallbackGauge(
      "beryllane_fleet_paused_targets",
      "Targets that want nothing from this router now", [this] {
        const auto& targets = fleet_.targets();
        const auto now = RuntimeClock::now();
        return static_cast<double>(
            std::count_if(targets.begin(), targets.end(), [now](const auto& t) {
              return t.second->gate->pause().IsPaused(now);
            }));
      });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_pauses_total", "Pauses that targets asked for",
      [this] { return static_cast<double>(fleet_.pause_counts().pauses); });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_invalid_pauses_total",
      "Answers that asked for a pause of no readable time",
      [this] { return static_cast<double>(fleet_.pause_counts().invalid); });
}

void FleetNode::RegisterPaceGauges() {
  const auto estimates = [this] {
    const auto now = RuntimeClock::now();
    std::vector<double> values;
    for (const auto& [id, runner] : fleet_.targets()) {
      if (runner->HasPace(now)) {
        values.push_back(runner->PrefillTokensPerMs(now));
      }
    }
    return values;
  };
  metrics_.AddCallbackGauge(
      "beryllane_fleet_pace_targets", "Targets that report their pace",
      [estimates] { return static_cast<double>(estimates().size()); });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_pace_tokens_per_ms_min",
      "Lowest estimate of the prompt tokens per ms of a target that reports "
      "its pace; 0 if none does",
      [estimates] {
        const auto values = estimates();
        return values.empty() ? 0
                              : *std::min_element(values.begin(), values.end());
      });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_pace_tokens_per_ms_mean",
      "Mean of the estimates over the targets that report their pace; 0 if "
      "none does",
      [estimates] {
        const auto values = estimates();
        const double sum = std::accumulate(values.begin(), values.end(), 0.0);
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
      });
  metrics_.AddCallbackGauge(
      "beryllane_fleet_pace_tokens_per_ms_max",
      "Highest estimate of the prompt tokens per ms of a target that reports "
      "its pace; 0 if none does",
      [estimates] {
        const auto values = estimates();
        return values.empty() ? 0
                              : *std::max_element(values.begin(), values.end());
      });
}

void FleetNode::UpdateRetryOptions() {
  RetryWindowOptions options;
  options.ratio = settings_.bounds.retry_ratio * kBudgetShare;
  options.slack =
      settings_.bounds.retry_slack * kBudgetShare /
      static_cast<double>(std::max(kMinHosts, peers_.known_hosts()));
  options.window = settings_.bounds.retry_window;
  fleet_.set_retry_options(options);
}

Result<Done> FleetNode::Run() {
  net::ReleaseSignals();
  const auto executor = pool_.at(0).get_executor();
  net::Spawn(executor, "stop", AwaitStop());
  net::SpawnLoop(executor, "reload", [this] { return AwaitReload(); });
  net::Spawn(executor, "start", Start());
  pool_.at(0).run();
  telemetry::Log(Level::kInfo, telemetry::event::kStopped,
                 {{"cut", caller_server_.running()},
                  {"cut_unread", caller_server_.reading()},
                  {"read", caller_server_.counts().read.load()},
                  {"answered", caller_server_.counts().answered.load()}});
  return start_result_;
}

awaitable<void> FleetNode::Start() {
  start_result_ = co_await Listen();
  if (!start_result_.ok()) {
    pool_.at(0).stop();
    co_return;
  }
  is_started_ = true;
  telemetry::Log(Level::kInfo, telemetry::event::kStarted,
                 {{"listen", net::ToString(settings_.caller_listen)},
                  {"store", net::ToString(settings_.store_address)},
                  {"availability_zone", settings_.availability_zone},
                  {"region", settings_.region}});
  const auto executor = pool_.at(0).get_executor();
  net::SpawnLoop(executor, "loop-lag", [this] { return loop_lag_.Run(); });
  net::SpawnLoop(executor, "store", [this] { return follower_.Run(); });
  net::SpawnLoop(executor, "peers", [this] { return peers_.Run(); });
  net::SpawnLoop(executor, "allowances",
                 [this] { return allowances_.WatchOwnership(); });
  net::SpawnLoop(executor, "quarantine", [this] { return quarantine_.Run(); });
  net::SpawnLoop(executor, "caches", [this] { return cache_follower_.Run(); });
  net::SpawnLoop(executor, "rollout", [this] { return rollout_.Run(); });
  net::SpawnLoop(executor, "readiness", [this] { return WatchReadiness(); });
}

awaitable<Result<Done>> FleetNode::Listen() {
  const auto done = [](const Result<net::Address>& listening) -> Result<Done> {
    if (!listening.ok()) return listening.error();
    return Done{};
  };
  std::vector<std::function<Result<Done>()>> ports;
  ports.emplace_back([this] {
    return relay_server_.Listen(IdentityOf(settings_).relay_address);
  });
  if (metrics_port_ != 0) {
    ports.emplace_back([this, done] {
      return done(metrics_server_.Listen({settings_.ip, metrics_port_}));
    });
  }
  // Callers come last, as they would wait for an answer until all ports are
  // open.
  ports.emplace_back([this, done] {
    return done(readiness_server_.Listen(settings_.ready_listen));
  });
  ports.emplace_back([this, done] {
    return done(caller_server_.Listen(settings_.caller_listen));
  });
  const auto until = RuntimeClock::now() + kListenPatience;
  for (const auto& open : ports) {
    Result<Done> opened = open();
    if (!opened.ok()) {
      telemetry::Log(Level::kWarning, telemetry::event::kWaitingToStart,
                     {{"message", opened.error().message}});
      telemetry::FlushLog();
    }
    while (!opened.ok() && RuntimeClock::now() < until) {
      co_await net::Sleep(kListenInterval);
      opened = open();
    }
    if (!opened.ok()) co_return opened;
  }
  co_return Done{};
}

awaitable<void> FleetNode::AnswerReady(net::Exchange& exchange) {
  std::string reason;
  const bool is_ready = frontend_.IsReady(reason);
  net::Response answer = PlainAnswer(is_ready ? 200 : 503, reason);
  co_await exchange.Respond(std::move(answer));
}

awaitable<void> FleetNode::AnswerMetrics(net::Exchange& exchange) {
  net::Response answer =
      net::MakeResponse(200, metrics_.Serialize(), "text/plain; version=0.0.4");
  co_await exchange.Respond(std::move(answer));
}

awaitable<void> FleetNode::WatchReadiness() {
  constexpr milliseconds kPollInterval{250};
  bool was_ready = false;
  for (;;) {
    std::string reason;
    const bool is_ready = frontend_.IsReady(reason);
    if (is_ready != was_ready) {
      telemetry::Log(
          Level::kInfo,
          is_ready ? telemetry::event::kReady : telemetry::event::kNotReady,
          {{"reason", reason}, {"running", caller_server_.running()}});
    }
    was_ready = is_ready;
    UpdateRetryOptions();
    fleet_.zone_balance().Export(metrics_);
    telemetry::FlushLog();
    client_.CloseExpired();
    store_http_client_.CloseExpired();
    co_await net::Sleep(kPollInterval);
  }
}

awaitable<void> FleetNode::AwaitStop() {
  const auto [code, signal] = co_await stop_signals_.async_wait(net::kAsTuple);
  telemetry::Log(Level::kInfo, telemetry::event::kSignalled,
                 {{"signal", signal}, {"message", code ? code.message() : ""}});
  // No caller has connected before the start is complete.
  try {
    if (is_started_) {
      co_await Drain();
    }
  } catch (const std::exception& error) {
    net::ReportTaskFailure("drain", error.what());
  }
  pool_.at(0).stop();
}

awaitable<void> FleetNode::Drain() {
  constexpr milliseconds kPollInterval{20};
  const auto start = RuntimeClock::now();
  const auto deadline = start + settings_.bounds.shutdown_grace - kExitMargin;
  telemetry::Log(Level::kInfo, telemetry::event::kDraining,
                 {{"running", caller_server_.running()}});
  // Readiness ends first. Connections that still arrive are closed after one
  // answer.
  frontend_.SetStopping();
  rollout_.Stop();
  caller_server_.CloseAfterResponses();
  co_await net::Sleep(kBalancerDetectionTime);
  // Requests accepted later might not complete within the grace period.
  frontend_.SetRefusing();
  caller_server_.StopAccepting();
  caller_server_.CloseIdle();
  const auto is_busy = [this] {
    return caller_server_.running() > 0 || caller_server_.reading() > 0 ||
           rollout_.is_busy();
  };
  // Connections that have just been accepted show at the second check.
  int idle_checks = 0;
  constexpr int kIdleChecks = 2;
  while (RuntimeClock::now() < deadline && idle_checks < kIdleChecks) {
    idle_checks = is_busy() ? 0 : idle_checks + 1;
    co_await net::Sleep(kPollInterval);
  }
}

awaitable<void> FleetNode::AwaitReload() {
  for (;;) {
    co_await reload_signals_.async_wait(net::kAsTuple);
    auto read = platform::ReadSettings(settings_path_);
    // The file may still be being written.
    const auto until = RuntimeClock::now() + kReloadPatience;
    while (!read.ok() && RuntimeClock::now() < until) {
      co_await net::Sleep(kListenInterval);
      read = platform::ReadSettings(settings_path_);
    }
    if (!read.ok()) {
      telemetry::Log(Level::kWarning, telemetry::event::kReloaded,
                     {{"ok", false}, {"message", read.error().message}});
      continue;
    }
    // The bound addresses stay; only the bounds and the store's address can
    // change.
    settings_.bounds = read.value().bounds;
    settings_.store_address = read.value().store_address;
    fleet_.set_drain_timeout(settings_.bounds.drain_timeout);
    rollout_.set_weights_lifetime(settings_.bounds.old_weights_lifetime);
    allowances_.set_tolerance(ToleranceOf(settings_.bounds));
    store_.set_address(settings_.store_address);
    telemetry::Log(
        Level::kInfo, telemetry::event::kReloaded,
        {{"ok", true}, {"store", net::ToString(settings_.store_address)}});
  }
}

void FleetNode::ApplyLimits() {
  const CallerLimits& configured = fleet_.config()->limits;
  // Margins above the configured limits. The idle margin covers the clocks of
  // callers that reuse an idle connection late.
  constexpr milliseconds kIdleMargin{1000};
  constexpr std::size_t kHeadMargin = 1024;
  net::ServerLimits limits = CallerServerLimits(settings_);
  limits.head_bytes = configured.head_bytes + kHeadMargin;
  limits.body_bytes = configured.body_bytes;
  limits.head_timeout = configured.head_timeout;
  limits.idle_timeout = configured.idle_timeout + kIdleMargin;
  caller_server_.set_limits(limits);
}

}  // namespace beryllane::fleet
