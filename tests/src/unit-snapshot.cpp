#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "beryllane/invariant/invariant.h"
#include "beryllane/metrics/registry.h"
#include "beryllane/placement/reuse_table.h"
#include "beryllane/snapshot/snapshot_cell.h"

namespace beryllane {
namespace {

struct Pair {
  int a = 0;
  int b = 0;
};

TEST(SnapshotCell, ReadersSeeWholeVersionsInOrder) {
  SnapshotCell<Pair> cell(std::make_shared<Pair>());
  constexpr int kVersions = 2000;
  std::vector<std::thread> readers;
  readers.reserve(4);
  std::atomic<bool> has_torn{false};
  for (int t = 0; t < 4; ++t) {
    readers.emplace_back([&] {
      SnapshotReader<Pair> reader(cell);
      int last = 0;
      while (last < kVersions) {
        const Pair& pair = reader.Get();
        if (pair.a != pair.b || pair.a < last) has_torn.store(true);
        last = pair.a;
      }
    });
  }
  for (int i = 1; i <= kVersions; ++i) {
    cell.Store(std::make_shared<Pair>(Pair{i, i}));
  }
  for (std::thread& reader : readers) reader.join();
  EXPECT_FALSE(has_torn.load());
}

TEST(SnapshotReader, KeepsAVersionAliveWhileItIsUsed) {
  SnapshotCell<Pair> cell(std::make_shared<Pair>(Pair{1, 1}));
  SnapshotReader<Pair> reader(cell);
  const std::shared_ptr<const Pair> held = reader.GetShared();
  cell.Store(std::make_shared<Pair>(Pair{2, 2}));
  EXPECT_EQ(held->a, 1);
  EXPECT_EQ(reader.Get().a, 2);
}

TEST(ReuseTable, ThreadsMayLearnAndAskAtOnce) {
  placement::ReuseTable table(256);
  const RuntimeClock::time_point now{std::chrono::hours(1)};
  std::vector<std::thread> threads;
  for (std::uint64_t t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      for (std::uint64_t i = 0; i < 2000; ++i) {
        table.Insert({i, i}, t, now);
        table.Contains({i, i}, t, now);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  table.Insert({5, 5}, 1, now);
  EXPECT_TRUE(table.Contains({5, 5}, 1, now));
  EXPECT_FALSE(table.Contains({5, 5}, 2, now + std::chrono::hours(1)));
}

TEST(MetricRegistry, PrintsPrometheusText) {
  MetricRegistry registry;
  registry.GetCounter("x_total", "Xs", {{"kind", "a\"b"}}).Add(3);
  registry.GetGauge("g", "A gauge").Set(-2);
  registry.GetHistogram("h_seconds", "A histogram")
      .Record(std::chrono::milliseconds(1));
  const std::string text = registry.Serialize();
  EXPECT_NE(text.find("# TYPE x_total counter\nx_total{kind=\"a\\\"b\"} 3\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("g -2\n"), std::string::npos);
  EXPECT_NE(text.find("h_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("h_seconds_count 1\n"), std::string::npos);
}

TEST(Invariant, IsCountedAndReported) {
  static const char* seen = nullptr;
  invariant::SetFatal(false);
  invariant::SetHandler([](const char* id, const char*, int) { seen = id; });
  BERYLLANE_INVARIANT("test-holds", true);
  EXPECT_EQ(seen, nullptr);
  BERYLLANE_INVARIANT("test-broken", 1 + 1 == 3);
  EXPECT_STREQ(seen, "test-broken");
  EXPECT_EQ(invariant::Counts().at("test-broken"), 1U);
  invariant::SetHandler(nullptr);
}

TEST(InvariantDeathTest, EndsTheProcessWhereItIsFatal) {
  EXPECT_DEATH(
      {
        invariant::SetFatal(true);
        BERYLLANE_INVARIANT("test-fatal", false);
      },
      "test-fatal");
}

}  // namespace
}  // namespace beryllane
