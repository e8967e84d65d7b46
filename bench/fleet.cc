// Costs of a router's control work by the size of the fleet.
#include "src/fleet/fleet.h"

#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>
#include <string>

#include "fmt/format.h"
#include "src/fleet/peers.h"
#include "src/fleet/placement.h"

namespace beryllane::fleet {
namespace {

constexpr int kPeers = 75;
constexpr int kZones = 6;
constexpr const char* kService = "scribe";
constexpr const char* kModel = "model";

TargetEntry MakeEntry(int index) {
  TargetEntry entry;
  entry.id = fmt::format("target-{:04}", index);
  entry.service = kService;
  entry.address = {"10.0.0.1", 80};
  entry.availability_zone = fmt::format("zone-{}", index % kZones);
  entry.slots = 12;
  entry.weights[kModel] = 1;
  return entry;
}

// A service of model runners as each router sees it, with loads of all peers.
struct BenchFleet {
  BenchFleet(int targets, double limited_share) {
    service.name = kService;
    service.engine = EngineProperties{90000, 327680, 200000, 12};
    settings.availability_zone = "zone-0";
    settings.region = "region-0";
    for (int zone = 0; zone < kZones; ++zone) {
      settings.region_of_zone[fmt::format("zone-{}", zone)] =
          fmt::format("region-{}", zone / 2);
    }
    request.model = kModel;
    request.prompt_tokens = 9190;
    request.parts = {{"aa", 4000}, {"bb", 1800}, {"cc", 500}, {"dd", 2890}};
    fleet.peer_activity().set_live(kPeers);
    const auto now = RuntimeClock::now();
    for (int i = 0; i < targets; ++i) {
      fleet.SetTarget(MakeEntry(i));
      Runner& runner = *fleet.targets().rbegin()->second;
      for (int peer = 0; peer < kPeers; ++peer) {
        runner.peer_running.Set(static_cast<std::uint32_t>(peer), 1, now);
        runner.peer_prefill_tokens.Set(static_cast<std::uint32_t>(peer), 100,
                                       now);
      }
      const bool is_limited = i < limited_share * targets;
      // A limit that was named just now leaves no request.
      if (is_limited) runner.limit.OnAnswer(1, now, now);
    }
  }

  Fleet fleet;
  Service service;
  PlacementSettings settings;
  platform::CallerRequest request;
  std::vector<std::string> tried;
};

// Arguments: number of targets, percentage of them that are at their limits.
void BM_ChooseTarget(benchmark::State& state) {
  constexpr double kPercent = 100;
  BenchFleet bench(static_cast<int>(state.range(0)),
                   static_cast<double>(state.range(1)) / kPercent);
  const auto now = RuntimeClock::now();
  const PlacementInput input{bench.service, nullptr, bench.request,
                             bench.tried,   now,     true};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        ChooseTarget(bench.fleet, bench.settings, input, now));
  }
}
BENCHMARK(BM_ChooseTarget)
    ->ArgsProduct({{12, 70, 140, 600}, {0, 90, 100}})
    ->Unit(benchmark::kMicrosecond);

// A message as routers exchange it in traffic without limits: the loads of ten
// targets, and six prompt parts. Argument: number of targets.
void BM_ReceiveBatch(benchmark::State& state) {
  BenchFleet bench(static_cast<int>(state.range(0)), 0);
  net::asio::io_context loop;
  MetricRegistry metrics;
  net::HttpClient client(loop);
  platform::StoreClient store(client, {"127.0.0.1", 1}, metrics);
  Peers sender(loop, store, bench.fleet,
               {"router-000", "zone-0", "10.0.0.1:7340", "10.0.0.1:7341"},
               metrics);
  constexpr int kLoads = 10;
  constexpr int kParts = 6;
  int changed = 0;
  for (const auto& [id, runner] : bench.fleet.targets()) {
    if (++changed > kLoads) break;
    runner->own_running = changed;
    if (changed <= kParts) {
      sender.NotePart(*runner, static_cast<std::uint64_t>(changed), 4000);
    }
  }
  const std::string message = sender.EncodeBatch();
  Peers receiver(loop, store, bench.fleet,
                 {"router-001", "zone-1", "10.0.0.2:7340", "10.0.0.2:7341"},
                 metrics);
  for (auto _ : state) receiver.Receive(message);
}
BENCHMARK(BM_ReceiveBatch)->Arg(140)->Arg(1400)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace beryllane::fleet
