// Tests of the router's view of the fleet and of the decisions based on it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <random>

#include "beryllane/freshness/freshness.h"
#include "beryllane/hash/hash.h"
#include "beryllane/limit/retry_window.h"
#include "beryllane/placement/prefix_policy.h"
#include "beryllane/placement/rendezvous.h"
#include "beryllane/rollout/planner.h"
#include "src/fleet/event_relay.h"
#include "src/fleet/fleet.h"
#include "src/fleet/placement.h"
#include "src/fleet/record_relay.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Pauses the runtime clock for the duration of a test.
class PausedClock {
 public:
  PausedClock() { RuntimeClock::Pause(); }
  ~PausedClock() { RuntimeClock::Resume(); }
  PausedClock(const PausedClock&) = delete;
  PausedClock& operator=(const PausedClock&) = delete;
};

TargetEntry Entry(const std::string& id, const std::string& service = "s",
                  std::uint64_t version = 1) {
  TargetEntry entry;
  entry.id = id;
  entry.service = service;
  entry.address = {"10.0.0.1", 80};
  entry.availability_zone = "za";
  entry.slots = 8;
  entry.weights["m"] = version;
  return entry;
}

TEST(FleetState, VersionsOfTheConfigurationOnlyRise) {
  Fleet fleet;
  FleetConfig config;
  config.version = 5;
  EXPECT_TRUE(fleet.SetConfig(config));
  EXPECT_FALSE(fleet.SetConfig(config));
  config.version = 4;
  EXPECT_FALSE(fleet.SetConfig(config));
  EXPECT_EQ(fleet.config()->version, 5U);
}

TEST(FleetState, AnOlderBeatOrIncarnationChangesNothing) {
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.start_time = 10;
  entry.sequence = 7;
  entry.is_draining = true;
  fleet.SetTarget(entry);
  entry.sequence = 6;
  entry.is_draining = false;
  fleet.SetTarget(entry);
  EXPECT_TRUE(fleet.AvailableTargets("s").empty());
  entry.start_time = 9;
  entry.sequence = 99;
  fleet.SetTarget(entry);
  EXPECT_TRUE(fleet.AvailableTargets("s").empty());
  entry.start_time = 11;
  entry.sequence = 1;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.AvailableTargets("s").size(), 1U);
}

// Without the check of the sequence number, an older list entry would lower the
// weights once the list has caught up.
TEST(FleetState, AnOlderBeatDoesNotLowerTheWeights) {
  const PausedClock paused;
  Fleet fleet;
  TargetEntry entry = Entry("i", "s", 3);
  entry.sequence = 7;
  fleet.SetTarget(entry);
  RuntimeClock::Advance(seconds(20));
  entry.sequence = 6;
  entry.weights["m"] = 2;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.AvailableTargets("s")[0]->VersionOf("m"), 3U);
}

TEST(FleetState, AnOlderCopyOfTheListBringsNoTargetBack) {
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.start_time = 10;
  entry.sequence = 7;
  fleet.SetTarget(entry);
  fleet.RemoveTarget("i");
  entry.sequence = 6;
  fleet.SetTarget(entry);
  EXPECT_TRUE(fleet.AvailableTargets("s").empty());
  entry.sequence = 8;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.AvailableTargets("s").size(), 1U);
}

// Another writer's entry brought a target that had left back into use.
TEST(FleetState, AnEntryWithoutStartTimeIsNoIncarnationOfATargetThatStatesIt) {
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.start_time = 10;
  entry.sequence = 7;
  fleet.SetTarget(entry);
  fleet.RemoveTarget("i");
  entry.start_time = 0;
  entry.sequence = 8;
  fleet.SetTarget(entry);
  EXPECT_TRUE(fleet.AvailableTargets("s").empty());
  entry.start_time = 11;
  entry.sequence = 1;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.AvailableTargets("s").size(), 1U);
}

TEST(FleetState, ATargetThatStatesNoStartTimeMayStartAgain) {
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.sequence = 7;
  fleet.SetTarget(entry);
  fleet.RemoveTarget("i");
  entry.sequence = 1;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.AvailableTargets("s").size(), 1U);
}

TEST(FleetState, ANewIncarnationHasAnEmptyCache) {
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.start_time = 10;
  fleet.SetTarget(entry);
  fleet.AvailableTargets("s")[0]->cache.Touch(1, 100);
  entry.sequence = 1;
  fleet.SetTarget(entry);
  EXPECT_TRUE(fleet.AvailableTargets("s")[0]->cache.Contains(1));
  entry.start_time = 11;
  fleet.SetTarget(entry);
  EXPECT_FALSE(fleet.AvailableTargets("s")[0]->cache.Contains(1));
}

// With one figure missing, the sum of both is unknown. Taking the missing one
// for 0 would make a full target look idle.
TEST(FleetState, ALoadWithOneFigureOnlyRaisesTheEstimate) {
  const PausedClock paused;
  const auto now = RuntimeClock::now();
  Runner runner;
  runner.RecordLoad(6, 3, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 9);
  runner.RecordLoad(std::nullopt, 0, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 9);
  runner.RecordLoad(8, std::nullopt, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 9);
  runner.RecordLoad(std::nullopt, std::nullopt, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 9);
  runner.RecordLoad(12, std::nullopt, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 12);
  runner.RecordLoad(std::nullopt, 15, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 15);
  runner.RecordLoad(1, 0, now);
  EXPECT_EQ(runner.EstimatedLoad(now), 1);
}

TEST(FleetState, NewWeightsEmptyTheCacheAndNeverFall) {
  Runner runner;
  runner.RaiseVersion("m", 3);
  runner.cache.Touch(1, 100);
  runner.RaiseVersion("m", 2);
  EXPECT_EQ(runner.VersionOf("m"), 3U);
  EXPECT_TRUE(runner.cache.Contains(1));
  runner.RaiseVersion("m", 4);
  EXPECT_FALSE(runner.cache.Contains(1));
}

// While the store is down, the list shows the weights of before the outage.
TEST(FleetState, AReportCountsWhileTheListIsNotRead) {
  const PausedClock paused;
  Fleet fleet;
  RuntimeClock::Advance(seconds(10));
  fleet.SetTarget(Entry("i", "s", 1));
  const auto runner = fleet.AvailableTargets("s")[0];
  runner->RaiseVersion("m", 2);
  RuntimeClock::Advance(seconds(20));
  EXPECT_EQ(runner->VersionOf("m"), 2U);
}

// A hint about an earlier incarnation can raise the known version wrongly. If
// the list did not correct it, the target would never be ordered to load.
TEST(FleetState, TheListCorrectsAWrongBeliefAboutWeights) {
  const PausedClock paused;
  Fleet fleet;
  RuntimeClock::Advance(seconds(10));
  fleet.SetTarget(Entry("i", "s", 1));
  const auto runner = fleet.AvailableTargets("s")[0];
  runner->RaiseVersion("m", 3);
  RuntimeClock::Advance(seconds(2));
  fleet.SetTarget(Entry("i", "s", 1));
  fleet.OnListRead();
  EXPECT_EQ(runner->VersionOf("m"), 3U);
  RuntimeClock::Advance(seconds(4));
  fleet.SetTarget(Entry("i", "s", 1));
  fleet.OnListRead();
  EXPECT_EQ(runner->VersionOf("m"), 1U);
}

// The list names a change once; it was lost while a report was believed.
TEST(FleetState, TheListCountsOnceAReportHasExpired) {
  const PausedClock paused;
  Fleet fleet;
  RuntimeClock::Advance(seconds(10));
  fleet.SetTarget(Entry("i", "s", 1));
  const auto runner = fleet.AvailableTargets("s")[0];
  runner->RaiseVersion("m", 3);
  fleet.SetTarget(Entry("i", "s", 2));
  fleet.OnListRead();
  EXPECT_EQ(runner->VersionOf("m"), 3U);
  RuntimeClock::Advance(seconds(6));
  fleet.OnListRead();
  EXPECT_EQ(runner->VersionOf("m"), 2U);
}

TEST(FleetState, ARefusalDropsAReportedVersionButNotAListedOne) {
  const PausedClock paused;
  Fleet fleet;
  fleet.SetTarget(Entry("i", "s", 1));
  const auto runner = fleet.AvailableTargets("s")[0];
  EXPECT_FALSE(runner->RefuteVersion("m", 1));
  EXPECT_EQ(runner->VersionOf("m"), 1U);
  runner->RaiseVersion("m", 3);
  EXPECT_FALSE(runner->RefuteVersion("m", 2));
  EXPECT_TRUE(runner->RefuteVersion("m", 3));
  EXPECT_EQ(runner->VersionOf("m"), 1U);
}

TEST(FleetState, TheLongestPrefixWins) {
  FleetConfig config;
  for (const char* prefix : {"/a/", "/a/b/", "/"}) {
    Route route;
    route.host = "h";
    route.path_prefix = prefix;
    route.name = prefix;
    config.routes.push_back(route);
  }
  EXPECT_EQ(FindRoute(config, "h", "/a/b/c")->name, "/a/b/");
  EXPECT_EQ(FindRoute(config, "h", "/a/bc")->name, "/a/");
  EXPECT_EQ(FindRoute(config, "h", "/x")->name, "/");
  EXPECT_EQ(FindRoute(config, "other", "/x"), nullptr);
}

TEST(FleetState, TrafficIsSplitByWeight) {
  Route route;
  route.shares = {{"s", 90}, {"t", 10}, {"never", 0}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 5000; ++i) {
    ++counts[PickService(route, "id-" + std::to_string(i))];
  }
  EXPECT_NEAR(counts["t"], 500, 100);
  EXPECT_EQ(counts["never"], 0);
}

// The lag is measured from the first version newer than the one in use. If it
// were measured from the newest, requests would be answered on weights that are
// two versions old.
TEST(FleetState, LagCountsFromTheFirstNewerVersion) {
  const PausedClock paused;
  Fleet fleet;
  fleet.SetDesiredWeights({"m", 2}, BootClock::now());
  RuntimeClock::Advance(seconds(5));
  fleet.SetDesiredWeights({"m", 3}, BootClock::now());
  RuntimeClock::Advance(seconds(1));
  const DesiredWeightsState goal = fleet.DesiredWeightsOf("m");
  const auto now = BootClock::now();
  EXPECT_EQ(goal.Lag(1, now), seconds(6));
  EXPECT_EQ(goal.Lag(2, now), seconds(1));
  EXPECT_EQ(goal.Lag(3, now), seconds(0));
}

TEST(FleetParts, APartIsReadyWhenItsReadingEnds) {
  PartCache cache;
  const RuntimeClock::time_point later{seconds(5)};
  cache.Touch(1, 100, later);
  cache.Touch(1, 100, RuntimeClock::time_point{seconds(9)});
  EXPECT_EQ(cache.ReadyAt(1), later);
  EXPECT_EQ(cache.TokensOf(1), 100U);
  cache.MarkReady(1);
  EXPECT_EQ(cache.ReadyAt(1), RuntimeClock::time_point());
  cache.Erase(1);
  EXPECT_FALSE(cache.Contains(1));
  EXPECT_EQ(cache.TokensOf(1), 0U);
}

class FleetPlacement : public ::testing::Test {
 protected:
  FleetPlacement() {
    service_.name = "s";
    service_.engine = EngineProperties{100000, 327680, 200000, 8};
    request_.id = "r";
    request_.model = "m";
    request_.prompt_tokens = 1000;
    request_.parts = {{"aa", 500}, {"bb", 400}, {"cc", 100}};
  }
  Result<PlacementDecision> Choose() {
    const PlacementInput input{
        service_, nullptr,  request_, tried_, RuntimeClock::now(),
        true,     deadline_};
    return ChooseTarget(fleet_, placement_settings_, input,
                        RuntimeClock::now());
  }

  const PausedClock paused_;
  Fleet fleet_;
  PlacementSettings placement_settings_{"za", "ra", {{"za", "ra"}}, {}};
  Service service_;
  platform::CallerRequest request_;
  std::vector<std::string> tried_;
  RuntimeClock::time_point deadline_ = RuntimeClock::time_point::max();
};

TEST_F(FleetPlacement, ARouterThatFoundTheGoalAtItsStartUsesNewWeights) {
  fleet_.SetTarget(Entry("old", "s", 1));
  fleet_.SetTarget(Entry("new", "s", 2));
  fleet_.SetDesiredWeights({"m", 2}, std::nullopt);
  fleet_.AvailableTargets("s")[0]->own_running = 0;
  for (auto& runner : fleet_.AvailableTargets("s")) {
    if (runner->entry.id == "new") runner->own_pending_prefill_tokens = 1000000;
  }
  EXPECT_EQ(Choose().value().runner->entry.id, "new");
}

TEST_F(FleetPlacement, OldWeightsAreNotUsedOnceTheyLagTooLong) {
  fleet_.SetTarget(Entry("old", "s", 1));
  fleet_.SetDesiredWeights({"m", 2}, BootClock::now());
  EXPECT_TRUE(Choose().ok());
  RuntimeClock::Advance(seconds(7));
  const auto refused = Choose();
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.error().verdict, Verdict::kNotRun);
}

TEST_F(FleetPlacement, OldWeightsAreNotUsedWhereRequestsWaitTooLong) {
  fleet_.SetTarget(Entry("slow", "s", 1));
  fleet_.SetDesiredWeights({"m", 2}, BootClock::now());
  RuntimeClock::Advance(seconds(4));
  EXPECT_TRUE(Choose().ok());
  const auto sent_at = RuntimeClock::now();
  StartWait& wait = fleet_.AvailableTargets("s")[0]->start_wait;
  wait.OnSent(sent_at);
  RuntimeClock::Advance(milliseconds(1800));
  EXPECT_FALSE(Choose().ok());
  wait.OnBegan(sent_at, RuntimeClock::now());
  EXPECT_FALSE(Choose().ok());
}

TEST_F(FleetPlacement, AVersionCountsFromTheLastProofBeforeItWasRead) {
  fleet_.SetTarget(Entry("old", "s", 1));
  const auto complete_until = BootClock::now();
  RuntimeClock::Advance(seconds(2));
  fleet_.SetDesiredWeights({"m", 2}, complete_until);
  RuntimeClock::Advance(seconds(4));
  EXPECT_TRUE(Choose().ok());
  RuntimeClock::Advance(seconds(1));
  EXPECT_FALSE(Choose().ok());
}

TEST_F(FleetPlacement, AVersionFoundAtTheStartLeavesTimeToSettle) {
  fleet_.SetTarget(Entry("old", "s", 1));
  fleet_.SetDesiredWeights({"m", 2}, std::nullopt);
  EXPECT_TRUE(Choose().ok());
  RuntimeClock::Advance(seconds(2));
  EXPECT_FALSE(Choose().ok());
}

TEST_F(FleetPlacement, ATargetKnownToHaveNewWeightsServesWhileTheStoreIsDown) {
  fleet_.SetTarget(Entry("new", "s", 1));
  fleet_.SetDesiredWeights({"m", 2}, BootClock::now());
  fleet_.AvailableTargets("s")[0]->RaiseVersion("m", 2);
  RuntimeClock::Advance(seconds(20));
  EXPECT_TRUE(Choose().ok());
}

TEST_F(FleetPlacement, ARunnerMustAnswerWithTheVersionThatItsSaltNames) {
  fleet_.SetTarget(Entry("a", "s", 7));
  const auto choice = Choose();
  EXPECT_EQ(choice.value().weights_version, 7U);
  EXPECT_EQ(choice.value().cache_salt, CacheSalt(7, ""));
}

// Several requests arrive for a prompt that no runner has cached yet.
TEST_F(FleetPlacement, ARequestWaitsWhileAnotherReadsTheSameParts) {
  fleet_.SetTarget(Entry("a", "s", 7));
  const auto now = RuntimeClock::now();
  EXPECT_LE(Choose().value().not_before, now);
  const auto keys = PartKeys(request_, CacheSalt(7, ""));
  PartCache& cache = fleet_.AvailableTargets("s")[0]->cache;
  for (const std::uint64_t key : keys) {
    cache.Touch(key, 400, now + milliseconds(90));
  }
  EXPECT_EQ(Choose().value().not_before, now + milliseconds(90));
  cache.MarkReady(keys[0]);
  cache.MarkReady(keys[1]);
  EXPECT_LE(Choose().value().not_before, now);
  cache.Erase(keys[0]);
  cache.Touch(keys[0], 400, now + seconds(30));
  EXPECT_LE(Choose().value().not_before, now + seconds(1));
}

// A runner that refused a request because it was full can still be the source
// of a copy.
TEST_F(FleetPlacement, PartsAreCopiedFromARunnerThatRefused) {
  fleet_.SetTarget(Entry("a", "s", 7));
  fleet_.SetTarget(Entry("b", "s", 7));
  const auto keys = PartKeys(request_, CacheSalt(7, ""));
  const auto a = fleet_.targets().at("a");
  for (const std::uint64_t key : keys) a->cache.Touch(key, 400);
  tried_.emplace_back("a");
  const auto choice = Choose();
  EXPECT_EQ(choice.value().runner->entry.id, "b");
  EXPECT_EQ(choice.value().fetch_from, a->entry.address);
}

// Two zones of one region, of which the own one has more requests than slots.
class ZoneShares : public FleetPlacement {
 protected:
  ZoneShares() {
    placement_settings_.region_of_zone["zb"] = "ra";
    for (const std::string id : {"a1", "a2", "b1", "b2"}) {
      TargetEntry entry = Entry(id, "s", 7);
      entry.availability_zone = id[0] == 'a' ? "za" : "zb";
      fleet_.SetTarget(entry);
    }
    // The wait at home exceeds the cost of leaving, but the requests that the
    // shares keep at home stay within the raised penalty.
    for (const char* id : {"a1", "a2"}) RunnerOf(id).own_running = 20;
    request_.parts = {{"cc", 1000}};
  }
  Runner& RunnerOf(const std::string& id) { return *fleet_.targets().at(id); }
  // Ids of the targets of a number of requests, in order.
  std::vector<std::string> PlacedIds(int count) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
      request_.id = "r" + std::to_string(i);
      const auto choice = Choose();
      ids.push_back(choice.ok() ? choice.value().runner->entry.id : "");
    }
    return ids;
  }
  static int CountAway(const std::vector<std::string>& ids) {
    return static_cast<int>(
        std::count_if(ids.begin(), ids.end(),
                      [](const auto& id) { return id.starts_with('b'); }));
  }
  // Lets the shares change while anything is heard of the targets.
  void PassTime(int steps) {
    for (int i = 0; i < steps; ++i) {
      RuntimeClock::Advance(milliseconds(200));
      for (const auto& [id, runner] : fleet_.targets()) {
        runner->last_received_at = RuntimeClock::now();
      }
      Choose();
    }
  }
};

// Guards against a change of placement in deployments whose targets do not
// report their pace: the wait of the own zone alone decides, at any time.
TEST_F(ZoneShares, WithoutReportsOfPacePlacementIsAsBefore) {
  const auto before = PlacedIds(200);
  // 30 ms of wait exceed the penalty of 2 ms for leaving the zone.
  EXPECT_EQ(CountAway(before), 200);
  fleet_.set_reports_pace("another service");
  PassTime(10);
  EXPECT_EQ(PlacedIds(200), before);
  EXPECT_EQ(fleet_.zone_balance().ShareOf("s", "zb"), 0);
}

TEST_F(ZoneShares, RequestsLeaveAccordingToTheShares) {
  fleet_.set_reports_pace("s");
  EXPECT_EQ(CountAway(PlacedIds(200)), 0);
  PassTime(2);
  const double share = fleet_.zone_balance().ShareOf("s", "zb");
  EXPECT_GT(share, 0);
  const auto placed = PlacedIds(400);
  EXPECT_NEAR(CountAway(placed) / 400.0, share, 0.08);
  EXPECT_EQ(PlacedIds(400), placed);
}

// Guards against requests for a zone that is cut off.
TEST_F(ZoneShares, AZoneThatIsNotHeardGetsNothing) {
  fleet_.set_reports_pace("s");
  PassTime(3);
  EXPECT_GT(CountAway(PlacedIds(200)), 0);
  RuntimeClock::Advance(seconds(1));
  EXPECT_EQ(CountAway(PlacedIds(200)), 0);
}

TEST_F(ZoneShares, TheGaugesShowEachZone) {
  fleet_.set_reports_pace("s");
  PassTime(3);
  MetricRegistry metrics;
  fleet_.zone_balance().Export(metrics);
  const std::string text = metrics.Serialize();
  const std::string series =
      "beryllane_fleet_zone_share_permille{zone=\"zb\"} ";
  ASSERT_NE(text.find(series), std::string::npos);
  EXPECT_GT(std::stoi(text.substr(text.find(series) + series.size())), 0);
  EXPECT_EQ(text.find("zone=\"za\""), std::string::npos);
}

// Targets that asked for a pause.
class PausedTargets : public FleetPlacement {
 protected:
  PausedTargets() {
    for (const char* id : {"a", "b"}) {
      TargetEntry entry = Entry(id, "s", 7);
      entry.start_time = 10;
      entry.address.port = static_cast<unsigned char>(id[0]);
      fleet_.SetTarget(entry);
    }
  }
  TargetPause& PauseOf(const std::string& id) {
    return fleet_.targets().at(id)->gate->pause();
  }
  void Pause(const std::string& id, milliseconds duration) {
    PauseOf(id).OnRetryAfter(duration, RuntimeClock::now());
  }
  std::chrono::nanoseconds TimeToPlace() {
    return TimeToCapacity(fleet_, "s", RuntimeClock::now());
  }
  // Number of requests of `count` that are placed at `id`; refused ones are
  // placed nowhere.
  int PlacedAt(const std::string& id, int count) {
    int placed = 0;
    for (int i = 0; i < count; ++i) {
      const auto choice = Choose();
      placed += choice.ok() && choice.value().runner->entry.id == id ? 1 : 0;
    }
    return placed;
  }
};

TEST_F(PausedTargets, RequestsGoElsewhereUntilTheEnd) {
  const std::string preferred = Choose().value().runner->entry.id;
  Pause(preferred, seconds(2));
  RuntimeClock::Advance(milliseconds(1999));
  EXPECT_EQ(PlacedAt(preferred == "a" ? "b" : "a", 50), 50);
  EXPECT_EQ(PauseOf(preferred).passed_over(), 50U);
}

TEST_F(PausedTargets, PartsAreNotCopiedFromOne) {
  for (const auto key : PartKeys(request_, CacheSalt(7, ""))) {
    fleet_.targets().at("a")->cache.Touch(key, 400);
  }
  tried_.emplace_back("a");
  EXPECT_TRUE(Choose().value().fetch_from);
  Pause("a", seconds(2));
  EXPECT_FALSE(Choose().value().fetch_from);
}

TEST_F(PausedTargets, IfAllArePausedTheFirstEndIsTold) {
  Pause("a", seconds(2));
  Pause("b", seconds(5));
  const auto refused = Choose();
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.error().id, ErrorId::kOverloaded);
  EXPECT_EQ(refused.error().verdict, Verdict::kNotRun);
  EXPECT_EQ(TimeToPlace(), seconds(2));
}

TEST_F(PausedTargets, TheOnlyOneThatReturnsGetsTrafficByDoublingSteps) {
  Pause("a", seconds(1));
  Pause("b", seconds(60));
  RuntimeClock::Advance(seconds(1));
  EXPECT_EQ(PlacedAt("a", 100), 2);
  EXPECT_EQ(TimeToPlace(), TargetPause::kStep);
  RuntimeClock::Advance(TargetPause::kStep);
  EXPECT_EQ(PlacedAt("a", 100), 2);
  RuntimeClock::Advance(TargetPause::kStep * TargetPause::kSteps);
  EXPECT_EQ(PlacedAt("a", 100), 100);
}

TEST_F(PausedTargets, ANewIncarnationEndsThePauseAndAHeartbeatDoesNot) {
  Pause("a", seconds(60));
  TargetEntry entry = fleet_.targets().at("a")->entry;
  entry.sequence = 9;
  entry.address.port = 1;
  fleet_.SetTarget(entry);
  fleet_.RemoveTarget("a");
  fleet_.SetTarget(entry);
  EXPECT_TRUE(PauseOf("a").IsPaused(RuntimeClock::now()));
  entry.start_time = 11;
  fleet_.SetTarget(entry);
  EXPECT_FALSE(PauseOf("a").IsPaused(RuntimeClock::now()));
}

TEST_F(PausedTargets, ThePauseAndTheLimitHoldTogether) {
  const auto now = RuntimeClock::now();
  for (const auto& [id, runner] : fleet_.targets()) {
    runner->limit.OnAnswer(1, now, now);
  }
  Pause("a", seconds(2));
  Pause("b", seconds(2));
  RuntimeClock::Advance(seconds(2));
  for (int i = 0; i < 10; ++i) {
    for (const auto& [id, runner] : fleet_.targets()) {
      if (runner->limit.MaySend(PeerActivity(), RuntimeClock::now())) {
        runner->limit.CountSent();
      }
    }
  }
  EXPECT_EQ(Choose().error().id, ErrorId::kOverloaded);
  EXPECT_GT(TimeToPlace(), seconds(0));
  EXPECT_LE(TimeToPlace(), seconds(1));
}

TEST_F(FleetPlacement, SuspectsAreUsedOnlyWhereNoOtherIsLeft) {
  fleet_.SetTarget(Entry("a"));
  fleet_.SetTarget(Entry("b"));
  fleet_.AvailableTargets("s")[0]->Suspect(RuntimeClock::now());
  EXPECT_EQ(Choose().value().runner->entry.id, "b");
  tried_.emplace_back("b");
  EXPECT_EQ(Choose().value().runner->entry.id, "a");
  tried_.emplace_back("a");
  EXPECT_FALSE(Choose().ok());
}

TEST_F(FleetPlacement, ATargetAtItsLimitIsPassedOverAndRefusalsSayWhen) {
  for (const char* id : {"limited", "other"}) fleet_.SetTarget(Entry(id));
  const auto now = RuntimeClock::now();
  SharedLimit& limit = fleet_.targets().at("limited")->limit;
  SharedLimit& other = fleet_.targets().at("other")->limit;
  limit.OnAnswer(2, now, now);
  EXPECT_EQ(Choose().value().runner->entry.id, "other");
  EXPECT_EQ(TimeToCapacity(fleet_, "s", now), milliseconds(0));
  other.OnAnswer(1, now, now);
  const auto refused = Choose();
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.error().id, ErrorId::kOverloaded);
  EXPECT_EQ(refused.error().verdict, Verdict::kNotRun);
  EXPECT_EQ(TimeToCapacity(fleet_, "s", now), milliseconds(500));
  RuntimeClock::Advance(milliseconds(600));
  EXPECT_EQ(Choose().value().runner->entry.id, "limited");
}

TEST_F(FleetPlacement, DemandIsCountedAtEachTargetThatALimitRulesOut) {
  for (const char* id : {"a", "b", "c", "d"}) fleet_.SetTarget(Entry(id));
  const auto now = RuntimeClock::now();
  const auto targets = fleet_.AvailableTargets("s");
  for (std::size_t i = 0; i + 1 < targets.size(); ++i) {
    targets[i]->limit.OnAnswer(1, now, now);
  }
  // The last target costs the most and is the only one without a limit.
  targets.back()->RecordLoad(500, 0, now);
  const auto choice = Choose();
  ASSERT_TRUE(choice.ok());
  EXPECT_EQ(choice.value().runner, targets.back());
  EXPECT_EQ(choice.value().candidates, targets.size());
  for (const auto& target : targets) {
    EXPECT_GT(target->limit.Demand(now), 0);
  }
}

TEST_F(FleetPlacement, ARequestThatNoTargetCanStartInTimeIsRefusedAtOnce) {
  fleet_.SetTarget(Entry("a"));
  fleet_.SetTarget(Entry("b"));
  const auto now = RuntimeClock::now();
  const auto targets = fleet_.AvailableTargets("s");
  // At 40 tokens a millisecond the first takes 6 s to read its queue.
  targets[0]->own_pending_prefill_tokens = 240000;
  targets[1]->limit.OnAnswer(1, now, now);
  deadline_ = now + seconds(5);
  const auto refused = Choose();
  ASSERT_FALSE(refused.ok());
  EXPECT_EQ(refused.error().id, ErrorId::kOverloaded);
  EXPECT_EQ(refused.error().verdict, Verdict::kNotRun);
  deadline_ = now + seconds(7);
  EXPECT_EQ(Choose().value().runner, targets[0]);
}

TEST_F(FleetPlacement, ALimitedTargetThatCostsMoreGetsNoDemand) {
  fleet_.SetTarget(Entry("a"));
  fleet_.SetTarget(Entry("b"));
  const auto now = RuntimeClock::now();
  const auto targets = fleet_.AvailableTargets("s");
  targets[1]->limit.OnAnswer(1, now, now);
  targets[1]->RecordLoad(500, 0, now);
  const auto choice = Choose();
  ASSERT_TRUE(choice.ok());
  EXPECT_EQ(choice.value().runner, targets[0]);
  EXPECT_EQ(targets[1]->limit.Demand(now), 0);
}

// Gives a target's estimate enough samples without waits.
void FeedPace(Runner& runner, double tokens_per_ms) {
  constexpr std::uint32_t kTokens = 8000;
  constexpr double kFixedMs = 4;
  const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(kTokens / tokens_per_ms +
                                                kFixedMs));
  for (int i = 0; i < 8; ++i) {
    runner.pace.OnFirstEvent(kTokens, elapsed, 0, RuntimeClock::now());
  }
}

TEST_F(FleetPlacement, OfTwoIdleTargetsTheFasterGetsTheUncachedPrompt) {
  for (const char* id : {"a", "b"}) fleet_.SetTarget(Entry(id));
  request_.parts = {{"own", 8000}};
  request_.prompt_tokens = 8000;
  for (const char* fast : {"a", "b"}) {
    for (const auto& [id, runner] : fleet_.targets()) {
      FeedPace(*runner, id == fast ? 69.4 : 28.6);
      runner->RecordPace(100, RuntimeClock::now());
    }
    // The preferred target differs between the requests.
    for (int i = 0; i < 50; ++i) {
      request_.id = "r" + std::to_string(i);
      EXPECT_EQ(Choose().value().runner->entry.id, fast) << i;
    }
    for (const auto& [id, runner] : fleet_.targets()) runner->pace.Reset();
  }
}

// Two targets share their prompts evenly; while one reports that its work takes
// 2.5 times as long, its share falls to that of its pace, 1 to 2.5.
TEST_F(FleetPlacement, AMomentarilySlowTargetGetsLessFor100Ms) {
  constexpr int kRequests = 70;
  constexpr std::uint32_t kTokens = 2000;
  for (const char* id : {"a", "b"}) fleet_.SetTarget(Entry(id));
  Runner& slow = *fleet_.targets().at("a");
  request_.parts = {{"own", kTokens}};
  request_.prompt_tokens = kTokens;
  const auto place_all = [&] {
    int at_slow = 0;
    for (int i = 0; i < kRequests; ++i) {
      request_.id = "r" + std::to_string(i);
      const auto choice = Choose();
      Runner& runner = *choice.value().runner;
      runner.own_pending_prefill_tokens += choice.value().uncached_tokens;
      ++runner.own_running;
      if (&runner == &slow) ++at_slow;
    }
    for (const auto& [id, runner] : fleet_.targets()) {
      runner->own_pending_prefill_tokens = 0;
      runner->own_running = 0;
    }
    return at_slow;
  };
  for (const auto& [id, runner] : fleet_.targets()) {
    runner->RecordPace(100, RuntimeClock::now());
  }
  EXPECT_NEAR(place_all(), kRequests / 2.0, 2);
  slow.RecordPace(250, RuntimeClock::now());
  EXPECT_NEAR(place_all(), kRequests / 3.5, 2);
  RuntimeClock::Advance(milliseconds(99));
  EXPECT_NEAR(place_all(), kRequests / 3.5, 2);
  RuntimeClock::Advance(milliseconds(1));
  EXPECT_NEAR(place_all(), kRequests / 2.0, 2);
}

TEST_F(FleetPlacement, TheWaitAtALoadedTargetGrowsWithItsStepTime) {
  for (const char* id : {"a", "b"}) fleet_.SetTarget(Entry(id));
  for (const auto& [id, runner] : fleet_.targets()) {
    runner->own_running = 10;
    for (int i = 0; i < 64; ++i) {
      runner->pace.OnEventGap(milliseconds(id == "a" ? 9 : 3), 1,
                              RuntimeClock::now());
    }
    runner->RecordPace(100, RuntimeClock::now());
  }
  for (int i = 0; i < 50; ++i) {
    request_.parts = {{"own", 1000}};
    request_.id = "r" + std::to_string(i);
    EXPECT_EQ(Choose().value().runner->entry.id, "b") << i;
  }
}

TEST(FleetState, APaceIsInEffectWhileItIsReported) {
  const PausedClock paused;
  Fleet fleet;
  TargetEntry entry = Entry("i");
  entry.start_time = 10;
  fleet.SetTarget(entry);
  const auto runner = fleet.targets().at("i");
  FeedPace(*runner, 110);
  EXPECT_FALSE(runner->HasPace(RuntimeClock::now()));
  EXPECT_EQ(runner->PrefillTokensPerMs(RuntimeClock::now()), 40);
  runner->RecordPace(100, RuntimeClock::now());
  EXPECT_NEAR(runner->PrefillTokensPerMs(RuntimeClock::now()), 110, 1);
  // Another list entry of the incarnation keeps it, a new incarnation does not.
  entry.sequence = 1;
  fleet.SetTarget(entry);
  EXPECT_EQ(fleet.targets().at("i"), runner);
  entry.start_time = 11;
  fleet.SetTarget(entry);
  EXPECT_FALSE(fleet.targets().at("i")->HasPace(RuntimeClock::now()));
  fleet.targets().at("i")->RecordPace(100, RuntimeClock::now());
  EXPECT_EQ(fleet.targets().at("i")->PrefillTokensPerMs(RuntimeClock::now()),
            40);
  RuntimeClock::Advance(Runner::kPaceReportLifetime);
  EXPECT_FALSE(runner->HasPace(RuntimeClock::now()));
  EXPECT_EQ(runner->PrefillTokensPerMs(RuntimeClock::now()), 40);
}

// The digest of the decisions was recorded on commit 3defe2b, before targets
// could report a pace. Deployments whose targets report none must see no
// change.
TEST_F(FleetPlacement, WithoutReportsOfPaceDecisionsAreAsBeforeThem) {
  constexpr int kFleets = 400;
  constexpr std::uint64_t kRecordedDigest = 3478697110190632343;
  std::mt19937 random(20261206);
  const auto draw = [&random](std::uint32_t bound) {
    return static_cast<std::uint32_t>(random()) % bound;
  };
  std::uint64_t digest = 0;
  for (int i = 0; i < kFleets; ++i) {
    fleet_ = Fleet();
    request_.id = "r" + std::to_string(i);
    request_.parts = {{"p" + std::to_string(draw(9)), 100 + draw(6000)},
                      {"q" + std::to_string(draw(9)), 100 + draw(2000)},
                      {"own", 50 + draw(1500)}};
    request_.prompt_tokens = 0;
    for (const auto& part : request_.parts) {
      request_.prompt_tokens += part.tokens;
    }
    const auto now = RuntimeClock::now();
    const auto keys = PartKeys(request_, CacheSalt(1, ""));
    const std::uint32_t targets = 1 + draw(12);
    for (std::uint32_t t = 0; t < targets; ++t) {
      TargetEntry entry = Entry("t" + std::to_string(t));
      entry.availability_zone = std::string("z") + "abcd"[draw(4)];
      fleet_.SetTarget(entry);
      Runner& runner = *fleet_.targets().at(entry.id);
      runner.own_running = static_cast<int>(draw(10));
      runner.own_pending_prefill_tokens = draw(2) * draw(20000);
      runner.RecordLoad(static_cast<int>(draw(24)), static_cast<int>(draw(5)),
                        now);
      if (draw(8) == 0) runner.full_until = now + milliseconds(50);
      // Estimates without reports have no effect.
      FeedPace(runner, 5);
      const std::uint32_t held = draw(4);
      if (held >= 1) runner.cache.Touch(keys[0], request_.parts[0].tokens);
      if (held >= 2) runner.cache.Touch(keys[1], request_.parts[1].tokens);
    }
    const auto choice = Choose();
    ASSERT_TRUE(choice.ok());
    const PlacementDecision& decision = choice.value();
    const std::string fetched =
        decision.fetch_source ? decision.fetch_source->entry.id : "";
    // Rounded, as machines differ in the last bits of a product and sum.
    const std::string text =
        decision.runner->entry.id + ' ' + fetched + ' ' +
        std::to_string(decision.uncached_tokens) + ' ' +
        std::to_string(std::llround(decision.cost_ms * 1000));
    digest = HashBytes(std::to_string(digest) + text).low;
  }
  EXPECT_EQ(digest, kRecordedDigest);
}

TEST(FleetEvents, WholeEventsOnceAndInOrder) {
  EventRelay relay(std::nullopt);
  EXPECT_EQ(relay.Feed("id: 1\ndata: a\n\nid: 2\nda").value(),
            "id: 1\ndata: a\n\n");
  EXPECT_FALSE(relay.is_at_event_end());
  relay.Restart();
  EXPECT_EQ(relay.Feed("id: 2\ndata: b\n\nid: 1\ndata: a\n\n").value(),
            "id: 2\ndata: b\n\n");
  EXPECT_EQ(relay.last_id(), 2U);
  EXPECT_EQ(relay.Feed("id: 3\ndata: c\n\n").value(), "id: 3\ndata: c\n\n");
  EXPECT_FALSE(relay.Feed("id: 5\ndata: e\n\n").ok());
}

TEST(FleetEvents, ARunResumesRightAfterTheLastEventOrNotAtAll) {
  for (const char* begin :
       {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n\n",
        "data: b\n\n", ": a comment\n\n"}) {
    EventRelay relay(std::nullopt);
    EXPECT_TRUE(relay.Feed("id: 1\ndata: a\n\nid: 2\nda").ok());
    relay.Restart();
    EXPECT_FALSE(relay.Feed(begin).ok()) << begin;
    EXPECT_EQ(relay.last_id(), 1U);
    EXPECT_FALSE(EventRelay(1).Feed(begin).ok()) << begin;
  }
  EventRelay relay(std::nullopt);
  EXPECT_TRUE(relay.Feed("data: an event without id\n\n").ok());
  relay.Restart();
  EXPECT_FALSE(relay.Feed("id: 1\ndata: a\n\n").ok());
}

TEST(FleetEvents, EventsBeforeAFaultyOneAreRelayed) {
  EventRelay relay(std::nullopt);
  const std::string event = "id: 1\ndata: a\n\n";
  const auto fed = relay.Feed(event + "id: 3\ndata: c\n\n");
  ASSERT_TRUE(fed.ok());
  EXPECT_EQ(fed.value(), event);
  EXPECT_EQ(relay.last_id(), 1U);
  EXPECT_FALSE(relay.is_at_event_end());
  EXPECT_FALSE(relay.Feed("").ok());
}

TEST(FleetEvents, AnEmptyResumptionIsSeenOnlyAfterEventsWereRelayed) {
  EventRelay relay(4);
  EXPECT_FALSE(relay.is_resumption_empty());
  EXPECT_TRUE(relay.Feed("id: 5\ndata: e\n\n").ok());
  EXPECT_FALSE(relay.is_resumption_empty());
  relay.Restart();
  EXPECT_TRUE(relay.is_resumption_empty());
  EXPECT_TRUE(relay.Feed("id: 6\ndata: f\n\n").ok());
  EXPECT_FALSE(relay.is_resumption_empty());
}

TEST(FleetEvents, AnEventMayEndItsLinesWithCarriageReturns) {
  EventRelay relay(std::nullopt);
  EXPECT_EQ(relay.Feed("id: 1\r\ndata: a\r\n\r\nid: 2\r\n").value(),
            "id: 1\r\ndata: a\r\n\r\n");
  EXPECT_FALSE(relay.is_at_event_end());
  EXPECT_EQ(relay.Feed("data: b\r\n\r\n").value(), "id: 2\r\ndata: b\r\n\r\n");
  EXPECT_TRUE(relay.is_at_event_end());
}

RC_GTEST_PROP(FleetEvents, AnyCutsGiveTheSameStream, ()) {
  std::string whole;
  for (int i = 1; i <= 12; ++i) {
    whole += "id: " + std::to_string(i) + "\ndata: w\n\n";
  }
  EventRelay relay(std::nullopt);
  std::string out;
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  const auto draw = [&random](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(1, most)(random);
  };
  while (relay.last_id().value_or(0) < 12) {
    // A target resumes after the last complete event and fails at any byte.
    std::string rest;
    for (std::uint64_t i = relay.last_id().value_or(0) + 1; i <= 12; ++i) {
      rest += "id: " + std::to_string(i) + "\ndata: w\n\n";
    }
    const std::size_t cut = draw(rest.size());
    std::size_t at = 0;
    while (at < cut) {
      const std::size_t size = draw(cut - at);
      const auto fed = relay.Feed(rest.substr(at, size));
      RC_ASSERT(fed.ok());
      out += fed.value();
      at += size;
    }
    relay.Restart();
  }
  RC_ASSERT(out == whole);
}

platform::RecordPage Page(std::uint64_t first, int count) {
  platform::RecordPage page;
  for (int i = 0; i < count; ++i) {
    page.records.push_back({"key", std::string("v\0", 2), first + i});
  }
  page.next = first + count;
  return page;
}

TEST(RecordRelayTail, GivesWhatAFollowerLacksAndNothingElse) {
  RecordTail tail;
  tail.Add(5, Page(5, 3));
  tail.Add(8, Page(8, 2));
  EXPECT_EQ(tail.ReadFrom(6)->records.size(), 4U);
  EXPECT_EQ(tail.ReadFrom(10)->records.size(), 0U);
  EXPECT_FALSE(tail.ReadFrom(4));
  EXPECT_FALSE(tail.ReadFrom(11));
  // A gap discards the earlier records.
  tail.Add(20, Page(20, 1));
  EXPECT_FALSE(tail.ReadFrom(10));
  EXPECT_EQ(tail.ReadFrom(20)->next, 21U);
}

// The number of records alone did not bound the memory.
TEST(RecordRelayTail, KeepsNoMoreBytesThanItsLimit) {
  constexpr std::size_t kRecordBytes = 256 * 1024;
  constexpr std::uint64_t kRecords = 100;
  RecordTail tail;
  for (std::uint64_t i = 0; i < kRecords; ++i) {
    tail.Add(i, {{{"config", std::string(kRecordBytes, 'x'), i}}, i + 1});
  }
  const std::uint64_t kept = RecordTail::kMaxBytes / kRecordBytes;
  EXPECT_FALSE(tail.ReadFrom(kRecords - kept));
  const auto page = tail.ReadFrom(kRecords - kept + 1);
  ASSERT_TRUE(page);
  EXPECT_EQ(page->records.size(), kept - 1);
  EXPECT_EQ(page->next, kRecords);
}

TEST(RecordRelayTail, GivesTheNewestOfEachKeyToAFollowerThatHasNothing) {
  RecordTail tail;
  EXPECT_FALSE(tail.Read(std::nullopt));
  tail.Reset({{{"a", "1", 3}, {"b", "1", 5}}, 7});
  tail.Add(7, {{{"a", "", 7}, {"c", "1", 8}, {"b", "2", 9}}, 10});
  const auto newest = tail.Read(std::nullopt);
  ASSERT_TRUE(newest);
  EXPECT_EQ(newest->next, 10U);
  ASSERT_EQ(newest->records.size(), 2U);
  EXPECT_EQ(newest->records[0].value, "2");
  EXPECT_EQ(newest->records[1].key, "c");
  EXPECT_EQ(tail.Read(8)->records.size(), 2U);
  // What a gap hides may have changed any key.
  tail.Add(12, Page(12, 1));
  EXPECT_FALSE(tail.Read(std::nullopt));
}

TEST(RecordRelayTail, IsBounded) {
  RecordTail tail;
  tail.Add(0, Page(0, 3000));
  EXPECT_FALSE(tail.ReadFrom(1999));
  EXPECT_EQ(tail.ReadFrom(2000)->records.size(), RecordTail::kMaxRecords);
}

// A reader that cannot reach the store must not keep its followers on an older
// configuration. Found as CONFIG on mix --seed 633751392468.
TEST(RecordRelayServing, AReaderThatLostTheStoreSendsFollowersAway) {
  Freshness freshness;
  RecordRelay relay(freshness);
  relay.operator_tail().Add(0, Page(0, 2));
  relay.targets_tail().Add(0, Page(0, 1));
  const std::string request = Encode(RelayRequest{1, 1});
  const auto answer = DecodeRelayAnswer(relay.Serve(request));
  ASSERT_TRUE(answer);
  EXPECT_LT(answer->proof_age, milliseconds(0));
  EXPECT_EQ(answer->operator_page.records.size(), 1U);
  relay.set_is_store_up(false);
  EXPECT_EQ(relay.Serve(request), "");
  EXPECT_EQ(relay.Serve(Encode(RelayRequest{9, 1})), "");
}

TEST(RecordRelayServing, RecordsOfAnotherEraAreNotServed) {
  Freshness freshness;
  RecordRelay relay(freshness);
  relay.SetEra(1);
  for (RecordTail* tail : {&relay.operator_tail(), &relay.targets_tail(),
                           &relay.quarantine_tail()}) {
    tail->Add(0, Page(0, 5));
  }
  EXPECT_NE(relay.Serve(Encode(RelayRequest{1, 1, 1, 1})), "");
  EXPECT_EQ(relay.Serve(Encode(RelayRequest{1, 1, 1, 0})), "");
  EXPECT_EQ(relay.Serve(Encode(RelayRequest{1, 1, 1, 2})), "");
  relay.SetEra(2);
  EXPECT_EQ(relay.Serve(Encode(RelayRequest{1, 1, 1, 2})), "");
  EXPECT_EQ(relay.Serve(Encode(RelayRequest{0, 0, 0, 2})), "");
}

TEST(RecordRelayServing, AFollowerThatHasNothingGetsTheNewestRecords) {
  Freshness freshness;
  RecordRelay relay(freshness);
  relay.SetEra(1);
  const RelayRequest request{std::nullopt, std::nullopt, std::nullopt, 1};
  relay.operator_tail().Reset({{{"config", "1", 4}}, 5});
  relay.targets_tail().Reset({{{"t", "1", 2}}, 9});
  EXPECT_FALSE(DecodeRelayAnswer(relay.Serve(Encode(request))));
  EXPECT_FALSE(DecodeNoRecords(relay.Serve(Encode(request)))->rank);
  relay.set_rank(7);
  EXPECT_EQ(DecodeNoRecords(relay.Serve(Encode(request)))->rank, 7U);
  relay.quarantine_tail().Reset({{}, 0});
  const auto answer = DecodeRelayAnswer(relay.Serve(Encode(request)));
  ASSERT_TRUE(answer);
  EXPECT_FALSE(DecodeNoRecords(Encode(*answer)));
  EXPECT_EQ(answer->operator_page.records.at(0).key, "config");
  EXPECT_EQ(answer->targets_page.next, 9U);
  EXPECT_TRUE(answer->quarantine_page.records.empty());
}

TEST(RecordRelayCodec, KeepsBytesAndRefusesOthers) {
  RelayAnswer answer;
  answer.proof_age = milliseconds(7);
  answer.operator_page = Page(3, 2);
  answer.quarantine_page = Page(7, 1);
  const auto decoded = DecodeRelayAnswer(Encode(answer));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->proof_age, milliseconds(7));
  EXPECT_EQ(decoded->operator_page.records[1].value, std::string("v\0", 2));
  EXPECT_EQ(decoded->quarantine_page.records.size(), 1U);
  EXPECT_EQ(decoded->quarantine_page.next, 8U);
  EXPECT_FALSE(DecodeRelayAnswer("text"));
  EXPECT_FALSE(DecodeRelayAnswer(""));
  EXPECT_FALSE(DecodeRelayRequest(Encode(answer).substr(0, 3)));
}

TEST(FreshnessProof, OnlyAnEmptyAnswerProvesTheWait) {
  Freshness freshness;
  const BootClock::time_point start(seconds(100));
  EXPECT_FALSE(freshness.IsWithin(seconds(5), start));
  freshness.OnReadResponse(start, false, seconds(2));
  EXPECT_EQ(freshness.Age(start + seconds(1)), seconds(1));
  freshness.OnReadResponse(start, true, seconds(2));
  EXPECT_EQ(freshness.Age(start + seconds(3)), seconds(1));
  EXPECT_TRUE(freshness.IsWithin(seconds(5), start + seconds(6)));
  EXPECT_FALSE(freshness.IsWithin(seconds(5), start + seconds(7)));
  // An answer that was buffered while the process was frozen proves nothing
  // new.
  freshness.OnReadResponse(start - seconds(1), true, seconds(2));
  EXPECT_EQ(freshness.Age(start + seconds(3)), seconds(1));
}

// Each host uses its share of the fleet's slack. The share shrinks at once when
// hosts are added.
TEST(RetryWindowBudget, ASmallerShareHoldsAtOnce) {
  Fleet fleet;
  fleet.set_retry_options({0, 10, seconds(10)});
  const RuntimeClock::time_point now{seconds(100)};
  for (int i = 0; i < 4; ++i) EXPECT_TRUE(fleet.BudgetOf("s").TryAcquire(now));
  fleet.set_retry_options({0, 4, seconds(10)});
  EXPECT_FALSE(fleet.BudgetOf("s").TryAcquire(now));
  EXPECT_TRUE(fleet.BudgetOf("t").TryAcquire(now));
}

// No period of the window's length contains more retries than the options
// allow.
RC_GTEST_PROP(RetryWindowBudget, HoldsInEachWindow, ()) {
  RetryWindow window({0.2, 5, seconds(10)});
  std::vector<std::pair<std::int64_t, bool>> log;
  std::int64_t now = 1000000;
  const int steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) {
    now += *rc::gen::inRange(0, 400);
    const RuntimeClock::time_point at{milliseconds(now)};
    if (*rc::gen::inRange(0, 3) == 0) {
      window.CountRequest(at);
      log.emplace_back(now, false);
    } else if (window.TryAcquire(at)) {
      log.emplace_back(now, true);
    }
  }
  for (const auto& [end, is_taken] : log) {
    if (!is_taken) continue;
    double requests = 0;
    double repeats = 0;
    for (const auto& [at, is_repeat] : log) {
      // Requests count within the window and the slot before it.
      if (at <= end && at > end - 11000) requests += is_repeat ? 0 : 1;
      if (at <= end && at > end - 10000) repeats += is_repeat ? 1 : 0;
    }
    RC_ASSERT(repeats <= 0.2 * requests + 5);
  }
}

TEST(RolloutPlan, OldestWeightsFirstAndNeverTooManyAtOnce) {
  using rollout::PlanOrders;
  using rollout::TargetState;
  const std::vector<TargetState> targets{
      {3, false, true, 0}, {2, false, true, 5}, {1, false, true, 9},
      {2, false, true, 1}, {1, true, true, 0},  {1, false, false, 0}};
  EXPECT_EQ(PlanOrders(targets, 3, {4}), (std::vector<std::size_t>{2, 3, 1}));
  EXPECT_EQ(PlanOrders(targets, 3, {2}), (std::vector<std::size_t>{2}));
  EXPECT_TRUE(PlanOrders(targets, 3, {1}).empty());
}

// Many requests share few long parts: the prefill of each part runs at few
// runners.
TEST(PrefixPolicy, ManyRequestsOnFewPartsReadEachPartOnce) {
  placement::PrefixWeights weights;
  std::vector<placement::PrefixCandidate> candidates(9);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id_hash = HashBytes("runner-" + std::to_string(i)).low;
    candidates[i].zone = static_cast<std::uint32_t>(i % 3);
    candidates[i].region = candidates[i].zone;
    candidates[i].distance = i % 3 == 0 ? placement::Distance::kSameZone
                                        : placement::Distance::kOtherRegion;
  }
  for (int part = 0; part < 50; ++part) {
    placement::PrefixQuery query;
    query.rendezvous_key = HashBytes("part-" + std::to_string(part));
    query.shared_tokens = 6300;
    query.kv_bytes_per_token = 327680;
    query.link_mbps = 260000;
    std::set<std::size_t> used;
    for (int request = 0; request < 5; ++request) {
      for (auto& candidate : candidates) candidate.held_tokens = 0;
      for (const std::size_t holder : used) {
        candidates[holder].held_tokens = query.shared_tokens;
      }
      used.insert(placement::ChooseByPrefix(candidates, query, weights).index);
    }
    EXPECT_LE(used.size(), 2U);
  }
}

// A burst of requests shares one part: a queue at its preferred runner moves
// requests to others, which copy the part instead of running its prefill again.
TEST(PrefixPolicy, AQueueAtTheHomeMovesRequestsWithACopy) {
  placement::PrefixWeights weights;
  placement::PrefixQuery query;
  query.rendezvous_key = HashBytes("hot");
  query.shared_tokens = 6300;
  query.kv_bytes_per_token = 327680;
  query.link_mbps = 260000;
  std::vector<placement::PrefixCandidate> candidates(3);
  for (std::size_t i = 0; i < 3; ++i) candidates[i].id_hash = i + 1;
  const std::size_t home =
      placement::ChooseByPrefix(candidates, query, weights).index;
  candidates[home].held_tokens = query.shared_tokens;
  candidates[home].wait = milliseconds(800);
  const auto moved = placement::ChooseByPrefix(candidates, query, weights);
  EXPECT_NE(moved.index, home);
  EXPECT_EQ(moved.fetch_from, home);
}

// The source of a copy by a comparison of all pairs.
std::optional<std::size_t> NearestFullestHolder(
    const std::vector<placement::PrefixCandidate>& candidates,
    const Hash128& key, std::size_t chosen) {
  const auto precedes = [&](std::size_t a, std::size_t b) {
    const auto rank = [&](std::size_t i) {
      const auto& candidate = candidates[i];
      const auto& target = candidates[chosen];
      const int distance = candidate.zone == target.zone       ? 0
                           : candidate.region == target.region ? 1
                                                               : 2;
      return std::make_tuple(
          -static_cast<std::int64_t>(candidate.held_tokens), distance,
          ~placement::RendezvousScore(key, candidate.id_hash));
    };
    return rank(a) < rank(b);
  };
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].held_tokens <= candidates[chosen].held_tokens) continue;
    if (!best || precedes(i, *best)) best = i;
  }
  return best;
}

RC_GTEST_PROP(PrefixPolicy, CopiesComeFromTheNearestOfTheFullestHolders, ()) {
  placement::PrefixQuery query;
  query.rendezvous_key = {*rc::gen::inRange<std::uint64_t>(0, 1000), 1};
  query.shared_tokens = 300;
  std::vector<placement::PrefixCandidate> candidates(
      *rc::gen::inRange<std::size_t>(1, 12));
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id_hash = i + 1;
    candidates[i].zone = *rc::gen::inRange<std::uint32_t>(0, 4);
    candidates[i].region = candidates[i].zone / 2;
    candidates[i].held_tokens = 100 * *rc::gen::inRange<std::uint32_t>(0, 4);
    candidates[i].wait = milliseconds(*rc::gen::inRange(0, 300));
  }
  const auto decision = placement::ChooseByPrefix(candidates, query, {});
  const auto expected =
      NearestFullestHolder(candidates, query.rendezvous_key, decision.index);
  if (expected) RC_ASSERT(decision.fetch_from == expected);
}

TEST(RefusalNaming, ARefusalWithoutANameIsAProofOnlyAsAFirstAnswer) {
  EXPECT_TRUE(RefusalNaming::IsProof(true, true));
  EXPECT_TRUE(RefusalNaming::IsProof(true, false));
  EXPECT_TRUE(RefusalNaming::IsProof(false, true));
  EXPECT_FALSE(RefusalNaming::IsProof(false, false));
}

TEST(RefusalNaming, ATargetWithoutNamesNeedsNewConnectionsForSomeTime) {
  const PausedClock paused;
  const auto start = RuntimeClock::now();
  RefusalNaming naming;
  EXPECT_FALSE(naming.NeedsNewConnection(start));
  naming.OnRefusal(false, start);
  EXPECT_TRUE(naming.NeedsNewConnection(start));
  EXPECT_FALSE(naming.NeedsNewConnection(start + RefusalNaming::kLifetime));
  naming.OnRefusal(false, start + seconds(20));
  EXPECT_TRUE(naming.NeedsNewConnection(start + RefusalNaming::kLifetime));
  naming.OnRefusal(true, start + seconds(21));
  EXPECT_FALSE(naming.NeedsNewConnection(start + seconds(21)));
}

}  // namespace
}  // namespace beryllane::fleet
