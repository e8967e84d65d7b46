// Stand-in for the platform: log service, host list, weight store and store of
// kept KV cache, each with faults that the control port switches.
#include <absl/flags/flag.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "src/net/runtime.h"
#include "src/settings/flag_source.h"
#include "standins/log_service.h"
#include "standins/support.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "address of the services");
ABSL_FLAG(std::string, control_listen, "127.0.0.1:7001",
          "address of the control port");
ABSL_FLAG(std::string, hosts_file, "", "JSON array of hosts known at start");
ABSL_FLAG(std::int64_t, host_list_lag_ms, 300,
          "time until the host list shows a change");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of random faults");

namespace beryllane::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The host list shows each change after a lag.
class HostList {
 public:
  explicit HostList(milliseconds lag) : lag_(lag) {}

  void Put(const std::string& id, json host) {
    host["id"] = id;
    changes_.push_back({RuntimeClock::now() + lag_, id, std::move(host)});
  }
  void Remove(const std::string& id) {
    changes_.push_back({RuntimeClock::now() + lag_, id, nullptr});
  }
  void PutNow(const std::string& id, json host) {
    host["id"] = id;
    hosts_[id] = std::move(host);
    ++version_;
  }
  json Show() {
    while (!changes_.empty() && changes_.front().at <= RuntimeClock::now()) {
      Change& change = changes_.front();
      if (change.host.is_null()) {
        hosts_.erase(change.id);
      } else {
        hosts_[change.id] = std::move(change.host);
      }
      ++version_;
      changes_.pop_front();
    }
    json list = json::array();
    for (const auto& [id, host] : hosts_) list.push_back(host);
    return {{"version", version_}, {"hosts", list}};
  }
  bool down = false;

 private:
  struct Change {
    RuntimeClock::time_point at;
    std::string id;
    json host;
  };

  milliseconds lag_;
  std::uint64_t version_ = 0;
  std::map<std::string, json> hosts_;
  std::deque<Change> changes_;
};

// Weights load in half a second, and slower while more than two load at once.
class WeightStore {
 public:
  net::asio::awaitable<void> Handle(net::Exchange& exchange) {
    constexpr milliseconds kLoadTime{500};
    constexpr int kFullSpeedLoads = 2;
    ++loading_;
    const int slowdown = std::max(1, loading_ - kFullSpeedLoads + 1);
    co_await net::Sleep(kLoadTime * slowdown);
    --loading_;
    ++loads_;
    net::Response answer = JsonAnswer(200, {{"loaded", true}});
    co_await exchange.Respond(std::move(answer));
  }
  json Report() const { return {{"loads", loads_}, {"loading", loading_}}; }

 private:
  int loading_ = 0;
  int loads_ = 0;
};

class Platform {
 public:
  Platform(milliseconds lag, std::uint64_t seed) : log_(seed), hosts_(lag) {}

  bool LoadHosts(const std::string& file) {
    std::ifstream in(file);
    const json list = json::parse(in, nullptr, false);
    if (!list.is_array()) return false;
    for (const json& host : list) {
      hosts_.PutNow(host.value("id", ""), host);
    }
    return true;
  }

  net::asio::awaitable<void> Handle(net::Exchange& exchange) {
    const ParsedTarget target = ParseTarget(net::Target(exchange.request()));
    const std::string& path = target.path;
    if (path.starts_with("/v1/streams/")) {
      co_await log_.Handle(exchange, target);
    } else if (path.starts_with("/v1/hosts")) {
      co_await HandleHosts(exchange, target);
    } else if (path.starts_with("/v1/weights/")) {
      co_await weights_.Handle(exchange);
    } else if (path.starts_with("/v1/kv/")) {
      co_await HandleKeptKv(exchange, path);
    } else {
      net::Response answer = JsonAnswer(404, {{"error", "no such path"}});
      co_await exchange.Respond(std::move(answer));
    }
  }

  net::asio::awaitable<void> Control(net::Exchange& exchange) {
    const std::string path(net::Target(exchange.request()));
    const json change = json::parse(exchange.request().body(), nullptr, false);
    if (change.is_object()) {
      if (change.contains("log")) log_.SetFaults(change["log"]);
      if (change.contains("host_list_down")) {
        hosts_.down = change["host_list_down"].get<bool>();
      }
    }
    net::Response answer = JsonAnswer(
        200, {{"log", log_.Report()}, {"weights", weights_.Report()}});
    co_await exchange.Respond(std::move(answer));
  }

 private:
  net::asio::awaitable<void> HandleHosts(net::Exchange& exchange,
                                         const ParsedTarget& target) {
    const std::string& path = target.path;
    constexpr std::string_view kHosts = "/v1/hosts/";
    if (hosts_.down) {
      net::Response answer = JsonAnswer(503, {{"error", "down"}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    const auto method = exchange.request().method();
    const std::string id =
        path.size() > kHosts.size() ? path.substr(kHosts.size()) : "";
    if (method == net::http::verb::put && !id.empty()) {
      json host = json::parse(exchange.request().body(), nullptr, false);
      if (!host.is_object()) {
        net::Response answer = JsonAnswer(400, {{"error", "not JSON"}});
        co_await exchange.Respond(std::move(answer));
        co_return;
      }
      hosts_.Put(id, std::move(host));
    } else if (method == net::http::verb::delete_ && !id.empty()) {
      hosts_.Remove(id);
    }
    const json list = hosts_.Show();
    const bool is_known =
        method == net::http::verb::get && target.query.contains("known") &&
        target.Number("known", 0) == list["version"].get<std::int64_t>();
    net::Response answer = is_known
                               ? net::MakeResponse(304, "", "application/json")
                               : JsonAnswer(200, list);
    co_await exchange.Respond(std::move(answer));
  }

  net::asio::awaitable<void> HandleKeptKv(net::Exchange& exchange,
                                          const std::string& path) {
    if (exchange.request().method() == net::http::verb::put) {
      kept_kv_[path] = exchange.TakeBody();
      net::Response answer = JsonAnswer(200, {{"kept", true}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    const auto it = kept_kv_.find(path);
    if (it == kept_kv_.end()) {
      net::Response answer = JsonAnswer(404, {{"error", "not kept"}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    co_await exchange.Respond(
        net::MakeResponse(200, it->second, "application/octet-stream"));
  }

  LogService log_;
  HostList hosts_;
  WeightStore weights_;
  std::map<std::string, std::string> kept_kv_;
};

int Main(int argc, char** argv) {
  const std::vector<std::string> names{"listen", "control_listen", "hosts_file",
                                       "host_list_lag_ms", "seed"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help) {
    std::puts(settings::HelpText(names).c_str());
    return 0;
  }
  if (!line.faults.empty()) {
    std::fputs(settings::FaultText(line.faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  net::ContextPool pool(1);
  Platform platform(milliseconds(absl::GetFlag(FLAGS_host_list_lag_ms)),
                    absl::GetFlag(FLAGS_seed));
  const std::string hosts_file = absl::GetFlag(FLAGS_hosts_file);
  if (!hosts_file.empty() && !platform.LoadHosts(hosts_file)) {
    std::fputs("--hosts_file is not a JSON array of hosts\n", stderr);
    return settings::kBadSettingsExit;
  }
  ServerSpec spec;
  spec.listen = absl::GetFlag(FLAGS_listen);
  spec.control_listen = absl::GetFlag(FLAGS_control_listen);
  spec.handler = [&](net::Exchange& e) { return platform.Handle(e); };
  spec.control = [&](net::Exchange& e) { return platform.Control(e); };
  return RunServers(pool, spec, [] {});
}

}  // namespace
}  // namespace beryllane::standins

int main(int argc, char** argv) {
  return beryllane::standins::Main(argc, argv);
}
