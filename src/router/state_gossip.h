/// @file
/// Push and pull of loads and configuration between routers.
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

/// Spends at most a fixed number of bytes per second.
class ByteBudget {
 public:
  /// @pre `bytes_per_second` > 0.
  explicit ByteBudget(double bytes_per_second)
      : bytes_per_second_(bytes_per_second),
        available_bytes_(bytes_per_second) {}

  /// Bytes that may be spent now. @pre none.
  double Available(RuntimeClock::time_point now);
  /// Notes bytes spent; the budget may go below zero. @pre none.
  void Spend(double bytes) { available_bytes_ -= bytes; }

 private:
  double bytes_per_second_;
  double available_bytes_;
  RuntimeClock::time_point refilled_at_{};
};

/// Exchanges state with one random peer at a time. Used on the control loop.
class StateGossip {
 public:
  /// Bytes per second of all exchanges here, sent and received, started by
  /// this router or by peers.
  static constexpr double kBytesPerSecond = 900;
  static constexpr std::chrono::milliseconds kInterval{500};

  /// @pre all references outlive the gossip.
  StateGossip(const Settings& settings, Directory& directory,
              ConfigFollower& config, wire::PeerClient& peers,
              MetricRegistry& metrics);

  /// Asks peers for everything until one answers; then exchanges for ever.
  /// @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Answers a peer's exchange, which came as `bytes` bytes, with an encoded
  /// one. @pre on the control loop.
  std::string Serve(const wire::StateExchange& request, std::size_t bytes);
  /// Tells every peer that this router leaves. @pre on the control loop.
  net::asio::awaitable<void> AnnounceLeaving();
  /// The host list as the platform last gave it, for starting peers. @pre on
  /// the control loop.
  void SetHostListJson(std::string text) { host_list_json_ = std::move(text); }
  /// When a peer last answered. @pre on the control loop.
  RuntimeClock::time_point last_peer_reply_at() const {
    return last_peer_reply_at_;
  }

 private:
  std::vector<Peer> OtherRouters() const;
  net::asio::awaitable<void> AnnounceTo(
      std::string address, std::shared_ptr<std::size_t> outstanding);
  net::asio::awaitable<bool> ExchangeWith(const Peer& peer, bool wants_state);
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
