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

// One log and several hosts that act, read, sleep and lose confirmations at
// random: two hosts never act within the separation of each other, and tokens
// never fall.
RC_GTEST_PROP(Lease, HoldersAreSeparatedWhateverHappens, ()) {
  constexpr int kHosts = 3;
  std::vector<std::string> log;
  std::vector<Lease> hosts;
  hosts.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    hosts.emplace_back(std::string(1, static_cast<char>('a' + i)), kTerms);
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
    const int what = *rc::gen::inRange(0, 3);
    if (what == 0) {
      for (std::uint64_t i = host.end(); i < log.size(); ++i) {
        host.OnRecord(log[i], i, At(now));
      }
    } else if (what == 1 && host.MayAcquire(At(now))) {
      if (host.end() != log.size()) continue;
      const int sent = now;
      log.emplace_back(1, static_cast<char>('a' + who));
      now += *rc::gen::inRange(0, 2000);
      const bool is_confirmed = *rc::gen::arbitrary<bool>();
      if (is_confirmed) host.OnAppended(log.size() - 1, At(sent));
    } else if (host.IsHeld(At(now))) {
      if (last_actor >= 0 && last_actor != who) {
        RC_ASSERT(now - last_act >= 3000);
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
