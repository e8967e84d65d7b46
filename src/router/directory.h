/// @file
/// Builds routing states from configuration and host list.
#ifndef BERYLLANE_SRC_ROUTER_DIRECTORY_H_
#define BERYLLANE_SRC_ROUTER_DIRECTORY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/snapshot/snapshot_cell.h"
#include "src/router/routing_state.h"
#include "src/router/settings.h"

namespace beryllane::router {

/// A runner or service host and what is known of its load.
struct Target {
  platform::Host host;
  std::shared_ptr<placement::LoadCell> load;
};

/// Keeps targets across changes and publishes a new state for each change.
/// Used on the control loop; the cell is read by all threads.
class Directory {
 public:
  /// @pre `settings` outlives the directory.
  explicit Directory(const Settings& settings);

  /// Takes a host list. @pre on the control loop.
  void SetHosts(std::vector<platform::Host> hosts);
  /// Takes a configuration. @pre on the control loop.
  void SetConfig(std::shared_ptr<const config::Config> config);
  /// Notes that this router is stopping. @pre on the control loop.
  void SetDraining();
  /// Notes that a peer is stopping or does not answer. @pre on the control
  /// loop.
  void SetPeerUnavailable(const std::string& id, bool is_unavailable);

  /// The published state. @pre none. Thread-safe.
  const SnapshotCell<RoutingState>& state_cell() const { return state_cell_; }
  /// All targets by id. @pre on the control loop.
  const std::map<std::string, Target>& targets() const { return targets_; }
  /// The target whose id hash ends in `runner`, or null. @pre on the control
  /// loop.
  const Target* FindByHash(std::uint32_t runner) const;
  /// Whether a host list was taken. @pre on the control loop.
  bool has_hosts() const { return has_hosts_; }

 private:
  void Publish();
  void AddTargets(RoutingState& state) const;
  void AddRouters(RoutingState& state) const;
  void AddLimiters(RoutingState& state);
  std::chrono::nanoseconds LinkLatencyTo(const std::string& zone) const;
  bool IsCrossRegion(const std::string& zone) const;

  const Settings& settings_;
  std::vector<platform::Host> hosts_;
  std::map<std::string, Target> targets_;
  std::map<std::uint32_t, std::string> by_hash_;
  std::map<std::string, bool> unavailable_peers_;
  std::shared_ptr<const config::Config> config_;
  AccountLimiters limiters_;
  bool has_hosts_ = false;
  bool is_draining_ = false;
  SnapshotCell<RoutingState> state_cell_;
};

/// Low 32 bits of the hash of a runner's id, as load entries carry it. @pre
/// none. Thread-safe.
std::uint32_t RunnerHash(const std::string& id);

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_DIRECTORY_H_
