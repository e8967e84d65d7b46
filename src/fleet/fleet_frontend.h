/// @file
/// Request handler for the platform's callers.
#ifndef BERYLLANE_SRC_FLEET_FLEET_FRONTEND_H_
#define BERYLLANE_SRC_FLEET_FLEET_FRONTEND_H_

#include <chrono>
#include <functional>
#include <optional>

#include "platform/settings.h"
#include "src/admission/admission_lines.h"
#include "src/allowance/account_allowances.h"
#include "src/exchange/engine.h"
#include "src/fleet/fleet.h"
#include "src/fleet/part_quarantine.h"
#include "src/fleet/runner_protocol.h"
#include "src/fleet/store_follower.h"
#include "src/net/http_server.h"
#include "src/net/loop_lag.h"

namespace beryllane::fleet {

/// Authenticates, routes and answers requests. Used on one loop.
class FleetFrontend {
 public:
  /// @pre all references outlive the frontend.
  FleetFrontend(const platform::Settings& settings, net::HttpClient& client,
                Fleet& fleet, Peers& peers, PartQuarantine& quarantine,
                allowance::AccountAllowances& allowances,
                admission::AdmissionLines& admission_lines,
                const StoreFollower& follower, const net::LoopLag& loop_lag,
                MetricRegistry& metrics);

  /// Answers one request. @pre on the frontend's loop.
  net::asio::awaitable<void> Handle(net::Exchange& exchange);
  /// Whether requests can be served; if not, sets `reason`. @pre none.
  bool IsReady(std::string& reason) const;
  /// Ends readiness and closes each connection after its next answer. @pre
  /// none.
  void SetStopping() { is_stopping_ = true; }
  /// Refuses requests from now on, as they might not complete before the
  /// process ends. @pre none.
  void SetRefusing() { is_refusing_ = true; }

 private:
  Result<RoutedRequest> Admit(const net::Exchange& exchange);
  Result<const Account*> Authenticate(const FleetConfig& config,
                                      const Route& route,
                                      const std::string& credential) const;
  // Whether the configuration is proven recent enough to decide requests by it.
  bool IsConfigFresh() const;
  // Refuses a request before any work is done for it.
  net::asio::awaitable<void> Shed(net::Exchange& exchange);
  // Time after which a request that did not run may be sent again.
  std::chrono::nanoseconds RetryAfter(const Error& error,
                                      const RoutedRequest& routed,
                                      const PromptRequest& prompt) const;
  static net::asio::awaitable<void> WaitForCallerToGo(net::Exchange& exchange,
                                                      PromptRequest& prompt);
  // Forwards a request until it is answered, its caller has gone or one of its
  // prompt parts is quarantined.
  net::asio::awaitable<exchange::ForwardResult> Forward(
      net::Exchange& exchange, RoutedRequest& routed, RunnerProtocol& protocol,
      PromptRequest& prompt);
  // Charges the request to its account's allowance, if it has one, and sets
  // `charge`; the error if the allowance does not suffice.
  net::asio::awaitable<std::optional<Error>> ChargeAllowance(
      const RoutedRequest& routed, std::optional<allowance::Charge>& charge);
  // Waits until the request may be sent; the error if it is not admitted. Sets
  // when it may be sent again then.
  net::asio::awaitable<std::optional<Error>> WaitForAdmission(
      RoutedRequest& routed, RunnerProtocol& protocol);
  // Charges the request to its account's allowance, if it has one, lets it wait
  // for its admission and forwards it. Sets `charge` once it is charged.
  net::asio::awaitable<exchange::ForwardResult> ChargeAndForward(
      net::Exchange& exchange, RoutedRequest& routed, RunnerProtocol& protocol,
      std::optional<allowance::Charge>& charge);
  // `retry_after` is the time after which a request that did not run may be
  // sent again.
  net::asio::awaitable<void> SendError(net::Exchange& exchange,
                                       const std::string& request_id,
                                       Error error,
                                       std::chrono::nanoseconds retry_after);
  void LogOutcome(const RoutedRequest& routed, const RunnerProtocol& protocol,
                  const exchange::ForwardResult& result) const;

  const platform::Settings& settings_;
  net::HttpClient& client_;
  Fleet& fleet_;
  Peers& peers_;
  PartQuarantine& quarantine_;
  allowance::AccountAllowances& allowances_;
  admission::AdmissionLines& admission_lines_;
  const StoreFollower& follower_;
  const net::LoopLag& loop_lag_;
  PlacementSettings placement_settings_;
  FleetMetrics metrics_;
  bool is_stopping_ = false;
  bool is_refusing_ = false;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_FLEET_FRONTEND_H_
