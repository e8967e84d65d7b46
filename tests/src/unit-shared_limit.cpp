// A limit that several hosts share.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>

#include "beryllane/limit/shared_limit.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = RuntimeClock::time_point;

constexpr double kLifted = -1;
constexpr milliseconds kJustNow{0};

TimePoint At(int millis) { return TimePoint(milliseconds(millis)); }

PeerActivity Peers(int live) {
  PeerActivity peers;
  peers.set_live(live);
  return peers;
}

// Hosts that try to send to one target and report to each other late.
class SharedLimitFleet {
 public:
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kWindow{4000};
  static constexpr milliseconds kReportInterval{200};

  SharedLimitFleet(std::vector<double> demands, milliseconds report_delay)
      : demands_(std::move(demands)),
        report_delay_(report_delay),
        hosts_(demands_.size()),
        activity_(demands_.size()),
        is_down_(demands_.size()) {
    for (PeerActivity& activity : activity_) {
      activity.set_live(static_cast<int>(demands_.size()) - 1);
    }
  }

  // Lets a host learn of the limit by an answer.
  void Name(std::size_t host, double per_second) {
    hosts_[host].OnAnswer(per_second, now_, now_);
  }
  void SetDemand(std::size_t host, double demand) { demands_[host] = demand; }
  void SetDown(std::size_t host, bool is_down) { is_down_[host] = is_down; }

  void Run(milliseconds time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      Report();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (!is_down_[i]) TrySend(i);
      }
      while (!sent_.empty() && now_ - sent_.front() > kWindow) {
        sent_.pop_front();
      }
      most_in_window_ = std::max(most_in_window_, sent_.size());
    }
  }
  void ResetMost() { most_in_window_ = 0; }
  std::size_t most_in_window() const { return most_in_window_; }
  std::size_t in_window() const { return sent_.size(); }
  int sent_by(std::size_t host) const { return sent_by_.at(host); }

 private:
  struct Message {
    TimePoint due;
    std::size_t from;
    double per_second;
    double demand;
    std::optional<std::chrono::nanoseconds> answer_age;
  };

  void TrySend(std::size_t host) {
    const double per_step =
        demands_[host] * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> arrivals(per_step);
    for (int left = arrivals(random_); left > 0; --left) {
      hosts_[host].CountDemand(now_);
      if (!hosts_[host].MaySend(activity_[host], now_)) continue;
      hosts_[host].CountSent();
      sent_.push_back(now_);
      ++sent_by_[host];
    }
  }
  void Report() {
    if ((now_.time_since_epoch() % kReportInterval).count() == 0) {
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (is_down_[i] || !hosts_[i].is_set()) continue;
        messages_.push_back({now_ + report_delay_, i, hosts_[i].per_second(),
                             hosts_[i].Demand(now_),
                             hosts_[i].AnswerAge(now_)});
      }
    }
    for (; !messages_.empty() && messages_.front().due <= now_;
         messages_.pop_front()) {
      const Message& message = messages_.front();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i == message.from || is_down_[i]) continue;
        const auto peer = static_cast<std::uint32_t>(message.from);
        hosts_[i].OnPeerReport(peer, message.per_second, message.demand,
                               message.answer_age, now_);
        activity_[i].OnReport(peer, now_);
      }
    }
  }

  std::vector<double> demands_;
  milliseconds report_delay_;
  std::vector<SharedLimit> hosts_;
  std::vector<PeerActivity> activity_;
  std::vector<bool> is_down_;
  std::deque<Message> messages_;
  std::deque<TimePoint> sent_;
  std::map<std::size_t, int> sent_by_;
  std::size_t most_in_window_ = 0;
  std::mt19937 random_{20261204};
  TimePoint now_ = At(1000000);
};

// What the target allows in some window of four seconds.
std::size_t Allowed(double per_second) {
  constexpr double kTolerance = 1.5;
  constexpr double kSlack = 5;
  return static_cast<std::size_t>(per_second * 4 * kTolerance + kSlack);
}

TEST(SharedLimit, WithoutALimitNothingIsHeldBack) {
  SharedLimit limit;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(limit.MaySend(Peers(5), At(1)));
    limit.CountSent();
  }
}

TEST(SharedLimit, UnevenHostsUseTheLimitWhereTheTrafficIs) {
  SharedLimitFleet fleet({20, 1, 0, 0, 0, 0}, milliseconds(50));
  for (std::size_t i = 0; i < 6; ++i) fleet.Name(i, 3);
  fleet.Run(seconds(4));
  fleet.ResetMost();
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.most_in_window(), Allowed(3));
  EXPECT_GE(fleet.in_window(), 9U);
  EXPECT_GT(fleet.sent_by(0), 8 * fleet.sent_by(1));
}

TEST(SharedLimit, HostsThatLearnOfItFromAPeerTakeTheirShare) {
  SharedLimitFleet fleet(std::vector<double>(6, 4), milliseconds(200));
  fleet.Run(seconds(2));
  fleet.Name(0, 3);
  fleet.Run(seconds(4));
  fleet.ResetMost();
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.most_in_window(), Allowed(3));
  EXPECT_GE(fleet.in_window(), 8U);
}

TEST(SharedLimit, TheShareOfAHostThatDiesGoesToTheOthers) {
  SharedLimitFleet fleet(std::vector<double>(4, 6), milliseconds(50));
  for (std::size_t i = 0; i < 4; ++i) fleet.Name(i, 4);
  fleet.Run(seconds(5));
  for (std::size_t i = 1; i < 4; ++i) fleet.SetDemand(i, 0);
  fleet.Run(seconds(20));
  EXPECT_GE(fleet.in_window(), 10U);
  fleet.ResetMost();
  for (std::size_t i = 1; i < 4; ++i) fleet.SetDemand(i, 6);
  fleet.Run(seconds(10));
  EXPECT_LE(fleet.most_in_window(), Allowed(4));
}

TEST(SharedLimit, HostsThatHearNothingOfEachOtherShareEvenly) {
  SharedLimitFleet fleet(std::vector<double>(6, 8), seconds(1000));
  for (std::size_t i = 0; i < 6; ++i) fleet.Name(i, 3);
  fleet.Run(seconds(20));
  EXPECT_LE(fleet.most_in_window(), Allowed(3));
}

TEST(SharedLimit, AnAnswerToAnEarlierRequestDoesNotLiftIt) {
  SharedLimit limit;
  EXPECT_TRUE(limit.OnAnswer(3, At(1000), At(1100)));
  EXPECT_FALSE(limit.OnAnswer(kLifted, At(1050), At(1200)));
  EXPECT_TRUE(limit.is_set());
  EXPECT_TRUE(limit.OnAnswer(kLifted, At(1300), At(1400)));
  EXPECT_FALSE(limit.is_set());
}

TEST(SharedLimit, AReportOlderThanTheLastAnswerDoesNotRestoreIt) {
  SharedLimit limit;
  limit.OnAnswer(3, At(1000), At(1100));
  limit.OnAnswer(kLifted, At(1300), At(1400));
  limit.OnPeerReport(7, 3, 1, kJustNow, At(1500));
  EXPECT_FALSE(limit.is_set());
  limit.OnPeerReport(7, 3, 1, kJustNow, At(2500));
  EXPECT_TRUE(limit.is_set());
  limit.OnPeerReport(7, kLifted, 0, kJustNow, At(2600));
  EXPECT_FALSE(limit.is_set());
}

TEST(SharedLimit, AReportSentBeforeAPeerLiftedItDoesNotRestoreIt) {
  SharedLimit limit;
  limit.OnPeerReport(7, 3, 1, kJustNow, At(10000));
  limit.OnPeerReport(8, kLifted, 0, kJustNow, At(20000));
  limit.OnPeerReport(7, 3, 1, kJustNow, At(20010));
  EXPECT_FALSE(limit.is_set());
  limit.OnPeerReport(7, 3, 1, seconds(5), At(22000));
  EXPECT_FALSE(limit.is_set());
}

TEST(SharedLimit, PeersThatOnlyHeardOfItDoNotKeepItFromEnding) {
  SharedLimit limit;
  limit.OnAnswer(3, At(1000), At(1100));
  limit.OnPeerReport(7, 3, 1, std::nullopt, At(2200));
  EXPECT_TRUE(limit.OnAnswer(kLifted, At(2000), At(2300)));
  EXPECT_FALSE(limit.is_set());
}

TEST(SharedLimit, OneThatNoAnswerConfirmsEndsWhereNothingIsSent) {
  SharedLimit limit;
  limit.OnPeerReport(7, 3, 1, kJustNow, At(10000));
  limit.OnPeerReport(7, 3, 1, std::nullopt, At(15000));
  EXPECT_FALSE(limit.EndIfUnconfirmed(At(19999)));
  EXPECT_TRUE(limit.EndIfUnconfirmed(At(20000)));
  EXPECT_FALSE(limit.is_set());
}

TEST(SharedLimit, AConfirmedOneDoesNotEndByItself) {
  SharedLimit limit;
  limit.OnPeerReport(7, 3, 1, kJustNow, At(10000));
  limit.OnPeerReport(8, 3, 1, seconds(2), At(19000));
  EXPECT_FALSE(limit.EndIfUnconfirmed(At(26999)));
  limit.CountDemand(At(26900));
  EXPECT_FALSE(limit.EndIfUnconfirmed(At(27000)));
}

TEST(SharedLimit, ALimitOfZeroStillLetsARequestAskWhetherItHolds) {
  SharedLimit limit;
  limit.OnAnswer(0, At(1000), At(1000));
  EXPECT_FALSE(limit.MaySend(Peers(0), At(1001)));
  EXPECT_TRUE(limit.MaySend(Peers(0), At(1000) + seconds(6)));
}

TEST(SharedLimit, TheReserveIsKeptForLargeRequests) {
  SharedLimit limit;
  limit.OnAnswer(1, At(1000), At(1000));
  EXPECT_TRUE(limit.MaySend(Peers(0), At(2500), true));
  EXPECT_FALSE(limit.MaySend(Peers(0), At(2500), false));
  EXPECT_TRUE(limit.MaySend(Peers(0), At(3100), false));
  limit.CountSent();
  EXPECT_TRUE(limit.MaySend(Peers(0), At(3100), true));
  EXPECT_FALSE(limit.MaySend(Peers(0), At(3100), false));
}

TEST(SharedLimit, AnIdlePeerLeavesItsShare) {
  SharedLimit limit;
  limit.OnAnswer(4, At(1000), At(1000));
  for (int i = 0; i < 8; ++i) limit.CountDemand(At(1000));
  PeerActivity peers = Peers(1);
  EXPECT_NEAR(limit.Share(peers, At(1000)), 2, 0.01);
  peers.OnReport(7, At(1000));
  EXPECT_GT(limit.Share(peers, At(1000)), 3.9);
}

TEST(SharedLimit, AReportFromBeforeTheLimitDoesNotShowAnIdlePeer) {
  SharedLimit limit;
  PeerActivity peers = Peers(1);
  peers.OnReport(7, At(999));
  limit.OnAnswer(4, At(1000), At(1000));
  for (int i = 0; i < 8; ++i) limit.CountDemand(At(1000));
  EXPECT_NEAR(limit.Share(peers, At(1000)), 2, 0.01);
}

TEST(SharedLimit, AnIdlePeerThatFallsSilentIsTakenToHaveDemandAgain) {
  SharedLimit limit;
  PeerActivity peers = Peers(1);
  limit.OnAnswer(4, At(1000), At(1000));
  peers.OnReport(7, At(1000));
  for (int i = 0; i < 8; ++i) limit.CountDemand(At(2400));
  EXPECT_GT(limit.Share(peers, At(2499)), 3.9);
  EXPECT_NEAR(limit.Share(peers, At(2500)), 2, 0.01);
}

RC_GTEST_PROP(SharedLimitProperty, TheSumStaysWithinTheLimit, ()) {
  const auto hosts = *rc::gen::inRange<std::size_t>(1, 12);
  std::vector<double> demands;
  for (std::size_t i = 0; i < hosts; ++i) {
    demands.push_back(*rc::gen::inRange(0, 12));
  }
  const double per_second = *rc::gen::inRange(1, 20);
  SharedLimitFleet fleet(demands, milliseconds(*rc::gen::inRange(0, 600)));
  for (std::size_t i = 0; i < hosts; ++i) fleet.Name(i, per_second);
  fleet.Run(seconds(4));
  fleet.ResetMost();
  fleet.Run(seconds(10));
  RC_ASSERT(fleet.most_in_window() <= Allowed(per_second));
}

}  // namespace
}  // namespace beryllane
