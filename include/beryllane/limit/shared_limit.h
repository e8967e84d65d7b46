/// @file
/// One host's share of a rate limit that several hosts observe together.
#ifndef BERYLLANE_LIMIT_SHARED_LIMIT_H_
#define BERYLLANE_LIMIT_SHARED_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/limit/expiring_sum.h"
#include "beryllane/limit/peer_activity.h"

namespace beryllane {

/// An event rate that forgets exponentially. Not thread-safe.
class DecayingRate {
 public:
  static constexpr std::chrono::seconds kTimeConstant{2};

  /// Counts one event. @pre none.
  void Count(RuntimeClock::time_point now);
  /// Events per second. @pre none.
  double PerSecond(RuntimeClock::time_point now) const;

 private:
  double events_ = 0;
  RuntimeClock::time_point updated_at_;
};

/// The limit that a target has named, in requests per second of all hosts, and
/// this host's share of it. Hosts tell each other their demand; each takes the
/// share that its demand has in the sum, so that the shares add up to the
/// limit. A host whose demand is unknown is assumed to have as much as this
/// one. Not thread-safe.
class SharedLimit {
 public:
  /// A report of another host's demand is valid for this long.
  static constexpr std::chrono::milliseconds kReportLifetime{1500};
  /// A demand below this, in requests per second, is not reported.
  static constexpr double kMinReportedDemand = 0.05;
  /// Used for lower limits, so that an answer tells when they end.
  static constexpr double kMinPerSecond = 0.2;
  /// Requests that an idle host may save up, as time at its share.
  static constexpr std::chrono::milliseconds kBurst{500};
  /// Saved requests that are kept for large ones (trunk reservation): a limit
  /// counts requests, so each should carry as much work as possible.
  static constexpr double kReserve = 1;
  /// Maximum delay of a peer's report. Limits heard from peers within this time
  /// after an answer to this host, or after the limit's end, may be older.
  static constexpr std::chrono::milliseconds kPeerLag{1000};
  /// A limit that no answer to any host has named for this long ends at a host
  /// that sends the target nothing and so gets no answers itself.
  static constexpr std::chrono::milliseconds kUnconfirmedLifetime{10000};

  /// An answer to a request that was sent at `sent_at` named a limit of
  /// `per_second`; `per_second` is negative if it named none. Returns whether
  /// the limit was set, lifted or changed. @pre none.
  bool OnAnswer(double per_second, RuntimeClock::time_point sent_at,
                RuntimeClock::time_point now);
  /// Peer `peer` reported the limit, negative if it is lifted, and its own
  /// demand. `answer_age` is the time since the answer to the peer that named
  /// or lifted the limit; `nullopt` if the peer only heard of it, in which case
  /// the report confirms nothing. @pre none.
  void OnPeerReport(std::uint32_t peer, double per_second, double demand,
                    std::optional<std::chrono::nanoseconds> answer_age,
                    RuntimeClock::time_point now);
  /// Ends a limit that has not been confirmed for `kUnconfirmedLifetime` and
  /// for which this host has no demand; returns whether it did. @pre none.
  bool EndIfUnconfirmed(RuntimeClock::time_point now);

  /// Whether a limit is in force. @pre none.
  bool is_set() const { return per_second_ >= 0; }
  /// The limit in requests per second of all hosts. @pre `is_set()`.
  double per_second() const { return per_second_; }
  /// Time since an answer to this host last named or lifted the limit;
  /// `nullopt` if none did since the limit was set. @pre none.
  std::optional<std::chrono::nanoseconds> AnswerAge(
      RuntimeClock::time_point now) const;
  /// Counts a request for which the target is the best choice. @pre none.
  void CountDemand(RuntimeClock::time_point now) { demand_.Count(now); }
  /// This host's demand in requests per second. @pre none.
  double Demand(RuntimeClock::time_point now) const {
    return demand_.PerSecond(now);
  }
  /// This host's share in requests per second. A peer that has sent a report
  /// since the limit was set, and none that lists the target, has no demand.
  /// @pre `is_set()`.
  double Share(const PeerActivity& peers, RuntimeClock::time_point now);
  /// Whether a request may be sent now; one that is not large has to leave the
  /// reserve. @pre none.
  bool MaySend(const PeerActivity& peers, RuntimeClock::time_point now,
               bool is_large = true);
  /// Counts a request that is sent. @pre none.
  void CountSent() { tokens_ -= is_set() ? 1 : 0; }
  /// Time until a large request may be sent; zero if one may be sent now. @pre
  /// none.
  std::chrono::nanoseconds TimeToSend(const PeerActivity& peers,
                                      RuntimeClock::time_point now);

 private:
  void Set(double per_second, RuntimeClock::time_point named_at,
           RuntimeClock::time_point now);
  void Lift(RuntimeClock::time_point now);
  void Refill(const PeerActivity& peers, RuntimeClock::time_point now);

  // Negative if there is no limit.
  double per_second_ = -1;
  // When the limit came into force.
  RuntimeClock::time_point set_at_;
  // When an answer to any host last named the limit, as far as is known.
  RuntimeClock::time_point named_at_;
  // When an answer to this host last named or lifted it.
  std::optional<RuntimeClock::time_point> answered_at_;
  // Latest answer to this host or end of the limit.
  RuntimeClock::time_point settled_at_;
  DecayingRate demand_;
  ExpiringSum<double> peer_demands_{kReportLifetime};
  double tokens_ = 0;
  RuntimeClock::time_point refilled_at_;
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_SHARED_LIMIT_H_
