// The window on requests that wait for their start, and the line before it.
#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <vector>

#include "beryllane/admission/start_window.h"
#include "src/admission/admission_lines.h"
#include "src/net/spawn.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = RuntimeClock::time_point;

TimePoint At(int millis) { return TimePoint(milliseconds(millis)); }

TEST(StartWindow, LongDelaysShrinkItOncePerInterval) {
  StartWindow window;
  window.set_target_delay(milliseconds(100));
  for (int i = 0; i < 10; ++i) {
    window.OnStarted(milliseconds(500), 16, At(10000 + i));
  }
  EXPECT_EQ(window.size(), StartWindow::kInitial * StartWindow::kDecrease);
  for (int i = 0; i < 100; ++i) {
    window.OnStarted(milliseconds(500), 16, At(11000 + 200 * i));
  }
  EXPECT_EQ(window.size(), StartWindow::kMin);
}

// Guards against a window that grows without a load that shows its effect.
TEST(StartWindow, GrowsOnlyWhileItIsUsedUp) {
  StartWindow window;
  for (int i = 0; i < 100; ++i) {
    window.OnStarted(milliseconds(1), 3, At(10000 + i));
  }
  EXPECT_EQ(window.size(), StartWindow::kInitial);
  window.OnStarted(milliseconds(1), 15, At(20000));
  EXPECT_GT(window.size(), StartWindow::kInitial);
}

TEST(StartWindow, HasNoRoomBelowZero) {
  StartWindow window;
  EXPECT_EQ(window.Room(0), 16U);
  EXPECT_EQ(window.Room(15), 1U);
  EXPECT_EQ(window.Room(16), 0U);
  EXPECT_EQ(window.Room(100), 0U);
}

// Hosts that send to the same targets without knowledge of each other. The
// targets start one request after the other.
class SharedTargets {
 public:
  static constexpr int kHosts = 60;
  static constexpr milliseconds kStep{10};

  // Runs with `starts_per_second` at the targets for some time; all hosts have
  // more requests than can start.
  void Run(double starts_per_second, milliseconds duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      for (int host = 0; host < kHosts; ++host) {
        while (windows_[host].Room(waiting_[host]) > 0) {
          ++waiting_[host];
          queue_.emplace_back(host, now_);
        }
      }
      due_ += starts_per_second * 0.01;
      for (; due_ >= 1 && !queue_.empty(); --due_) {
        const auto [host, sent_at] = queue_.front();
        queue_.pop_front();
        --waiting_[host];
        longest_ = std::max(longest_, now_ - sent_at);
        windows_[host].OnStarted(now_ - sent_at, waiting_[host], now_);
      }
    }
  }
  // Longest delay since the last call.
  std::chrono::nanoseconds TakeLongest() {
    return std::exchange(longest_, std::chrono::nanoseconds(0));
  }

 private:
  TimePoint now_ = At(10000);
  std::vector<StartWindow> windows_ = std::vector<StartWindow>(kHosts);
  std::vector<std::size_t> waiting_ = std::vector<std::size_t>(kHosts);
  std::deque<std::pair<int, TimePoint>> queue_;
  double due_ = 0;
  std::chrono::nanoseconds longest_{0};
};

// Guards against hosts that keep the targets' queues long because each of them
// sends only a little too much.
TEST(StartWindow, ManyHostsKeepTheQueuesOfSharedTargetsShort) {
  SharedTargets targets;
  targets.Run(1000, seconds(5));
  targets.TakeLongest();
  targets.Run(1000, seconds(5));
  EXPECT_LT(targets.TakeLongest(), milliseconds(600));
  // A quarter of the targets goes.
  targets.Run(750, seconds(3));
  targets.TakeLongest();
  targets.Run(750, seconds(5));
  EXPECT_LT(targets.TakeLongest(), milliseconds(600));
}

class AdmissionLineTest : public ::testing::Test {
 protected:
  WaitingRequest Request(int urgency, milliseconds deadline) const {
    WaitingRequest request;
    request.urgency = urgency;
    request.arrived = RuntimeClock::now();
    request.goal = request.arrived + deadline / 2;
    request.deadline = request.arrived + deadline;
    return request;
  }
  // Lets all requests end, as those that wait refer to the line.
  void TearDown() override {
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      for (auto& outcome : outcomes_) outcome.reset();
      RunFor(milliseconds(5));
    }
  }
  // Starts a request; its outcome is kept under its number.
  std::size_t Enter(const WaitingRequest& request) {
    outcomes_.emplace_back();
    const std::size_t number = outcomes_.size() - 1;
    net::Spawn(loop_.get_executor(), "enter", Run(request, number));
    return number;
  }
  void RunFor(milliseconds duration) {
    loop_.restart();
    loop_.run_for(duration);
  }
  bool IsAdmitted(std::size_t number) const {
    return outcomes_[number] &&
           std::holds_alternative<admission::StartPlace>(*outcomes_[number]);
  }
  bool IsRefused(std::size_t number) const {
    return outcomes_[number] &&
           std::holds_alternative<admission::Rejection>(*outcomes_[number]);
  }

  net::asio::io_context loop_;
  std::optional<admission::Rejection> obstacle_;
  MetricRegistry metrics_;
  admission::AdmissionLines lines_{loop_, metrics_};
  admission::AdmissionLine& line_ = lines_.LineOf("s");
  std::deque<
      std::optional<std::variant<admission::StartPlace, admission::Rejection>>>
      outcomes_;

 private:
  net::asio::awaitable<void> Run(WaitingRequest request, std::size_t number) {
    auto entered = co_await line_.Enter(request, [this] { return obstacle_; });
    outcomes_[number].emplace(std::move(entered));
  }
};

// Guards against a request that is not woken when a place becomes free.
TEST_F(AdmissionLineTest, TheMostUrgentWaitingRequestGetsAFreePlace) {
  std::vector<std::size_t> first;
  first.reserve(static_cast<std::size_t>(StartWindow::kInitial));
  for (int i = 0; i < static_cast<int>(StartWindow::kInitial); ++i) {
    first.push_back(Enter(Request(2, seconds(60))));
  }
  RunFor(milliseconds(20));
  for (const std::size_t number : first) EXPECT_TRUE(IsAdmitted(number));
  const std::size_t less = Enter(Request(2, seconds(60)));
  const std::size_t urgent = Enter(Request(0, seconds(60)));
  RunFor(milliseconds(20));
  EXPECT_FALSE(IsAdmitted(less));
  EXPECT_FALSE(IsAdmitted(urgent));
  outcomes_[first[0]].reset();
  RunFor(milliseconds(20));
  EXPECT_TRUE(IsAdmitted(urgent));
  EXPECT_FALSE(IsAdmitted(less));
}

// Guards against targets that are down and whose requests take up all places.
TEST_F(AdmissionLineTest, RequestsThatDoNotStartGiveUpTheirPlaces) {
  for (int i = 0; i < static_cast<int>(StartWindow::kInitial); ++i) {
    Enter(Request(2, seconds(60)));
  }
  RunFor(milliseconds(20));
  const std::size_t next = Enter(Request(2, seconds(60)));
  RunFor(milliseconds(100));
  EXPECT_FALSE(IsAdmitted(next));
  RunFor(admission::AdmissionLine::kMaxPlaceTime + milliseconds(200));
  EXPECT_TRUE(IsAdmitted(next));
}

// Guards against a request that waits for a place though no target can take it.
TEST_F(AdmissionLineTest, ARequestThatNoTargetCanTakeDoesNotWait) {
  for (int i = 0; i < static_cast<int>(StartWindow::kInitial); ++i) {
    Enter(Request(2, seconds(60)));
  }
  RunFor(milliseconds(20));
  obstacle_ = admission::Rejection{
      {ErrorId::kNoTarget, "none", Verdict::kNotRun}, milliseconds(0)};
  const std::size_t next = Enter(Request(2, seconds(60)));
  RunFor(milliseconds(20));
  ASSERT_TRUE(IsRefused(next));
  EXPECT_EQ(std::get<admission::Rejection>(*outcomes_[next]).error.id,
            ErrorId::kNoTarget);
  EXPECT_EQ(line_.size(), 0U);
}

// Guards against a request that waits until its caller gives up.
TEST_F(AdmissionLineTest, ARequestIsRefusedBeforeItsDeadlinePasses) {
  for (int i = 0; i < static_cast<int>(StartWindow::kInitial); ++i) {
    Enter(Request(2, seconds(60)));
  }
  RunFor(milliseconds(20));
  const std::size_t next = Enter(Request(2, milliseconds(400)));
  RunFor(milliseconds(500));
  ASSERT_TRUE(IsRefused(next));
  const auto& rejection = std::get<admission::Rejection>(*outcomes_[next]);
  EXPECT_EQ(rejection.error.id, ErrorId::kOverloaded);
  EXPECT_EQ(rejection.error.verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace beryllane
