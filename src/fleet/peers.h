/// @file
/// What routers tell each other: loads, cached parts and switching targets.
#ifndef BERYLLANE_SRC_FLEET_PEERS_H_
#define BERYLLANE_SRC_FLEET_PEERS_H_

#include <set>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "src/fleet/fleet.h"
#include "src/wire/peer_bus.h"

namespace beryllane::fleet {

/// Exchanges hints with the other routers. Hints only improve placement: a
/// lost, late or wrong one costs time, never a promise. Used on one loop.
class Peers {
 public:
  /// How a router is known to the others.
  struct Identity {
    std::string host_id;
    std::string availability_zone;
    /// `ip:port` of the bus and of the record relay.
    std::string bus_address;
    std::string relay_address;
  };

  /// @pre all references outlive this object.
  Peers(net::asio::io_context& loop, platform::StoreClient& store, Fleet& fleet,
        Identity self, MetricRegistry& metrics);

  /// Relay address of the router that reads the store for this zone;
  /// `nullopt` where this one does. @pre none.
  std::optional<std::string> ZoneReader() const;
  /// Routers that were ever seen, this one included. @pre none.
  std::size_t known_hosts() const { return known_hosts_.size(); }
  /// Rank of this router by host id among the live routers, from 0. Routers may
  /// disagree for a short time. Signed, as it scales times that may be
  /// compared with negative ones. @pre none.
  int Rank() const;
  /// When another router last told of an order to a target, or that it holds
  /// the lease for orders. @pre none.
  RuntimeClock::time_point rollout_announced_at() const {
    return rollout_announced_at_;
  }
  /// Whether this router follows a target's cache for all: one of the target's
  /// zone does, or one of all where the zone has none. @pre none.
  bool FollowsCacheOf(const Runner& runner) const;
  /// Notes that a reader did not answer, or has old records. @pre none.
  void ExcludeReader(const std::string& reader);

  /// Opens the bus, finds the other routers in the store and sends hints until
  /// the loop stops. @pre called once.
  net::asio::awaitable<void> Run();

  /// Tells that a target was ordered to take weights. @pre none.
  void AnnounceOrder(const Runner& runner, const std::string& model,
                     std::uint64_t version);
  /// Tells that a target has the weights. @pre none.
  void AnnounceWeights(const Runner& runner, const std::string& model,
                       std::uint64_t version);
  /// Tells that this router holds the lease for orders, so that others need
  /// not ask the store. @pre none.
  void AnnounceLease();
  /// Tells that a target reads a part; sent with the next batch. @pre none.
  void NotePart(const Runner& runner, std::uint64_t part, std::uint32_t tokens);
  /// Takes back what `NotePart` told. @pre none.
  void RetractPart(const Runner& runner, std::uint64_t part) {
    NotePart(runner, part, kRetracted);
  }

 private:
  // Routers are taken for gone after this silence.
  static constexpr std::chrono::milliseconds kRouterTimeout{1500};
  // Another router.
  struct Router {
    std::string availability_zone;
    std::string relay_address;
    // Offset of its registration.
    std::uint64_t registration_offset = 0;
    RuntimeClock::time_point last_received_at;
    // Not used as reader before this time.
    RuntimeClock::time_point excluded_until;

    bool IsAlive(RuntimeClock::time_point now) const {
      return now - last_received_at < kRouterTimeout;
    }
  };
  // Tokens of a part that was not read after all.
  static constexpr std::uint32_t kRetracted = 0;
  struct PartHint {
    std::uint64_t runner;
    std::uint64_t part;
    std::uint32_t tokens;
  };

  net::asio::awaitable<bool> Register();
  void SendBatch();
  void Receive(const std::string& message);

  platform::StoreClient& store_;
  Fleet& fleet_;
  Identity self_;
  // Offset of the own registration; the earliest router of a zone reads.
  std::optional<std::uint64_t> registration_offset_;
  std::set<std::string> known_hosts_;
  // Other routers that were heard, by host.
  std::map<std::string, Router> routers_;
  RuntimeClock::time_point sent_at_;
  RuntimeClock::time_point rollout_announced_at_;
  wire::PeerBus bus_;
  std::vector<PartHint> new_parts_;
  std::map<std::uint64_t, std::pair<int, std::uint64_t>> sent_loads_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PEERS_H_
