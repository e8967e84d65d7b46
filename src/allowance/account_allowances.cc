#include "src/allowance/account_allowances.h"

#include <algorithm>
#include <utility>

#include "beryllane/hash/hash.h"
#include "fmt/format.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::allowance {
namespace {

using net::asio::awaitable;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using telemetry::Level;

// Several round trips between regions.
constexpr milliseconds kReplyTimeout{300};
// Time before the owner is determined anew after it gave no usable reply.
constexpr milliseconds kOwnerRetryDelay{50};
// An account that has used up its allowance asks its owner at most this often
// from each router.
constexpr milliseconds kMinExhaustedTime{100};
// A router that becomes owner of a ledger starts it with this share of the
// tolerated units, so that an account far below its limit is not refused. In
// one window the owner changes a few times at most.
constexpr double kInitialShare = 0.25;
// The next lease is requested when the units fall below this share of those
// that will probably be used during a lease.
constexpr double kLowShare = 0.25;
constexpr milliseconds kOwnershipCheckInterval{200};
// A longer time without a check means that the process did not run.
constexpr milliseconds kMaxCheckGap{1000};
// Accounts with counters of their own.
constexpr std::size_t kMaxAccountMetrics = 32;
constexpr const char* kOtherAccounts = "other";

const fleet::Account* FindAccount(const fleet::FleetConfig* config,
                                  const std::string& name) {
  if (config == nullptr) return nullptr;
  const auto found =
      std::find_if(config->accounts.begin(), config->accounts.end(),
                   [&](const auto& account) { return account.name == name; });
  return found == config->accounts.end() ? nullptr : &*found;
}

}  // namespace

double CostOf(const fleet::Allowance& allowance,
              const platform::CallerRequest& request) {
  if (allowance.unit == fleet::AllowanceUnit::kRequests) return 1;
  if (!request.has_token_counts) return allowance.default_tokens;
  return static_cast<double>(request.prompt_tokens) +
         static_cast<double>(request.max_output_tokens);
}

AccountAllowances::AccountAllowances(net::asio::io_context& loop,
                                     wire::PeerClient& peer_client,
                                     fleet::Peers& peers,
                                     const fleet::Fleet& fleet,
                                     const std::string& host_id,
                                     MetricRegistry& metrics)
    : loop_(loop),
      peer_client_(peer_client),
      peers_(peers),
      fleet_(fleet),
      host_hash_(HashBytes(host_id).low),
      metrics_(metrics),
      asked_(metrics.GetCounter("beryllane_allowance_leases_requested_total",
                                "Requests to owners of ledgers")),
      owner_failures_(
          metrics.GetCounter("beryllane_allowance_owner_failures_total",
                             "Requests that no owner of a ledger answered")),
      fallbacks_(metrics.GetCounter(
          "beryllane_allowance_fallback_admissions_total",
          "Requests admitted while no owner of their ledger answered")),
      reply_time_(metrics.GetHistogram("beryllane_allowance_reply_seconds",
                                       "Time to the reply of an owner")) {}

AccountAllowances::Borrowing& AccountAllowances::BorrowingOf(
    const std::string& account) {
  auto& borrowing = borrowings_[account];
  if (!borrowing) borrowing = std::make_unique<Borrowing>(loop_);
  return *borrowing;
}

AccountAllowances::AccountMetrics& AccountAllowances::MetricsOf(
    const std::string& account) {
  const bool is_counted = account_metrics_.contains(account) ||
                          account_metrics_.size() < kMaxAccountMetrics;
  const std::string label = is_counted ? account : kOtherAccounts;
  const auto known = account_metrics_.find(label);
  if (known != account_metrics_.end()) return known->second;
  const MetricRegistry::Labels labels{{"account", label}};
  AccountMetrics counters{
      metrics_.GetCounter("beryllane_allowance_admitted_total",
                          "Requests charged to an allowance", labels),
      metrics_.GetCounter("beryllane_allowance_refused_total",
                          "Requests refused because of an allowance", labels)};
  return account_metrics_.emplace(label, counters).first->second;
}

awaitable<Result<Charge>> AccountAllowances::Acquire(
    const fleet::Account& account, double cost,
    RuntimeClock::time_point give_up_at) {
  Borrowing& borrowing = BorrowingOf(account.name);
  borrowing.account.CountDemand(cost, BootClock::now());
  // Ends the request's part in the units that are waited for, also if the
  // caller's coroutine is destroyed.
  bool is_waiting = false;
  const std::shared_ptr<void> waiting(nullptr, [&](void*) {
    if (is_waiting) borrowing.waiting_units -= cost;
  });
  for (;;) {
    const auto now = BootClock::now();
    if (const auto expires_at = borrowing.account.TryCharge(cost, now)) {
      const double expected = borrowing.account.ExpectedUse(now);
      const bool is_low =
          borrowing.account.Available(now) < kLowShare * expected;
      // Rare requests ask for what they need when they come.
      constexpr double kMinRequestsAhead = 2;
      const bool is_frequent = expected >= kMinRequestsAhead * cost;
      const bool may_ask = now >= borrowing.exhausted_until;
      if (is_low && is_frequent && may_ask) StartAsking(account, 0);
      MetricsOf(account.name).admitted.Add();
      Charge charge{account.name, cost, now, *expires_at};
      co_return charge;
    }
    if (IsExhausted(borrowing, cost)) {
      co_return Exhausted(account, cost, borrowing);
    }
    // Without the list of routers, the part of this one is not known.
    if (borrowing.has_owner_failed && peers_.is_registered()) {
      const bool is_admitted = borrowing.fallback.TryCharge(
          cost, account.allowance->limit, tolerance_.overage, peers_.Members(),
          now);
      if (is_admitted) {
        fallbacks_.Add();
        MetricsOf(account.name).admitted.Add();
        Charge charge{account.name, cost, now, now};
        co_return charge;
      }
    }
    if (RuntimeClock::now() >= give_up_at) {
      MetricsOf(account.name).refused.Add();
      co_return Error{ErrorId::kNotReady,
                      fmt::format("the router that keeps the allowance of {} "
                                  "does not answer",
                                  account.name),
                      Verdict::kNotRun};
    }
    if (!is_waiting) {
      is_waiting = true;
      borrowing.waiting_units += cost;
    }
    StartAsking(account, cost);
    // A ledger of this router may have answered before the call returned.
    if (!borrowing.is_asking) continue;
    co_await borrowing.answered.async_wait(net::kAsTuple);
  }
}

bool AccountAllowances::IsExhausted(const Borrowing& borrowing, double cost) {
  return BootClock::now() < borrowing.exhausted_until &&
         cost >= borrowing.exhausted_cost;
}

void AccountAllowances::StartAsking(const fleet::Account& account,
                                    double needed) {
  Borrowing& borrowing = BorrowingOf(account.name);
  if (std::exchange(borrowing.is_asking, true)) return;
  LeaseCall call;
  call.account = account.name;
  call.borrower = host_hash_;
  call.request.needed = needed;
  call.request.wanted =
      std::max({needed, borrowing.waiting_units,
                borrowing.account.ExpectedUse(BootClock::now())});
  call.limit = account.allowance->limit;
  const auto config = fleet_.config();
  call.config_version = config ? config->version : 0;
  net::Spawn(loop_.get_executor(), "allowance",
             Ask(std::move(call), borrowing));
}

awaitable<void> AccountAllowances::Ask(LeaseCall call, Borrowing& borrowing) {
  const auto asked_at = BootClock::now();
  std::optional<LeaseReply> reply;
  try {
    reply = co_await CallOwner(call);
  } catch (const std::exception& error) {
    net::ReportTaskFailure("allowance", error.what());
  }
  const bool is_usable = reply && reply->kind != LeaseReply::Kind::kNotOwner;
  if (is_usable) {
    reply_time_.Record(BootClock::now() - asked_at);
  } else {
    owner_failures_.Add();
    co_await net::Sleep(kOwnerRetryDelay);
  }
  Apply(reply, call, asked_at, borrowing);
}

awaitable<std::optional<LeaseReply>> AccountAllowances::CallOwner(
    LeaseCall call) {
  // Without the list of routers, this one cannot tell what others grant.
  if (!peers_.is_registered()) co_return std::nullopt;
  const auto owner = peers_.OwnerOf(HashBytes(call.account));
  if (!owner) co_return Grant(call);
  asked_.Add();
  auto answer = co_await peer_client_.Call(*owner, Encode(call), kReplyTimeout);
  if (!answer.ok()) co_return std::nullopt;
  co_return DecodeLeaseReply(answer.value());
}

void AccountAllowances::Apply(const std::optional<LeaseReply>& reply,
                              const LeaseCall& call,
                              BootClock::time_point asked_at,
                              Borrowing& borrowing) {
  const auto now = BootClock::now();
  const auto kind = reply ? reply->kind : LeaseReply::Kind::kNotOwner;
  borrowing.has_owner_failed = kind == LeaseReply::Kind::kNotOwner;
  if (kind == LeaseReply::Kind::kGranted) {
    borrowing.account.AddLease(reply->grant.units, asked_at);
  } else if (kind == LeaseReply::Kind::kExhausted && call.request.needed > 0) {
    borrowing.exhausted_at = now;
    borrowing.retry_after = reply->grant.retry_after;
    borrowing.exhausted_cost = call.request.needed;
    borrowing.exhausted_until =
        now + std::max<nanoseconds>(
                  kMinExhaustedTime,
                  std::min<nanoseconds>(borrowing.retry_after,
                                        AllowanceLedger::kLeaseLifetime));
  }
  borrowing.is_asking = false;
  borrowing.answered.cancel();
}

Error AccountAllowances::Exhausted(const fleet::Account& account, double cost,
                                   const Borrowing& borrowing) {
  MetricsOf(account.name).refused.Add();
  const AllowanceLimit& limit = account.allowance->limit;
  const auto left =
      duration_cast<milliseconds>(borrowing.exhausted_until - BootClock::now());
  return {ErrorId::kRateLimited,
          fmt::format("account {} has used up its allowance of {:.0f} a "
                      "second with a burst of {:.0f}; the request takes "
                      "{:.0f}; the ledger is asked again in {} ms",
                      account.name, limit.per_second, limit.burst, cost,
                      left.count()),
          Verdict::kNotRun};
}

void AccountAllowances::Refund(const Charge& charge) {
  BorrowingOf(charge.account)
      .account.Refund(charge.cost, charge.expires_at, BootClock::now());
}

nanoseconds AccountAllowances::TimeToUnits(const std::string& account) const {
  const auto known = borrowings_.find(account);
  if (known == borrowings_.end()) return nanoseconds(0);
  const auto left = known->second->exhausted_at + known->second->retry_after -
                    BootClock::now();
  return std::max(nanoseconds(0), left);
}

std::optional<std::string> AccountAllowances::Serve(
    const std::string& message) {
  const auto call = DecodeLeaseCall(message);
  if (!call) return std::nullopt;
  // A router that has not heard of the others would grant what they grant.
  const bool is_owner =
      peers_.is_registered() && !peers_.OwnerOf(HashBytes(call->account));
  return Encode(is_owner ? Grant(*call) : LeaseReply{});
}

LeaseReply AccountAllowances::Grant(const LeaseCall& call) {
  const auto now = BootClock::now();
  DropLedgersAfterSuspension(now);
  const auto config = fleet_.config();
  const auto [found, is_new] = ledgers_.try_emplace(call.account);
  OwnedLedger& owned = found->second;
  if (is_new) {
    owned.ledger.Start(
        kInitialShare * tolerance_.slack * peers_.Members().Share(), now);
    telemetry::Log(Level::kInfo, telemetry::event::kAllowanceLedger,
                   {{"account", call.account},
                    {"owned", true},
                    {"heard", peers_.Members().heard},
                    {"known", peers_.Members().known}});
  }
  // The borrower may know a newer configuration than this router.
  AllowanceLimit limit = call.limit;
  std::uint64_t version = call.config_version;
  if (config && config->version >= version) {
    const fleet::Account* account = FindAccount(config.get(), call.account);
    version = config->version;
    if (account != nullptr && account->allowance) {
      limit = account->allowance->limit;
    }
  }
  if (version >= owned.config_version) {
    owned.config_version = version;
    owned.ledger.SetLimit(limit);
  }
  LeaseReply reply;
  reply.grant =
      owned.ledger.Grant(call.borrower, call.request, peers_.Members(), now);
  reply.kind = reply.grant.units > 0 ? LeaseReply::Kind::kGranted
                                     : LeaseReply::Kind::kExhausted;
  return reply;
}

void AccountAllowances::DropLedgersAfterSuspension(BootClock::time_point now) {
  if (now - checked_at_ > kMaxCheckGap) ledgers_.clear();
  checked_at_ = now;
}

awaitable<void> AccountAllowances::WatchOwnership() {
  for (;;) {
    co_await net::Sleep(kOwnershipCheckInterval);
    const auto now = BootClock::now();
    DropLedgersAfterSuspension(now);
    const AllowanceMembers members = peers_.Members();
    // What accrues depends on the routers that were heard at the time.
    for (auto& [account, owned] : ledgers_) {
      owned.ledger.Available(members, now);
    }
    std::erase_if(ledgers_, [this](const auto& entry) {
      const bool is_lost = peers_.OwnerOf(HashBytes(entry.first)).has_value();
      if (is_lost) {
        telemetry::Log(Level::kInfo, telemetry::event::kAllowanceLedger,
                       {{"account", entry.first}, {"owned", false}});
      }
      return is_lost;
    });
  }
}

}  // namespace beryllane::allowance
