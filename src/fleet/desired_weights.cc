#include "src/fleet/desired_weights.h"

#include <algorithm>

namespace beryllane::fleet {

bool DesiredWeightsState::Add(
    std::uint64_t version, BootClock::time_point now,
    std::optional<BootClock::time_point> complete_until) {
  if (version <= version_) return false;
  version_ = version;
  namings_[version] = {now, complete_until};
  return true;
}

const DesiredWeightsState::Naming* DesiredWeightsState::FirstNewer(
    std::uint64_t used) const {
  const auto newer = namings_.upper_bound(used);
  return newer == namings_.end() ? nullptr : &newer->second;
}

std::chrono::nanoseconds DesiredWeightsState::Lag(
    std::uint64_t used, BootClock::time_point now) const {
  const Naming* newer = FirstNewer(used);
  return newer == nullptr ? std::chrono::nanoseconds(0) : now - newer->read_at;
}

std::optional<BootClock::time_point> DesiredWeightsState::StartDeadline(
    std::uint64_t used, const WeightsBounds& bounds) const {
  const Naming* newer = FirstNewer(used);
  if (newer == nullptr) return std::nullopt;
  const auto settled = newer->read_at + bounds.settle_time;
  const auto deadline =
      newer->not_before
          ? std::max(*newer->not_before + bounds.lifetime, settled)
          : settled;
  return deadline - bounds.withdraw_time;
}

bool DesiredWeightsState::IsNamingUncertain(std::uint64_t used,
                                            const WeightsBounds& bounds) const {
  const Naming* newer = FirstNewer(used);
  if (newer == nullptr) return false;
  return !newer->not_before || *newer->not_before + bounds.lifetime <
                                   newer->read_at + bounds.settle_time;
}

}  // namespace beryllane::fleet
