/// @file
/// Builds routing states from the configuration and the host list.
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

/// A runner or service host, with this router's view of its load.
struct Target {
  platform::Host host;
  std::shared_ptr<placement::LoadCell> load;
};

/// Publishes a new routing state on each change of its inputs. Load reports of
/// targets survive such changes. Used on the control loop; the published state
/// is read by all threads.
class Directory {
 public:
  /// @pre `settings` outlives the directory.
  explicit Directory(const Settings& settings);

  /// Applies a host list. @pre on the control loop.
  void SetHosts(std::vector<platform::Host> hosts);
  /// Applies a configuration. @pre on the control loop.
  void SetConfig(std::shared_ptr<const config::Config> config);
  /// Marks this router as draining and removes it from the live routers. @pre
  /// on the control loop.
  void SetDraining();
  /// Sets whether a peer is left out of the live routers because it is stopping
  /// or does not reply. @pre on the control loop.
  void SetPeerUnavailable(const std::string& id, bool is_unavailable);

  /// The cell with the published state. @pre none. Thread-safe.
  const SnapshotCell<RoutingState>& state_cell() const { return state_cell_; }
  /// All targets by id. @pre on the control loop.
  const std::map<std::string, Target>& targets() const { return targets_; }
  /// Returns the target whose id has the `RunnerHash` `runner_hash`, or null.
  /// @pre on the control loop.
  const Target* FindByHash(std::uint32_t runner_hash) const;
  /// Whether a host list has been applied. @pre on the control loop.
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

/// Returns the low 32 bits of the hash of a runner's id, which identify the
/// runner in load entries. @pre none. Thread-safe.
std::uint32_t RunnerHash(const std::string& id);

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_DIRECTORY_H_
