/// @file
/// Hints exchanged between routers: loads, cached parts and targets that switch
/// weights.
#ifndef BERYLLANE_SRC_FLEET_PEERS_H_
#define BERYLLANE_SRC_FLEET_PEERS_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "beryllane/hash/hash.h"
#include "beryllane/limit/allowance.h"
#include "platform/store_client.h"
#include "src/fleet/fleet.h"
#include "src/net/loop_lag.h"
#include "src/wire/peer_bus.h"

namespace beryllane::fleet {

/// Exchanges hints with the other routers. Hints only improve placement: one
/// that is lost, late or wrong costs time but breaks no guarantee. Used on one
/// loop.
class Peers {
 public:
  /// Identity and addresses under which a router is known to the others.
  struct Identity {
    std::string host_id;
    std::string availability_zone;
    /// `ip:port` of the peer bus and of the record relay.
    std::string bus_address;
    std::string relay_address;
  };

  /// @pre all references outlive this object.
  Peers(net::asio::io_context& loop, platform::StoreClient& store, Fleet& fleet,
        Identity self, MetricRegistry& metrics);

  /// Relay address of the zone's reader, the router that reads the store for
  /// all routers of this availability zone; `nullopt` if it is this router.
  /// The reader is the live router of the zone that registered first, without
  /// this one if it cannot read the store. @pre none.
  std::optional<std::string> ZoneReader(bool can_read_store) const;
  /// Whether this router has registered and knows the routers that registered
  /// before it. @pre none.
  bool is_registered() const { return registration_rank_.has_value(); }
  /// Rank of this router's registration. @pre `is_registered()`.
  std::uint64_t registration_rank() const { return *registration_rank_; }
  /// Relay addresses of the routers of this zone that registered before this
  /// one, the earliest first; some may have left. @pre `is_registered()`.
  const std::vector<std::string>& earlier_in_zone() const {
    return earlier_in_zone_;
  }
  /// Number of routers ever seen, including this one. @pre none.
  std::size_t known_hosts() const { return known_hosts_.size(); }
  /// Rank of this router by host id among the live routers, from 0. Right after
  /// the start, routers that registered before count as live until they could
  /// be heard. Routers may disagree for a short time. Signed, as it scales
  /// times that may be compared with negative ones. @pre none.
  int Rank() const;
  /// When another router last announced an order to a target, or that it holds
  /// the lease for orders. @pre none.
  RuntimeClock::time_point rollout_announced_at() const {
    return rollout_announced_at_;
  }
  /// Whether this router follows the target's cache on behalf of all routers.
  /// Rendezvous hashing selects one live router of the target's zone, or of the
  /// whole fleet if the zone has none. @pre none.
  bool FollowsCacheOf(const Runner& runner) const;
  /// Relay address of the live router that rendezvous hashing ranks first for
  /// `key`; `nullopt` if it is this router. Routers may disagree for a short
  /// time. @pre none. Complexity: linear in the number of routers.
  std::optional<std::string> OwnerOf(const Hash128& key) const;
  /// The routers that this one hears, and all that may be running. @pre none.
  AllowanceMembers Members() const;
  /// Excludes a reader for some time because it did not answer or its records
  /// are outdated. @pre none.
  void ExcludeReader(const std::string& reader);

  /// Opens the bus, finds the other routers in the store and sends hints until
  /// the loop stops. @pre called once.
  net::asio::awaitable<void> Run();

  /// While the loop is busy, hints about loads and prompt parts are left
  /// unread. @pre called before `Run`; `loop_lag` outlives this object.
  void set_loop_lag(const net::LoopLag* loop_lag) { loop_lag_ = loop_lag; }

  /// Called with the value of a field that another router broadcast. An
  /// exception of the JSON library is logged.
  using FieldHandler = std::function<void(const nlohmann::json& value)>;
  /// Handles a field of messages; at most one handler for each. @pre called
  /// before `Run`; `field` is a string constant.
  void Subscribe(std::string_view field, FieldHandler handler) {
    handlers_[std::string(field)] = std::move(handler);
  }
  /// Sends a field to the other routers at once. @pre none.
  void Broadcast(std::string_view field, const nlohmann::json& value);

  /// Applies a message of another router; one that is malformed is ignored, or
  /// logged and ignored from there on. @pre none.
  void Receive(const std::string& message);
  /// Encodes the hints that the other routers lack, which then count as sent.
  /// Empty if there are none and no heartbeat is due. @pre none.
  std::string EncodeBatch();

  /// Announces that a target was ordered to load weights. @pre none.
  void AnnounceOrder(const Runner& runner, const std::string& model,
                     std::uint64_t version);
  /// Announces that a target has loaded the weights. @pre none.
  void AnnounceWeights(const Runner& runner, const std::string& model,
                       std::uint64_t version);
  /// Announces that this router holds the lease for orders, so that others do
  /// not have to read it from the store. @pre none.
  void AnnounceLease();
  /// Announces that a target named or lifted a limit. @pre none.
  void AnnounceLimit(const Runner& runner);
  /// Announces that a target leaves, unless a peer has announced it. @pre
  /// called once for each incarnation of a target.
  void AnnounceLeaving(const Runner& runner);
  /// Queues a hint that a target caches a part, for the next batch. @pre none.
  void NotePart(const Runner& runner, std::uint64_t part, std::uint32_t tokens);
  /// Retracts an earlier `NotePart`. @pre none.
  void RetractPart(const Runner& runner, std::uint64_t part) {
    NotePart(runner, part, kRetracted);
  }

 private:
  // A router from which nothing was received for this long is considered down.
  static constexpr std::chrono::milliseconds kRouterTimeout{1500};
  // State of another router.
  struct Router {
    // Identifies the router in the sums of what the peers report.
    std::uint32_t index = 0;
    std::string availability_zone;
    std::string relay_address;
    // Rank of its registration record in the store; earlier ones are lower.
    std::uint64_t registration_rank = 0;
    RuntimeClock::time_point last_received_at;
    // Not selected as reader before this time.
    RuntimeClock::time_point excluded_until;

    bool IsAlive(RuntimeClock::time_point now) const {
      return now - last_received_at < kRouterTimeout;
    }
  };
  // Token count that marks a part hint as a retraction.
  static constexpr std::uint32_t kRetracted = 0;
  struct PartHint {
    std::uint64_t runner;
    std::uint64_t part;
    std::uint32_t tokens;
  };

  // Registers this router, also after each return of the store from a copy.
  net::asio::awaitable<void> Registration();
  net::asio::awaitable<void> SendHints();
  // Registers this router and connects to those that registered before it.
  net::asio::awaitable<bool> Register();
  // The registrations up to that of this router, at `own_offset`. May name a
  // router more than once.
  net::asio::awaitable<std::optional<std::vector<platform::KeyedRecord>>>
  ReadRegistrations(std::uint64_t own_offset);
  // Connects to a router that registered before this one.
  void Connect(const std::string& address, const std::string& host);
  // Registers again each time that the store returns from an older copy.
  net::asio::awaitable<void> RegisterAfterRestores();
  void SendBatch();
  // Limit of a target, this router's demand for it, and the time since an
  // answer to this router named it.
  static nlohmann::json LimitReport(const Runner& runner);
  // Whether a target named a limit.
  bool HasLimits() const;
  // Loads and cached parts of targets, which only improve placement.
  void ReceiveHints(const nlohmann::json& body, const Router& sender);
  // Ends limits that no answer to any router confirms any more.
  void EndUnconfirmedLimits();
  // Limits of the targets for which this router has demand.
  nlohmann::json LimitReports() const;
  void ReceiveLimits(const nlohmann::json& reports);
  void ReceiveLeaving(const nlohmann::json& target);
  // The router with a host id, which is added if it is new.
  Router& RouterOf(const std::string& host);
  // Number of other routers that may send requests.
  int LivePeers() const;

  platform::StoreClient& store_;
  Fleet& fleet_;
  Identity self_;
  // Rank of this router's registration; none before it is registered.
  std::optional<std::uint64_t> registration_rank_;
  RuntimeClock::time_point registered_at_;
  // Whether the store may have lost the registration.
  bool is_registration_lost_ = false;
  // Addresses to which connections were opened.
  std::set<std::string> dialed_;
  std::set<std::string> known_hosts_;
  std::vector<std::string> earlier_in_zone_;
  // Other routers from which a message was received, by host id.
  std::map<std::string, Router> routers_;
  RuntimeClock::time_point started_at_ = RuntimeClock::now();
  RuntimeClock::time_point sent_at_;
  RuntimeClock::time_point limits_sent_at_;
  RuntimeClock::time_point limits_checked_at_;
  RuntimeClock::time_point rollout_announced_at_;
  std::map<std::string, FieldHandler> handlers_;
  const net::LoopLag* loop_lag_ = nullptr;
  Counter& unread_hints_;
  wire::PeerBus bus_;
  std::vector<PartHint> new_parts_;
  std::map<std::uint64_t, std::pair<int, std::uint64_t>> sent_loads_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PEERS_H_
