/// @file
/// Follows the operator's, the targets' and the quarantine's topics in the
/// platform's store.
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
#include "src/fleet/store_backoff.h"
#include "src/wire/peer_link.h"

namespace beryllane::fleet {

class PartQuarantine;
class Peers;

/// Keeps a `Fleet` up to date with records that this router reads from the
/// store or that the zone's reader relays. Used on one loop.
class StoreFollower {
 public:
  /// Calls `on_config` after installing a configuration, and `on_weights` after
  /// the operator named a newer weights version. @pre all arguments outlive the
  /// follower.
  StoreFollower(platform::StoreClient& store, wire::PeerClient& relay_client,
                Fleet& fleet, std::function<void()> on_config,
                std::function<void()> on_weights);
  /// Sets the source of the zone's reader; without one, the store is always
  /// read directly. @pre called before `Run`; `peers` outlives the follower.
  void set_peers(Peers* peers) { peers_ = peers; }

  /// Sets the receiver of the quarantine's records. @pre called before `Run`;
  /// `quarantine` outlives the follower.
  void set_quarantine(PartQuarantine* quarantine) { quarantine_ = quarantine; }

  /// Reads the newest records, from another router of the zone if one has them,
  /// and follows the topics until the loop stops. @pre called once; a
  /// quarantine is set.
  net::asio::awaitable<void> Run();

  /// Up to which time the operator's records are known to be complete. @pre
  /// none.
  const Freshness& freshness() const { return freshness_; }
  /// Whether the list of targets was read at least once. @pre none.
  bool has_targets() const { return has_targets_; }
  /// Whether the last call to the store succeeded. @pre none.
  bool is_up() const { return is_up_; }
  /// Records of targets that were not used because they are malformed. @pre
  /// none.
  std::uint64_t ignored_targets() const { return ignored_targets_; }
  /// Serves the records to other routers of the zone. @pre none.
  const RecordRelay& relay() const { return relay_; }

 private:
  // What was read stays in force; offsets and relayed records do not.
  void OnRestore();
  // Reads the newest records from a router of the zone that has started before.
  // Returns when that is done, there is none, or none has answered in time.
  net::asio::awaitable<void> ReadFirst();
  net::asio::awaitable<void> FollowOperator();
  net::asio::awaitable<void> FollowTargets();
  net::asio::awaitable<void> FollowQuarantine();
  net::asio::awaitable<bool> ReadOperator();
  net::asio::awaitable<bool> ReadTargets();
  net::asio::awaitable<bool> ReadQuarantine();
  // Reads all topics from the zone's reader or, if it does not answer or its
  // records may be outdated, from the next one; false if none has served them.
  net::asio::awaitable<bool> ReadFromRelay();
  enum class RelayOutcome {
    kRead,
    // The proof that the records are the newest is too old.
    kOutdated,
    // The router has no records yet.
    kNoRecords,
    kRefused,
    kNoAnswer,
  };
  struct RelayReply {
    RelayOutcome outcome = RelayOutcome::kNoAnswer;
    // Rank of the router's registration, with `kNoRecords`.
    std::optional<std::uint64_t> rank;
  };
  // Reads all topics from a router of the zone.
  net::asio::awaitable<RelayReply> ReadFrom(std::string relay,
                                            std::chrono::milliseconds timeout);
  void ApplyRelayed(const RelayRequest& request, const RelayAnswer& answer);
  // Relay address of the zone's reader. Right after the start, when no other
  // router has been heard of, it is the one that served the first records.
  std::optional<std::string> Reader() const;
  bool IsRelayActive() const;
  void ApplyOperator(const platform::KeyedRecord& record);
  // Returns whether the record is an entry of a target.
  bool ApplyTarget(const platform::KeyedRecord& record);
  void ApplyQuarantine(const platform::RecordPage& page);
  // The newest records of a topic, of which nothing is known yet or only what
  // is too old to go on from.
  void ApplyOperatorSet(const platform::RecordPage& page);
  void ApplyTargetSet(const platform::RecordPage& page);
  void ApplyQuarantineSet(const platform::RecordPage& page);
  void RemoveTarget(const std::string& id);
  void RemoveDueTargets();
  void SetStoreUp(bool is_up, const std::string& message);

  platform::StoreClient& store_;
  wire::PeerClient& relay_client_;
  Fleet& fleet_;
  std::function<void()> on_config_;
  std::function<void()> on_weights_;
  Peers* peers_ = nullptr;
  PartQuarantine* quarantine_ = nullptr;
  Freshness freshness_;
  RecordRelay relay_{freshness_};
  std::optional<RuntimeClock::time_point> relayed_at_;
  // Router that served the first records, while it answers.
  std::optional<std::string> first_source_;
  RuntimeClock::time_point started_at_ = RuntimeClock::now();
  // Offset of the next read; none until the newest record of each key has been
  // read.
  std::optional<std::uint64_t> operator_next_;
  std::optional<std::uint64_t> targets_next_;
  std::optional<std::uint64_t> quarantine_next_;
  StoreBackoff backoff_;
  bool has_targets_ = false;
  std::uint64_t ignored_targets_ = 0;
  bool is_up_ = true;
  std::optional<RuntimeClock::time_point> targets_failing_since_;
  // Targets whose entries expired during a store outage may register again
  // until this time.
  RuntimeClock::time_point reregistration_until_;
  // When to remove targets that do not register again, by id.
  std::map<std::string, RuntimeClock::time_point> deferred_removals_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_STORE_FOLLOWER_H_
