/// @file
/// Placement of completion requests.
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

/// What placement needs to know about a request. All but `excluded` stays the
/// same for all attempts.
struct CompletionPlan {
  std::shared_ptr<const router::RoutingState> state;
  const config::Model* model = nullptr;
  const router::PoolTargets* targets = nullptr;
  /// Not set by `MakePlan`; `CompletionHandler` sets it before forwarding.
  config::RequestKind kind;
  std::string cache_salt;
  std::vector<placement::PrefixLevel> levels;
  std::uint32_t tokens = 0;
  std::size_t bytes = 0;
  std::uint64_t nonce = 0;
  /// Ids of targets at which an attempt of this request failed.
  std::vector<std::uint64_t> excluded;
};

/// Looks up the model and its pool and hashes the prompt's prefixes. Fails with
/// `kUnknownModel`. @pre
/// `state->is_ready()`.
Result<CompletionPlan> MakePlan(
    const CompletionRequest& request, const std::string& account,
    std::shared_ptr<const router::RoutingState> state);

/// Chooses the target of the next attempt. @pre `plan` was returned by
/// `MakePlan`; its `kind` need not be set. Thread-safe.
placement::Decision DecidePlacement(const CompletionPlan& plan,
                                    router::Node& node,
                                    std::chrono::nanoseconds time_left);

/// Counts the request in the arrival rates of its prefixes. @pre called once
/// per request.
void CountPrefixArrivals(const CompletionPlan& plan, router::Node& node);

/// Records that the engine with this incarnation has the plan's prefixes in its
/// cache. @pre none.
void RecordCachedPrefixes(const CompletionPlan& plan, router::Node& node,
                          std::uint64_t incarnation);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_COMPLETION_PLAN_H_
