/// @file
/// Turns a parsed completion request into placement decisions.
#ifndef BERYLLANE_SRC_CALLER_COMPLETION_PLAN_H_
#define BERYLLANE_SRC_CALLER_COMPLETION_PLAN_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "beryllane/placement/policy.h"
#include "src/caller/completion_request.h"
#include "src/config/config.h"
#include "src/router/node.h"

namespace beryllane::caller {

/// Everything about a request that stays the same over its attempts.
struct CompletionPlan {
  std::shared_ptr<const router::RoutingState> state;
  const config::Model* model = nullptr;
  const router::PoolTargets* targets = nullptr;
  config::RequestKind kind;
  std::string cache_salt;
  std::vector<placement::PrefixLevel> levels;
  std::uint32_t tokens = 0;
  std::size_t bytes = 0;
  std::uint64_t nonce = 0;
  /// Targets that failed this request.
  std::vector<std::uint64_t> excluded;
};

/// Finds the model's pool and hashes the prompt. @pre `state` is ready.
Result<CompletionPlan> MakePlan(
    const CompletionRequest& request, const std::string& account,
    std::shared_ptr<const router::RoutingState> state);

/// Decides on the next attempt. @pre `plan` is complete. Thread-safe.
placement::Decision DecidePlacement(const CompletionPlan& plan,
                                    router::Node& node,
                                    std::chrono::nanoseconds time_left);

/// Counts the arrival of the plan's prefixes. @pre called once per request.
void CountPrefixArrivals(const CompletionPlan& plan, router::Node& node);

/// Notes that a runner now holds the plan's prefixes. @pre none.
void RecordCachedPrefixes(const CompletionPlan& plan, router::Node& node,
                          std::uint64_t incarnation);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_COMPLETION_PLAN_H_
