// Measures how state, messages and processor time grow with size, at three or
// more sizes each, fits a line to each and prints JSON for docs/CAPACITY.md.
#include <malloc.h>

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "beryllane/claim/claim_table.h"
#include "beryllane/configlog/config_log.h"
#include "beryllane/placement/policy.h"
#include "fmt/format.h"
#include "src/config/parse.h"
#include "src/router/directory.h"
#include "src/wire/messages.h"

namespace beryllane {
namespace {

using nlohmann::json;

// One measured point: a size and what was seen there.
struct Point {
  double size = 0;
  double value = 0;
};

// A line through points, by least squares, and its worst residual.
json Fit(const std::string& name, const std::string& unit,
         const std::string& per, const std::vector<Point>& points) {
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const Point& p : points) {
    n += 1;
    sx += p.size;
    sy += p.value;
    sxx += p.size * p.size;
    sxy += p.size * p.value;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double base = (sy - slope * sx) / n;
  double worst = 0;
  json sizes = json::array();
  for (const Point& p : points) {
    const double fitted = base + slope * p.size;
    worst = std::max(
        worst, std::abs(p.value - fitted) / std::max(std::abs(p.value), 1e-12));
    sizes.push_back({p.size, p.value});
  }
  return {{"name", name},   {"unit", unit}, {"per", per},
          {"slope", slope}, {"base", base}, {"worst_residual", worst},
          {"points", sizes}};
}

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNanos = 1e-9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * kNanos;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// CPU seconds of one call, from enough calls to fill a tenth of a second.
double CpuOf(const std::function<void()>& call) {
  constexpr double kEnough = 0.1;
  int calls = 0;
  const double start = CpuSeconds();
  double used = 0;
  do {
    call();
    ++calls;
    used = CpuSeconds() - start;
  } while (used < kEnough);
  return used / calls;
}

json DocumentWith(std::size_t accounts) {
  json document{{"schema", 1},
                {"request_kinds", {{"chat", {{"worth", 2}}}}},
                {"pools", {{"p", {{"type", "runner"}}}}},
                {"zones", {{"z", {{"region", "r"}}}}}};
  for (int i = 0; i < 5; ++i) {
    document["models"]["model-" + std::to_string(i)] = {
        {"pool", "p"}, {"weights_version", "w1"}, {"default_kind", "chat"}};
  }
  for (std::size_t i = 0; i < accounts; ++i) {
    document["accounts"][fmt::format("account-{:05}", i)] = {
        {"key_sha256", fmt::format("{:064x}", i)}};
  }
  return document;
}

void MeasureConfig(json& out) {
  std::vector<Point> memory;
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  for (const std::size_t accounts : {1000, 4000, 9000, 18000}) {
    const json document = DocumentWith(accounts);
    const auto size = static_cast<double>(accounts);
    bytes.push_back({size, static_cast<double>(document.dump().size())});
    const double before = HeapBytes();
    auto log = std::make_unique<configlog::ConfigLog>(config::Validate);
    log->Install({1, 1, document, "first"});
    auto parsed = std::make_unique<config::Config>();
    config::Faults faults;
    config::TryParseConfig(document, 1, WallTime{}, *parsed, faults);
    memory.push_back({size, HeapBytes() - before});
    std::uint64_t next = 1;
    cpu.push_back(
        {size, CpuOf([&] {
           const json patch{{"request_kinds", {{"chat", {{"worth", next}}}}}};
           log->Apply(
               {next, WallTime{},
                configlog::Encode(configlog::Change{
                    std::to_string(next), log->version(), "", "", patch})});
           config::Config config;
           config::TryParseConfig(log->document(), log->version(), WallTime{},
                                  config, faults);
           ++next;
         })});
  }
  out.push_back(Fit("configuration memory", "bytes", "account", memory));
  out.push_back(Fit("configuration change", "cpu s", "account", cpu));
  out.push_back(Fit("configuration document", "bytes", "account", bytes));
}

wire::StateExchange ExchangeWith(std::size_t loads) {
  wire::StateExchange exchange;
  exchange.sender = "router-123";
  exchange.config_through = 100000;
  exchange.config_version = 90000;
  for (std::size_t i = 0; i < loads; ++i) {
    exchange.loads.push_back({static_cast<std::uint32_t>(Mix(i, 1)),
                              std::chrono::milliseconds(700), 12000, 24, 8000,
                              Mix(i, 2)});
  }
  return exchange;
}

void MeasureExchange(json& out) {
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  for (const std::size_t loads : {8, 32, 64, 128}) {
    const wire::StateExchange exchange = ExchangeWith(loads);
    const auto size = static_cast<double>(loads);
    bytes.push_back({size, static_cast<double>(wire::Encode(exchange).size())});
    cpu.push_back(
        {size, CpuOf([&] { wire::DecodeRequest(wire::Encode(exchange)); })});
  }
  out.push_back(Fit("state exchange message", "bytes", "load", bytes));
  out.push_back(Fit("state exchange coding", "cpu s", "load", cpu));
}

void MeasureClaims(json& out) {
  std::vector<Point> memory;
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  const WallTime now = RuntimeClock::WallNow();
  const auto claim_at = [&](std::uint64_t i) {
    return claim::ClaimEntry{{i, Mix(i, 1)},
                             {i, Mix(i, 2)},
                             {1, 1},
                             now,
                             now + std::chrono::seconds(30)};
  };
  for (const std::size_t keys : {10000, 40000, 100000}) {
    const double before = HeapBytes();
    claim::ClaimTable table({});
    const double start = CpuSeconds();
    for (std::size_t i = 0; i < keys; ++i) {
      claim::OutcomeEntry outcome{
          {i, Mix(i, 1)},
          {i, Mix(i, 2)},
          200,
          "application/json",
          "{\"path\":\"/refills\",\"confirmation\":123456}\n"};
      table.Apply(i, now, {claim_at(i), std::move(outcome)});
    }
    const auto size = static_cast<double>(keys);
    cpu.push_back({size, CpuSeconds() - start});
    memory.push_back({size, HeapBytes() - before});
  }
  for (const std::size_t entries : {1, 8, 64, 256}) {
    std::vector<claim::Entry> batch;
    for (std::size_t i = 0; i < entries; ++i) batch.emplace_back(claim_at(i));
    bytes.push_back({static_cast<double>(entries),
                     static_cast<double>(claim::EncodeBatch(batch).size())});
  }
  out.push_back(Fit("claim memory", "bytes", "key with outcome", memory));
  out.push_back(Fit("claim applied", "cpu s", "key with outcome", cpu));
  out.push_back(Fit("claim record", "bytes", "claim", bytes));
}

void MeasureDirectory(json& out) {
  std::vector<Point> memory;
  std::vector<Point> cpu;
  router::Settings settings;
  settings.host_id = "router-0";
  settings.region = "r";
  for (const std::size_t hosts : {100, 300, 600, 990}) {
    std::vector<platform::Host> list;
    for (std::size_t i = 0; i < hosts; ++i) {
      const bool is_router = i % 5 < 2;
      platform::Host host;
      host.id = fmt::format("host-{}", i);
      host.role =
          is_router ? platform::HostRole::kRouter : platform::HostRole::kRunner;
      host.pool = "p";
      host.zone = "z";
      host.address = {"10.0.0.1", static_cast<std::uint16_t>(i)};
      host.peer_address = "10.0.0.1:9000";
      list.push_back(std::move(host));
    }
    auto config = std::make_shared<config::Config>();
    config->pools["p"] = {};
    const double before = HeapBytes();
    auto directory = std::make_unique<router::Directory>(settings);
    directory->SetConfig(config);
    directory->SetHosts(list);
    const auto size = static_cast<double>(hosts);
    memory.push_back({size, HeapBytes() - before});
    bool is_leaving = false;
    cpu.push_back({size, CpuOf([&] {
                     is_leaving = !is_leaving;
                     list[0].is_leaving = is_leaving;
                     directory->SetHosts(list);
                   })});
  }
  out.push_back(Fit("directory memory", "bytes", "host", memory));
  out.push_back(Fit("directory change", "cpu s", "host", cpu));
}

void MeasureDecision(json& out) {
  std::vector<Point> cpu;
  placement::PrefixChain chain(placement::SaltHash({"a", "m", "", "w"}));
  chain.AddMessage("system", std::string(40000, 'c'));
  placement::ReuseTable reuse(1 << 17);
  placement::RateTable rates(1 << 15);
  for (const std::size_t runners : {10, 100, 300, 600, 2000}) {
    placement::PoolView view;
    for (std::size_t i = 0; i < runners; ++i) {
      view.Add(
          {std::to_string(i), {}, 0, std::make_shared<placement::LoadCell>()});
    }
    placement::PlacementRequest request;
    request.levels = chain.levels();
    request.tokens = chain.tokens();
    cpu.push_back({static_cast<double>(runners), CpuOf([&] {
                     ++request.nonce;
                     placement::Decide(request, view, reuse, rates, {},
                                       RuntimeClock::now());
                   })});
  }
  out.push_back(Fit("decision", "cpu s", "runner", cpu));
  out.push_back({{"name", "prefix tables"},
                 {"unit", "bytes"},
                 {"per", "router, fixed"},
                 {"base", reuse.bytes() + rates.bytes()},
                 {"slope", 0}});
}

int Main() {
  json fits = json::array();
  MeasureConfig(fits);
  MeasureExchange(fits);
  MeasureClaims(fits);
  MeasureDirectory(fits);
  MeasureDecision(fits);
  std::printf("%s\n", fits.dump(2).c_str());
  return 0;
}

}  // namespace
}  // namespace beryllane

int main() { return beryllane::Main(); }
