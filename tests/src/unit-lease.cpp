// A lease on a log with conditional appends: one holder at a time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/lease/lease.h"

namespace beryllane::lease {
namespace {

using std::chrono::milliseconds;

constexpr Timing kTerms{milliseconds(1000), milliseconds(3000),
                        milliseconds(200)};

BootClock::time_point At(int ms) {
  return BootClock::time_point(milliseconds(ms));
}

TEST(Lease, TheFirstHostTakesItAndItsTokenIsTheOffset) {
  Lease lease("a", kTerms);
  EXPECT_TRUE(lease.MayAcquire(At(0)));
  lease.OnAppended(4, At(0));
  EXPECT_TRUE(lease.IsHeld(At(999)));
  EXPECT_EQ(lease.token(), 4U);
  EXPECT_FALSE(lease.IsHeld(At(1000)));
}

TEST(Lease, ARenewalKeepsTheToken) {
  Lease lease("a", kTerms);
  lease.OnAppended(4, At(0));
  lease.OnAppended(5, At(500));
  EXPECT_EQ(lease.token(), 4U);
  EXPECT_TRUE(lease.IsHeld(At(1400)));
}

TEST(Lease, AnotherHostWaitsForTheHoldAndTheSeparation) {
  Lease lease("b", kTerms);
  lease.OnRecord("a", 4, At(100));
  EXPECT_FALSE(lease.MayAcquire(At(100 + 4199)));
  EXPECT_TRUE(lease.MayAcquire(At(100 + 4200)));
}

TEST(Lease, AnOwnRecordReadBackGivesNoTenure) {
  Lease lease("a", kTerms);
  lease.OnRecord("a", 4, At(100));
  EXPECT_FALSE(lease.IsHeld(At(100)));
  EXPECT_TRUE(lease.MayAcquire(At(100)));
}

TEST(Lease, AnAbandonedTenureGetsANewToken) {
  Lease lease("a", kTerms);
  lease.OnAppended(4, At(0));
  lease.Abandon();
  EXPECT_FALSE(lease.IsHeld(At(1)));
  lease.OnAppended(6, At(10));
  EXPECT_EQ(lease.token(), 6U);
}

TEST(Lease, TheHolderGoesOnInANewEraWithAHigherToken) {
  Lease lease("a", kTerms);
  lease.OnEra(1, At(0));
  lease.OnAppended(90, At(5000));
  const std::uint64_t before = lease.token();
  lease.OnEra(2, At(5100));
  EXPECT_FALSE(lease.IsHeld(At(5100)));
  EXPECT_TRUE(lease.MayAcquire(At(5100)));
  lease.OnAppended(0, At(5100));
  EXPECT_GT(lease.token(), before);
}

TEST(Lease, OthersWaitInANewEraForAHolderThatTheyCannotKnowOf) {
  Lease lease("b", kTerms);
  lease.OnEra(1, At(0));
  EXPECT_TRUE(lease.MayAcquire(At(4200)));
  lease.OnEra(2, At(5000));
  lease.OnRecord("b", 0, At(5000), 1);
  EXPECT_FALSE(lease.MayAcquire(At(5000 + 4199)));
  EXPECT_TRUE(lease.MayAcquire(At(5000 + 4200)));
  EXPECT_EQ(lease.end(), 1U);
}

TEST(Lease, AnExpiredTenureIsNotContinuedInANewEra) {
  Lease lease("a", kTerms);
  lease.OnEra(1, At(0));
  lease.OnAppended(90, At(5000));
  lease.OnEra(2, At(6000));
  EXPECT_FALSE(lease.MayAcquire(At(6000)));
}

// One log and several hosts that act, read, sleep and lose confirmations at
// random, while the log returns from older copies: two hosts never act within
// the separation of each other, and tokens never fall or serve two hosts.
RC_GTEST_PROP(Lease, HoldersAreSeparatedWhateverHappens, ()) {
  constexpr int kHosts = 3;
  struct Record {
    std::string holder;
    std::uint64_t era = 1;
  };
  std::vector<Record> log;
  std::uint64_t era = 1;
  std::vector<Lease> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.emplace_back(std::string(1, static_cast<char>('a' + i)), kTerms);
    hosts.back().OnEra(era, At(0));
  }
  int now = 0;
  int last_actor = -1;
  int last_act = 0;
  std::uint64_t highest_token = 0;
  const int steps = *rc::gen::inRange(10, 200);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(1, 1500);
    const int who = *rc::gen::inRange(0, kHosts);
    Lease& host = hosts[who];
    const int what = *rc::gen::inRange(0, 10);
    if (what == 9) {
      log.resize(*rc::gen::inRange<std::size_t>(0, log.size() + 1));
      ++era;
    } else if (what < 3) {
      host.OnEra(era, At(now));
      for (std::uint64_t i = host.end(); i < log.size(); ++i) {
        host.OnRecord(log[i].holder, i, At(now), log[i].era);
      }
    } else if (what < 6 && host.MayAcquire(At(now))) {
      if (host.era() != era || host.end() != log.size()) continue;
      const int sent = now;
      log.push_back({std::string(1, static_cast<char>('a' + who)), era});
      now += *rc::gen::inRange(0, 2000);
      const bool is_confirmed = *rc::gen::arbitrary<bool>();
      if (is_confirmed) host.OnAppended(log.size() - 1, At(sent));
    } else if (host.IsHeld(At(now))) {
      if (last_actor >= 0 && last_actor != who) {
        RC_ASSERT(now - last_act >= 3000);
        RC_ASSERT(host.token() > highest_token);
      }
      RC_ASSERT(host.token() >= highest_token);
      highest_token = host.token();
      last_actor = who;
      last_act = now;
    }
  }
}

}  // namespace
}  // namespace beryllane::lease
