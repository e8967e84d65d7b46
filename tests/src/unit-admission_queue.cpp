// The queue that decides which waiting request is admitted next.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "beryllane/admission/admission_queue.h"

namespace beryllane {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using TimePoint = RuntimeClock::time_point;
using Ids = std::vector<std::uint64_t>;

// Not zero, so that differences of times before the start are seen.
TimePoint At(int millis) {
  return TimePoint(seconds(1000) + milliseconds(millis));
}

WaitingRequest Request(std::uint64_t id, int urgency = 0,
                       std::uint64_t account = 1, std::uint64_t kind = 1) {
  return {.id = id,
          .urgency = urgency,
          .account = account,
          .kind = kind,
          .arrived = At(static_cast<int>(id)),
          .goal = At(100'000),
          .deadline = At(200'000),
          .work = 1000,
          .bytes = 100};
}

bool Waits(const AdmissionQueue::OfferResult& result) {
  return std::holds_alternative<AdmissionQueue::Wait>(result.decision);
}
bool IsAdmitted(const AdmissionQueue::OfferResult& result) {
  return std::holds_alternative<AdmissionQueue::Admit>(result.decision);
}
const AdmissionQueue::Refuse* RefusalIn(
    const AdmissionQueue::OfferResult& result) {
  return std::get_if<AdmissionQueue::Refuse>(&result.decision);
}
Ids IdsOf(const std::vector<AdmissionQueue::Refusal>& refusals) {
  Ids ids;
  for (const auto& refusal : refusals) ids.push_back(refusal.id);
  return ids;
}

// Offers without room, then admits all one by one.
Ids OrderOf(AdmissionQueue& queue, const std::vector<WaitingRequest>& requests,
            TimePoint now) {
  for (const WaitingRequest& request : requests) {
    EXPECT_TRUE(Waits(queue.Offer(request, 0, now)));
  }
  Ids ids;
  while (queue.size() > 0) ids.push_back(queue.Next(1, now).admitted.at(0));
  return ids;
}

AdmissionQueueOptions WithoutFloor() { return {.floor_share = 0}; }

// Guards against requests that wait although the targets have room for all.
TEST(AdmissionQueue, ARequestIsAdmittedAtOnceIfThereIsRoomForAll) {
  AdmissionQueue queue({});
  EXPECT_TRUE(IsAdmitted(queue.Offer(Request(1), 1, At(0))));
  EXPECT_TRUE(Waits(queue.Offer(Request(2), 0, At(0))));
  EXPECT_TRUE(Waits(queue.Offer(Request(3), 1, At(0))));
  EXPECT_TRUE(IsAdmitted(queue.Offer(Request(4), 3, At(0))));
  EXPECT_EQ(queue.Next(2, At(0)).admitted, (Ids{2, 3}));
  EXPECT_EQ(queue.size(), 0U);
  EXPECT_EQ(queue.bytes(), 0U);
}

// Guards against a less urgent request or a late one that goes first.
TEST(AdmissionQueue, OrderIsByUrgencyThenGoalThenDeadlineOfTheLate) {
  AdmissionQueue queue(WithoutFloor());
  const auto with_times = [](std::uint64_t id, int urgency, int goal,
                             int deadline) {
    WaitingRequest request = Request(id, urgency);
    request.goal = At(goal);
    request.deadline = At(deadline);
    return request;
  };
  EXPECT_EQ(OrderOf(queue,
                    {with_times(1, 2, 2000, 5000), with_times(2, 0, 50, 4000),
                     with_times(3, 0, 40, 9000), with_times(4, 0, 900, 9000),
                     with_times(5, 0, 800, 9000), with_times(6, 1, 5000, 9000)},
                    At(100)),
            (Ids{5, 4, 2, 3, 6, 1}));
}

// Guards against a goal that counts as met until it has passed, although the
// service takes time.
TEST(AdmissionQueue, ARequestWhoseServiceEndsAfterItsGoalIsLate) {
  AdmissionQueueOptions options = WithoutFloor();
  options.shortest_service = milliseconds(10);
  options.work_per_second = 10'000;
  AdmissionQueue queue(options);
  WaitingRequest late = Request(1);
  late.goal = At(109);  // 10 ms and 1000 tokens at 10 per ms.
  WaitingRequest in_time = Request(2);
  in_time.goal = At(110);
  EXPECT_EQ(OrderOf(queue, {late, in_time}, At(0)), (Ids{2, 1}));
}

// Guards against an account with many requests that keeps out the others.
TEST(AdmissionQueue, TheAccountWithFewerRecentAdmissionsComesFirst) {
  AdmissionQueue queue(WithoutFloor());
  EXPECT_EQ(OrderOf(queue,
                    {Request(1, 0, 7), Request(2, 0, 7), Request(3, 0, 7),
                     Request(4, 0, 8), Request(5, 0, 8)},
                    At(0)),
            (Ids{1, 4, 2, 5, 3}));
  // Account 7 had three admissions, account 8 two.
  EXPECT_EQ(OrderOf(queue, {Request(6, 0, 7), Request(7, 0, 8)}, At(999)),
            (Ids{7, 6}));
  // Only the last two count any more.
  EXPECT_EQ(OrderOf(queue, {Request(8, 0, 7), Request(9, 0, 8)}, At(1000)),
            (Ids{8, 9}));
}

// Guards against admissions of one urgency that count against an account in
// another.
TEST(AdmissionQueue, AccountsAreComparedWithinAnUrgency) {
  AdmissionQueue queue(WithoutFloor());
  for (std::uint64_t id = 1; id <= 5; ++id) {
    EXPECT_TRUE(IsAdmitted(queue.Offer(Request(id, 0, 7), 1, At(0))));
  }
  EXPECT_EQ(OrderOf(queue, {Request(6, 1, 7), Request(7, 1, 8)}, At(0)),
            (Ids{6, 7}));
}

// Guards against the starvation of kinds, for each number of kinds that the
// floor share has room for.
RC_GTEST_PROP(AdmissionQueue, EachWaitingKindGetsItsFloorShare, ()) {
  constexpr std::uint64_t kPeriod = 8;
  const auto kinds = *rc::gen::inRange<std::uint64_t>(2, kPeriod + 1);
  AdmissionQueue queue({});
  std::uint64_t id = 0;
  std::map<std::uint64_t, std::uint64_t> kind_of;
  const auto offer = [&](std::uint64_t kind) {
    kind_of[++id] = kind;
    const int urgency = static_cast<int>(kind);
    RC_ASSERT(Waits(queue.Offer(Request(id, urgency, kind, kind), 0, At(0))));
  };
  for (std::uint64_t kind = 0; kind < kinds; ++kind) {
    for (int i = 0; i < 3; ++i) offer(kind);
  }
  std::map<std::uint64_t, int> last;
  for (int admission = 1; admission <= 200; ++admission) {
    const std::uint64_t kind =
        kind_of.at(queue.Next(1, At(admission)).admitted.at(0));
    last[kind] = admission;
    // Keeps all kinds waiting, in an order that varies.
    offer(kind);
    offer(*rc::gen::inRange<std::uint64_t>(0, kinds));
    for (std::uint64_t other = 0; other < kinds; ++other) {
      RC_ASSERT(admission - last[other] < static_cast<int>(kPeriod));
    }
  }
}

// Guards against floors that take more than their share from the urgent.
TEST(AdmissionQueue, TheFloorTakesOneInEight) {
  AdmissionQueue queue({});
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Offer(Request(id, 0, 1, 1), 0, At(0));
    queue.Offer(Request(1000 + id, 2, 1, 2), 0, At(0));
  }
  std::size_t urgent = 0;
  for (int i = 0; i < 80; ++i) {
    urgent += queue.Next(1, At(0)).admitted.at(0) <= 100 ? 1 : 0;
  }
  EXPECT_EQ(urgent, 70U);
}

// Guards against memory that grows without bound, and against the urgent that
// are refused while others hold the places.
TEST(AdmissionQueue, AMoreUrgentArrivalDisplacesTheNewestOfTheLeastUrgent) {
  AdmissionQueueOptions options;
  options.max_requests = 3;
  AdmissionQueue queue(options);
  queue.Offer(Request(1, 2), 0, At(0));
  queue.Offer(Request(2, 2), 0, At(0));
  queue.Offer(Request(3, 1), 0, At(0));
  EXPECT_NE(RefusalIn(queue.Offer(Request(4, 2), 0, At(0))), nullptr);
  const auto urgent = queue.Offer(Request(5, 0), 0, At(0));
  EXPECT_TRUE(Waits(urgent));
  EXPECT_EQ(IdsOf(urgent.displaced), (Ids{2}));
  EXPECT_GT(urgent.displaced.at(0).retry_after, nanoseconds(0));
  EXPECT_EQ(IdsOf(queue.Offer(Request(6, 0), 0, At(0)).displaced), (Ids{1}));
  EXPECT_EQ(IdsOf(queue.Offer(Request(7, 0), 0, At(0)).displaced), (Ids{3}));
  EXPECT_NE(RefusalIn(queue.Offer(Request(8, 0), 0, At(0))), nullptr);
  EXPECT_EQ(queue.size(), 3U);
}

// Guards against a displacement that frees too little or that is in vain.
TEST(AdmissionQueue, TheBoundInBytesHoldsAndNothingIsDisplacedInVain) {
  AdmissionQueueOptions options;
  options.max_bytes = 1000;
  AdmissionQueue queue(options);
  const auto sized = [](std::uint64_t id, int urgency, std::size_t bytes) {
    WaitingRequest request = Request(id, urgency);
    request.bytes = bytes;
    return request;
  };
  queue.Offer(sized(1, 0, 400), 0, At(0));
  queue.Offer(sized(2, 2, 300), 0, At(0));
  queue.Offer(sized(3, 2, 300), 0, At(0));
  const auto in_vain = queue.Offer(sized(4, 1, 700), 0, At(0));
  EXPECT_NE(RefusalIn(in_vain), nullptr);
  EXPECT_TRUE(in_vain.displaced.empty());
  EXPECT_NE(RefusalIn(queue.Offer(sized(5, 0, 1001), 0, At(0))), nullptr);
  const auto large = queue.Offer(sized(6, 1, 500), 0, At(0));
  EXPECT_TRUE(Waits(large));
  EXPECT_EQ(IdsOf(large.displaced), (Ids{3, 2}));
  EXPECT_EQ(queue.bytes(), 900U);
}

// Guards against the use of freed bookkeeping when an arrival displaces the
// only other request of its account and urgency.
TEST(AdmissionQueue, AnOlderRequestDisplacesANewerOneOfItsAccount) {
  AdmissionQueueOptions options;
  options.max_requests = 1;
  AdmissionQueue queue(options);
  queue.Offer(Request(9), 0, At(0));
  EXPECT_EQ(IdsOf(queue.Offer(Request(3), 0, At(0)).displaced), (Ids{9}));
  EXPECT_EQ(queue.Next(5, At(0)).admitted, (Ids{3}));
}

// Guards against places that callers who have left keep.
TEST(AdmissionQueue, ACallerThatLeavesFreesItsPlace) {
  AdmissionQueueOptions options;
  options.max_requests = 2;
  AdmissionQueue queue(options);
  queue.Offer(Request(1), 0, At(0));
  queue.Offer(Request(2), 0, At(0));
  EXPECT_TRUE(queue.Remove(1, At(0)));
  EXPECT_FALSE(queue.Remove(1, At(0)));
  EXPECT_EQ(queue.bytes(), 100U);
  EXPECT_TRUE(Waits(queue.Offer(Request(3), 0, At(0))));
  EXPECT_EQ(queue.Next(5, At(0)).admitted, (Ids{2, 3}));
  EXPECT_FALSE(queue.Remove(2, At(0)));
}

// Guards against work on requests whose callers will have gone.
TEST(AdmissionQueue, ARequestThatCannotBeAnsweredInTimeIsRefusedAtOnce) {
  AdmissionQueueOptions options;
  options.shortest_service = milliseconds(50);
  AdmissionQueue queue(options);
  WaitingRequest request = Request(1);
  request.deadline = At(100);
  EXPECT_NE(RefusalIn(queue.Offer(request, 1, At(51))), nullptr);
  EXPECT_TRUE(IsAdmitted(queue.Offer(request, 1, At(50))));
  EXPECT_TRUE(Waits(queue.Offer(request, 0, At(50))));
  const auto next = queue.Next(1, At(51));
  EXPECT_TRUE(next.admitted.empty());
  EXPECT_EQ(IdsOf(next.refused), (Ids{1}));
}

// Guards against refusals for lack of knowledge of the admission rate: a
// router with little traffic has admitted few requests, but not because of its
// targets.
TEST(AdmissionQueue, LittleTrafficDoesNotCountAsSlowAdmission) {
  AdmissionQueue queue({});
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(IsAdmitted(queue.Offer(Request(i), 1, At(1000 * i))));
  }
  for (std::uint64_t id = 100; id < 150; ++id) {
    WaitingRequest request = Request(id);
    request.deadline = At(11'000);
    EXPECT_TRUE(Waits(queue.Offer(request, 0, At(10'000))));
  }
}

// Admits one request each 100 ms for a second while others wait.
void AdmitTenPerSecond(AdmissionQueue& queue, std::uint64_t first_id) {
  for (int i = 0; i < 30; ++i) queue.Offer(Request(first_id + i), 0, At(0));
  for (int i = 1; i <= 10; ++i) {
    EXPECT_EQ(queue.Next(1, At(100 * i)).admitted.size(), 1U);
  }
}

// Guards against waits that end at the deadline although that was foreseeable,
// and against refusals of requests that could be answered.
TEST(AdmissionQueue, ThePredictedWaitDecidesOnTheDeadline) {
  AdmissionQueue queue(WithoutFloor());
  AdmitTenPerSecond(queue, 1);
  // 20 wait. The rate is 10 a second, and one admission that is assumed.
  const nanoseconds wait = queue.PredictedWait(0, At(1000));
  EXPECT_GT(wait, milliseconds(1500));
  EXPECT_LT(wait, milliseconds(2200));
  WaitingRequest request = Request(100);
  request.deadline = At(1000) + milliseconds(1400);
  EXPECT_NE(RefusalIn(queue.Offer(request, 0, At(1000))), nullptr);
  request.deadline = At(1000) + milliseconds(2300);
  EXPECT_TRUE(Waits(queue.Offer(request, 0, At(1000))));
  // More urgent ones that arrive make the deadline unreachable.
  for (std::uint64_t id = 200; id < 220; ++id) {
    queue.Offer(Request(id, -1), 0, At(1000));
  }
  EXPECT_EQ(IdsOf(queue.Next(0, At(1250)).refused), (Ids{100}));
}

// Guards against late requests that wait until just before their deadline,
// because others that arrive later overtake them.
TEST(AdmissionQueue, ALateRequestThatOthersOvertakeIsRefusedEarly) {
  AdmissionQueue queue(WithoutFloor());
  // Same account and urgency, so that only the goal decides.
  for (std::uint64_t id = 1; id <= 5; ++id) {
    WaitingRequest late = Request(id);
    late.goal = At(0);
    late.deadline = At(5000);
    queue.Offer(late, 0, At(1));
  }
  Ids refused;
  for (int i = 1; i <= 40; ++i) {
    queue.Offer(Request(100 + i), 0, At(100 * i));
    const auto next = queue.Next(1, At(100 * i));
    EXPECT_EQ(next.admitted, (Ids{100U + i}));
    for (const std::uint64_t id : IdsOf(next.refused)) refused.push_back(id);
    // More than half of the time is left.
    if (i == 20) {
      EXPECT_FALSE(refused.empty());
    }
  }
  // The first in order would be admitted next if the arrivals ceased.
  EXPECT_EQ(refused, (Ids{5, 4, 3, 2}));
  EXPECT_EQ(queue.Next(9, At(4001)).admitted, (Ids{1}));
}

// Guards against refusals of a kind that would be admitted by its floor share.
TEST(AdmissionQueue, ThePredictedWaitKnowsTheFloorShare) {
  for (const double share : {0.0, 1.0 / 8}) {
    AdmissionQueue queue({.floor_share = share});
    AdmitTenPerSecond(queue, 1);
    WaitingRequest request = Request(100, 2, 1, 2);
    request.deadline = At(1000) + milliseconds(1200);
    EXPECT_EQ(Waits(queue.Offer(request, 0, At(1000))), share > 0);
  }
}

// Guards against the refusal of all that wait after the host was suspended.
TEST(AdmissionQueue, ASuspendedHostIsNotASlowTarget) {
  AdmissionQueue queue(WithoutFloor());
  AdmitTenPerSecond(queue, 1);
  WaitingRequest request = Request(100);
  request.deadline = At(12'000);
  EXPECT_TRUE(Waits(queue.Offer(request, 0, At(1000))));
  EXPECT_TRUE(queue.Next(0, At(9000)).refused.empty());
  EXPECT_LT(queue.PredictedWait(0, At(9000)), milliseconds(4000));
}

// Guards against refused callers that all come back at once or too late.
TEST(AdmissionQueue, RetryAfterIsSpreadAndCapped) {
  AdmissionQueueOptions options = WithoutFloor();
  options.max_requests = 20;
  AdmissionQueue queue(options);
  AdmitTenPerSecond(queue, 1);
  while (queue.size() < 20) {
    queue.Offer(Request(50 + queue.size()), 0, At(1000));
  }
  const auto retry_after = [&](std::uint64_t id, milliseconds time_left) {
    WaitingRequest request = Request(id);
    request.deadline = At(1000) + time_left;
    const auto result = queue.Offer(request, 0, At(1000));
    return RefusalIn(result)->retry_after;
  };
  const nanoseconds wait = queue.PredictedWait(0, At(1000));
  const nanoseconds slack = milliseconds(150);  // One more admission.
  std::map<int, int> tenths;
  std::set<nanoseconds> capped;
  for (std::uint64_t id = 1000; id < 2000; ++id) {
    const nanoseconds spread = retry_after(id, seconds(60));
    EXPECT_GE(spread, wait);
    EXPECT_LE(spread, 2 * (wait + slack));
    ++tenths[static_cast<int>(10 * (spread - wait) / (wait + 2 * slack))];
    const nanoseconds cut = retry_after(id, milliseconds(3000));
    EXPECT_LE(cut, milliseconds(1000));
    EXPECT_GE(cut, milliseconds(750));
    capped.insert(cut);
  }
  EXPECT_GE(tenths.size(), 9U);
  EXPECT_GE(capped.size(), 990U);
  // The same request gets the same delay.
  EXPECT_EQ(retry_after(1000, seconds(60)), retry_after(1000, seconds(60)));
  // A caller whose time is up is not told to wait.
  EXPECT_EQ(retry_after(1000, milliseconds(-1)), nanoseconds(0));
}

// Guards against bookkeeping that drifts: whatever is called, each request
// leaves once, bounds hold, and nothing waits beside a free target.
RC_GTEST_PROP(AdmissionQueue, EachRequestLeavesOnce, ()) {
  AdmissionQueueOptions options;
  options.max_requests = 12;
  options.max_bytes = 2000;
  AdmissionQueue queue(options);
  std::map<std::uint64_t, std::size_t> waiting;
  const auto leaves = [&](std::uint64_t id) {
    RC_ASSERT(waiting.erase(id) == 1U);
  };
  int now = 0;
  const auto below = [](int end) { return *rc::gen::inRange(0, end); };
  for (std::uint64_t id = 1; id <= 150; ++id) {
    now += below(300);
    const auto room = static_cast<std::size_t>(below(3));
    switch (below(4)) {
      case 0:
      case 1: {
        WaitingRequest request = Request(id, below(3), below(3), below(3));
        request.arrived = At(now - below(50));
        request.goal = At(now + below(1000));
        request.deadline = At(now + below(4000));
        request.bytes = static_cast<std::size_t>(below(600));
        const auto result = queue.Offer(request, room, At(now));
        for (const auto& refusal : result.displaced) leaves(refusal.id);
        if (Waits(result)) waiting[id] = request.bytes;
        break;
      }
      case 2:
        if (!waiting.empty()) {
          const std::uint64_t leaver = waiting.begin()->first;
          RC_ASSERT(queue.Remove(leaver, At(now)));
          leaves(leaver);
        }
        break;
      default: {
        const auto result = queue.Next(room, At(now));
        for (const std::uint64_t admitted : result.admitted) leaves(admitted);
        for (const auto& refusal : result.refused) leaves(refusal.id);
        RC_ASSERT(result.admitted.size() == room || queue.size() == 0U);
      }
    }
    std::size_t bytes = 0;
    for (const auto& entry : waiting) bytes += entry.second;
    RC_ASSERT(queue.size() == waiting.size());
    RC_ASSERT(queue.bytes() == bytes);
    RC_ASSERT(queue.size() <= options.max_requests);
    RC_ASSERT(queue.bytes() <= options.max_bytes);
  }
}

// Load plays: calls to a pool of equal servers, through a queue or in order of
// arrival. Rates are a tenth of those of the deployment kerbside. A call holds
// a server for its prefill at 110 tokens per ms and 6.08 ms per token out, and
// meets its goal if its prefill ends in time. The 14 servers are 0.8 used.

struct CallKind {
  int urgency;
  double per_second;
  double tokens;
  milliseconds prefill;
  milliseconds service;
  milliseconds goal;
  milliseconds deadline;
  double worth;
  double late_worth;
};
constexpr std::array<CallKind, 2> kCallKinds{
    {{0, 181, 884, milliseconds(8), milliseconds(360), milliseconds(400),
      milliseconds(15'000), 3.6, 0.42},
     {2, 327, 9200, milliseconds(84), milliseconds(145), milliseconds(1000),
      milliseconds(5000), 1.3, 0.61}}};
constexpr std::size_t kChat = 0;
constexpr std::size_t kLong = 1;
constexpr int kAccounts = 16;
constexpr std::uint64_t kBusyAccount = 1;

// What is out of the ordinary, from `kCauseStart` for `duration`.
struct Cause {
  seconds duration;
  double long_factor = 1;
  double account_factor = 1;
  // Share of the servers.
  double servers_lost = 0;
};
constexpr milliseconds kCauseStart{5000};
constexpr seconds kAfterCause{20};
// Servers, and parts of the deployment's rates that they serve.
struct Pool {
  int servers;
  double rate_factor;
};
constexpr Pool kWholePool{140, 1};
constexpr Pool kSmallPool{14, 0.1};

struct Call {
  std::size_t kind = 0;
  std::uint64_t account = 0;
  milliseconds arrived{0};
};

struct Tally {
  std::array<double, 2> worth{};
  std::array<double, 2> full_worth{};
  double others_worth = 0;  // Calls of all but `kBusyAccount`.
  double others_full_worth = 0;
  std::vector<milliseconds> chat_latencies;
  int attempts = 0;
  // Without an answer at the deadline, or refused when less than a tenth of the
  // attempt's time was left.
  int ended_at_deadline = 0;
  int refused = 0;
  milliseconds last_miss{0};  // Arrival of the last call that missed its goal.

  double Share(std::size_t kind) const {
    return worth[kind] / full_worth[kind];
  }
  double OthersShare() const { return others_worth / others_full_worth; }
  double AtDeadline() const {
    return static_cast<double>(ended_at_deadline) / attempts;
  }
  // A call without an answer has waited for ever.
  milliseconds ChatLatency(double quantile) {
    std::ranges::sort(chat_latencies);
    const auto last = static_cast<double>(chat_latencies.size() - 1);
    return chat_latencies[static_cast<std::size_t>(quantile * last)];
  }
};

class LoadPlay {
 public:
  LoadPlay(const Pool& pool, const Cause& cause, bool in_order_of_arrival,
           unsigned seed)
      : pool_(pool),
        cause_(cause),
        in_order_of_arrival_(in_order_of_arrival),
        queue_({.work_per_second = 110'000}),
        random_(seed) {}

  Tally Run() {
    MakeCalls();
    const milliseconds end = CauseEnd() + kAfterCause;
    // Lets the last calls end.
    for (; now_ < end + seconds(16); now_ += milliseconds(1)) {
      while (!ends_.empty() && ends_.top() <= now_) ends_.pop();
      while (next_call_ < calls_.size() && calls_[next_call_].arrived <= now_) {
        Start(next_call_++, now_);
      }
      while (!retries_.empty() && retries_.begin()->first <= now_) {
        const std::size_t call = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Start(call, now_);
      }
      if (in_order_of_arrival_) {
        StepInOrder();
      } else {
        StepQueue();
      }
    }
    for (const Call& call : calls_) {
      const CallKind& kind = kCallKinds[call.kind];
      tally_.full_worth[call.kind] += kind.worth;
      if (call.account != kBusyAccount) tally_.others_full_worth += kind.worth;
    }
    while (tally_.chat_latencies.size() < chat_calls_) {
      tally_.chat_latencies.push_back(milliseconds::max());
    }
    return tally_;
  }
  milliseconds CauseEnd() const { return kCauseStart + cause_.duration; }

 private:
  struct Attempt {
    std::size_t call;
    milliseconds started;
  };

  bool IsOn(milliseconds time) const {
    return time >= kCauseStart && time < CauseEnd();
  }
  std::size_t Room() const {
    const int lost =
        static_cast<int>(std::ceil(pool_.servers * cause_.servers_lost));
    const int servers = pool_.servers - (IsOn(now_) ? lost : 0);
    const int room = servers - static_cast<int>(ends_.size());
    return static_cast<std::size_t>(std::max(room, 0));
  }
  void MakeCalls() {
    std::uniform_real_distribution<double> point;
    for (std::uint64_t account = 0; account < kAccounts; ++account) {
      // A few accounts are large: shares as 1, 1/2, 1/3 and so on.
      const double share = 1 / (static_cast<double>(account) + 1) / 3.3807;
      for (std::size_t kind = 0; kind < kCallKinds.size(); ++kind) {
        for (milliseconds time{0}; time < CauseEnd() + kAfterCause;
             time += milliseconds(1)) {
          double per_ms =
              kCallKinds[kind].per_second * pool_.rate_factor * share / 1000;
          if (IsOn(time) && kind == kLong) per_ms *= cause_.long_factor;
          if (IsOn(time) && account == kBusyAccount) {
            per_ms *= cause_.account_factor;
          }
          if (point(random_) < per_ms) calls_.push_back({kind, account, time});
        }
      }
    }
    std::ranges::sort(calls_, {}, &Call::arrived);
    chat_calls_ = static_cast<std::size_t>(
        std::ranges::count(calls_, kChat, &Call::kind));
  }
  milliseconds DeadlineOf(const Call& call) const {
    return call.arrived + kCallKinds[call.kind].deadline;
  }
  void Start(std::size_t index, milliseconds now) {
    ++tally_.attempts;
    const Call& call = calls_[index];
    if (in_order_of_arrival_) {
      line_.push_back(index);
      return;
    }
    const CallKind& kind = kCallKinds[call.kind];
    const std::uint64_t id = attempts_.size();
    attempts_.push_back({index, now});
    const TimePoint origin = At(0);
    const auto result = queue_.Offer({.id = id,
                                      .urgency = kind.urgency,
                                      .account = call.account,
                                      .kind = call.kind,
                                      .arrived = origin + now,
                                      .goal = origin + call.arrived + kind.goal,
                                      .deadline = origin + DeadlineOf(call),
                                      .work = kind.tokens,
                                      .bytes = 1000},
                                     Room(), origin + now);
    for (const auto& refusal : result.displaced) Refused(refusal);
    if (IsAdmitted(result)) Serve(index);
    if (const auto* refuse = RefusalIn(result)) {
      Refused({id, refuse->retry_after});
    }
  }
  void StepQueue() {
    const auto result = queue_.Next(Room(), At(0) + now_);
    for (const std::uint64_t id : result.admitted) Serve(attempts_[id].call);
    for (const auto& refusal : result.refused) Refused(refusal);
  }
  void StepInOrder() {
    while (!line_.empty()) {
      const Call& call = calls_[line_.front()];
      if (DeadlineOf(call) <= now_) {
        ++tally_.ended_at_deadline;
        Missed(call);
      } else if (Room() > 0) {
        Serve(line_.front());
      } else {
        return;
      }
      line_.pop_front();
    }
  }
  void Serve(std::size_t index) {
    const Call& call = calls_[index];
    const CallKind& kind = kCallKinds[call.kind];
    const milliseconds end = now_ + kind.service;
    // The caller leaves at its deadline, and the server ends the work.
    ends_.push(std::min(end, DeadlineOf(call)));
    const milliseconds latency = now_ + kind.prefill - call.arrived;
    if (end > DeadlineOf(call)) {
      ++tally_.ended_at_deadline;
      Missed(call);
      return;
    }
    if (latency > kind.goal) Missed(call);
    const double worth = latency <= kind.goal ? kind.worth : kind.late_worth;
    tally_.worth[call.kind] += worth;
    if (call.account != kBusyAccount) tally_.others_worth += worth;
    if (call.kind == kChat) tally_.chat_latencies.push_back(latency);
  }
  void Refused(const AdmissionQueue::Refusal& refusal) {
    const Attempt& attempt = attempts_[refusal.id];
    const Call& call = calls_[attempt.call];
    const milliseconds deadline = DeadlineOf(call);
    ++tally_.refused;
    if (attempt.started < now_ &&
        10 * (deadline - now_) < deadline - attempt.started) {
      ++tally_.ended_at_deadline;
    }
    const auto retry_after =
        std::chrono::ceil<milliseconds>(refusal.retry_after);
    if (now_ + retry_after + kCallKinds[call.kind].service <= deadline) {
      retries_.emplace(now_ + retry_after, attempt.call);
    } else {
      Missed(call);
    }
  }
  void Missed(const Call& call) {
    tally_.last_miss = std::max(tally_.last_miss, call.arrived);
  }

  Pool pool_;
  Cause cause_;
  bool in_order_of_arrival_;
  AdmissionQueue queue_;
  std::mt19937 random_;
  std::vector<Call> calls_;
  std::size_t chat_calls_ = 0;
  std::size_t next_call_ = 0;
  std::vector<Attempt> attempts_;
  std::deque<std::size_t> line_;
  std::multimap<milliseconds, std::size_t> retries_;
  std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>>
      ends_;
  milliseconds now_{0};
  Tally tally_;
};

void Print(const char* name, Tally& tally, milliseconds cause_end) {
  std::cout << name << ": chat " << tally.Share(kChat) << ", long "
            << tally.Share(kLong) << ", other accounts " << tally.OthersShare()
            << " of the worth; chat median " << tally.ChatLatency(0.5).count()
            << " ms, 99th " << tally.ChatLatency(0.99).count()
            << " ms; recovered after " << (tally.last_miss - cause_end).count()
            << " ms; " << tally.attempts << " attempts, refused "
            << tally.refused << ", at the deadline " << tally.AtDeadline()
            << "\n";
}

class AdmissionPlay : public testing::TestWithParam<unsigned> {
 protected:
  void Play(const Pool& pool, const Cause& cause, unsigned seed) {
    LoadPlay play(pool, cause, /*in_order_of_arrival=*/false, seed);
    queued_ = play.Run();
    in_order_ = LoadPlay(pool, cause, true, seed).Run();
    Print("queue", queued_, play.CauseEnd());
    Print("in order", in_order_, play.CauseEnd());
    // The bounds that the working page states.
    EXPECT_LE(queued_.last_miss, play.CauseEnd() + seconds(2));
    EXPECT_LT(queued_.AtDeadline(), 0.02);
    // The goal of the urgent kind.
    const milliseconds goal = kCallKinds[kChat].goal;
    EXPECT_LE(queued_.ChatLatency(0.5), in_order_.ChatLatency(0.5));
    EXPECT_LE(queued_.ChatLatency(0.99), goal);
    EXPECT_GE(queued_.Share(kChat), in_order_.Share(kChat));
    EXPECT_GE(queued_.worth[kChat] + queued_.worth[kLong],
              in_order_.worth[kChat] + in_order_.worth[kLong]);
    EXPECT_GE(queued_.OthersShare(), in_order_.OthersShare());
  }

  Tally queued_;
  Tally in_order_;
};

constexpr Cause kBurst{.duration = seconds(6), .long_factor = 2.4};
constexpr Cause kOutage{.duration = seconds(14), .servers_lost = 0.25};
constexpr Cause kBusyCause{.duration = seconds(14), .account_factor = 6};

// Guards against long prompts that hold up chat, and against an overload that
// outlasts its cause.
TEST_P(AdmissionPlay, ABurstOfTheLessUrgentKind) {
  Play(kWholePool, kBurst, GetParam());
}
// Guards against the same where the capacity is cut.
TEST_P(AdmissionPlay, AQuarterOfTheServersIsLost) {
  Play(kWholePool, kOutage, GetParam());
}
// Guards against an account that takes the capacity of the others.
TEST_P(AdmissionPlay, OneAccountHasSixTimesItsLoad) {
  Play(kWholePool, kBusyCause, GetParam());
}
INSTANTIATE_TEST_SUITE_P(Seeds, AdmissionPlay, testing::Values(1, 2, 3, 4, 5));

// The same in a small pool, whose load varies more. In a sweep of seeds 6 to
// 45, seeds 11, 13, 14 and 24 were among those that missed a bound by calls
// which meet their goal without the cause. KNOWN-RED.txt lists them.
class AdmissionSmallPool : public AdmissionPlay {};

TEST_P(AdmissionSmallPool, ABurstOfTheLessUrgentKind) {
  Play(kSmallPool, kBurst, GetParam());
}
TEST_P(AdmissionSmallPool, AQuarterOfTheServersIsLost) {
  Play(kSmallPool, kOutage, GetParam());
}
TEST_P(AdmissionSmallPool, OneAccountHasSixTimesItsLoad) {
  Play(kSmallPool, kBusyCause, GetParam());
}
INSTANTIATE_TEST_SUITE_P(Seeds, AdmissionSmallPool,
                         testing::Values(1, 2, 3, 11, 13, 14, 24));

}  // namespace
}  // namespace beryllane
