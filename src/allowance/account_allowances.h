/// @file
/// Keeps the allowances of client accounts together with the other routers.
#ifndef BERYLLANE_SRC_ALLOWANCE_ACCOUNT_ALLOWANCES_H_
#define BERYLLANE_SRC_ALLOWANCE_ACCOUNT_ALLOWANCES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "beryllane/limit/allowance.h"
#include "beryllane/metrics/registry.h"
#include "platform/request_codec.h"
#include "src/allowance/lease_messages.h"
#include "src/fleet/fleet.h"
#include "src/fleet/peers.h"
#include "src/net/runtime.h"
#include "src/wire/peer_link.h"

namespace beryllane::allowance {

/// Units that a request takes from an allowance. @pre none. Thread-safe.
double CostOf(const fleet::Allowance& allowance,
              const platform::CallerRequest& request);

/// Tolerated overuse of allowances, for all routers together.
struct AllowanceTolerance {
  /// As a share of the allowance.
  double overage = 0;
  /// In units, beyond that.
  double slack = 0;
};

/// What one request took from an account's allowance.
struct Charge {
  std::string account;
  double cost = 0;
  BootClock::time_point charged_at;
  /// Until then the charge may be given back.
  BootClock::time_point expires_at;

  /// Whether the request was charged so long ago that its run would belong to
  /// another window. @pre none.
  bool IsOutdated(BootClock::time_point now) const {
    return now - charged_at >= AllowanceLedger::kLeaseLifetime;
  }
};

/// Charges requests to the allowances of their accounts, by leases from the
/// ledgers, and owns the ledgers of some accounts. Used on one loop.
class AccountAllowances {
 public:
  /// @pre all references outlive this object.
  AccountAllowances(net::asio::io_context& loop, wire::PeerClient& peer_client,
                    fleet::Peers& peers, const fleet::Fleet& fleet,
                    const std::string& host_id, MetricRegistry& metrics);

  /// Sets the tolerated overuse. @pre none.
  void set_tolerance(const AllowanceTolerance& tolerance) {
    tolerance_ = tolerance;
  }

  /// Charges a request to its account, and asks the ledger's owner first if
  /// this router has too few units. Returns `kRateLimited` if the allowance is
  /// used up, `kNotReady` if no owner has answered until `give_up_at`. @pre
  /// `account.allowance` is set; `account` outlives the call.
  net::asio::awaitable<Result<Charge>> Acquire(
      const fleet::Account& account, double cost,
      RuntimeClock::time_point give_up_at);
  /// Gives a charge back, as no target ran its request. @pre called at most
  /// once for a charge.
  void Refund(const Charge& charge);
  /// Time after which a request of `cost` units may be admitted, as far as the
  /// last reply of the owner tells; zero if it told none. @pre none.
  std::chrono::nanoseconds TimeToUnits(const std::string& account) const;

  /// Answers a message of a borrower; `nullopt` if it is another message. @pre
  /// none.
  std::optional<std::string> Serve(const std::string& message);

  /// Drops the ledgers that this router no longer owns, until the loop stops.
  /// @pre called once, on the loop.
  net::asio::awaitable<void> WatchOwnership();

 private:
  // This router's leases of one account.
  struct Borrowing {
    explicit Borrowing(net::asio::io_context& loop)
        : answered(loop, RuntimeClock::time_point::max()) {}

    AllowanceAccount account;
    AllowanceFallback fallback;
    bool is_asking = false;
    // Units of the requests that wait for the owner's reply.
    double waiting_units = 0;
    // Cancelled whenever a reply arrives, or none came in time.
    net::Timer answered;
    // The owner has too few units for requests of this cost or more until then.
    double exhausted_cost = 0;
    BootClock::time_point exhausted_until;
    // When the owner said so, and after which time it expects to have them.
    BootClock::time_point exhausted_at;
    std::chrono::nanoseconds retry_after{0};
    bool has_owner_failed = false;
  };
  struct OwnedLedger {
    AllowanceLedger ledger;
    std::uint64_t config_version = 0;
  };
  // Counters of one account, or of all accounts beyond the bound.
  struct AccountMetrics {
    Counter& admitted;
    Counter& refused;
  };

  Borrowing& BorrowingOf(const std::string& account);
  AccountMetrics& MetricsOf(const std::string& account);
  // Asks the owner for units in the background, unless this router does so
  // already.
  void StartAsking(const fleet::Account& account, double needed);
  net::asio::awaitable<void> Ask(LeaseCall call, Borrowing& borrowing);
  net::asio::awaitable<std::optional<LeaseReply>> CallOwner(LeaseCall call);
  // Applies the reply, or the lack of one, and resumes the requests that wait.
  static void Apply(const std::optional<LeaseReply>& reply,
                    const LeaseCall& call, BootClock::time_point asked_at,
                    Borrowing& borrowing);
  LeaseReply Grant(const LeaseCall& call);
  // Drops all ledgers if this router was suspended: another one may have kept
  // them meanwhile.
  void DropLedgersAfterSuspension(BootClock::time_point now);
  static bool IsExhausted(const Borrowing& borrowing, double cost);
  Error Exhausted(const fleet::Account& account, double cost,
                  const Borrowing& borrowing);

  net::asio::io_context& loop_;
  wire::PeerClient& peer_client_;
  fleet::Peers& peers_;
  const fleet::Fleet& fleet_;
  std::uint64_t host_hash_;
  MetricRegistry& metrics_;
  AllowanceTolerance tolerance_;
  // By account name. Not erased, as requests that wait refer to them.
  std::map<std::string, std::unique_ptr<Borrowing>> borrowings_;
  std::map<std::string, OwnedLedger> ledgers_;
  BootClock::time_point checked_at_ = BootClock::now();
  std::map<std::string, AccountMetrics> account_metrics_;
  Counter& asked_;
  Counter& owner_failures_;
  Counter& fallbacks_;
  LatencyHistogram& reply_time_;
};

}  // namespace beryllane::allowance

#endif  // BERYLLANE_SRC_ALLOWANCE_ACCOUNT_ALLOWANCES_H_
