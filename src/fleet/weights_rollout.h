/// @file
/// Rolls out the weights that the operator named to the targets.
#ifndef BERYLLANE_SRC_FLEET_WEIGHTS_ROLLOUT_H_
#define BERYLLANE_SRC_FLEET_WEIGHTS_ROLLOUT_H_

#include <map>
#include <memory>
#include <string>

#include "beryllane/lease/lease.h"
#include "platform/config_codec.h"
#include "platform/store_client.h"
#include "src/fleet/fleet.h"
#include "src/fleet/peers.h"

namespace beryllane::fleet {

/// Orders targets to load the desired weights while this router holds the lease
/// for orders. Used on one loop.
class WeightsRollout {
 public:
  /// @pre all references outlive the rollout.
  WeightsRollout(platform::StoreClient& store, net::HttpClient& client,
                 Fleet& fleet, Peers& peers, std::string host_id,
                 lease::Timing timing, MetricRegistry& metrics);

  /// Runs rollouts until the loop stops. @pre called once.
  net::asio::awaitable<void> Run();
  /// Stops acquiring the lease, because the process is about to end. A lease
  /// that is held is renewed until the rollout completes. @pre none.
  void Stop() { is_stopping_ = true; }
  /// Time for which targets may have older weights. @pre none.
  void set_weights_lifetime(std::chrono::milliseconds lifetime) {
    weights_lifetime_ = lifetime;
  }
  /// Whether an order is in progress or this router holds the lease. @pre none.
  bool is_busy() const {
    return !in_progress_.empty() || lease_.IsHeld(BootClock::now());
  }

 private:
  struct Work {
    std::string model;
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<Runner>> runners;
  };

  std::optional<Work> FindWork() const;
  // Whether an order to the target can wait for the end of its pause.
  SendKind OrderKind(const Runner& runner, const std::string& model) const;
  void NotePause(Runner& runner, const net::Response& answer,
                 std::string_view kind);
  void OnRestore();
  net::asio::awaitable<void> AcquireLease();
  net::asio::awaitable<void> ReadLease();
  net::asio::awaitable<void> Renew();
  void StartOrders(const Work& work);
  // Known state of the order that a target was sent.
  enum class OrderProgress {
    // The target is not executing an order.
    kIdle,
    // The target is executing an order.
    kInProgress,
    // The order was not answered and may still be executed.
    kUnknown,
    // The target cannot accept an order at present.
    kFailed,
  };

  // Orders one target to load a version and waits until it has; sends the order
  // again if the answer was lost.
  net::asio::awaitable<void> UpdateTarget(std::shared_ptr<Runner> runner,
                                          std::string model,
                                          std::uint64_t version);
  // Sends orders until the weights are in place or the target has to be left
  // for now.
  net::asio::awaitable<void> OrderUntilInPlace(Runner& runner,
                                               const std::string& model,
                                               std::uint64_t version);
  net::asio::awaitable<OrderProgress> SendOrder(Runner& runner,
                                                const std::string& model,
                                                std::uint64_t version);
  // Reads the target's report: its weights and whether an order is in progress.
  net::asio::awaitable<OrderProgress> ReadReport(Runner& runner,
                                                 const std::string& model);

  platform::StoreClient& store_;
  net::HttpClient& client_;
  Fleet& fleet_;
  Peers& peers_;
  std::string host_id_;
  lease::Lease lease_;
  std::chrono::milliseconds weights_lifetime_{8000};
  bool is_stopping_ = false;
  bool has_read_lease_ = false;
  RuntimeClock::time_point work_since_;
  RuntimeClock::time_point lease_read_at_;
  BootClock::time_point renewed_at_;
  // When the order in progress was started, by target id.
  std::map<std::string, RuntimeClock::time_point> in_progress_;
  // Time until which no order is sent to a target after a failure, by id.
  std::map<std::string, RuntimeClock::time_point> backoff_until_;
  Counter& orders_;
  Counter& order_failures_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_WEIGHTS_ROLLOUT_H_
