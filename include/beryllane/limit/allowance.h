/// @file
/// The allowance of a client account, which all hosts keep together: the ledger
/// at one host, and the leases that the other hosts take from it.
#ifndef BERYLLANE_LIMIT_ALLOWANCE_H_
#define BERYLLANE_LIMIT_ALLOWANCE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "beryllane/clock/boot_clock.h"

namespace beryllane {

/// What an account may use, in units: requests, or tokens of requests.
struct AllowanceLimit {
  double per_second = 0;
  /// Units that may be used at once after a time without use.
  double burst = 0;

  bool operator==(const AllowanceLimit&) const = default;
};

/// Hosts that take part in the division of an allowance.
struct AllowanceMembers {
  /// Hosts that this host has heard lately, itself included.
  int heard = 1;
  /// Hosts that may be running, whether heard or not.
  int known = 1;

  /// Share of an allowance that hosts which hear each other may use. Groups of
  /// hosts that cannot hear each other thus never exceed it together. @pre
  /// none. Thread-safe.
  double Share() const;
};

/// A host's request for units of an account.
struct LeaseRequest {
  /// Units without which the host cannot admit its next request.
  double needed = 0;
  /// Units that the host will probably use while a lease lasts; at least
  /// `needed`.
  double wanted = 0;
};

/// The ledger's answer.
struct LeaseGrant {
  double units = 0;
  /// If `units` is zero: the time after which a request of `needed` units may
  /// succeed.
  std::chrono::nanoseconds retry_after{0};
};

/// The ledger of one account: a token bucket from which hosts lease units. A
/// unit is taken off when it is granted, so a lost answer wastes units but
/// never adds any. Not thread-safe.
class AllowanceLedger {
 public:
  /// A lease may be used for this long after the borrower asked for it. Bounds
  /// the time between a grant and the use of its units.
  static constexpr std::chrono::milliseconds kLeaseLifetime{1000};

  /// Sets the limit. A lower one applies at once; units that were granted
  /// before stay granted. @pre none.
  void SetLimit(const AllowanceLimit& limit) { limit_ = limit; }
  /// The host becomes the ledger's owner. The previous owner may have granted
  /// all units, so the ledger starts with no more than `units`, which may be
  /// used in excess of the limit. @pre `SetLimit` may follow.
  void Start(double units, BootClock::time_point now);
  /// Grants units to a host. @pre `Start` was called; `now` is not before that
  /// of an earlier call.
  LeaseGrant Grant(std::uint64_t host, const LeaseRequest& request,
                   const AllowanceMembers& members, BootClock::time_point now);
  /// Units that may be granted now. @pre as for `Grant`.
  double Available(const AllowanceMembers& members, BootClock::time_point now);

 private:
  struct Borrower {
    std::uint64_t host = 0;
    double wanted = 0;
    BootClock::time_point asked_at;
  };

  // Adds what has accrued.
  void Refill(const AllowanceMembers& members, BootClock::time_point now);
  // Records a request and returns what all borrowers of the last lease lifetime
  // want together.
  double RecordDemand(std::uint64_t host, double wanted,
                      BootClock::time_point now);

  AllowanceLimit limit_;
  double units_ = 0;
  // Units of the last request that was refused. The bucket holds that many even
  // where the share of the burst is smaller, so that the request passes later.
  double saving_for_ = 0;
  BootClock::time_point refilled_at_;
  // Latest request of each host, the oldest first.
  std::deque<Borrower> borrowers_;
};

/// One host's account: the units that it has leased. Not thread-safe.
class AllowanceAccount {
 public:
  /// Takes `cost` units; returns the time until which they may be given back,
  /// which is the earliest end of the leases that they come from. `nullopt` if
  /// there are not enough. @pre none.
  std::optional<BootClock::time_point> TryCharge(double cost,
                                                 BootClock::time_point now);
  /// Gives back the units of a request that did not run; returns whether they
  /// were taken back. Units of a lease that has ended are not: they would move
  /// into a window to which they do not belong. @pre called at most once for a
  /// charge, with the time that `TryCharge` returned.
  bool Refund(double cost, BootClock::time_point expires_at,
              BootClock::time_point now);
  /// Adds the units of a lease that was requested at `asked_at`. @pre none.
  void AddLease(double units, BootClock::time_point asked_at);
  /// Units that can be charged now. @pre none.
  double Available(BootClock::time_point now);
  /// Counts units that a request asks for, whether admitted or not. @pre none.
  void CountDemand(double cost, BootClock::time_point now);
  /// Units that the host will probably use within a lease's lifetime. @pre
  /// none.
  double ExpectedUse(BootClock::time_point now) const;

 private:
  struct Lease {
    double units = 0;
    BootClock::time_point expires_at;
  };

  void Insert(const Lease& lease);

  // By expiry, the earliest first.
  std::deque<Lease> leases_;
  // Units a second, an average that forgets exponentially.
  double demand_ = 0;
  BootClock::time_point demand_at_;
};

/// What a host may use of an allowance while no ledger answers: a bucket that
/// holds its equal part of the tolerated overuse, so that the fallbacks of all
/// hosts stay within the tolerance. Not thread-safe.
class AllowanceFallback {
 public:
  /// Takes `cost` units; false if there are not enough. `overage` is the
  /// tolerated overuse as a share of the limit. @pre `overage` >= 0; `now` is
  /// not before that of an earlier call.
  bool TryCharge(double cost, const AllowanceLimit& limit, double overage,
                 const AllowanceMembers& members, BootClock::time_point now);

 private:
  double units_ = 0;
  std::optional<BootClock::time_point> refilled_at_;
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_ALLOWANCE_H_
