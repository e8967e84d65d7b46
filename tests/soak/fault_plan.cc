#include "tests/soak/fault_plan.h"

#include <array>
#include <random>
#include <string_view>

#include "fmt/format.h"

namespace beryllane::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, kFaultKinds> kNames{
    "kill router",
    "stop router",
    "pause router",
    "reload router",
    "kill target",
    "pause target",
    "target loses answers",
    "target fails",
    "target refuses",
    "target cuts streams",
    "target ignores orders",
    "target leaves",
    "target asks for a pause",
    "link to target",
    "link to store",
    "store down",
    "store silent",
    "store slow",
    "store loses answers",
    "pause store",
    "revoke key",
    "name weights"};
constexpr std::array<std::string_view, 6> kLinkNames{
    "", "delay", "reset", "cut to target", "cut to caller", "silence"};

// Distributions of the standard library differ between implementations.
int Draw(std::mt19937_64& random, int from, int to) {
  const std::uint64_t width =
      static_cast<std::uint64_t>(to) - static_cast<std::uint64_t>(from) + 1;
  return from + static_cast<int>(random() % width);
}

bool ConcernsRouter(FaultKind kind) {
  return kind <= FaultKind::kReloadRouter || kind == FaultKind::kStoreLink;
}

}  // namespace

std::vector<Fault> DrawPlan(std::uint64_t seed, const PlanShape& shape) {
  // Two or three faults last at once on average, more in some spans.
  constexpr int kLongestGapMs = 1200;
  constexpr int kShortestMs = 100;
  constexpr int kLongestMs = 3500;
  // Well over the bound in which a revoked key must be out of force.
  constexpr int kLongestOfStoreMs = 9000;
  std::mt19937_64 random(seed);
  std::vector<Fault> plan;
  milliseconds at{0};
  for (;;) {
    at += milliseconds(Draw(random, 0, kLongestGapMs));
    if (at >= shape.span) return plan;
    Fault fault;
    fault.kind = static_cast<FaultKind>(Draw(random, 0, kFaultKinds - 1));
    fault.index =
        Draw(random, 0,
             (ConcernsRouter(fault.kind) ? shape.routers : shape.targets) - 1);
    const int link = Draw(random, 1, static_cast<int>(LinkFault::kSilence));
    if (fault.kind == FaultKind::kTargetLink ||
        fault.kind == FaultKind::kStoreLink) {
      fault.link = static_cast<LinkFault>(link);
    }
    fault.at = at;
    const bool concerns_store = fault.kind >= FaultKind::kStoreLink &&
                                fault.kind != FaultKind::kNameWeights;
    fault.lasts = milliseconds(Draw(
        random, kShortestMs, concerns_store ? kLongestOfStoreMs : kLongestMs));
    plan.push_back(fault);
  }
}

std::string Describe(const Fault& fault) {
  return fmt::format(
      "{} ms: {} {} {} for {} ms", fault.at.count(),
      kNames.at(static_cast<std::size_t>(fault.kind)), fault.index,
      kLinkNames.at(static_cast<std::size_t>(fault.link)), fault.lasts.count());
}

}  // namespace beryllane::soak
