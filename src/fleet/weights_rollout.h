/// @file
/// Brings targets to the weights that the operator named.
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

/// Gives orders to targets while this router holds the lease. Used on one
/// loop.
class WeightsRollout {
 public:
  /// @pre all references outlive the rollout.
  WeightsRollout(platform::StoreClient& store, net::HttpClient& client,
                 Fleet& fleet, Peers& peers, std::string host_id,
                 lease::Terms terms, MetricRegistry& metrics);

  /// Works until the loop stops. @pre called once.
  net::asio::awaitable<void> Run();
  /// Ends after the rollout under way; the process is about to end. @pre none.
  void Stop() { is_stopping_ = true; }
  /// Whether this router has orders to give or to follow. @pre none.
  bool is_busy() const {
    return !orders_in_progress_.empty() || lease_.IsHeld(BootClock::now());
  }

 private:
  struct Work {
    std::string model;
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<Runner>> runners;
  };

  std::optional<Work> FindWork() const;
  net::asio::awaitable<void> AcquireLease();
  net::asio::awaitable<void> ReadLease();
  net::asio::awaitable<void> Renew();
  void StartOrders(const Work& work);
  // What is known of an order that was sent.
  enum class OrderProgress {
    // The target carries out no order.
    kIdle,
    // The target carries one out.
    kInProgress,
    // The order was not answered, and may be carried out yet.
    kUnknown,
    // The target cannot be ordered now.
    kFailed,
  };

  // Brings one target to a version, over lost answers.
  net::asio::awaitable<void> UpdateTarget(std::shared_ptr<Runner> runner,
                                          std::string model,
                                          std::uint64_t version);
  net::asio::awaitable<OrderProgress> SendOrder(Runner& runner,
                                                const std::string& model,
                                                std::uint64_t version);
  // Asks the target for its weights and order under way.
  net::asio::awaitable<OrderProgress> ReadReport(Runner& runner,
                                                 const std::string& model);

  platform::StoreClient& store_;
  net::HttpClient& client_;
  Fleet& fleet_;
  Peers& peers_;
  std::string host_id_;
  lease::Lease lease_;
  bool is_stopping_ = false;
  bool has_read_lease_ = false;
  RuntimeClock::time_point work_since_;
  RuntimeClock::time_point lease_read_at_;
  BootClock::time_point renewed_at_;
  // Targets with an order under way, by id.
  std::map<std::string, RuntimeClock::time_point> orders_in_progress_;
  // Targets that could not be ordered and are left alone until then, by id.
  std::map<std::string, RuntimeClock::time_point> backoff_until_;
  Counter& orders_;
  Counter& order_failures_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_WEIGHTS_ROLLOUT_H_
