// Costs of the parts that each request or event passes through.
#include <benchmark/benchmark.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "beryllane/claim/claim_table.h"
#include "beryllane/configlog/config_log.h"
#include "beryllane/limit/rate_limiter.h"
#include "beryllane/placement/policy.h"
#include "beryllane/snapshot/snapshot_cell.h"
#include "fmt/format.h"
#include "src/caller/completion_request.h"
#include "src/caller/stream_relay.h"

namespace beryllane {
namespace {

using placement::Decide;
using placement::PoolView;

PoolView MakePool(std::int64_t size) {
  PoolView view;
  for (std::int64_t i = 0; i < size; ++i) {
    auto load = std::make_shared<placement::LoadCell>();
    load->set_incarnation(static_cast<std::uint64_t>(i) + 1);
    view.Add({"runner-" + std::to_string(i), {}, 0, std::move(load)});
  }
  return view;
}

placement::PrefixChain MakeChain(std::size_t prompt_bytes) {
  placement::PrefixChain chain(
      placement::SaltHash({"account", "model", "", "w1"}));
  chain.AddMessage("system", std::string(prompt_bytes, 'c'));
  chain.AddMessage("system", std::string(2000, 's'));
  chain.AddMessage("user", "question");
  return chain;
}

// What all threads of the decision benchmark share, as in a router.
struct Shared {
  explicit Shared(std::int64_t runners)
      : cell(std::make_shared<PoolView>(MakePool(runners))) {}

  SnapshotCell<PoolView> cell;
  placement::ReuseTable reuse{1 << 17};
  placement::RateTable rates{1 << 15};
};

std::unique_ptr<Shared> shared_state;

void BM_Decide(benchmark::State& state) {
  if (state.thread_index() == 0) {
    shared_state = std::make_unique<Shared>(state.range(0));
  }
  const placement::PrefixChain chain = MakeChain(40000);
  const placement::PolicyOptions options;
  std::unique_ptr<SnapshotReader<PoolView>> reader;
  std::uint64_t nonce = static_cast<std::uint64_t>(state.thread_index());
  for (auto _ : state) {
    if (!reader) {
      reader = std::make_unique<SnapshotReader<PoolView>>(shared_state->cell);
    }
    placement::PlacementRequest request;
    request.levels = chain.levels();
    request.tokens = chain.tokens();
    request.nonce = ++nonce;
    benchmark::DoNotOptimize(Decide(request, reader->Get(), shared_state->reuse,
                                    shared_state->rates, options,
                                    RuntimeClock::now()));
  }
}
BENCHMARK(BM_Decide)
    ->Arg(10)
    ->Arg(100)
    ->Arg(600)
    ->Arg(2000)
    ->ThreadRange(1, 8)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);

SnapshotCell<int> snapshot_cell{std::make_shared<int>(1)};

void BM_SnapshotReader(benchmark::State& state) {
  SnapshotReader<int> reader(snapshot_cell);
  for (auto _ : state) benchmark::DoNotOptimize(reader.Get());
}
BENCHMARK(BM_SnapshotReader)->ThreadRange(1, 8)->UseRealTime();

// The other way that was weighed: see docs/design/snapshots.md.
std::atomic<std::shared_ptr<const int>> atomic_pointer{
    std::make_shared<int>(1)};

void BM_AtomicSharedPtr(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(atomic_pointer.load(std::memory_order_acquire));
  }
}
BENCHMARK(BM_AtomicSharedPtr)->ThreadRange(1, 8)->UseRealTime();

void BM_PrefixChain(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        MakeChain(static_cast<std::size_t>(state.range(0))));
  }
}
BENCHMARK(BM_PrefixChain)
    ->Arg(8000)
    ->Arg(40000)
    ->Arg(200000)
    ->Unit(benchmark::kMicrosecond);

void BM_ParseCompletion(benchmark::State& state) {
  const std::string body = fmt::format(
      R"({{"model":"m","stream":true,"messages":[{{"role":"system",)"
      R"("content":"{}"}}]}})",
      std::string(static_cast<std::size_t>(state.range(0)), 'c'));
  for (auto _ : state) {
    benchmark::DoNotOptimize(caller::ParseCompletion(body, true));
  }
}
BENCHMARK(BM_ParseCompletion)
    ->Arg(8000)
    ->Arg(40000)
    ->Unit(benchmark::kMicrosecond);

void BM_StreamEvent(benchmark::State& state) {
  std::uint64_t position = 0;
  caller::StreamRelay relay("0123456789abcdef0123456789abcdef");
  for (auto _ : state) {
    const auto events = relay.Feed(fmt::format(
        "id: {}\ndata: {{\"id\":\"0123456789abcdef0123456789abcdef\","
        "\"choices\":[{{\"delta\":{{\"content\":\"word \"}}}}]}}\n\n",
        position++));
    benchmark::DoNotOptimize(events.ok());
  }
}
BENCHMARK(BM_StreamEvent);

void BM_ClaimApply(benchmark::State& state) {
  claim::ClaimTable table({});
  std::uint64_t offset = 0;
  const WallTime now = RuntimeClock::WallNow();
  for (auto _ : state) {
    claim::ClaimEntry entry;
    entry.key = {offset, offset};
    entry.id = {offset, offset};
    entry.issued = now;
    table.Apply(offset, now, {entry});
    ++offset;
  }
}
BENCHMARK(BM_ClaimApply)->Iterations(200000);

void BM_RateLimiter(benchmark::State& state) {
  static RateLimiter limiter(1e9);
  for (auto _ : state) {
    benchmark::DoNotOptimize(limiter.TryAcquire(RuntimeClock::now()));
  }
}
BENCHMARK(BM_RateLimiter)->ThreadRange(1, 8)->UseRealTime();

}  // namespace
}  // namespace beryllane

BENCHMARK_MAIN();
