/// @file
/// Decides which targets load new weights next.
#ifndef BERYLLANE_ROLLOUT_PLANNER_H_
#define BERYLLANE_ROLLOUT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace beryllane::rollout {

/// State of a target that the planner considers.
struct TargetState {
  std::uint64_t version = 0;
  /// Has an order in progress, or may have one whose answer was lost.
  bool is_switching = false;
  /// Reachable and not draining.
  bool is_usable = true;
  /// Running requests, which a change of weights affects.
  int running = 0;
};

/// Limits of a rollout.
struct RolloutLimits {
  /// Targets that may load weights at the same time.
  std::size_t max_concurrent = 2;
};

/// Returns the indices of the targets that receive an order now, in that order:
/// those with the oldest weights first, among them those with the fewest
/// running requests. At most `limits.max_concurrent` orders are in progress.
/// If several versions follow each other quickly, each target loads only the
/// newest.
///
/// @pre none. Thread-safe. Complexity: n log n.
std::vector<std::size_t> PlanOrders(const std::vector<TargetState>& targets,
                                    std::uint64_t desired,
                                    RolloutLimits limits);

}  // namespace beryllane::rollout

#endif  // BERYLLANE_ROLLOUT_PLANNER_H_
