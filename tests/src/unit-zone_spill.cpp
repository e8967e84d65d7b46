// Tests of the shares of a zone's requests that go to other zones, alone and in
// a model of six zones, with no network.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <numbers>
#include <queue>
#include <random>
#include <vector>

#include "beryllane/placement/zone_spill.h"

namespace beryllane::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr int kZones = 6;
constexpr int kRoutersPerZone = 10;
constexpr int kTargets = 15;
constexpr int kSlotsPerTarget = 4;
constexpr int kSlots = kTargets * kSlotsPerTarget;
constexpr milliseconds kRunTime{400};
constexpr milliseconds kPeriod{17000};
constexpr double kAmplitude = 0.55;
constexpr milliseconds kShortGoal{400};
constexpr milliseconds kLongGoal{1000};
// The delay of the reports in the runs of the milestone's fleets.
constexpr milliseconds kReportAge{700};

RuntimeClock::time_point T(milliseconds t) {
  return RuntimeClock::time_point(std::chrono::hours(1) + t);
}

// Six zones in three regions that serve their own demand in order of arrival,
// each with ten routers. Time advances by one millisecond.
class Model {
 public:
  struct Options {
    bool spills = true;
    milliseconds report_age = kReportAge;
    std::uint64_t seed = 1;
  };
  struct Counts {
    int total = 0;
    int late = 0;
    int away = 0;
  };

  explicit Model(Options options) : options_(options), random_(options.seed) {
    for (int zone = 0; zone < kZones; ++zone) {
      spills_.emplace_back(kRoutersPerZone);
      last_shares_.emplace_back(kRoutersPerZone, 0.0);
      last_signs_.emplace_back(kRoutersPerZone, 0);
      sign_changes_.emplace_back(kRoutersPerZone, 0);
    }
    slots_.fill(kSlots);
  }

  static int RegionOf(int zone) { return zone / 2; }

  // Demand per capacity of a zone at a time; flat unless set otherwise.
  std::function<double(int zone, milliseconds now)> demand =
      [](int, milliseconds) { return 0.5; };
  // Factors on the latency and the price of links that leave a region.
  std::function<std::pair<int, int>(int from, int to)> link_factors =
      [](int, int) { return std::pair(1, 1); };
  // Called after each millisecond.
  std::function<void()> observe = [] {};

  void Run(milliseconds duration) {
    for (const milliseconds end = now_ + duration; now_ < end;) Tick();
  }
  void SetSlots(int zone, int slots) { slots_[zone] = slots; }
  // Cuts a region off from the others, or connects it again.
  void SetCut(std::optional<int> region) {
    cut_region_ = region;
    if (region) cut_at_ = now_;
  }
  void ResetCounts() { counts_ = {}; }
  const Counts& counts() const { return counts_; }
  milliseconds now() const { return now_; }
  // Requests sent between two zones since `ResetSent`.
  int sent(int from, int to) const { return sent_[from][to]; }
  void ResetSent() { sent_ = {}; }
  double Load(int zone) const {
    return static_cast<double>(running_[zone].size() + queues_[zone].size());
  }
  int slots(int zone) const { return slots_[zone]; }
  const ZoneSpill& spill(int zone, int router) const {
    return spills_[zone][router];
  }
  // Most frequent reversal of a router's total share since the reset.
  int MaxSignChanges() const {
    int most = 0;
    for (const auto& zone : sign_changes_) {
      most = std::max(most, *std::max_element(zone.begin(), zone.end()));
    }
    return most;
  }
  void ResetSignChanges() {
    for (auto& zone : sign_changes_) std::fill(zone.begin(), zone.end(), 0);
  }
  // Largest change of a router's shares in one step.
  double max_step() const { return max_step_; }

 private:
  struct Request {
    milliseconds arrived;
    milliseconds goal;
    nanoseconds link;
  };
  struct Arrival {
    milliseconds at;
    int zone;
    Request request;
    bool operator>(const Arrival& other) const { return at > other.at; }
  };
  using Snapshot = std::array<ZoneState, kZones>;

  bool IsCut(int a, int b) const {
    return cut_region_ && RegionOf(a) != RegionOf(b) &&
           (RegionOf(a) == *cut_region_ || RegionOf(b) == *cut_region_);
  }
  std::pair<nanoseconds, nanoseconds> Link(int from, int to) const {
    if (RegionOf(from) == RegionOf(to)) {
      return {std::chrono::microseconds(1400), nanoseconds(0)};
    }
    const auto [latency, price] = link_factors(from, to);
    return {latency * milliseconds(12), price * milliseconds(21)};
  }

  void Tick() {
    Arrive();
    Serve();
    if (now_ % milliseconds(50) == milliseconds(0)) TakeSnapshot();
    // Routers of a zone update at different times.
    if (options_.spills) {
      for (int router = 0; router < kRoutersPerZone; ++router) {
        if ((now_ + milliseconds(router * 20)) % milliseconds(200) !=
            milliseconds(0)) {
          continue;
        }
        for (int zone = 0; zone < kZones; ++zone) Update(zone, router);
      }
    }
    observe();
    ++now_;
  }

  void Arrive() {
    for (int zone = 0; zone < kZones; ++zone) {
      const double per_ms =
          demand(zone, now_) * kSlots / static_cast<double>(kRunTime.count());
      const int count = std::poisson_distribution<int>(per_ms)(random_);
      for (int i = 0; i < count; ++i) Route(zone);
    }
    while (!arrivals_.empty() && arrivals_.top().at <= now_) {
      queues_[arrivals_.top().zone].push_back(arrivals_.top().request);
      arrivals_.pop();
    }
  }

  void Route(int zone) {
    const int router = static_cast<int>(random_() % kRoutersPerZone);
    const milliseconds goal = random_() % 2 == 0 ? kShortGoal : kLongGoal;
    int target = zone;
    if (options_.spills) {
      const auto away = spills_[zone][router].ZoneFor(random_(), goal);
      target = away ? static_cast<int>(*away) : zone;
    }
    ++sent_[zone][target];
    ++counts_.total;
    if (target != zone) ++counts_.away;
    nanoseconds link{};
    if (target != zone) link = Link(zone, target).first;
    milliseconds at = now_ + std::chrono::ceil<milliseconds>(link);
    if (IsCut(zone, target)) {
      // The attempt fails, and the request is placed at home.
      constexpr milliseconds kConnectTimeout{300};
      target = zone;
      at = now_ + kConnectTimeout;
    }
    arrivals_.push({at, target, {now_, goal, link}});
  }

  void Serve() {
    for (int zone = 0; zone < kZones; ++zone) {
      auto& running = running_[zone];
      while (!running.empty() && running.top() <= now_) running.pop();
      auto& queue = queues_[zone];
      while (!queue.empty() &&
             static_cast<int>(running.size()) < slots_[zone]) {
        const Request& request = queue.front();
        const bool is_late =
            now_ + request.link - request.arrived > request.goal;
        if (is_late) ++counts_.late;
        const double run = std::exponential_distribution<double>(
            1.0 / static_cast<double>(kRunTime.count()))(random_);
        running.push(now_ + milliseconds(1 + static_cast<int>(run)));
        queue.pop_front();
      }
    }
  }

  void TakeSnapshot() {
    Snapshot snapshot;
    for (int zone = 0; zone < kZones; ++zone) {
      ZoneState& state = snapshot[zone];
      state.zone = static_cast<std::uint32_t>(zone);
      state.capacity = slots_[zone];
      state.load = Load(zone);
      state.routers = kRoutersPerZone;
      state.predicted_wait = nanoseconds(static_cast<std::int64_t>(
          static_cast<double>(queues_[zone].size()) / slots_[zone] *
          static_cast<double>(nanoseconds(kRunTime).count())));
    }
    snapshots_.push_back(snapshot);
    const auto kept =
        static_cast<std::size_t>(options_.report_age / milliseconds(50)) + 1;
    while (snapshots_.size() > kept) snapshots_.pop_front();
  }

  void Update(int zone, int router) {
    if (snapshots_.empty()) return;
    const Snapshot& seen = snapshots_.front();
    std::vector<ZoneState> others;
    for (int other = 0; other < kZones; ++other) {
      if (other == zone) continue;
      ZoneState state = seen[other];
      std::tie(state.latency, state.price) = Link(zone, other);
      if (IsCut(zone, other)) state.silent_for = now_ - cut_at_;
      others.push_back(state);
    }
    ZoneSpill& spill = spills_[zone][router];
    spill.Update(seen[zone], others, kShortGoal, T(now_));
    NoteShare(zone, router, spill.TotalShare());
  }

  void NoteShare(int zone, int router, double share) {
    double& last = last_shares_[zone][router];
    const double change = share - last;
    last = share;
    if (std::abs(change) < 1e-9) return;
    max_step_ = std::max(max_step_, std::abs(change));
    const int sign = change > 0 ? 1 : -1;
    int& last_sign = last_signs_[zone][router];
    if (last_sign == -sign) ++sign_changes_[zone][router];
    last_sign = sign;
  }

  Options options_;
  std::mt19937_64 random_;
  milliseconds now_{0};
  std::vector<std::vector<ZoneSpill>> spills_;
  std::vector<std::vector<double>> last_shares_;
  std::vector<std::vector<int>> last_signs_;
  std::vector<std::vector<int>> sign_changes_;
  std::array<int, kZones> slots_{};
  std::array<std::deque<Request>, kZones> queues_;
  // Times at which runs end.
  std::array<std::priority_queue<milliseconds, std::vector<milliseconds>,
                                 std::greater<>>,
             kZones>
      running_;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;
  std::deque<Snapshot> snapshots_;
  std::array<std::array<int, kZones>, kZones> sent_{};
  Counts counts_;
  std::optional<int> cut_region_;
  milliseconds cut_at_{};
  double max_step_ = 0;
};

// Demand of 0.75 of the capacity on average, in waves whose phases differ.
double Wave(int zone, milliseconds now) {
  const double turns =
      static_cast<double>(now.count()) / static_cast<double>(kPeriod.count()) +
      static_cast<double>(zone) / kZones;
  return 0.75 * (1 + kAmplitude * std::sin(2 * std::numbers::pi * turns));
}

double LateShare(const Model& model) {
  return static_cast<double>(model.counts().late) / model.counts().total;
}

// Late requests and those sent away, without and with spilling. Prints both,
// for the record.
std::pair<double, double> CompareLate(
    const std::string& name, milliseconds duration,
    const std::function<void(Model&)>& prepare) {
  std::array<double, 2> late{};
  for (const bool spills : {false, true}) {
    Model::Options options;
    options.spills = spills;
    Model model(options);
    prepare(model);
    model.Run(seconds(5));
    model.ResetCounts();
    model.Run(duration);
    late[spills ? 1 : 0] = LateShare(model);
    std::cout << name << (spills ? " with" : " without") << " spilling: late "
              << LateShare(model) << ", away "
              << static_cast<double>(model.counts().away) / model.counts().total
              << '\n';
  }
  return {late[0], late[1]};
}

// Guards against spilling that makes callers wait longer than their own zone
// would, or that hardly helps: at the peaks a zone lacks 16% of its capacity
// while others have half of theirs free.
TEST(ZoneSpillModel, ShiftedWavesAreServedByTheZonesWithRoom) {
  const auto [without, with] =
      CompareLate("waves", 3 * kPeriod, [](Model& m) { m.demand = Wave; });
  EXPECT_GT(without, 0.05);
  EXPECT_LT(with, without / 2);
}

TEST(ZoneSpillModel, AZoneWithAThirdOfItsTargetsAwayUsesTheOthers) {
  const auto [without, with] =
      CompareLate("a third away", seconds(14), [](Model& model) {
        model.demand = [](int, milliseconds) { return 0.75; };
        model.SetSlots(0, kSlots * 2 / 3);
      });
  EXPECT_GT(without, 0.05);
  EXPECT_LT(with, without / 2);
}

// Guards against shares that stay when the zone recovers.
TEST(ZoneSpillModel, NothingLeavesOnceTheZoneHasRoomAgain) {
  Model model({});
  model.demand = [](int, milliseconds) { return 0.75; };
  model.SetSlots(0, kSlots * 2 / 3);
  model.Run(seconds(10));
  EXPECT_GT(model.sent(0, 1), 0);
  model.SetSlots(0, kSlots);
  model.Run(seconds(4));
  model.ResetCounts();
  model.Run(seconds(5));
  EXPECT_EQ(model.counts().away, 0);
}

// Guards against sending requests over a link whose cost exceeds the gain.
TEST(ZoneSpillModel, ANarrowLinkIsUsedOnlyWhileTheWaitAtHomeIsLonger) {
  Model model({});
  // The other zone of the region is as busy, so only other regions have room.
  model.demand = [](int zone, milliseconds) {
    return Model::RegionOf(zone) == 0 ? 1.15 : 0.5;
  };
  const auto sent_to_region = [&](int region) {
    return model.sent(0, 2 * region) + model.sent(0, 2 * region + 1);
  };
  model.Run(seconds(5));
  model.ResetSent();
  model.Run(seconds(10));
  const int before = sent_to_region(1);
  EXPECT_GT(before, 0);
  model.link_factors = [](int from, int to) {
    const bool is_narrow =
        Model::RegionOf(from) == 1 || Model::RegionOf(to) == 1;
    return is_narrow ? std::pair(10, 5) : std::pair(1, 1);
  };
  // Shares over the link end within three seconds, unless they pay.
  model.Run(seconds(3));
  model.ResetSent();
  constexpr milliseconds kNarrowCost{2 * 120 + 5 * 21};
  std::array<std::array<double, kZones>, kRoutersPerZone> last{};
  for (auto& zones : last) zones.fill(1);
  int checked = 0;
  model.observe = [&] {
    for (int router = 0; router < kRoutersPerZone; ++router) {
      const ZoneSpill& spill = model.spill(0, router);
      for (const std::uint32_t zone : {2U, 3U}) {
        const double share = spill.ShareOf(zone);
        if (share > last[router][zone]) {
          EXPECT_GT(spill.ProjectedWait(), kNarrowCost);
        }
        last[router][zone] = share;
        ++checked;
      }
    }
  };
  model.Run(seconds(10));
  EXPECT_GT(checked, 0);
  EXPECT_LT(sent_to_region(1), before / 2);
  EXPECT_GT(sent_to_region(2), sent_to_region(1));
  std::cout << "sent in 10 s over the link, wide and narrow: " << before << ", "
            << sent_to_region(1) << "; over the other " << sent_to_region(2)
            << '\n';
}

TEST(ZoneSpillModel, ANarrowLinkMakesNobodyLater) {
  const auto narrow = [](Model& model) {
    model.demand = Wave;
    model.link_factors = [](int, int) { return std::pair(10, 5); };
  };
  const auto [without, with] = CompareLate("narrow", 3 * kPeriod, narrow);
  EXPECT_LE(with, without);
}

// Guards against requests that are lost in a region that is cut off, and
// against all routers sending their shares at once when it is heard again.
TEST(ZoneSpillModel, ARegionThatIsCutOffGetsNothingAndReturnsSmoothly) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Model::Options options;
    options.seed = seed;
    Model model(options);
    // The region's own demand is small: only shares can overload it.
    model.demand = [](int zone, milliseconds) {
      return Model::RegionOf(zone) == 2 ? 0.3 : 1.2;
    };
    model.Run(seconds(10));
    const auto sent_there = [&] {
      int sent = 0;
      for (int from = 0; from < 4; ++from) {
        sent += model.sent(from, 4) + model.sent(from, 5);
      }
      return sent;
    };
    EXPECT_GT(sent_there(), 0);
    model.SetCut(2);
    model.Run(seconds(1));
    model.ResetSent();
    model.Run(seconds(8));
    EXPECT_EQ(sent_there(), 0);
    model.SetCut(std::nullopt);
    double highest = 0;
    model.observe = [&] {
      for (const int zone : {4, 5}) {
        highest = std::max(highest, model.Load(zone) / model.slots(zone));
      }
    };
    model.Run(seconds(10));
    EXPECT_GT(sent_there(), 0);
    EXPECT_LE(highest, 1.1);
    std::cout << "cut region, seed " << seed
              << ": highest load after the return " << highest << '\n';
  }
}

// Guards against oscillation: routers that see what all of them did 700 ms ago
// tend to send too much, and then too little.
TEST(ZoneSpillModel, RoutersWithOldReportsDoNotOscillate) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Model::Options options;
    options.seed = seed;
    Model model(options);
    model.demand = Wave;
    model.Run(kPeriod);
    model.ResetSignChanges();
    constexpr int kPeriods = 4;
    model.Run(kPeriods * kPeriod);
    EXPECT_LE(model.MaxSignChanges(), 2 * kPeriods);
    EXPECT_LE(model.max_step(), 0.1 + 1e-9);
    std::cout << "sign changes in " << kPeriods << " periods, seed " << seed
              << ": " << model.MaxSignChanges() << '\n';
  }
}

// Guards against leaving without a cause.
TEST(ZoneSpillModel, NothingLeavesWhileEveryZoneHasRoom) {
  Model model({});
  model.demand = [](int, milliseconds) { return 0.75; };
  model.Run(seconds(20));
  EXPECT_EQ(model.counts().away, 0);
}

ZoneState State(std::uint32_t zone, double capacity, double load,
                milliseconds wait = milliseconds(0)) {
  ZoneState state;
  state.zone = zone;
  state.capacity = capacity;
  state.load = load;
  state.predicted_wait = wait;
  state.latency = milliseconds(1);
  return state;
}

class ZoneSpillSteps : public ::testing::Test {
 protected:
  void Step(milliseconds step = milliseconds(200)) {
    now_ += step;
    spill_.Update(home_, others_, goal_, T(now_));
  }
  void Steps(int count) {
    for (int i = 0; i < count; ++i) Step();
  }

  ZoneSpill spill_;
  // Twice as many requests as the zone can run.
  ZoneState home_ = State(0, 100, 200, milliseconds(400));
  std::vector<ZoneState> others_ = {State(1, 1000, 100)};
  milliseconds goal_{100};
  milliseconds now_{0};
};

TEST_F(ZoneSpillSteps, AShareChangesByATenthPerStep) {
  Step();
  EXPECT_NEAR(spill_.TotalShare(), 0.1, 1e-9);
  Step(milliseconds(199));
  EXPECT_NEAR(spill_.TotalShare(), 0.1, 1e-9);
  Step(milliseconds(1));
  EXPECT_NEAR(spill_.TotalShare(), 0.2, 1e-9);
  Step(seconds(10));
  EXPECT_NEAR(spill_.TotalShare(), 0.3, 1e-9);
}

TEST_F(ZoneSpillSteps, ASilentZoneLosesItsShareAtOnceAndRegainsItByStep) {
  Steps(3);
  others_[0].silent_for = milliseconds(800);
  Step(milliseconds(10));
  EXPECT_EQ(spill_.TotalShare(), 0);
  others_[0].silent_for = milliseconds(0);
  Step();
  EXPECT_NEAR(spill_.TotalShare(), 0.1, 1e-9);
}

TEST_F(ZoneSpillSteps, AZoneThatIsNoLongerListedLosesItsShareAtOnce) {
  Steps(3);
  others_.clear();
  Step(milliseconds(10));
  EXPECT_EQ(spill_.TotalShare(), 0);
}

// The routers of all busy zones see the same room.
TEST_F(ZoneSpillSteps, TheRoomIsDividedAmongTheRoutersThatMaySendThere) {
  ZoneSpillOptions options;
  options.room_play = 0;
  home_.load = 150;
  home_.routers = 10;
  others_ = {State(1, 100, 70)};
  spill_ = ZoneSpill(options);
  Step();
  const double alone = spill_.TotalShare();
  EXPECT_NEAR(alone * home_.load, options.room_gain * 20, 1e-9);
  spill_ = ZoneSpill(options);
  others_.push_back(State(2, 100, 200, milliseconds(400)));
  others_.back().routers = 30;
  Step();
  EXPECT_NEAR(spill_.ShareOf(1), alone / 4, 1e-9);
  EXPECT_EQ(spill_.ShareOf(2), 0);
}

TEST_F(ZoneSpillSteps, AZoneWithoutRoomGetsNothing) {
  others_ = {State(1, 100, 95)};
  Steps(10);
  EXPECT_EQ(spill_.TotalShare(), 0);
}

TEST_F(ZoneSpillSteps, LeavingMustGainMoreThanItCosts) {
  // Projected at home: 400 ms, and half a second as at most one and a half
  // times the capacity counts as demand.
  others_[0].price = milliseconds(800);
  Step();
  EXPECT_EQ(spill_.TotalShare(), 0);
  others_[0].price = milliseconds(700);
  Step();
  EXPECT_GT(spill_.TotalShare(), 0);
  // The margin applies only to the start.
  others_[0].price = milliseconds(800);
  Step();
  EXPECT_GT(spill_.TotalShare(), 0.1);
}

TEST_F(ZoneSpillSteps, ARequestWhoseGoalCanBeMetAtHomeStays) {
  Steps(5);
  ASSERT_GT(spill_.TotalShare(), 0.2);
  EXPECT_TRUE(spill_.ZoneFor(0, milliseconds(400)));
  EXPECT_FALSE(spill_.ZoneFor(0, seconds(30)));
  goal_ = seconds(30);
  Steps(20);
  EXPECT_EQ(spill_.TotalShare(), 0);
}

TEST_F(ZoneSpillSteps, AHashAlwaysGetsTheSameZone) {
  others_.push_back(State(2, 1000, 100));
  others_[0].capacity = 200;
  Steps(4);
  std::mt19937_64 random(1);
  std::array<int, 3> counts{};
  constexpr int kCount = 20000;
  for (int i = 0; i < kCount; ++i) {
    const std::uint64_t hash = random();
    const auto zone = spill_.ZoneFor(hash, milliseconds(0));
    EXPECT_EQ(spill_.ZoneFor(hash, milliseconds(0)), zone);
    ++counts[zone.value_or(0)];
  }
  for (const std::uint32_t zone : {1U, 2U}) {
    EXPECT_GT(counts[zone], 0);
    EXPECT_NEAR(static_cast<double>(counts[zone]) / kCount,
                spill_.ShareOf(zone), 0.02);
  }
}

TEST_F(ZoneSpillSteps, AZoneWithoutDemandSendsNothing) {
  home_ = State(0, 100, 0);
  Steps(5);
  EXPECT_EQ(spill_.TotalShare(), 0);
}

}  // namespace
}  // namespace beryllane::placement
