#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <thread>

#include "beryllane/limit/rate_limiter.h"
#include "beryllane/placement/policy.h"

namespace beryllane::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RuntimeClock::time_point T(milliseconds t) {
  return RuntimeClock::time_point(std::chrono::hours(1) + t);
}

PoolView MakePool(int size) {
  PoolView view;
  for (int i = 0; i < size; ++i) {
    auto load = std::make_shared<LoadCell>();
    load->set_incarnation(1000 + i);
    view.Add({"runner-" + std::to_string(i), {}, 0, load});
  }
  return view;
}

class Placement : public ::testing::Test {
 protected:
  PrefixChain MakeChain(const std::string& system, const std::string& user) {
    PrefixChain chain(SaltHash({"account", "model", "", "w1"}));
    chain.AddMessage("system", system);
    chain.AddMessage("user", user);
    return chain;
  }
  Decision DecideOn(const PrefixChain& chain, const PoolView& view,
                    std::vector<std::uint64_t> excluded = {}) {
    PlacementRequest request;
    request.levels = chain.levels();
    request.tokens = chain.tokens();
    request.excluded = excluded;
    request.nonce = 42;
    return Decide(request, view, reuse_, rates_, options_, T(milliseconds(0)));
  }

  ReuseTable reuse_{1 << 12};
  RateTable rates_{1 << 12};
  PolicyOptions options_;
  std::string catalogue_ = std::string(20000, 'c');
};

TEST_F(Placement, RoutersThatKnowNothingChooseTheSameHome) {
  const PoolView view = MakePool(20);
  const Decision first = DecideOn(MakeChain(catalogue_, "one"), view);
  const Decision second = DecideOn(MakeChain(catalogue_, "two"), view);
  EXPECT_EQ(first.choice().target_index, second.choice().target_index);
}

TEST_F(Placement, AnotherAccountHasOtherPrefixes) {
  PrefixChain a(SaltHash({"a", "model", "", "w1"}));
  PrefixChain b(SaltHash({"b", "model", "", "w1"}));
  PrefixChain c(SaltHash({"a", "model", "", "w2"}));
  for (PrefixChain* chain : {&a, &b, &c}) chain->AddMessage("user", "same");
  EXPECT_NE(a.levels()[0].hash, b.levels()[0].hash);
  EXPECT_NE(a.levels()[0].hash, c.levels()[0].hash);
}

TEST_F(Placement, ABusyHomeSpillsToAnotherRunner) {
  const PoolView view = MakePool(5);
  const PrefixChain chain = MakeChain(catalogue_, "one");
  const std::uint32_t home = DecideOn(chain, view).choice().target_index;
  view.targets[home].load->ApplyReport({200'000, 30, 8000, T(milliseconds(0))});
  EXPECT_NE(DecideOn(chain, view).choice().target_index, home);
}

TEST_F(Placement, ALearnedPrefixDrawsRequestsUntilItExpires) {
  const PoolView view = MakePool(5);
  const PrefixChain chain = MakeChain(catalogue_, "one");
  const std::uint32_t home = DecideOn(chain, view).choice().target_index;
  const std::uint32_t other = (home + 1) % 5;
  for (const PrefixLevel& level : chain.levels()) {
    reuse_.Insert(level.hash, 1000 + other, T(milliseconds(0)));
  }
  PlacementRequest request;
  request.levels = chain.levels();
  request.tokens = chain.tokens();
  request.nonce = other;
  options_.random_candidates = 8;
  const auto at = [&](milliseconds t) {
    return Decide(request, view, reuse_, rates_, options_, T(t))
        .choice()
        .target_index;
  };
  EXPECT_EQ(at(milliseconds(0)), other);
  EXPECT_EQ(at(ReuseTable::kEntryLifetime + seconds(1)), home);
}

TEST_F(Placement, ANewIncarnationIsNotBelievedToHoldAnything) {
  const PoolView view = MakePool(3);
  const PrefixChain chain = MakeChain(catalogue_, "one");
  for (const PrefixLevel& level : chain.levels()) {
    reuse_.Insert(level.hash, 1000, T(milliseconds(0)));
  }
  const auto cached_at_0 = [&] {
    const Decision decision = DecideOn(chain, view);
    for (std::size_t i = 0; i < decision.count; ++i) {
      if (decision.candidates[i].target_index == 0) {
        return decision.candidates[i].expected_cached_tokens;
      }
    }
    return 0U;
  };
  const auto before = cached_at_0();
  EXPECT_EQ(before, chain.levels().back().tokens);
  view.targets[0].load->set_incarnation(77);
  EXPECT_LT(cached_at_0(), before);
}

TEST_F(Placement, ExcludedAndSuspectTargetsAreAvoided) {
  const PoolView view = MakePool(4);
  const PrefixChain chain = MakeChain(catalogue_, "one");
  const std::uint32_t home = DecideOn(chain, view).choice().target_index;
  EXPECT_NE(DecideOn(chain, view, {view.id_hashes[home]}).choice().target_index,
            home);
  view.targets[home].load->Suspect(T(seconds(3)));
  EXPECT_NE(DecideOn(chain, view).choice().target_index, home);
  for (const PoolTarget& t : view.targets) t.load->Suspect(T(seconds(3)));
  EXPECT_EQ(DecideOn(chain, view).refusal, Refusal::kNone);
  EXPECT_EQ(DecideOn(chain, view, view.id_hashes).refusal, Refusal::kNoTarget);
}

TEST_F(Placement, WorkThatCannotStartInTimeIsRefused) {
  const PoolView view = MakePool(2);
  for (const PoolTarget& target : view.targets) {
    target.load->ApplyReport({8'000'000, 30, 8000, T(milliseconds(0))});
  }
  EXPECT_EQ(DecideOn(MakeChain(catalogue_, "one"), view).refusal,
            Refusal::kOverloaded);
}

TEST_F(Placement, TheHomeSetGrowsWithThePrefixsRate) {
  const PoolView view = MakePool(20);
  const PrefixChain chain = MakeChain(catalogue_, std::string(4000, 'q'));
  const std::size_t narrow = DecideOn(chain, view).preferred_count;
  for (int i = 0; i < 300; ++i) {
    rates_.AddArrival(chain.levels()[0].hash, T(milliseconds(0)));
  }
  EXPECT_GT(DecideOn(chain, view).preferred_count, narrow);
}

TEST(PickLeastOfTwo, SkipsExcludedTargets) {
  const PoolView view = MakePool(3);
  const std::vector<std::uint64_t> excluded{view.id_hashes[0],
                                            view.id_hashes[1]};
  for (std::uint64_t nonce = 0; nonce < 6; ++nonce) {
    EXPECT_EQ(PickLessLoadedOfTwo(view, nonce, excluded, T(milliseconds(0))),
              2U);
  }
  EXPECT_EQ(PickLessLoadedOfTwo(view, 0, view.id_hashes, T(milliseconds(0))),
            std::nullopt);
}

// A member that leaves moves only the keys that it owned.
RC_GTEST_PROP(RendezvousProperty, OnlyTheLeaversKeysMove, ()) {
  std::vector<std::uint64_t> members;
  const auto count = *rc::gen::inRange<std::uint64_t>(2, 40);
  for (std::uint64_t i = 0; i < count; ++i) members.push_back(Mix(i, 99));
  const auto leaver = *rc::gen::inRange<std::size_t>(0, members.size());
  std::vector<std::uint64_t> rest = members;
  rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(leaver));
  for (std::uint64_t k = 0; k < 50; ++k) {
    const Hash128 key = HashBytes(std::to_string(k));
    const std::uint64_t before =
        members[PickPreferred(key, members, 1).indices[0]];
    const std::uint64_t after = rest[PickPreferred(key, rest, 1).indices[0]];
    if (before != members[leaver]) RC_ASSERT(before == after);
  }
}

TEST(Rendezvous, SpreadsKeysEvenly) {
  std::vector<std::uint64_t> members;
  for (std::uint64_t i = 0; i < 10; ++i) {
    members.push_back(HashBytes("runner-" + std::to_string(i)).low);
  }
  std::vector<int> counts(10);
  constexpr int kKeys = 10000;
  for (int k = 0; k < kKeys; ++k) {
    ++counts[PickPreferred(HashBytes(std::to_string(k)), members, 1)
                 .indices[0]];
  }
  for (const int count : counts) {
    EXPECT_GT(count, kKeys * 0.085);
    EXPECT_LT(count, kKeys * 0.115);
  }
}

TEST(RateTable, RatesRiseWithArrivalsAndDecay) {
  RateTable table(64);
  const Hash128 key = HashBytes("p");
  for (int i = 0; i < 100; ++i) table.AddArrival(key, T(milliseconds(100 * i)));
  EXPECT_NEAR(table.Rate(key, T(seconds(10))), 6.3, 0.5);
  EXPECT_LT(table.Rate(key, T(seconds(60))), 0.1);
}

TEST(LoadCell, OwnWorkCountsUntilItsFirstToken) {
  LoadCell cell;
  cell.AddPending(8000, T(milliseconds(0)));
  EXPECT_EQ(cell.PredictWait(T(seconds(10))), seconds(1));
  cell.RemovePending(8000);
  EXPECT_LT(cell.PredictWait(T(seconds(10))), milliseconds(1));
}

TEST(LoadCell, OlderReportsAreIgnored) {
  LoadCell cell;
  cell.ApplyReport({100, 1, 8000, T(seconds(5))});
  cell.ApplyReport({900, 9, 8000, T(seconds(4))});
  EXPECT_EQ(cell.report().queued_tokens, 100U);
}

TEST(RateLimiter, HoldsTheRateOverThreads) {
  RateLimiter limiter(100);
  std::atomic<int> taken{0};
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 1000; ++i) {
        if (limiter.TryAcquire(T(milliseconds(0)))) taken.fetch_add(1);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(taken.load(), 100);
  int later = 0;
  for (int i = 0; i < 1000; ++i) {
    if (limiter.TryAcquire(T(milliseconds(500)))) ++later;
  }
  EXPECT_EQ(later, 50);
}

TEST(RetryBudget, RetriesAreAShareOfRequests) {
  RetryBudget budget;
  int taken = 0;
  while (budget.TryAcquire()) ++taken;
  EXPECT_EQ(taken, static_cast<int>(RetryBudget::kMaxBalance));
  for (int i = 0; i < 55; ++i) budget.Credit(0.1);
  taken = 0;
  while (budget.TryAcquire()) ++taken;
  EXPECT_EQ(taken, 5);
}

}  // namespace
}  // namespace beryllane::placement
