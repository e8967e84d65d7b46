/// @file
/// The requests that wait in one router for a free target, and the decision
/// which of them is admitted next, waits on or is refused.
#ifndef BERYLLANE_ADMISSION_ADMISSION_QUEUE_H_
#define BERYLLANE_ADMISSION_ADMISSION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// What the queue needs to know about a request.
struct WaitingRequest {
  /// Unique among the requests that wait. Also spreads `retry_after`.
  std::uint64_t id = 0;
  /// 0 is the most urgent.
  int urgency = 0;
  std::uint64_t account = 0;
  /// The request's kind (route).
  std::uint64_t kind = 0;
  RuntimeClock::time_point arrived;
  /// An answer after this time is late and of less value.
  RuntimeClock::time_point goal = RuntimeClock::time_point::max();
  /// An answer after this time is of no value.
  RuntimeClock::time_point deadline = RuntimeClock::time_point::max();
  /// Tokens.
  double work = 0;
  /// Memory that the request occupies while it waits.
  std::size_t bytes = 0;
};

/// Bounds of a queue and figures for its predictions.
struct AdmissionQueueOptions {
  std::size_t max_requests = 2000;
  std::size_t max_bytes = std::size_t{8} << 20;
  /// Least share of each waiting kind in the admissions made while other
  /// requests wait. 0 guarantees none.
  double floor_share = 1.0 / 8;
  /// Least time from admission to the answer of any request.
  std::chrono::nanoseconds shortest_service = std::chrono::milliseconds(1);
  /// Highest rate at which a target processes a request's work, in tokens per
  /// second; 0 if unknown, in which case only `shortest_service` counts.
  double work_per_second = 0;
};

/// The requests that wait in one router for the targets of one service. It
/// decides only; the caller sends the requests and the answers. Not
/// thread-safe. No call's `now` is before that of an earlier call.
///
/// Order of admission: by urgency; among requests of one urgency, those of the
/// account with the fewest admissions of this urgency in the last second;
/// within these, requests that can still meet their goal, earliest goal first,
/// and then the others, earliest deadline first. A kind that waits is admitted
/// out of this order where its floor share would be missed otherwise.
///
/// A request is refused when its predicted wait and its least service time
/// exceed the time to its deadline. The wait is the number of requests before
/// it divided by the recent admission rate. For a request that can't meet its
/// goal it is no less than the number of such requests before it divided by
/// their own recent admission rate, because later arrivals overtake them.
class AdmissionQueue {
 public:
  using TimePoint = RuntimeClock::time_point;

  /// Period over which the admissions of accounts are compared.
  static constexpr std::chrono::seconds kAccountWindow{1};
  /// Time constant with which the admission rate forgets.
  static constexpr std::chrono::seconds kRateTimeConstant{2};
  /// Interval at which the waits of all waiting requests are predicted again.
  /// It takes O(n log n), which hosts with a tenth of a core can't do for each
  /// request.
  static constexpr std::chrono::milliseconds kRecheckInterval{250};
  /// A longer time between two calls doesn't count in the admission rate,
  /// because the host was suspended rather than the targets busy.
  static constexpr std::chrono::milliseconds kMaxStep{500};

  /// The request may be sent now.
  struct Admit {};
  /// The request waits until `Next`, a displacement or `Remove` names it.
  struct Wait {};
  /// The request is not run, and its caller may ask again after `retry_after`.
  struct Refuse {
    std::chrono::nanoseconds retry_after{0};
  };
  /// A request that no longer waits, and the answer to its caller.
  struct Refusal {
    std::uint64_t id = 0;
    std::chrono::nanoseconds retry_after{0};
  };
  struct OfferResult {
    std::variant<Admit, Wait, Refuse> decision;
    /// Requests that made room for the offered one.
    std::vector<Refusal> displaced;
  };
  struct NextResult {
    /// Ids of the requests to send now, in order.
    std::vector<std::uint64_t> admitted;
    /// Requests that can't be answered before their deadline.
    std::vector<Refusal> refused;
  };

  /// @pre `options.floor_share` is in [0, 1]; no member is negative.
  explicit AdmissionQueue(const AdmissionQueueOptions& options);

  /// Decides on a request that has just arrived. It is admitted if `room`, the
  /// number of requests that the targets can take now, suffices for it and all
  /// waiting requests. It is refused if its deadline can't be met or the queue
  /// is full of requests that are more urgent or as urgent and older. After
  /// `Wait`, with `room` > 0, `Next` is to be called, so that nothing waits
  /// beside a free target. @pre no waiting request has the same id.
  /// Complexity: linear.
  OfferResult Offer(const WaitingRequest& request, std::size_t room,
                    TimePoint now);

  /// Takes out up to `room` requests in the order of admission, and those whose
  /// deadline can't be met. To be called when the targets have room, and
  /// at least every `kRecheckInterval` while requests wait. @pre none.
  /// Complexity: linear for each request admitted; O(n log n) once in
  /// `kRecheckInterval`.
  NextResult Next(std::size_t room, TimePoint now);

  /// Takes out a request whose caller has left; false if it doesn't wait. @pre
  /// none. Complexity: amortized logarithmic.
  bool Remove(std::uint64_t id, TimePoint now);

  /// Predicted time until all waiting requests at least as urgent as `urgency`
  /// have been admitted: their number divided by the recent admission rate.
  /// @pre none. Complexity: linear in the number of urgencies.
  std::chrono::nanoseconds PredictedWait(int urgency, TimePoint now) const;

  /// Sets `work_per_second` of the options. @pre not negative.
  void set_work_per_second(double rate) { options_.work_per_second = rate; }
  /// Number of waiting requests. @pre none.
  std::size_t size() const { return entries_.size(); }
  /// Memory that the waiting requests occupy. @pre none.
  std::size_t bytes() const { return bytes_; }

 private:
  // An account's requests of one urgency.
  struct Account {
    std::int64_t waiting = 0;
    // Admissions within `kAccountWindow`.
    std::int64_t recent = 0;
  };
  using AccountKey = std::pair<int, std::uint64_t>;
  using Accounts = std::map<AccountKey, Account>;
  struct Kind {
    std::size_t waiting = 0;
    // Admissions of other kinds since the last one of this kind.
    std::size_t skipped = 0;
  };
  struct Entry {
    WaitingRequest request;
    // Order of the offers.
    std::uint64_t sequence = 0;
    Accounts::iterator account;
  };
  struct Admission {
    TimePoint time;
    Accounts::iterator account;
  };
  // Rank of an entry; lower is earlier. `turn` is the number of admissions that
  // the account will have had.
  struct Rank {
    int urgency;
    std::int64_t turn;
    bool is_late;
    TimePoint due;
    std::uint64_t sequence;

    bool operator<(const Rank& other) const {
      return std::tie(urgency, turn, is_late, due, sequence) <
             std::tie(other.urgency, other.turn, other.is_late, other.due,
                      other.sequence);
    }
  };

  // The requests before one in the order of admission.
  struct Ahead {
    std::size_t all = 0;
    std::size_t kind = 0;
    // Late ones of the same urgency, if the request itself is late.
    std::size_t late = 0;
  };

  std::chrono::nanoseconds LeastService(const WaitingRequest& request) const;
  // Whether the deadline is met if the request is admitted after `wait`.
  bool CanMeetDeadline(const WaitingRequest& request,
                       std::chrono::nanoseconds wait, TimePoint now) const;
  // Whether the goal can no longer be met.
  bool IsLate(const WaitingRequest& request, TimePoint now) const;
  Rank RankOf(const Entry& entry, std::int64_t turn, TimePoint now) const;
  // Time since the last call that counts in the admission rate.
  std::chrono::nanoseconds StepTo(TimePoint now) const;
  // `admissions` per second in which requests waited. Never 0.
  double RateAt(double admissions, TimePoint now) const;
  std::chrono::nanoseconds WaitBehind(double ahead, TimePoint now) const;
  // Takes account of the floor share of the kind, and of the admission rate of
  // late requests, which others that arrive later overtake.
  std::chrono::nanoseconds WaitBehind(const Ahead& ahead, int urgency,
                                      TimePoint now) const;
  std::chrono::nanoseconds PredictWaitOf(const Entry& entry,
                                         TimePoint now) const;
  std::chrono::nanoseconds RetryAfter(const WaitingRequest& request,
                                      TimePoint now) const;
  Refusal RefusalOf(const WaitingRequest& request, TimePoint now) const;

  void Advance(TimePoint now);
  Accounts::iterator FindAccount(const WaitingRequest& request);
  void EraseIfIdle(Accounts::iterator account);
  void Add(const Entry& entry);
  Entry TakeOut(std::size_t index);
  void CountAdmission(const Entry& entry, TimePoint now);
  // Displaces what ranks behind `request` until it fits; false and no change if
  // it can't.
  bool MakeRoom(const WaitingRequest& request, TimePoint now,
                std::vector<Refusal>* displaced);
  // The kind that must be admitted now so that all kinds get their floor
  // share; `kinds_.end()` if any may.
  std::map<std::uint64_t, Kind>::const_iterator KindInNeed() const;
  // Index of the entry to admit. @pre `size() > 0`.
  std::size_t Best(TimePoint now) const;
  void RefuseExpired(TimePoint now, std::vector<Refusal>* refused);
  void Recheck(TimePoint now, std::vector<Refusal>* refused);

  AdmissionQueueOptions options_;
  // Admissions within which each waiting kind gets one; 0 if none is
  // guaranteed.
  std::size_t floor_period_ = 0;
  // In no order; few enough to be scanned.
  std::vector<Entry> entries_;
  std::unordered_map<std::uint64_t, std::size_t> index_of_;
  std::size_t bytes_ = 0;
  Accounts accounts_;
  std::map<std::uint64_t, Kind> kinds_;
  std::map<int, std::size_t> waiting_of_urgency_;
  // Those within `kAccountWindow`, oldest first.
  std::deque<Admission> admissions_;
  std::uint64_t next_sequence_ = 0;
  // Admissions while requests waited, and the seconds in which they did, both
  // decayed. The rate at other times is that of the arrivals and says nothing
  // about the targets.
  double busy_admissions_ = 0;
  double busy_seconds_ = 0;
  // The same admissions of late requests, by urgency.
  std::map<int, double> late_admissions_;
  TimePoint advanced_at_;
  TimePoint rechecked_at_;
};

}  // namespace beryllane

#endif  // BERYLLANE_ADMISSION_ADMISSION_QUEUE_H_
