// The router that runs on each entry host.
#include <absl/flags/flag.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "platform/settings.h"
#include "src/caller/frontend.h"
#include "src/fleet/fleet_node.h"
#include "src/net/signals.h"
#include "src/router/node.h"
#include "src/router/settings.h"
#include "src/settings/flag_source.h"
#include "src/telemetry/crash_log.h"
#include "src/telemetry/log.h"

ABSL_FLAG(std::string, listen, "", "address for callers, ip:port");
ABSL_FLAG(std::string, admin_listen, "", "address for operators, ip:port");
ABSL_FLAG(std::string, peer_listen, "", "address for other routers, ip:port");
ABSL_FLAG(std::string, host_id, "", "name of this host in the host list");
ABSL_FLAG(std::string, availability_zone, "", "this host's zone");
ABSL_FLAG(std::string, region, "", "this host's region");
ABSL_FLAG(std::string, peers, "",
          "routers asked for state at start, ip:port,ip:port");
ABSL_FLAG(std::string, log_service, "", "address of the log service, ip:port");
ABSL_FLAG(std::string, host_list, "", "address of the host list, ip:port");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(std::string, trace_sink, "",
          "file or http://ip:port/path for spans; empty for none");
ABSL_FLAG(double, trace_ratio, 1.0, "share of requests traced, 0 to 1");
ABSL_FLAG(int, threads, 2, "request loops");
ABSL_FLAG(std::int64_t, drain_grace_ms, 1000,
          "time between failing readiness and closing the port");
ABSL_FLAG(std::int64_t, drain_limit_ms, 30000,
          "time after which a stop cuts running requests");
ABSL_FLAG(std::int64_t, log_retention_ms, 7200000,
          "time for which the log service keeps records");
ABSL_FLAG(std::int64_t, head_timeout_ms, 5000,
          "longest time that a caller may take to send a head");
ABSL_FLAG(std::int64_t, body_timeout_ms, 15000,
          "longest time that a caller may take to send a body");
ABSL_FLAG(std::int64_t, max_body_bytes, 8388608, "largest request body");
ABSL_FLAG(bool, fatal_invariants, false,
          "end the process when an internal invariant is violated");
ABSL_FLAG(bool, check_settings, false,
          "print the settings in force and where each came from, then exit");

ABSL_FLAG(bool, platform, false,
          "run on the platform: addresses come from its settings file, targets "
          "and configuration from its store");
ABSL_FLAG(std::string, platform_settings, "",
          "path of the platform's settings file; empty takes the path from the "
          "environment");
ABSL_FLAG(int, metrics_port, 0,
          "port of the metrics on the platform; 0 serves none");

namespace beryllane {
namespace {

const std::vector<std::string>& FlagNames() {
  static const std::vector<std::string> names{"listen",
                                              "admin_listen",
                                              "peer_listen",
                                              "host_id",
                                              "availability_zone",
                                              "region",
                                              "peers",
                                              "log_service",
                                              "host_list",
                                              "log_level",
                                              "trace_sink",
                                              "trace_ratio",
                                              "threads",
                                              "drain_grace_ms",
                                              "drain_limit_ms",
                                              "log_retention_ms",
                                              "head_timeout_ms",
                                              "body_timeout_ms",
                                              "max_body_bytes",
                                              "fatal_invariants",
                                              "check_settings",
                                              "platform",
                                              "platform_settings",
                                              "metrics_port"};
  return names;
}

router::RawSettings ReadRaw() {
  router::RawSettings raw;
  raw.listen = absl::GetFlag(FLAGS_listen);
  raw.admin_listen = absl::GetFlag(FLAGS_admin_listen);
  raw.peer_listen = absl::GetFlag(FLAGS_peer_listen);
  raw.host_id = absl::GetFlag(FLAGS_host_id);
  raw.availability_zone = absl::GetFlag(FLAGS_availability_zone);
  raw.region = absl::GetFlag(FLAGS_region);
  raw.peers = absl::GetFlag(FLAGS_peers);
  raw.log_service = absl::GetFlag(FLAGS_log_service);
  raw.host_list = absl::GetFlag(FLAGS_host_list);
  raw.log_level = absl::GetFlag(FLAGS_log_level);
  raw.trace_sink = absl::GetFlag(FLAGS_trace_sink);
  raw.trace_ratio = absl::GetFlag(FLAGS_trace_ratio);
  raw.threads = absl::GetFlag(FLAGS_threads);
  raw.drain_grace_ms = absl::GetFlag(FLAGS_drain_grace_ms);
  raw.drain_limit_ms = absl::GetFlag(FLAGS_drain_limit_ms);
  raw.log_retention_ms = absl::GetFlag(FLAGS_log_retention_ms);
  raw.head_timeout_ms = absl::GetFlag(FLAGS_head_timeout_ms);
  raw.body_timeout_ms = absl::GetFlag(FLAGS_body_timeout_ms);
  raw.max_body_bytes = absl::GetFlag(FLAGS_max_body_bytes);
  raw.fatal_invariants = absl::GetFlag(FLAGS_fatal_invariants);
  return raw;
}

// Runs the stop once, however many signals and requests ask for it.
class Stopper {
 public:
  Stopper(router::Node& node, caller::Frontend& front)
      : node_(node), front_(front) {}

  void Request() {
    if (is_requested_.exchange(true)) return;
    net::asio::co_spawn(node_.control_loop(), Run(), net::asio::detached);
  }

 private:
  net::asio::awaitable<void> Run() {
    const std::int64_t cut = co_await front_.Drain();
    if (cut > 0) {
      telemetry::Log(telemetry::Level::kWarning, telemetry::event::kStopForced,
                     {{"cut", cut}});
    }
    node_.request_loops().Stop();
  }

  router::Node& node_;
  caller::Frontend& front_;
  std::atomic<bool> is_requested_{false};
};

int Serve(router::Settings settings) {
  constexpr int kCannotListenExit = 3;
  if (!telemetry::InitLog(settings.log_level, "beryllaned", settings.host_id)) {
    return settings::kBadSettingsExit;
  }
  router::Node node(std::move(settings));
  if (!node.tracer().is_open()) {
    std::fputs("error 601 setting_invalid: --trace_sink cannot be opened\n",
               stderr);
    return settings::kBadSettingsExit;
  }
  caller::Frontend front(node);
  Stopper stopper(node, front);
  front.OnDrainRequest([&stopper] { stopper.Request(); });
  net::asio::signal_set signals(node.request_loops().at(0), SIGINT, SIGTERM);
  signals.async_wait(
      [&stopper](const net::error_code&, int) { stopper.Request(); });
  net::ReleaseSignals();
  auto listening = front.Start();
  if (listening.ok()) listening = node.Start();
  if (!listening.ok()) {
    std::fprintf(stderr, "error %d %s: %s\n",
                 static_cast<int>(listening.error().id),
                 std::string(Name(listening.error().id)).c_str(),
                 listening.error().message.c_str());
    return kCannotListenExit;
  }
  telemetry::Log(telemetry::Level::kInfo, telemetry::event::kStarted,
                 {{"listen", net::ToString(node.settings().listen)}});
  node.request_loops().Start();
  node.request_loops().Join();
  node.Stop();
  telemetry::Log(telemetry::Level::kInfo, telemetry::event::kStopped,
                 nlohmann::json::object());
  return 0;
}

int PrintFault(const Error& error) {
  std::fprintf(stderr, "error %d %s: %s\n", static_cast<int>(error.id),
               std::string(Name(error.id)).c_str(), error.message.c_str());
  return settings::kBadSettingsExit;
}

// The file may still be being written while the process starts.
Result<platform::Settings> WaitForSettings(const std::string& path) {
  constexpr std::chrono::milliseconds kPatience{3000};
  constexpr std::chrono::milliseconds kInterval{100};
  const auto until = RuntimeClock::now() + kPatience;
  auto read = platform::ReadSettings(path);
  if (!read.ok()) PrintFault(read.error());
  while (!read.ok() && RuntimeClock::now() < until) {
    std::this_thread::sleep_for(kInterval);
    read = platform::ReadSettings(path);
  }
  return read;
}

int ServePlatform() {
  std::string path = absl::GetFlag(FLAGS_platform_settings);
  const char* variable = std::getenv(platform::kSettingsVariable);
  if (path.empty() && variable != nullptr) path = variable;
  if (path.empty()) {
    return PrintFault(
        {ErrorId::kSettingMissing,
         std::string(platform::kSettingsVariable) + " names no settings file",
         Verdict::kNotRun});
  }
  auto read = WaitForSettings(path);
  if (!read.ok()) return PrintFault(read.error());
  if (!telemetry::InitLog(absl::GetFlag(FLAGS_log_level), "beryllaned",
                          read.value().host_id, /*is_batched=*/true)) {
    return settings::kBadSettingsExit;
  }
  fleet::FleetNode node(
      std::move(read.value()), path,
      static_cast<std::uint16_t>(absl::GetFlag(FLAGS_metrics_port)));
  auto ran = node.Run();
  telemetry::FlushLog();
  // Coroutines that are still suspended refer to parts of the node that would
  // be destroyed before them. No destructor has work left to do here.
  std::_Exit(ran.ok() ? EXIT_SUCCESS : PrintFault(ran.error()));
}

int Main(int argc, char** argv) {
  net::HoldSignals();
  telemetry::InstallCrashLog();
  const auto line = settings::ReadCommandLine(argc, argv, FlagNames());
  if (line.wants_help) {
    std::printf("beryllaned: routes language-model traffic.\n\n%s",
                settings::HelpText(FlagNames()).c_str());
    return 0;
  }
  auto faults = line.faults;
  for (const std::string& word : line.positional) {
    faults.push_back(
        {ErrorId::kSettingUnknown, word, "\"" + word + "\" is not a flag"});
  }
  if (faults.empty() && absl::GetFlag(FLAGS_platform)) {
    std::signal(SIGPIPE, SIG_IGN);
    return ServePlatform();
  }
  router::Settings settings = router::ParseSettings(ReadRaw(), faults);
  if (!faults.empty()) {
    std::fputs(settings::FaultText(faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::fputs(settings::SettingsText(FlagNames(), line).c_str(), stdout);
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Serve(std::move(settings));
}

}  // namespace
}  // namespace beryllane

int main(int argc, char** argv) { return beryllane::Main(argc, argv); }
