/// @file
/// Decides which targets take new weights next.
#ifndef BERYLLANE_ROLLOUT_PLANNER_H_
#define BERYLLANE_ROLLOUT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace beryllane::rollout {

/// One target as the planner sees it.
struct TargetState {
  std::uint64_t version = 0;
  /// Has an order under way, or may have one whose answer was lost.
  bool is_switching = false;
  /// Can be reached and is not leaving.
  bool is_usable = true;
  /// Requests that it runs, which a switch disturbs.
  int running = 0;
};

/// Limits of a rollout.
struct RolloutLimits {
  /// Targets that may load at once.
  std::size_t max_concurrent = 2;
};

/// Returns the indices of the targets to order now, in the order in which to
/// do it: those on the
/// oldest weights first, then those with the fewest running requests, and never
/// more under way than allowed. Answers the load of many weights versions in a
/// row: a target is always sent straight to the newest.
///
/// @pre none. Thread-safe. Complexity: n log n.
std::vector<std::size_t> PlanOrders(const std::vector<TargetState>& targets,
                                    std::uint64_t desired,
                                    RolloutLimits limits);

}  // namespace beryllane::rollout

#endif  // BERYLLANE_ROLLOUT_PLANNER_H_
