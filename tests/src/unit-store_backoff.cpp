// How hosts that the store turns away ask it again.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "src/fleet/store_backoff.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

TEST(StoreBackoff, GrowsToItsBoundAndStartsAnewAfterASuccess) {
  StoreBackoff backoff(1);
  EXPECT_LE(backoff.OnFailure(milliseconds(4)), StoreBackoff::kFirst);
  nanoseconds longest{0};
  for (int i = 0; i < 100; ++i) {
    const nanoseconds delay = backoff.OnFailure(milliseconds(4));
    EXPECT_LE(delay, StoreBackoff::kMax);
    longest = std::max(longest, delay);
  }
  EXPECT_GT(longest, StoreBackoff::kMax * 3 / 4);
  backoff.OnSuccess();
  EXPECT_LE(backoff.OnFailure(milliseconds(4)), StoreBackoff::kFirst);
}

TEST(StoreBackoff, ACallThatTimedOutIsSoonFollowedByTheNext) {
  StoreBackoff backoff(1);
  for (int i = 0; i < 100; ++i) {
    EXPECT_LE(backoff.OnFailure(milliseconds(1400)), StoreBackoff::kFirst);
  }
}

TEST(StoreBackoff, HostsThatAreServedAgainInOneMomentReturnSpreadAndInTime) {
  constexpr int kHosts = 300;
  constexpr milliseconds kCall{4};
  constexpr seconds kOutage{9};
  int calls = 0;
  std::vector<nanoseconds> returns;
  for (int host = 0; host < kHosts; ++host) {
    StoreBackoff backoff(host);
    nanoseconds now{0};
    for (; now < kOutage; now += kCall + backoff.OnFailure(kCall)) ++calls;
    returns.push_back(now - kOutage);
  }
  // 300 hosts that ask each 150 ms make 17,500 calls.
  EXPECT_LT(calls, kHosts * 18);
  EXPECT_LE(*std::max_element(returns.begin(), returns.end()), seconds(1));
  std::sort(returns.begin(), returns.end());
  // No tenth of a second sees more than a third of the hosts.
  constexpr std::size_t kThird = kHosts / 3;
  for (std::size_t i = kThird; i < returns.size(); ++i) {
    EXPECT_GT(returns[i] - returns[i - kThird], milliseconds(100));
  }
}

}  // namespace
}  // namespace beryllane::fleet
