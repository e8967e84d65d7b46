/// @file
/// The faults of one soak, drawn from a seed.
#ifndef BERYLLANE_TESTS_SOAK_FAULT_PLAN_H_
#define BERYLLANE_TESTS_SOAK_FAULT_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/soak/loopback_proxies.h"

namespace beryllane::soak {

/// What is done to the fleet. Each kind ends by being taken back.
enum class FaultKind {
  kKillRouter,
  /// SIGTERM; started again once it has ended.
  kStopRouter,
  kPauseRouter,
  kReloadRouter,
  kKillTarget,
  kPauseTarget,
  /// The target runs requests and closes their connections unanswered.
  kTargetLosesAnswers,
  kTargetFails,
  kTargetRefuses,
  /// Streams break off within an event.
  kTargetCutsStreams,
  kTargetIgnoresOrders,
  /// The target announces in its answers that it leaves; replaced by a new
  /// incarnation in the end.
  kTargetLeaves,
  /// The target turns requests away and asks for a pause.
  kTargetAsksForPause,
  /// The link to a target.
  kTargetLink,
  /// The link of one router to the store.
  kStoreLink,
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesAnswers,
  kPauseStore,
  /// A configuration that takes a key away, then one that gives it back.
  kRevokeKey,
  /// Newer weights are named.
  kNameWeights,
};
inline constexpr int kFaultKinds = 22;

/// One fault. `index` counts routers or targets, model runners first.
struct Fault {
  FaultKind kind = FaultKind::kKillRouter;
  LinkFault link = LinkFault::kNone;
  int index = 0;
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds lasts{0};
};

/// Sizes that a plan is drawn for.
struct PlanShape {
  int routers = 3;
  int targets = 5;
  /// Faults begin before this; the last end some seconds later.
  std::chrono::milliseconds span{8000};
};

/// Faults in the order of their beginnings, which may overlap. The same seed
/// and shape give the same plan everywhere. @pre both counts > 0.
/// Thread-safe.
std::vector<Fault> DrawPlan(std::uint64_t seed, const PlanShape& shape);

/// One line for people. @pre none. Thread-safe.
std::string Describe(const Fault& fault);

}  // namespace beryllane::soak

#endif  // BERYLLANE_TESTS_SOAK_FAULT_PLAN_H_
