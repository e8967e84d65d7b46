#include "src/caller/completion_plan.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace beryllane::caller {

Result<CompletionPlan> MakePlan(
    const CompletionRequest& request, const std::string& account,
    std::shared_ptr<const router::RoutingState> state) {
  const config::Config& config = *state->config;
  const auto model = config.models.find(request.model);
  if (model == config.models.end()) {
    return Error{ErrorId::kUnknownModel,
                 fmt::format("\"{}\" is not a model", request.model),
                 Verdict::kNotRun};
  }
  CompletionPlan plan;
  plan.state = std::move(state);
  plan.model = &model->second;
  plan.targets = &plan.state->pools.at(plan.model->pool);
  plan.nonce = telemetry::RandomId();
  const Hash128 salt =
      placement::SaltHash({account, plan.model->name, plan.model->adapter,
                           plan.model->weights_version});
  plan.cache_salt = ToHex(salt);
  placement::PrefixChain chain(salt);
  for (const Message& message : request.messages) {
    chain.AddMessage(message.role, message.content);
    plan.bytes += message.content.size();
  }
  plan.levels = chain.levels();
  plan.tokens = std::max<std::uint32_t>(1, chain.tokens());
  return plan;
}

placement::Decision DecidePlacement(const CompletionPlan& plan,
                                    router::Node& node,
                                    std::chrono::nanoseconds time_left) {
  placement::PlacementRequest request;
  request.levels = plan.levels;
  request.tokens = plan.tokens;
  request.max_time_to_first_token = time_left;
  request.bytes = plan.bytes;
  request.nonce = plan.nonce;
  request.excluded = plan.excluded;
  placement::PolicyOptions options;
  options.live_routers = std::max<std::size_t>(1, plan.state->routers.size());
  return placement::Decide(request, plan.targets->view, node.reuse(),
                           node.rates(), options, RuntimeClock::now());
}

void CountPrefixArrivals(const CompletionPlan& plan, router::Node& node) {
  const auto now = RuntimeClock::now();
  for (const placement::PrefixLevel& level : plan.levels) {
    node.rates().AddArrival(level.hash, now);
  }
}

void RecordCachedPrefixes(const CompletionPlan& plan, router::Node& node,
                          std::uint64_t incarnation) {
  const auto now = RuntimeClock::now();
  for (const placement::PrefixLevel& level : plan.levels) {
    node.reuse().Insert(level.hash, incarnation, now);
  }
}

}  // namespace beryllane::caller
