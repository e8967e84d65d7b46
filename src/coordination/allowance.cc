#include "beryllane/limit/allowance.h"

#include <algorithm>
#include <cmath>

namespace beryllane {
namespace {

using std::chrono::nanoseconds;

double Seconds(nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

nanoseconds ToNanos(double seconds) {
  // Keeps the conversion within the range of nanoseconds.
  constexpr double kLongest = 3600;
  const std::chrono::duration<double> bounded(std::min(seconds, kLongest));
  return std::chrono::duration_cast<nanoseconds>(bounded);
}

// Time constant of the average of a host's demand.
constexpr double kDemandSeconds = 1;

}  // namespace

double AllowanceMembers::Share() const {
  const int all = std::max({known, heard, 1});
  return static_cast<double>(std::max(heard, 1)) / all;
}

void AllowanceLedger::Start(double units, BootClock::time_point now) {
  units_ = units;
  refilled_at_ = now;
  borrowers_.clear();
}

void AllowanceLedger::Refill(const AllowanceMembers& members,
                             BootClock::time_point now) {
  const double share = members.Share();
  const double added = share * limit_.per_second * Seconds(now - refilled_at_);
  units_ =
      std::min(units_ + added, std::max(share * limit_.burst, saving_for_));
  refilled_at_ = now;
}

double AllowanceLedger::RecordDemand(std::uint64_t host, double wanted,
                                     BootClock::time_point now) {
  std::erase_if(borrowers_, [&](const Borrower& borrower) {
    return borrower.host == host || now - borrower.asked_at >= kLeaseLifetime;
  });
  borrowers_.push_back({host, wanted, now});
  double sum = 0;
  for (const Borrower& borrower : borrowers_) sum += borrower.wanted;
  return sum;
}

double AllowanceLedger::Available(const AllowanceMembers& members,
                                  BootClock::time_point now) {
  Refill(members, now);
  return units_;
}

LeaseGrant AllowanceLedger::Grant(std::uint64_t host,
                                  const LeaseRequest& request,
                                  const AllowanceMembers& members,
                                  BootClock::time_point now) {
  // A request that is larger than the burst passes once the bucket is full;
  // otherwise its account could never send it. The bucket then goes below
  // zero.
  const double least = std::min(request.needed, limit_.burst);
  saving_for_ = least;
  Refill(members, now);
  const double wanted = std::max(request.needed, request.wanted);
  const double demand = RecordDemand(host, wanted, now);
  const double rate = limit_.per_second * members.Share();
  LeaseGrant grant;
  if (units_ < least || rate <= 0) {
    grant.retry_after = rate <= 0 ? ToNanos(Seconds(kLeaseLifetime))
                                  : ToNanos((least - units_) / rate);
    return grant;
  }
  // Where the hosts want more than there is, each gets its part of what there
  // is, and at least its next request.
  const double fair = demand > units_ ? units_ * wanted / demand : wanted;
  grant.units = std::max(request.needed, std::min(wanted, fair));
  units_ -= grant.units;
  saving_for_ = 0;
  return grant;
}

std::optional<BootClock::time_point> AllowanceAccount::TryCharge(
    double cost, BootClock::time_point now) {
  if (Available(now) < cost) return std::nullopt;
  const auto expires_at = leases_.empty() ? now : leases_.front().expires_at;
  while (cost > 0 && !leases_.empty()) {
    Lease& first = leases_.front();
    const double taken = std::min(cost, first.units);
    first.units -= taken;
    cost -= taken;
    if (first.units <= 0) leases_.pop_front();
  }
  return expires_at;
}

bool AllowanceAccount::Refund(double cost, BootClock::time_point expires_at,
                              BootClock::time_point now) {
  if (now >= expires_at) return false;
  Insert({cost, expires_at});
  return true;
}

void AllowanceAccount::AddLease(double units, BootClock::time_point asked_at) {
  Insert({units, asked_at + AllowanceLedger::kLeaseLifetime});
}

void AllowanceAccount::Insert(const Lease& lease) {
  const auto later = std::upper_bound(leases_.begin(), leases_.end(), lease,
                                      [](const Lease& a, const Lease& b) {
                                        return a.expires_at < b.expires_at;
                                      });
  leases_.insert(later, lease);
}

double AllowanceAccount::Available(BootClock::time_point now) {
  std::erase_if(leases_,
                [now](const Lease& lease) { return lease.expires_at <= now; });
  double sum = 0;
  for (const Lease& lease : leases_) sum += lease.units;
  return sum;
}

void AllowanceAccount::CountDemand(double cost, BootClock::time_point now) {
  const double age = Seconds(now - demand_at_) / kDemandSeconds;
  demand_ = demand_ * std::exp(-age) + cost / kDemandSeconds;
  demand_at_ = now;
}

double AllowanceAccount::ExpectedUse(BootClock::time_point now) const {
  const double age = Seconds(now - demand_at_) / kDemandSeconds;
  return demand_ * std::exp(-age) * Seconds(AllowanceLedger::kLeaseLifetime);
}

bool AllowanceFallback::TryCharge(double cost, const AllowanceLimit& limit,
                                  double overage,
                                  const AllowanceMembers& members,
                                  BootClock::time_point now) {
  const int hosts = std::max({members.known, members.heard, 1});
  const double share = overage / hosts;
  const double age = refilled_at_ ? Seconds(now - *refilled_at_) : 0;
  units_ =
      std::min(units_ + share * limit.per_second * age, share * limit.burst);
  refilled_at_ = now;
  if (units_ < cost) return false;
  units_ -= cost;
  return true;
}

}  // namespace beryllane
