/// @file
/// Follows the operator's and the targets' records in the platform's store.
#ifndef BERYLLANE_SRC_FLEET_STORE_FOLLOWER_H_
#define BERYLLANE_SRC_FLEET_STORE_FOLLOWER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "beryllane/freshness/freshness.h"
#include "platform/store_client.h"
#include "src/fleet/fleet.h"
#include "src/fleet/record_relay.h"
#include "src/wire/peer_link.h"

namespace beryllane::fleet {

class Peers;

/// Keeps a `Fleet` up to date, from the store or through a reader of the zone.
/// Used on one loop.
class StoreFollower {
 public:
  /// `on_config` is called after each new configuration, `on_weights` after
  /// new weights were named. @pre all arguments outlive the follower.
  StoreFollower(platform::StoreClient& store, wire::PeerClient& relay_client,
                Fleet& fleet, std::function<void()> on_config,
                std::function<void()> on_weights);
  /// Sets who names the reader of the zone. @pre before the loops start;
  /// `peers` outlives the follower.
  void set_peers(Peers* peers) { peers_ = peers; }

  /// Follows the operator until the loop stops. @pre called once.
  net::asio::awaitable<void> FollowOperator();
  /// Follows the targets until the loop stops. @pre called once.
  net::asio::awaitable<void> FollowTargets();

  /// How recently the operator's records are known to be complete. @pre none.
  const Freshness& freshness() const { return freshness_; }
  /// Whether the list of targets was read at least once. @pre none.
  bool has_targets() const { return has_targets_; }
  /// Whether the store answered last. @pre none.
  bool is_up() const { return is_up_; }
  /// Serves followers with what was read here. @pre none.
  const RecordRelay& relay() const { return relay_; }

 private:
  net::asio::awaitable<bool> ReadOperator();
  net::asio::awaitable<bool> ReadTargets();
  // Asks the reader of the zone for both topics; false where there is none or
  // it cannot help.
  net::asio::awaitable<bool> ReadFromRelay();
  bool IsRelayActive() const;
  void ApplyOperator(const platform::KeyedRecord& record);
  void ApplyTarget(const platform::KeyedRecord& record);
  void ApplyTargetSet(const platform::RecordPage& page);
  void RemoveTarget(const std::string& id);
  void RemoveDueTargets();
  void SetStoreUp(bool is_up, const std::string& message);

  platform::StoreClient& store_;
  wire::PeerClient& relay_client_;
  Fleet& fleet_;
  std::function<void()> on_config_;
  std::function<void()> on_weights_;
  Peers* peers_ = nullptr;
  Freshness freshness_;
  RecordRelay relay_{freshness_};
  std::optional<RuntimeClock::time_point> relayed_at_;
  // Offset at which to read on; none before the first read of all keys.
  std::optional<std::uint64_t> operator_next_;
  std::optional<std::uint64_t> targets_next_;
  bool has_targets_ = false;
  bool is_up_ = true;
  std::optional<RuntimeClock::time_point> targets_failing_since_;
  // Entries that lapsed while the store was away may come back until then.
  RuntimeClock::time_point reregistration_until_;
  std::map<std::string, RuntimeClock::time_point> deferred_removals_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_STORE_FOLLOWER_H_
