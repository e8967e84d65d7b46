// Offers load to routers, or directly to engines, and reports what came back.
#include <absl/flags/flag.h>

#include <boost/asio/co_spawn.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "src/load/driver.h"
#include "src/net/http_client.h"
#include "src/settings/flag_source.h"

ABSL_FLAG(std::string, targets, "", "routers, ip:port,ip:port");
ABSL_FLAG(std::string, admins, "",
          "operators' addresses of the routers, to report their CPU time");
ABSL_FLAG(std::string, workload, "", "file with the mix of requests");
ABSL_FLAG(double, rate, 10, "requests per second");
ABSL_FLAG(double, seconds, 10, "length of the run");
ABSL_FLAG(std::int64_t, timeout_ms, 30000, "deadline of each request");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and prompts");
ABSL_FLAG(int, threads, 1, "threads that offer load");
ABSL_FLAG(std::string, report, "", "file for the JSON report");
ABSL_FLAG(std::string, plot, "", "file for an SVG plot of latencies");
ABSL_FLAG(int, progress_seconds, 10, "time between progress lines; 0 is none");

namespace beryllane {
namespace {

std::vector<net::Address> ParseList(const std::string& text, bool& is_valid) {
  std::vector<net::Address> addresses;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const auto address = net::ParseAddress(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    if (address) {
      addresses.push_back(*address);
    } else {
      is_valid = false;
    }
  }
  return addresses;
}

net::asio::awaitable<double> ReadCpuSeconds(net::HttpClient& client,
                                            std::vector<net::Address> admins) {
  constexpr std::string_view kMetric = "\nberyllane_process_cpu_seconds ";
  double sum = 0;
  for (const net::Address& admin : admins) {
    net::Request request = net::MakeRequest(net::http::verb::get, "/metrics");
    const auto answer =
        co_await client.Call(admin, std::move(request), net::CallOptions());
    if (!answer.ok()) continue;
    const std::string& body = answer.value().body();
    const std::size_t at = body.find(kMetric);
    if (at == std::string::npos) continue;
    sum += std::strtod(body.c_str() + at + kMetric.size(), nullptr);
  }
  co_return sum;
}

double CpuSeconds(const std::vector<net::Address>& admins) {
  net::asio::io_context loop(1);
  net::HttpClient client(loop);
  double sum = 0;
  net::asio::co_spawn(loop, ReadCpuSeconds(client, admins),
                      [&](const std::exception_ptr&, double result) {
                        sum = result;
                        loop.stop();
                      });
  loop.run();
  return sum;
}

int Main(int argc, char** argv) {
  const std::vector<std::string> names{
      "targets", "admins",  "workload", "rate", "seconds",         "timeout_ms",
      "seed",    "threads", "report",   "plot", "progress_seconds"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help) {
    std::printf("beryllane-load: offers load and reports.\n\n%s",
                settings::HelpText(names).c_str());
    return 0;
  }
  auto faults = line.faults;
  load::DriverOptions options;
  bool is_valid = true;
  options.targets = ParseList(absl::GetFlag(FLAGS_targets), is_valid);
  const auto admins = ParseList(absl::GetFlag(FLAGS_admins), is_valid);
  options.rate = absl::GetFlag(FLAGS_rate);
  options.duration = std::chrono::milliseconds(
      static_cast<std::int64_t>(absl::GetFlag(FLAGS_seconds) * 1000));
  options.timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.seed = absl::GetFlag(FLAGS_seed);
  options.threads = absl::GetFlag(FLAGS_threads);
  options.progress_every =
      std::chrono::seconds(absl::GetFlag(FLAGS_progress_seconds));
  if (options.targets.empty() || !is_valid) {
    faults.push_back({ErrorId::kSettingInvalid, "targets",
                      "--targets and --admins take ip:port,ip:port"});
  }
  if (options.rate <= 0 || options.threads < 1) {
    faults.push_back({ErrorId::kSettingInvalid, "rate",
                      "--rate and --threads must be above 0"});
  }
  const auto workload = load::ReadWorkload(absl::GetFlag(FLAGS_workload));
  if (!workload.ok()) {
    faults.push_back(
        {workload.error().id, "workload", workload.error().message});
  }
  if (!faults.empty()) {
    std::fputs(settings::FaultText(faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(options.seed));
  const double cpu_before = CpuSeconds(admins);
  const load::Report report = load::RunLoad(workload.value(), options);
  const double cpu = CpuSeconds(admins) - cpu_before;
  nlohmann::json json = report.ToJson(workload.value());
  std::fputs(report.ToText(workload.value()).c_str(), stdout);
  if (!admins.empty()) {
    json["router_cpu_seconds"] = cpu;
    std::fputs(
        fmt::format("router CPU {:.3f} s, {:.1f} us per request\n", cpu,
                    1e6 * cpu / std::max(1.0, json["offered"].get<double>()))
            .c_str(),
        stdout);
  }
  const std::string report_file = absl::GetFlag(FLAGS_report);
  if (!report_file.empty()) {
    std::ofstream(report_file) << json.dump(2) << '\n';
  }
  const std::string plot_file = absl::GetFlag(FLAGS_plot);
  if (!plot_file.empty()) {
    std::ofstream(plot_file) << load::PlotSvg(report, workload.value());
  }
  return 0;
}

}  // namespace
}  // namespace beryllane

int main(int argc, char** argv) { return beryllane::Main(argc, argv); }
