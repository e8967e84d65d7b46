// Settings, peer messages, traces, host lists, clock, load generator.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "src/load/report.h"
#include "src/load/workload.h"
#include "src/net/address.h"
#include "src/net/runtime.h"
#include "src/platform/host_list.h"
#include "src/router/settings.h"
#include "src/router/state_gossip.h"
#include "src/telemetry/trace.h"
#include "src/wire/messages.h"
#include "standins/engine_batch.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

router::RawSettings GoodSettings() {
  router::RawSettings raw;
  raw.listen = "127.0.0.1:1";
  raw.admin_listen = "127.0.0.1:2";
  raw.peer_listen = "127.0.0.1:3";
  raw.host_id = "h";
  raw.availability_zone = "z";
  raw.region = "r";
  raw.log_service = "127.0.0.1:4";
  raw.host_list = "127.0.0.1:5";
  raw.log_level = "info";
  return raw;
}

TEST(Settings, AcceptsACompleteSet) {
  std::vector<settings::SettingFault> faults;
  const auto parsed = router::ParseSettings(GoodSettings(), faults);
  EXPECT_TRUE(faults.empty()) << settings::FaultText(faults);
  EXPECT_EQ(parsed.listen.port, 1);
}

TEST(Settings, ReportsEachFault) {
  router::RawSettings raw = GoodSettings();
  raw.listen = "localhost:1";
  raw.host_id = "";
  raw.threads = 0;
  raw.trace_ratio = 2;
  raw.log_level = "loud";
  raw.peers = "127.0.0.1:9,x";
  raw.admin_listen = raw.peer_listen;
  std::vector<settings::SettingFault> faults;
  router::ParseSettings(raw, faults);
  std::set<std::string> names;
  for (const auto& fault : faults) names.insert(fault.name);
  for (const char* name :
       {"listen", "host_id", "threads", "trace_ratio", "log_level", "peers"}) {
    EXPECT_TRUE(names.contains(name)) << name;
  }
}

TEST(Settings, ReportsContradictions) {
  router::RawSettings raw = GoodSettings();
  raw.admin_listen = raw.listen;
  raw.drain_grace_ms = 2000;
  raw.drain_limit_ms = 1000;
  std::vector<settings::SettingFault> faults;
  router::ParseSettings(raw, faults);
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].id, ErrorId::kSettingConflict);
}

TEST(Address, TakesIpNumbersOnly) {
  EXPECT_EQ(net::ToString(*net::ParseAddress("127.0.0.1:80")), "127.0.0.1:80");
  EXPECT_EQ(net::ToString(*net::ParseAddress("[::1]:80")), "[::1]:80");
  for (const char* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:x",
                           "127.0.0.1:70000", ":80"}) {
    EXPECT_FALSE(net::ParseAddress(text).has_value()) << text;
  }
}

TEST(PeerMessages, SurviveTheirEncoding) {
  wire::StateExchange exchange;
  exchange.sender = "router-1";
  exchange.config_through = 7;
  exchange.is_leaving = true;
  exchange.loads.push_back({9, milliseconds(5), 100, 3, 8000, 1ULL << 63});
  exchange.records.push_back({6, WallTime(milliseconds(1)), "data\xff"});
  exchange.checkpoint = configlog::Checkpoint{3, 6, {{"a", 1}}, "id"};
  const auto decoded = wire::DecodeRequest(wire::Encode(exchange));
  ASSERT_TRUE(decoded.has_value());
  const auto& out = std::get<wire::StateExchange>(*decoded);
  EXPECT_EQ(out.sender, "router-1");
  EXPECT_TRUE(out.is_leaving);
  EXPECT_EQ(out.loads[0].incarnation, 1ULL << 63);
  EXPECT_EQ(out.records[0].data, "data\xff");
  EXPECT_EQ(out.checkpoint->document["a"], 1);
}

TEST(PeerMessages, ClaimsAndAnswersSurviveTheirEncoding) {
  wire::ClaimRequest request;
  request.partition = 3;
  request.entry.key = {1, 2};
  request.time_left = milliseconds(40);
  const auto decoded = wire::DecodeRequest(wire::Encode(request));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<wire::ClaimRequest>(*decoded).entry.key, (Hash128{1, 2}));
  claim::ClaimAnswer answer;
  answer.status = claim::ClaimStatus::kAnswered;
  answer.outcome = claim::OutcomeEntry{{1, 2}, {3, 4}, 200, "t", "b"};
  const auto back = wire::DecodeClaimAnswer(wire::Encode(answer));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->outcome->body, "b");
}

// Any bytes from a peer are a message or are refused.
// The library throws on such a size also when told not to.
TEST(PeerMessages, ASizeBeyondAllMemoryIsRefused) {
  const std::string bytes("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9);
  EXPECT_EQ(wire::DecodeRequest(bytes), std::nullopt);
  EXPECT_EQ(wire::DecodeClaimAnswer(bytes), std::nullopt);
  EXPECT_EQ(claim::DecodeBatch(bytes), std::nullopt);
}

RC_GTEST_PROP(PeerMessagesProperty, AnyBytesAreJudged, ()) {
  wire::StateExchange exchange;
  exchange.sender = "r";
  exchange.loads.push_back({9, milliseconds(5), 100, 3, 8000, 1});
  std::string bytes = wire::Encode(exchange);
  const auto edits = *rc::gen::inRange(1, 5);
  for (int i = 0; i < edits; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
  }
  wire::DecodeRequest(bytes);
  wire::DecodeClaimAnswer(bytes);
  claim::DecodeBatch(bytes);
}

TEST(Traceparent, IsParsedOrRefused) {
  const std::string good =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto context = telemetry::ParseTraceparent(good);
  ASSERT_TRUE(context.has_value());
  EXPECT_TRUE(context->is_sampled);
  EXPECT_EQ(telemetry::ToTraceparent(*context), good);
  const auto child = telemetry::Tracer::Child(*context);
  EXPECT_EQ(child.parent_id, context->span_id);
  EXPECT_EQ(child.trace_id, context->trace_id);
  for (const char* bad :
       {"", "00-0-0-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01"}) {
    EXPECT_FALSE(telemetry::ParseTraceparent(bad).has_value()) << bad;
  }
}

TEST(HostList, OneWrongEntryDoesNotHideTheOthers) {
  const auto hosts = platform::ParseHosts(R"({"hosts":[
    {"id":"a","role":"runner","pool":"p","zone":"z","address":"127.0.0.1:1",
     "state":"leaving"},
    {"id":"b","role":"alien","address":"127.0.0.1:2"},
    {"id":"c","role":"runner","address":"nowhere"}, 7]})");
  ASSERT_TRUE(hosts.ok());
  ASSERT_EQ(hosts.value().hosts.size(), 1U);
  EXPECT_TRUE(hosts.value().hosts[0].is_leaving);
  const auto again =
      platform::ParseHosts(platform::SerializeHosts(hosts.value().hosts));
  EXPECT_EQ(again.value().hosts, hosts.value().hosts);
  EXPECT_FALSE(platform::ParseHosts("[]").ok());
}

TEST(RuntimeClock, PausesAndAdvances) {
  RuntimeClock::Pause();
  const auto start = RuntimeClock::now();
  const WallTime wall = RuntimeClock::WallNow();
  RuntimeClock::Advance(seconds(90));
  EXPECT_EQ(RuntimeClock::now() - start, seconds(90));
  EXPECT_GE(RuntimeClock::WallNow() - wall, seconds(89));
  RuntimeClock::Resume();
  EXPECT_GE(RuntimeClock::now() - start, seconds(90));
}

TEST(RuntimeClock, DrivesTimers) {
  RuntimeClock::Pause();
  net::asio::io_context loop;
  net::Timer timer(loop, std::chrono::hours(5));
  bool has_fired = false;
  timer.async_wait([&](const net::error_code& code) { has_fired = !code; });
  loop.run_for(milliseconds(5));
  EXPECT_FALSE(has_fired);
  RuntimeClock::Advance(std::chrono::hours(5));
  loop.run();
  EXPECT_TRUE(has_fired);
  RuntimeClock::Resume();
}

TEST(ByteBudget, SpendsNoMoreThanItsRate) {
  router::ByteBudget budget(1000);
  RuntimeClock::time_point now{std::chrono::hours(1)};
  budget.Available(now);
  double spent = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(100);
    const double available = budget.Available(now);
    if (available < 300) continue;
    budget.Spend(available);
    spent += available;
  }
  EXPECT_LE(spent, 1000 * 102);
  EXPECT_GE(spent, 1000 * 95);
}

TEST(BlockCache, EvictsTheLeastRecentlyUsed) {
  standins::BlockCache cache(2 * standins::BlockCache::kTokensPerBlock);
  const Hash128 a{0, 1};
  const Hash128 b{0, 2};
  const Hash128 c{0, 3};
  cache.Insert({a, b});
  EXPECT_EQ(cache.Match({a}), 1U);
  cache.Insert({c});
  EXPECT_EQ(cache.Match({a}), 1U);
  EXPECT_EQ(cache.Match({b}), 0U);
  EXPECT_EQ(cache.evicted(), 1U);
}

TEST(Generator, IsDeterministicBySeedAndNestsPrefixes) {
  load::Workload workload;
  workload.model = "m";
  workload.accounts.push_back({"k", 1});
  load::KindLoad kind;
  kind.kind = "read";
  kind.tiers = {{4, 50, 1.0}, {3, 20, 0.5}};
  workload.kinds.push_back(kind);
  load::Generator a(workload, 5);
  load::Generator b(workload, 5);
  std::set<std::string> catalogues;
  for (int i = 0; i < 100; ++i) {
    const auto first = a.Next(seconds(0));
    EXPECT_EQ(first.body, b.Next(seconds(0)).body);
    const auto body = nlohmann::json::parse(first.body);
    catalogues.insert(body["messages"][0]["content"].get<std::string>());
  }
  EXPECT_EQ(catalogues.size(), 4U);
}

TEST(Latencies, QuantilesAreWithinABin) {
  load::Latencies latencies;
  for (int i = 1; i <= 1000; ++i) latencies.Add(milliseconds(i));
  EXPECT_NEAR(latencies.Quantile(0.5), 500, 15);
  EXPECT_NEAR(latencies.Quantile(0.95), 950, 25);
}

}  // namespace
}  // namespace beryllane
