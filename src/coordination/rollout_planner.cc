#include <algorithm>
#include <tuple>

#include "beryllane/rollout/planner.h"

namespace beryllane::rollout {

std::vector<std::size_t> PlanOrders(const std::vector<TargetState>& targets,
                                    std::uint64_t desired,
                                    RolloutLimits limits) {
  std::size_t in_progress = 0;
  std::vector<std::size_t> outdated;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const TargetState& target = targets[i];
    if (target.is_switching) {
      ++in_progress;
    } else if (target.is_usable && target.version < desired) {
      outdated.push_back(i);
    }
  }
  std::stable_sort(outdated.begin(), outdated.end(),
                   [&targets](std::size_t a, std::size_t b) {
                     return std::tie(targets[a].version, targets[a].running) <
                            std::tie(targets[b].version, targets[b].running);
                   });
  const std::size_t available = limits.max_concurrent > in_progress
                                    ? limits.max_concurrent - in_progress
                                    : 0;
  outdated.resize(std::min(outdated.size(), available));
  return outdated;
}

}  // namespace beryllane::rollout
