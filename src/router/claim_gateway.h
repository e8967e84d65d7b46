/// @file
/// Claims keys through the router that serves their partition.
#ifndef BERYLLANE_SRC_ROUTER_CLAIM_GATEWAY_H_
#define BERYLLANE_SRC_ROUTER_CLAIM_GATEWAY_H_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/claim/claim_partition.h"
#include "src/platform/log_client.h"
#include "src/router/directory.h"
#include "src/wire/messages.h"
#include "src/wire/peer_link.h"

namespace beryllane::router {

/// Number of partitions, each with its own log stream, over which keys are
/// spread. All routers of a fleet must use the same number, so it is not a
/// setting.
inline constexpr std::uint32_t kClaimPartitions = 8;

/// Returns the partition of a key. @pre none. Thread-safe.
inline std::uint32_t PartitionOf(const Hash128& key) {
  return static_cast<std::uint32_t>(key.high % kClaimPartitions);
}

/// Returns a random id that identifies one attempt. @pre none. Thread-safe.
Hash128 NewAttemptId();

/// Sends claims to the routers that own their partitions and serves the claims
/// of partitions that this router owns.
/// Used on the control loop.
class ClaimGateway {
 public:
  /// @pre all references outlive the gateway.
  ClaimGateway(net::HttpClient& client, net::asio::io_context& loop,
               const Settings& settings, const Directory& directory,
               wire::PeerClient& peers, MetricRegistry& metrics);

  /// The answer to a claim and the attempt id that it applies to. The id
  /// differs from the requested one if the owner gave no valid reply.
  struct ClaimResult {
    claim::ClaimAnswer answer;
    Hash128 id;
  };

  /// Claims a key within `time_left`; claims locally if the owner does not
  /// reply within half of it. @pre on the control loop.
  net::asio::awaitable<ClaimResult> Claim(claim::ClaimEntry entry,
                                          std::chrono::milliseconds time_left);
  /// Records an outcome or a withdrawal through the owner, or locally if the
  /// owner does not reply. @pre on the control loop.
  net::asio::awaitable<void> Update(claim::Entry entry);
  /// Serves a peer's claim. @pre on the control loop.
  void ServeClaim(const wire::ClaimRequest& request, wire::ReplyFunction reply);
  /// Applies a peer's update. @pre on the control loop.
  void ServeUpdate(const wire::ClaimUpdate& update,
                   const wire::ReplyFunction& reply);
  /// Drives the retries and deadlines of the local partitions; never returns.
  /// @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Whether no entry is waiting to be logged. @pre on the control loop.
  bool is_idle() const;
  /// The bounds on the age and the clock skew of keys. @pre none. Thread-safe.
  const claim::ClaimBounds& bounds() const { return options_.bounds; }

 private:
  struct LocalPartition {
    std::unique_ptr<platform::HttpLogStream> stream;
    std::unique_ptr<claim::ClaimPartition> partition;
  };

  claim::ClaimPartition& GetOrCreatePartition(std::uint32_t index);
  // Returns the owner's peer address, or an empty string if this router is the
  // owner or no router is live.
  std::string OwnerAddress(std::uint32_t index) const;
  net::asio::awaitable<claim::ClaimAnswer> ClaimLocally(
      claim::ClaimEntry entry, RuntimeClock::time_point deadline);
  void ApplyLocally(claim::Entry entry);

  net::HttpClient& client_;
  net::asio::io_context& loop_;
  net::Address log_service_;
  const std::string host_id_;
  const Directory& directory_;
  wire::PeerClient& peers_;
  MetricRegistry& metrics_;
  claim::ClaimOptions options_;
  std::array<LocalPartition, kClaimPartitions> local_partitions_;
  Counter& local_claims_;
  Counter& remote_claims_;
  Counter& peer_failures_;
  Gauge& keys_;
};

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_CLAIM_GATEWAY_H_
