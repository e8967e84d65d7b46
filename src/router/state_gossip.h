/// @file
/// Gossip of loads, configuration and the host list between routers.
#ifndef BERYLLANE_SRC_ROUTER_STATE_GOSSIP_H_
#define BERYLLANE_SRC_ROUTER_STATE_GOSSIP_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/metrics/registry.h"
#include "src/router/config_follower.h"
#include "src/router/directory.h"
#include "src/wire/messages.h"
#include "src/wire/peer_link.h"

namespace beryllane::router {

/// Token bucket that limits bytes per second.
class ByteBudget {
 public:
  /// @pre `bytes_per_second` > 0.
  explicit ByteBudget(double bytes_per_second)
      : bytes_per_second_(bytes_per_second),
        available_bytes_(bytes_per_second) {}

  /// Returns how many bytes may be exchanged at `now`; may be negative. @pre
  /// none.
  double Available(RuntimeClock::time_point now);
  /// Deducts spent bytes; the budget may become negative. @pre none.
  void Spend(double bytes) { available_bytes_ -= bytes; }

 private:
  double bytes_per_second_;
  double available_bytes_;
  RuntimeClock::time_point refilled_at_{};
};

/// Exchanges state with one randomly chosen peer at a time. Used on the control
/// loop.
class StateGossip {
 public:
  /// Limit for the bytes that this router sends and receives per second in
  /// exchanges, whether started by itself or by peers.
  static constexpr double kBytesPerSecond = 900;
  static constexpr std::chrono::milliseconds kInterval{500};

  /// @pre all references outlive the gossip.
  StateGossip(const Settings& settings, Directory& directory,
              ConfigFollower& config, wire::PeerClient& peers,
              MetricRegistry& metrics);

  /// Requests the full state from peers until this router has a configuration
  /// and a host list, then exchanges changes with peers until
  /// `AnnounceLeaving` is called. @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Applies a peer's exchange, whose encoded size was `bytes`, and returns the
  /// encoded reply. @pre on the control loop.
  std::string Serve(const wire::StateExchange& request, std::size_t bytes);
  /// Notifies all peers that this router is stopping. @pre on the control loop.
  net::asio::awaitable<void> AnnounceLeaving();
  /// Sets the serialized host list that is sent to starting peers. @pre on the
  /// control loop.
  void SetHostListJson(std::string text) { host_list_json_ = std::move(text); }
  /// When a peer last replied. @pre on the control loop.
  RuntimeClock::time_point last_peer_reply_at() const {
    return last_peer_reply_at_;
  }

 private:
  std::vector<Peer> OtherRouters() const;
  net::asio::awaitable<void> AnnounceTo(
      std::string address, std::shared_ptr<std::size_t> outstanding);
  net::asio::awaitable<bool> ExchangeWith(const Peer& peer, bool needs_state);
  std::size_t AffordableLoadEntries();
  wire::StateExchange MakeExchange(std::size_t max_loads);
  void ApplyExchange(const wire::StateExchange& message);
  void ApplyLoads(const std::vector<wire::LoadEntry>& loads);
  void AttachConfig(const wire::StateExchange& request,
                    wire::StateExchange& reply) const;
  void RecordFailure(const Peer& peer);

  const Settings& settings_;
  Directory& directory_;
  ConfigFollower& config_;
  wire::PeerClient& peers_;
  ByteBudget budget_{kBytesPerSecond};
  std::string host_list_json_;
  std::map<std::string, int> failures_;
  std::uint32_t next_load_index_ = 0;
  bool is_leaving_ = false;
  RuntimeClock::time_point last_peer_reply_at_{};
  Counter& exchanges_;
  Counter& exchange_failures_;
};

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_STATE_GOSSIP_H_
