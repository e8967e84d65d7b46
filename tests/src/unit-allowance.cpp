// Allowances that hosts keep together: ledgers, leases and fallbacks.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>
#include <vector>

#include "beryllane/limit/allowance.h"
#include "src/allowance/account_allowances.h"
#include "src/allowance/lease_messages.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = BootClock::time_point;

constexpr AllowanceMembers kAlone{1, 1};

TimePoint At(int millis) { return TimePoint(milliseconds(millis)); }

AllowanceLedger LedgerOf(const AllowanceLimit& limit, double units = 0) {
  AllowanceLedger ledger;
  ledger.SetLimit(limit);
  ledger.Start(units, At(0));
  return ledger;
}

// Guards against groups of hosts that together use more than the allowance
// because none knows of the others' use.
TEST(AllowanceLedger, GroupsThatCannotHearEachOtherStayWithinTheRate) {
  AllowanceLedger larger = LedgerOf({100, 100});
  AllowanceLedger smaller = LedgerOf({100, 100});
  double granted = 0;
  for (int millis = 100; millis <= 10000; millis += 100) {
    granted += larger.Grant(1, {1, 1000}, {40, 60}, At(millis)).units;
    granted += smaller.Grant(2, {1, 1000}, {20, 60}, At(millis)).units;
  }
  EXPECT_LE(granted, 100 * 10 + 2);
  EXPECT_GT(granted, 100 * 10 * 0.95);
}

TEST(AllowanceLedger, AfterATimeWithoutUseTheBurstIsGranted) {
  AllowanceLedger ledger = LedgerOf({100, 300});
  EXPECT_EQ(ledger.Grant(1, {300, 300}, kAlone, At(60000)).units, 300);
  EXPECT_EQ(ledger.Grant(1, {1, 1}, kAlone, At(60000)).units, 0);
}

// Guards against a full allowance for each host that becomes the owner.
TEST(AllowanceLedger, ANewOwnerStartsWithTheToleratedUnitsAtMost) {
  AllowanceLedger ledger = LedgerOf({100, 300}, 50);
  EXPECT_EQ(ledger.Available(kAlone, At(0)), 50);
  AllowanceLedger low = LedgerOf({100, 20}, 50);
  EXPECT_EQ(low.Available(kAlone, At(0)), 20);
}

TEST(AllowanceLedger, ARefusalSaysWhenTheUnitsAreThere) {
  AllowanceLedger ledger = LedgerOf({100, 100});
  const LeaseGrant refused = ledger.Grant(1, {50, 50}, kAlone, At(0));
  EXPECT_EQ(refused.units, 0);
  EXPECT_EQ(refused.retry_after, milliseconds(500));
  EXPECT_EQ(ledger.Grant(1, {50, 50}, kAlone, At(500)).units, 50);
}

// Guards against an account whose larger requests are never admitted.
TEST(AllowanceLedger, ARequestLargerThanTheBurstPassesOnceTheBucketIsFull) {
  AllowanceLedger ledger = LedgerOf({100, 100});
  EXPECT_EQ(ledger.Grant(1, {150, 150}, kAlone, At(500)).units, 0);
  EXPECT_EQ(ledger.Grant(1, {150, 150}, kAlone, At(1000)).units, 150);
  const LeaseGrant next = ledger.Grant(1, {100, 100}, kAlone, At(1000));
  EXPECT_EQ(next.units, 0);
  EXPECT_EQ(next.retry_after, milliseconds(1500));
}

TEST(AllowanceLedger, ALowerLimitAppliesToTheNextGrant) {
  AllowanceLedger ledger = LedgerOf({1000, 1000});
  EXPECT_EQ(ledger.Available(kAlone, At(1000)), 1000);
  ledger.SetLimit({10, 10});
  EXPECT_EQ(ledger.Available(kAlone, At(1000)), 10);
}

// Guards against a host that asks first and leaves nothing to the others.
TEST(AllowanceLedger, HostsThatWantMoreThanThereIsShareIt) {
  AllowanceLedger ledger = LedgerOf({1000, 1000});
  ledger.Grant(1, {1, 500}, kAlone, At(500));
  ledger.Grant(2, {1, 500}, kAlone, At(500));
  double first = 0;
  double second = 0;
  for (int millis = 600; millis < 5000; millis += 100) {
    first += ledger.Grant(1, {1, 500}, kAlone, At(millis)).units;
    second += ledger.Grant(2, {1, 500}, kAlone, At(millis)).units;
  }
  EXPECT_GT(second, first / 4);
}

TEST(AllowanceAccount, UnitsOfALeaseExpireByTheTimeOfTheRequestForIt) {
  AllowanceAccount account;
  account.AddLease(10, At(0));
  EXPECT_TRUE(account.TryCharge(4, At(900)));
  EXPECT_EQ(account.Available(At(999)), 6);
  EXPECT_FALSE(account.TryCharge(1, At(1000)));
}

// Guards against units that are kept beyond their lease by charging them and
// giving them back again and again.
TEST(AllowanceAccount, ARefundIsUsableOnlyAsLongAsItsLease) {
  AllowanceAccount account;
  account.AddLease(10, At(0));
  const auto expires_at = account.TryCharge(10, At(900));
  ASSERT_TRUE(expires_at);
  EXPECT_EQ(*expires_at, At(1000));
  EXPECT_TRUE(account.Refund(10, *expires_at, At(950)));
  EXPECT_EQ(account.Available(At(950)), 10);
  EXPECT_EQ(account.Available(At(1000)), 0);
  EXPECT_FALSE(account.Refund(10, *expires_at, At(1000)));
}

TEST(AllowanceFallback, AllHostsTogetherStayWithinTheTolerance) {
  const AllowanceMembers members{1, 60};
  std::vector<AllowanceFallback> hosts(60);
  double used = 0;
  for (int millis = 0; millis <= 10000; millis += 50) {
    for (AllowanceFallback& host : hosts) {
      while (host.TryCharge(1, {6000, 6000}, 0.1, members, At(millis))) ++used;
    }
  }
  EXPECT_LE(used, 0.1 * 6000 * 10);
  EXPECT_GT(used, 0.1 * 6000 * 10 * 0.8);
}

// Hosts that use one allowance. Calls to the owner take time and may be lost;
// groups may be cut off from each other; hosts may be suspended.
class AllowanceFleet {
 public:
  static constexpr int kStepMillis = 10;
  static constexpr seconds kWindow{8};

  AllowanceFleet(int hosts, const AllowanceLimit& limit, std::uint32_t seed)
      : limit_(limit), hosts_(hosts), random_(seed) {}

  // Advances by one step in which each host wants `per_host` units.
  void Step(double per_host, double cost) {
    now_ += milliseconds(kStepMillis);
    UpdateViews();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Host& host = hosts_[i];
      if (host.suspended_until > now_) continue;
      host.wanted += per_host;
      while (host.wanted >= cost) {
        host.wanted -= cost;
        Request(i, cost);
      }
    }
  }
  void Cut(const std::vector<int>& group_of_host) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i].group = group_of_host[i];
    }
  }
  void Suspend(std::size_t host, milliseconds duration) {
    hosts_[host].suspended_until = now_ + duration;
  }
  void Restart(std::size_t host) {
    const int group = hosts_[host].group;
    hosts_[host] = Host();
    hosts_[host].group = group;
  }
  void set_loss(double share) { loss_ = share; }

  int admitted() const { return admitted_; }
  int refused() const { return refused_; }
  // The most units used within a window so far.
  double most_used() const { return most_used_; }

 private:
  struct Host {
    AllowanceAccount account;
    AllowanceFallback fallback;
    std::optional<AllowanceLedger> ledger;
    int group = 0;
    TimePoint suspended_until{};
    double wanted = 0;
    // When each other host was last heard.
    std::vector<TimePoint> heard_at;
    TimePoint exhausted_until{};
  };

  // Time without a message after which a host counts as gone.
  static constexpr milliseconds kTimeout{1500};
  static constexpr milliseconds kHeartbeat{500};

  bool CanReach(std::size_t a, std::size_t b) const {
    return hosts_[a].group == hosts_[b].group &&
           hosts_[b].suspended_until <= now_;
  }
  bool Hears(std::size_t a, std::size_t b) const {
    return a == b || (!hosts_[a].heard_at.empty() &&
                      now_ - hosts_[a].heard_at[b] < kTimeout);
  }
  void UpdateViews() {
    const bool is_heartbeat =
        now_.time_since_epoch() % kHeartbeat < milliseconds(kStepMillis);
    if (!is_heartbeat) return;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].suspended_until > now_) continue;
      hosts_[i].heard_at.resize(hosts_.size(), TimePoint(-kTimeout));
      for (std::size_t j = 0; j < hosts_.size(); ++j) {
        if (CanReach(i, j)) hosts_[i].heard_at[j] = now_;
      }
      if (Owner(i) != i) hosts_[i].ledger.reset();
    }
  }
  // The host with the lowest number is ranked first.
  std::size_t Owner(std::size_t viewer) const {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (Hears(viewer, i)) return i;
    }
    return viewer;
  }
  AllowanceMembers Members(std::size_t viewer) const {
    int heard = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i) heard += Hears(viewer, i);
    return {heard, static_cast<int>(hosts_.size())};
  }
  bool IsLost() {
    return std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
  }
  std::optional<LeaseGrant> Ask(std::size_t borrower,
                                const LeaseRequest& request) {
    const std::size_t owner = Owner(borrower);
    if (!CanReach(borrower, owner) || Owner(owner) != owner) {
      return std::nullopt;
    }
    if (IsLost()) return std::nullopt;
    Host& host = hosts_[owner];
    if (!host.ledger) {
      host.ledger.emplace();
      host.ledger->SetLimit(limit_);
      host.ledger->Start(0, now_);
    }
    const LeaseGrant grant =
        host.ledger->Grant(borrower, request, Members(owner), now_);
    if (IsLost()) return std::nullopt;
    return grant;
  }
  void Request(std::size_t index, double cost) {
    Host& host = hosts_[index];
    host.account.CountDemand(cost, now_);
    if (!host.account.TryCharge(cost, now_) && now_ >= host.exhausted_until) {
      const auto grant = Ask(index, {cost, host.account.ExpectedUse(now_)});
      if (!grant) {
        const bool is_admitted =
            host.fallback.TryCharge(cost, limit_, 0.1, Members(index), now_);
        Count(is_admitted, cost);
        return;
      }
      if (grant->units > 0) {
        host.account.AddLease(grant->units, now_);
      } else {
        host.exhausted_until = now_ + milliseconds(100);
      }
      Count(host.account.TryCharge(cost, now_).has_value(), cost);
      return;
    }
    // Charged above, or exhausted.
    Count(now_ >= host.exhausted_until, cost);
  }
  void Count(bool is_admitted, double cost) {
    ++(is_admitted ? admitted_ : refused_);
    if (!is_admitted) return;
    uses_.emplace_back(now_, cost);
    used_ += cost;
    while (now_ - uses_.front().first >= kWindow) {
      used_ -= uses_.front().second;
      uses_.pop_front();
    }
    most_used_ = std::max(most_used_, used_);
  }

  AllowanceLimit limit_;
  std::vector<Host> hosts_;
  std::mt19937 random_;
  double loss_ = 0;
  TimePoint now_{};
  int admitted_ = 0;
  int refused_ = 0;
  std::deque<std::pair<TimePoint, double>> uses_;
  double used_ = 0;
  double most_used_ = 0;
};

// What an account may use in a window, with a tolerance of a tenth.
double Bound(const AllowanceLimit& limit) {
  const double window =
      std::chrono::duration<double>(AllowanceFleet::kWindow).count();
  return (limit.per_second * window + limit.burst) * 1.1;
}

// Guards against more use than allowed under any order of cuts, suspensions,
// restarts and lost messages, whatever the demand.
RC_GTEST_PROP(AllowanceFleetProperty, NoScheduleOfFaultsGoesBeyondTheBound,
              ()) {
  const AllowanceLimit limit{12000, 12000};
  constexpr int kHosts = 12;
  AllowanceFleet fleet(kHosts, limit, *rc::gen::arbitrary<std::uint32_t>());
  fleet.set_loss(*rc::gen::inRange(0, 30) / 100.0);
  const double demand = *rc::gen::inRange(1, 8) * limit.per_second;
  for (int second = 0; second < 30; ++second) {
    const int fault = *rc::gen::inRange(0, 8);
    const auto host = static_cast<std::size_t>(*rc::gen::inRange(0, kHosts));
    if (fault == 0) {
      std::vector<int> groups(kHosts);
      for (int& group : groups) group = *rc::gen::inRange(0, 3);
      fleet.Cut(groups);
    } else if (fault == 1) {
      fleet.Cut(std::vector<int>(kHosts, 0));
    } else if (fault == 2) {
      fleet.Suspend(host, milliseconds(8000));
    } else if (fault == 3) {
      fleet.Restart(host);
    }
    for (int step = 0; step < 100; ++step) {
      fleet.Step(demand / kHosts / 100, 100);
    }
  }
  RC_ASSERT(fleet.most_used() <= Bound(limit));
}

// Guards against a division that leaves part of the allowance unused while
// requests are refused.
TEST(AllowanceFleet, DemandAboveTheLimitUsesAlmostAllOfIt) {
  const AllowanceLimit limit{12000, 12000};
  AllowanceFleet fleet(12, limit, 1);
  constexpr int kSteps = 2000;
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step(3 * limit.per_second / 12 / 100, 100);
  }
  const double seconds = kSteps / 100.0;
  EXPECT_GT(fleet.admitted() * 100, 0.9 * limit.per_second * seconds);
  EXPECT_GT(fleet.refused(), fleet.admitted());
  EXPECT_LE(fleet.most_used(), Bound(limit));
}

// Guards against a division by equal shares, which refuses an account whose
// callers all use one host.
TEST(AllowanceFleet, AnAccountWithAllCallersAtOneHostIsNotRefused) {
  AllowanceAccount account;
  AllowanceLedger ledger = LedgerOf({1000, 1000}, 1000);
  int refused = 0;
  for (int millis = 0; millis < 20000; millis += 100) {
    account.CountDemand(50, At(millis));
    if (account.TryCharge(50, At(millis))) continue;
    const LeaseGrant grant = ledger.Grant(
        7, {50, account.ExpectedUse(At(millis))}, {60, 60}, At(millis));
    account.AddLease(grant.units, At(millis));
    if (!account.TryCharge(50, At(millis))) ++refused;
  }
  EXPECT_LE(refused, 1);
}

// Guards against shares that follow the callers too late.
TEST(AllowanceFleet, AnAccountWhoseCallersMoveToOtherHostsIsNotRefused) {
  std::vector<AllowanceAccount> hosts(60);
  AllowanceLedger ledger = LedgerOf({1000, 1000}, 1000);
  int refused = 0;
  int total = 0;
  for (int millis = 0; millis < 20000; millis += 20) {
    const bool has_moved = millis >= 10000;
    AllowanceAccount& account =
        hosts[static_cast<std::size_t>(has_moved ? 30 : 0) + millis / 20 % 30];
    ++total;
    account.CountDemand(11, At(millis));
    if (account.TryCharge(11, At(millis))) continue;
    const LeaseGrant grant = ledger.Grant(
        static_cast<std::uint64_t>(millis / 20 % 60),
        {11, account.ExpectedUse(At(millis))}, {60, 60}, At(millis));
    account.AddLease(grant.units, At(millis));
    if (!account.TryCharge(11, At(millis))) ++refused;
  }
  EXPECT_LE(refused, total / 200);
}

TEST(LeaseMessages, SurviveEncodingAndRejectOthers) {
  allowance::LeaseCall call;
  call.account = "shop";
  call.borrower = 0xfedcba9876543210;
  call.request = {10, 20};
  call.limit = {30, 40};
  call.config_version = 7;
  const auto decoded = allowance::DecodeLeaseCall(allowance::Encode(call));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->account, "shop");
  EXPECT_EQ(decoded->borrower, call.borrower);
  EXPECT_EQ(decoded->request.wanted, 20);
  EXPECT_EQ(decoded->limit, call.limit);
  EXPECT_EQ(decoded->config_version, 7u);
  allowance::LeaseReply reply;
  reply.kind = allowance::LeaseReply::Kind::kExhausted;
  reply.grant.retry_after = milliseconds(120);
  const auto answer = allowance::DecodeLeaseReply(allowance::Encode(reply));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->kind, reply.kind);
  EXPECT_EQ(answer->grant.retry_after, milliseconds(120));
  EXPECT_FALSE(allowance::DecodeLeaseCall("").has_value());
  EXPECT_FALSE(allowance::DecodeLeaseCall(allowance::Encode(reply)));
  EXPECT_FALSE(allowance::DecodeLeaseReply(allowance::Encode(call)));
  // A negative number of units would add to the ledger.
  call.request.needed = -1;
  EXPECT_FALSE(allowance::DecodeLeaseCall(allowance::Encode(call)));
}

// Guards against isolated hosts of which each admits a whole request at once.
TEST(AllowanceLedger, AnIsolatedHostSavesUpForALargeRequest) {
  AllowanceLedger ledger = LedgerOf({6000, 6000});
  const AllowanceMembers isolated{1, 60};
  EXPECT_EQ(ledger.Grant(1, {3000, 3000}, isolated, At(1000)).units, 0);
  EXPECT_EQ(ledger.Grant(1, {3000, 3000}, isolated, At(29900)).units, 0);
  EXPECT_EQ(ledger.Grant(1, {3000, 3000}, isolated, At(30100)).units, 3000);
}

TEST(AllowanceCost, CountsTokensOrRequests) {
  fleet::Allowance allowance;
  platform::CallerRequest request;
  request.has_token_counts = true;
  request.prompt_tokens = 9190;
  request.max_output_tokens = 10;
  EXPECT_EQ(allowance::CostOf(allowance, request), 1);
  allowance.unit = fleet::AllowanceUnit::kTokens;
  allowance.default_tokens = 200;
  EXPECT_EQ(allowance::CostOf(allowance, request), 9200);
  EXPECT_EQ(allowance::CostOf(allowance, platform::CallerRequest{}), 200);
}

}  // namespace
}  // namespace beryllane
