#include <algorithm>
#include <tuple>

#include "beryllane/rollout/planner.h"

namespace beryllane::rollout {

std::vector<std::size_t> PlanOrders(const std::vector<TargetState>& targets,
                                    std::uint64_t desired, Limits limits) {
  std::size_t under_way = 0;
  std::vector<std::size_t> lagging;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const TargetState& target = targets[i];
    if (target.is_switching) {
      ++under_way;
    } else if (target.is_usable && target.version < desired) {
      lagging.push_back(i);
    }
  }
  std::stable_sort(lagging.begin(), lagging.end(),
                   [&targets](std::size_t a, std::size_t b) {
                     return std::tie(targets[a].version, targets[a].running) <
                            std::tie(targets[b].version, targets[b].running);
                   });
  const std::size_t room =
      limits.at_once > under_way ? limits.at_once - under_way : 0;
  lagging.resize(std::min(lagging.size(), room));
  return lagging;
}

}  // namespace beryllane::rollout
