#include "tests/support/platform_fleet.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "fmt/format.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

constexpr const char* kZones[] = {"zone-a", "zone-b", "zone-c"};

json Route(const std::string& name, const std::string& prefix,
           const std::string& kind, const std::string& service) {
  return {{"name", name},         {"host", PlatformFleet::kHost},
          {"pathPrefix", prefix}, {"kind", kind},
          {"timeoutMs", 8000},    {"targetLatencyMs", 500},
          {"priority", 1},        {"service", service},
          {"maxAttempts", 2},     {"public", false},
          {"resumable", false}};
}

}  // namespace

json PlatformFleet::FirstConfig() {
  json advice = Route("advice", "/advice/", "streaming", "scribe");
  advice["resumable"] = true;
  json open = Route("open", "/open/", "safe", "desk");
  open["public"] = true;
  return {{"version", 1},
          {"routes",
           json::array({advice, Route("chat", "/chat/", "streaming", "scribe"),
                        Route("book", "/book/", "unsafe", "desk"),
                        Route("book-inner", "/book/stock/", "safe", "desk"),
                        open})},
          {"services", json::array({{{"name", "scribe"},
                                     {"healthPath", "/health"},
                                     {"maxConnections", 100},
                                     {"engine",
                                      {{"slots", 8},
                                       {"kvCapacityTokens", 100000},
                                       {"kvTokenBytes", 327680},
                                       {"linkMbps", 200000.0}}}},
                                    {{"name", "desk"},
                                     {"healthPath", "/health"},
                                     {"maxConnections", 100}}})},
          {"limits",
           {{"maxHeaderBytes", 8192},
            {"maxBodyBytes", 65536},
            {"headerTimeoutMs", 1000},
            {"idleTimeoutMs", 5000}}},
          {"tenants", json::array({{{"name", "workshop"},
                                    {"apiKeys", json::array({kKey})},
                                    {"isolated", false}}})}};
}

std::string PlatformFleet::WholeStream(int from) {
  std::string text;
  for (int i = from; i <= 20; ++i) {
    const std::string n = std::to_string(i);
    text += "id: ";
    text += n;
    text += "\ndata: word ";
    text += n;
    text += "\n\n";
  }
  return text;
}

PlatformFleet::PlatformFleet(int routers, Relay relay,
                             std::chrono::milliseconds older_weights_lifetime)
    : relay_(std::move(relay)),
      older_weights_lifetime_(older_weights_lifetime) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "beryllane-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  store_ = Process(BERYLLANE_STORE,
                   {"--listen", net::ToString(store_address_),
                    "--control_listen", net::ToString(store_control_)},
                   directory_ + "/store.log");
  if (!Eventually([&] { return ControlStore(json::object()).is_object(); })) {
    throw std::runtime_error("the store stand-in did not start");
  }
  Put("keyed.op", "config", FirstConfig());
  for (int i = 0; i < kRunners; ++i) AddRunner();
  for (int i = 0; i < kDesks; ++i) {
    desk_ports_.push_back(FreeAddress());
    desk_controls_.push_back(FreeAddress());
    desks_.emplace_back();
    StartDesk(i);
  }
  const bool is_listed = Eventually([&] {
    const json ends = ControlStore(json::object())["ends"];
    return ends.value("keyed.servers", 0) >= kRunners + kDesks;
  });
  if (!is_listed) throw std::runtime_error("no target registered");
  for (int i = 0; i < routers; ++i) {
    router_ports_.push_back(FreeAddress());
    ready_ports_.push_back(FreeAddress());
    peer_ports_.push_back(FreeAddress());
    // The router takes the next port, too.
    FreeAddress();
    metrics_ports_.push_back(FreeAddress());
    const std::string store_name = fmt::format("store-of-router-{}", i);
    store_ports_.push_back(relay_ ? relay_(store_name, store_address_)
                                  : store_address_);
    routers_.emplace_back();
  }
  for (int i = 0; i < routers; ++i) StartRouter(i);
  for (int i = 0; i < routers; ++i) {
    if (!WaitReady(i)) throw std::runtime_error("a router is not ready");
  }
}

std::vector<std::string> PlatformFleet::TargetArguments(
    const std::string& id, const net::Address& listen) const {
  std::vector<std::string> arguments{"--id",
                                     id,
                                     "--listen",
                                     net::ToString(listen),
                                     "--store_control",
                                     net::ToString(store_control_)};
  if (relay_) {
    arguments.insert(
        arguments.end(),
        {"--advertise", net::ToString(relay_(id, listen)), "--name_requests",
         "--run_log", fmt::format("{}/{}.runs", directory_, id)});
  }
  return arguments;
}

int PlatformFleet::AddRunner() {
  const int index = static_cast<int>(runners_.size());
  runner_ports_.push_back(FreeAddress());
  runner_controls_.push_back(FreeAddress());
  runners_.emplace_back();
  StartRunner(index);
  return index;
}

void PlatformFleet::StartRunner(int i) {
  const std::string id = fmt::format("runner-{}", i);
  std::vector<std::string> arguments = TargetArguments(id, runner_ports_[i]);
  arguments.insert(arguments.end(),
                   {"--control_listen", net::ToString(runner_controls_[i]),
                    "--service", "scribe", "--zone",
                    kZones[static_cast<std::size_t>(i) % std::size(kZones)],
                    "--model", kModel});
  runners_[i] = Process(BERYLLANE_RUNNER, arguments,
                        fmt::format("{}/{}.log", directory_, id));
}

void PlatformFleet::StartDesk(int i) {
  const std::string id = fmt::format("desk-{}", i);
  std::vector<std::string> arguments = TargetArguments(id, desk_ports_[i]);
  arguments.insert(arguments.end(),
                   {"--control_listen", net::ToString(desk_controls_[i]),
                    "--service", "desk", "--zone", kZones[i]});
  desks_[i] = Process(BERYLLANE_RUNNER, arguments,
                      fmt::format("{}/{}.log", directory_, id));
}

std::string PlatformFleet::SettingsOf(int i) const {
  return fmt::format(
      "node = \"router-{}\"\nip = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\n"
      "unknownField = 7\ninternalPortRange = [{},{}]\n"
      "heartbeatIntervalMs = 150\n"
      "[zones]\nzone-a = \"r1\"\nzone-b = \"r1\"\nzone-c = \"r2\"\n"
      "[listen]\nfront = \"{}\"\nready = \"{}\"\n"
      "[bounds]\nrevokeMs = 3000\nstrictRevocation = true\nleaseMs = 1000\n"
      "graceS = 8\nretryBudgetSlack = 200\nversionMs = {}\n"
      "[limits]\nmemoryMb = {}\n"
      "[platform]\naddress = \"{}\"\n",
      i, router_ports_[i].ip, kZones[i % 3], i % 3 == 2 ? "r2" : "r1",
      peer_ports_[i].port, peer_ports_[i].port + 1,
      net::ToString(router_ports_[i]), net::ToString(ready_ports_[i]),
      older_weights_lifetime_.count(), kMemoryMb,
      net::ToString(store_ports_[i]));
}

void PlatformFleet::StartRouter(int i) {
  WriteSettings(i, SettingsOf(i));
  LaunchRouter(i);
}

void PlatformFleet::LaunchRouter(int i, std::vector<std::string> wrapper) {
  std::vector<std::string> command = std::move(wrapper);
  command.insert(
      command.end(),
      {BERYLLANE_ROUTER, "--platform", "--platform_settings", SettingsPath(i),
       "--metrics_port", std::to_string(metrics_ports_[i].port)});
  const std::string program = command.front();
  command.erase(command.begin());
  routers_[i] =
      Process(program, command, fmt::format("{}/router-{}.log", directory_, i));
}

std::string PlatformFleet::SettingsPath(int i) const {
  return fmt::format("{}/router-{}.toml", directory_, i);
}

void PlatformFleet::WriteSettings(int i, const std::string& text) const {
  std::ofstream(SettingsPath(i)) << text;
}

bool PlatformFleet::WaitReady(int i) const {
  return Eventually([&] { return ReadyStatus(i) == 200; });
}

int PlatformFleet::ReadyStatus(int router) const {
  const auto answer = Call(ready_ports_[router], net::http::verb::get,
                           "/api/ready", "", {}, std::chrono::seconds(1));
  return answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
}

void PlatformFleet::Put(const std::string& topic, const std::string& key,
                        const json& value) const {
  ControlStore({{"put", {{"topic", topic}, {"key", key}, {"value", value}}}});
}

int PlatformFleet::RunsOf(const std::string& request_id) const {
  int runs = 0;
  for (int i = 0; i < kRunners; ++i) {
    const json seen = ControlRunner(i, json::object());
    if (seen.is_object()) runs += seen["runs"].value(request_id, 0);
  }
  for (int i = 0; i < kDesks; ++i) {
    const json seen = ControlDesk(i, json::object());
    if (seen.is_object()) runs += seen["runs"].value(request_id, 0);
  }
  return runs;
}

int PlatformFleet::RunsAtRunner(int i) const {
  const json seen = ControlRunner(i, json::object());
  int runs = 0;
  for (const auto& [id, count] : seen["runs"].items()) {
    runs += count.get<int>();
  }
  return runs;
}

Result<net::Response> PlatformFleet::Send(int router, const std::string& path,
                                          const std::string& id,
                                          Headers headers,
                                          const std::string& body,
                                          const std::string& key) const {
  headers.emplace_back("Host", kHost);
  headers.emplace_back("Attempt-Id", id);
  if (!key.empty()) headers.emplace_back("Credential", key);
  return Call(router_ports_[router], net::http::verb::post, path, body,
              headers);
}

Result<net::Response> PlatformFleet::Ask(int router, const std::string& path,
                                         const std::string& id,
                                         Headers headers) const {
  return AskPrompt(router, path, id, "aa:500,bb:300,cc:200",
                   std::move(headers));
}

Result<net::Response> PlatformFleet::AskPrompt(int router,
                                               const std::string& path,
                                               const std::string& id,
                                               const std::string& parts,
                                               Headers headers) const {
  headers.emplace_back("Model", kModel);
  headers.emplace_back("Token-Usage", "1000,20");
  headers.emplace_back("Prompt-Prefix", parts);
  return Send(router, path, id, std::move(headers));
}

double PlatformFleet::Metric(int router, const std::string& prefix) const {
  return ReadMetric(metrics_ports_[router], prefix);
}

std::string PlatformFleet::LogOf(int router) const {
  std::ifstream in(fmt::format("{}/router-{}.log", directory_, router));
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::vector<json> PlatformFleet::TargetLog(const std::string& target) const {
  std::ifstream in(fmt::format("{}/{}.runs", directory_, target));
  std::vector<json> lines;
  for (std::string line; std::getline(in, line);) {
    // The last line of a target that was killed may be torn.
    json entry = json::parse(line, nullptr, false);
    if (entry.is_object()) lines.push_back(std::move(entry));
  }
  return lines;
}

}  // namespace beryllane::testing
