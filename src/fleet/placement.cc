#include "src/fleet/placement.h"

#include <algorithm>
#include <utility>

#include "beryllane/placement/prefix_policy.h"
#include "fmt/format.h"

namespace beryllane::fleet {
namespace {

using placement::Distance;
using std::chrono::milliseconds;
using Millis = std::chrono::duration<double, std::milli>;

// Requests that begin on older weights lose part of their worth after this
// time.
constexpr milliseconds kFreeLag{1300};
constexpr Millis kStalePenalty{150};
// Slow-down of a runner's step for each further request in its batch.
constexpr double kWaitMsPerRequest = 1.5;
// A plain service's wait once all slots are taken, for each further request.
constexpr double kServiceMsPerQueued = 25;
// What crossing a region costs a small request in time and bytes.
constexpr double kServiceOtherRegionMs = 26;
constexpr Millis kFullPenalty{150};
// Longest wait for another request to read the parts that both share. Reading
// them again would take as long, and hold up all others of the runner.
constexpr milliseconds kLongestJoinWait{150};

std::string RegionOf(const RouterLocation& router_location,
                     const std::string& zone) {
  const auto it = router_location.region_of_zone.find(zone);
  return it == router_location.region_of_zone.end() ? zone : it->second;
}

Distance DistanceTo(const RouterLocation& router_location,
                    const std::string& zone) {
  if (zone == router_location.availability_zone) return Distance::kSameZone;
  return RegionOf(router_location, zone) == router_location.region
             ? Distance::kSameRegion
             : Distance::kOtherRegion;
}

std::uint32_t ShortHash(const std::string& text) {
  return static_cast<std::uint32_t>(HashBytes(text).low);
}

// Targets that may take the request now, best first by health.
std::vector<std::shared_ptr<Runner>> Eligible(const Fleet& fleet,
                                              const PlacementInput& input,
                                              RuntimeClock::time_point now) {
  std::vector<std::shared_ptr<Runner>> healthy;
  std::vector<std::shared_ptr<Runner>> doubtful;
  for (auto& runner : fleet.AvailableTargets(input.service.name)) {
    const auto& tried = input.tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), runner->entry.id) != tried.end();
    if (was_tried || runner->switching_until > now) continue;
    auto& group = runner->suspect_until > now ? doubtful : healthy;
    group.push_back(std::move(runner));
  }
  return healthy.empty() ? doubtful : healthy;
}

// Targets that were tried and can be copied from all the same: most refuse
// because they are full.
std::vector<std::shared_ptr<Runner>> TriedSources(
    const Fleet& fleet, const PlacementInput& input, std::uint64_t version,
    RuntimeClock::time_point now) {
  std::vector<std::shared_ptr<Runner>> sources;
  for (auto& runner : fleet.AvailableTargets(input.service.name)) {
    const auto& tried = input.tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), runner->entry.id) != tried.end();
    const bool is_source = was_tried && runner->suspect_until <= now &&
                           runner->VersionOf(input.request.model) == version;
    if (is_source) sources.push_back(std::move(runner));
  }
  return sources;
}

PlacementDecision ChooseForService(
    const std::vector<std::shared_ptr<Runner>>& runners,
    const RouterLocation& router_location, RuntimeClock::time_point now) {
  PlacementDecision best;
  for (const auto& runner : runners) {
    const double queued = runner->EstimatedLoad(now) + 1 - runner->entry.slots;
    double cost = std::max(0.0, queued) * kServiceMsPerQueued +
                  runner->EstimatedLoad(now);
    if (DistanceTo(router_location, runner->entry.availability_zone) ==
        Distance::kOtherRegion) {
      cost += kServiceOtherRegionMs;
    }
    if (runner->full_until > now) cost += kFullPenalty.count();
    if (best.runner && cost >= best.cost_ms) continue;
    best.runner = runner;
    best.cost_ms = cost;
  }
  best.candidates = runners.size();
  return best;
}

// What holds for all runners of one weights version.
struct PromptView {
  std::string salt;
  std::vector<std::uint64_t> keys;
  Hash128 home_key;
};

PromptView ViewOf(const PlacementInput& input, std::uint64_t version) {
  PromptView view;
  view.salt = CacheSalt(version, input.account);
  view.keys = PartKeys(input.request, view.salt);
  // The home of a part is the same under each version, so that a part is read
  // anew at the runner that serves it already.
  const auto& parts = input.request.parts;
  const std::size_t deepest = parts.size() < 2 ? 0 : parts.size() - 2;
  view.home_key =
      HashBytes(parts.empty() ? input.request.id : parts[deepest].id);
  return view;
}

PlacementDecision ChooseForEngine(const Fleet& fleet,
                                  const RouterLocation& router_location,
                                  const PlacementInput& input,
                                  std::vector<std::shared_ptr<Runner>> runners,
                                  std::uint64_t version,
                                  RuntimeClock::time_point now) {
  const std::size_t eligible = runners.size();
  for (auto& source : TriedSources(fleet, input, version, now)) {
    runners.push_back(std::move(source));
  }
  const PromptView view = ViewOf(input, version);
  const auto& parts = input.request.parts;
  const DesiredWeightsState goal = fleet.DesiredWeightsOf(input.request.model);
  const auto lag = goal.Lag(version, BootClock::now());
  placement::PrefixWeights weights;
  placement::PrefixQuery query;
  query.home_key = view.home_key;
  query.kv_bytes_per_token = input.service.engine->kv_bytes_per_token;
  query.link_mbps = input.service.engine->link_mbps;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    query.shared_tokens += parts[i].tokens;
  }
  std::vector<placement::PrefixCandidate> candidates;
  for (const auto& runner : runners) {
    placement::PrefixCandidate candidate;
    candidate.id_hash = runner->id_hash;
    candidate.wait =
        Millis(runner->PendingPrefillTokens(now) / weights.tokens_per_ms +
               kWaitMsPerRequest * runner->EstimatedLoad(now));
    if (runner->full_until > now) candidate.wait += kFullPenalty;
    for (std::size_t i = 0;
         i < view.keys.size() && runner->cache.Contains(view.keys[i]); ++i) {
      candidate.held_tokens += parts[i].tokens;
    }
    candidate.distance =
        DistanceTo(router_location, runner->entry.availability_zone);
    candidate.zone = ShortHash(runner->entry.availability_zone);
    candidate.region =
        ShortHash(RegionOf(router_location, runner->entry.availability_zone));
    candidate.is_eligible = candidates.size() < eligible;
    if (lag > kFreeLag) candidate.stale_penalty = kStalePenalty;
    candidates.push_back(candidate);
  }
  const placement::PrefixDecision decision =
      placement::ChooseByPrefix(candidates, query, weights);
  PlacementDecision choice;
  choice.runner = runners[decision.index];
  if (decision.fetch_from) {
    choice.fetch_from = runners[*decision.fetch_from]->entry.address;
  }
  if (version > 0) choice.weights_version = version;
  choice.cache_salt = view.salt;
  const std::uint32_t held = candidates[decision.index].held_tokens;
  choice.held_tokens = held;
  choice.uncached_tokens = input.request.prompt_tokens > held
                               ? input.request.prompt_tokens - held
                               : 0;
  choice.cost_ms = decision.price.count();
  choice.candidates = eligible;
  for (const std::uint64_t key : view.keys) {
    const PartCache& cache = choice.runner->cache;
    const bool is_copied = !cache.Contains(key) && decision.fetch_from;
    const PartCache& holder =
        is_copied ? runners[*decision.fetch_from]->cache : cache;
    choice.not_before = std::max(choice.not_before, holder.ReadyAt(key));
  }
  choice.not_before = std::min(choice.not_before, now + kLongestJoinWait);
  return choice;
}

Error NoTarget(const PlacementInput& input) {
  return {ErrorId::kNoTarget,
          fmt::format("service {} has no target that can take the request",
                      input.service.name),
          Verdict::kNotRun};
}

}  // namespace

std::string CacheSalt(std::uint64_t version, const Account* account) {
  const bool is_isolated = account != nullptr && account->is_isolated;
  return is_isolated ? fmt::format("v{}.{}", version, account->name)
                     : fmt::format("v{}", version);
}

std::vector<std::uint64_t> PartKeys(const platform::CallerRequest& request,
                                    const std::string& salt) {
  std::vector<std::uint64_t> keys;
  for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
    keys.push_back(PartKey(salt, request.parts[i].id));
  }
  return keys;
}

std::uint64_t PartKey(const std::string& salt, const std::string& part_id) {
  return ChainHash(HashBytes(salt), part_id).low;
}

Result<PlacementDecision> ChooseTarget(const Fleet& fleet,
                                       const RouterLocation& router_location,
                                       const PlacementInput& input,
                                       RuntimeClock::time_point now) {
  const auto runners = Eligible(fleet, input, now);
  if (runners.empty()) return NoTarget(input);
  if (!input.service.engine)
    return ChooseForService(runners, router_location, now);
  // Runners with the same weights compete with each other; an older version
  // is used only where it is cheaper.
  std::map<std::uint64_t, std::vector<std::shared_ptr<Runner>>> by_version;
  for (const auto& runner : runners) {
    by_version[runner->VersionOf(input.request.model)].push_back(runner);
  }
  const DesiredWeightsState goal = fleet.DesiredWeightsOf(input.request.model);
  const auto boot_now = BootClock::now();
  // A version found at the start may have been named long ago, unless no
  // target has it yet.
  const bool is_goal_in_use = by_version.rbegin()->first >= goal.version &&
                              goal.initial_versions.contains(goal.version);
  std::optional<PlacementDecision> best;
  for (auto it = by_version.rbegin(); it != by_version.rend(); ++it) {
    const bool is_too_old =
        goal.Lag(it->first, boot_now) > router_location.max_weights_lag ||
        (is_goal_in_use && it->first < goal.version);
    if (is_too_old) continue;
    PlacementDecision choice = ChooseForEngine(fleet, router_location, input,
                                               it->second, it->first, now);
    if (!best || choice.cost_ms < best->cost_ms) best = std::move(choice);
  }
  if (!best) return NoTarget(input);
  return std::move(*best);
}

}  // namespace beryllane::fleet
