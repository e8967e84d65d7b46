#include "src/fleet/placement.h"

#include <algorithm>
#include <utility>

#include "beryllane/placement/prefix_policy.h"
#include "fmt/format.h"

namespace beryllane::fleet {
namespace {

using placement::Distance;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Millis = std::chrono::duration<double, std::milli>;

// A request that starts on older weights loses part of its worth once newer
// weights have been named for longer than this.
constexpr milliseconds kPenaltyFreeLag{1300};
constexpr Millis kStalePenalty{150};
// Predicted wait at a target before a run begins: at least the minimum, and
// longer than the recent waits, as load may grow.
constexpr milliseconds kMinStartWait{1000};
constexpr double kStartWaitFactor = 1.25;
// Additional time of a runner's decoding step per request in its batch.
constexpr double kWaitMsPerRequest = 1.5;
// Wait at a plain service per request above its number of slots.
constexpr double kServiceWaitMsPerQueued = 25;
// Cost of sending a small request to another region, in latency and in billed
// bytes.
constexpr double kServiceOtherRegionCostMs = 26;
constexpr Millis kFullPenalty{150};
// Maximum wait for another request to complete the prefill of shared parts. A
// second prefill would take as long and would delay all other requests of the
// runner.
constexpr milliseconds kMaxSendDelay{150};

std::string RegionOf(const PlacementSettings& settings,
                     const std::string& zone) {
  const auto it = settings.region_of_zone.find(zone);
  return it == settings.region_of_zone.end() ? zone : it->second;
}

Distance DistanceTo(const PlacementSettings& settings,
                    const std::string& zone) {
  if (zone == settings.availability_zone) return Distance::kSameZone;
  return RegionOf(settings, zone) == settings.region ? Distance::kSameRegion
                                                     : Distance::kOtherRegion;
}

std::uint32_t ShortHash(const std::string& text) {
  return static_cast<std::uint32_t>(HashBytes(text).low);
}

// The targets that can take the request now: the healthy ones, or the suspect
// ones if there is no other.
std::vector<std::shared_ptr<Runner>> SelectEligible(
    std::vector<std::shared_ptr<Runner>> targets, const PlacementInput& input,
    RuntimeClock::time_point now) {
  std::vector<std::shared_ptr<Runner>> healthy;
  std::vector<std::shared_ptr<Runner>> suspects;
  for (auto& runner : targets) {
    const auto& tried = input.tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), runner->entry.id) != tried.end();
    const bool may_place = runner->gate->pause().MayPlace(now);
    if (was_tried || !may_place || runner->switching_until > now) continue;
    auto& group = runner->suspect_until > now ? suspects : healthy;
    group.push_back(std::move(runner));
  }
  return healthy.empty() ? suspects : healthy;
}

// Leaving targets are eligible only if there is no other.
std::vector<std::shared_ptr<Runner>> Eligible(const Fleet& fleet,
                                              const PlacementInput& input,
                                              RuntimeClock::time_point now) {
  const std::string& service = input.service.name;
  auto eligible = SelectEligible(fleet.AvailableTargets(service), input, now);
  if (!eligible.empty()) return eligible;
  return SelectEligible(fleet.LastResorts(service, input.started), input, now);
}

// Targets of earlier attempts from which cached parts can still be copied: most
// of them refused only because they are full.
std::vector<std::shared_ptr<Runner>> TriedSources(
    const Fleet& fleet, const PlacementInput& input, std::uint64_t version,
    RuntimeClock::time_point now) {
  std::vector<std::shared_ptr<Runner>> sources;
  for (auto& runner : fleet.AvailableTargets(input.service.name)) {
    const auto& tried = input.tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), runner->entry.id) != tried.end();
    const bool is_source = was_tried && runner->suspect_until <= now &&
                           !runner->gate->pause().IsPaused(now) &&
                           runner->VersionOf(input.request.model) == version;
    if (is_source) sources.push_back(std::move(runner));
  }
  return sources;
}

PlacementDecision ChooseForService(
    const std::vector<std::shared_ptr<Runner>>& runners,
    const PlacementSettings& settings, RuntimeClock::time_point now) {
  PlacementDecision best;
  for (const auto& runner : runners) {
    const double queued = runner->EstimatedLoad(now) + 1 - runner->entry.slots;
    double cost = std::max(0.0, queued) * kServiceWaitMsPerQueued +
                  runner->EstimatedLoad(now);
    if (DistanceTo(settings, runner->entry.availability_zone) ==
        Distance::kOtherRegion) {
      cost += kServiceOtherRegionCostMs;
    }
    if (runner->full_until > now) cost += kFullPenalty.count();
    if (best.runner && cost >= best.cost_ms) continue;
    best.runner = runner;
    best.cost_ms = cost;
  }
  best.candidates = runners.size();
  return best;
}

// Keys of the prompt, common to all runners with one weights version.
struct PromptKeys {
  std::string salt;
  std::vector<std::uint64_t> keys;
  Hash128 preferred_key;
};

PromptKeys KeysOf(const PlacementInput& input, std::uint64_t version) {
  PromptKeys prompt_keys;
  prompt_keys.salt = CacheSalt(version, input.account);
  prompt_keys.keys = PartKeys(input.request, prompt_keys.salt);
  // The preferred target of a part does not depend on the weights version.
  // After a switch the part is cached again at the runner that already serves
  // it.
  const auto& parts = input.request.parts;
  const std::size_t deepest = parts.size() < 2 ? 0 : parts.size() - 2;
  prompt_keys.preferred_key =
      HashBytes(parts.empty() ? input.request.id : parts[deepest].id);
  return prompt_keys;
}

// The runner from which parts are copied; null if there is none.
std::shared_ptr<Runner> SourceOf(
    const placement::PrefixDecision& decision,
    const std::vector<std::shared_ptr<Runner>>& runners,
    RuntimeClock::time_point now) {
  if (!decision.fetch_from) return nullptr;
  const auto& source = runners[*decision.fetch_from];
  const bool may_copy = source->gate->MaySend({SendKind::kCopySource}, now);
  return may_copy ? source : nullptr;
}

PlacementDecision ChooseForEngine(const Fleet& fleet,
                                  const PlacementSettings& settings,
                                  const PlacementInput& input,
                                  std::vector<std::shared_ptr<Runner>> runners,
                                  std::uint64_t version,
                                  RuntimeClock::time_point now) {
  const std::size_t eligible = runners.size();
  for (auto& source : TriedSources(fleet, input, version, now)) {
    runners.push_back(std::move(source));
  }
  const PromptKeys prompt_keys = KeysOf(input, version);
  const auto& parts = input.request.parts;
  const DesiredWeightsState desired =
      fleet.DesiredWeightsOf(input.request.model);
  const auto lag = desired.Lag(version, BootClock::now());
  placement::PrefixWeights weights;
  placement::PrefixQuery query;
  query.rendezvous_key = prompt_keys.preferred_key;
  query.kv_bytes_per_token = input.service.engine->kv_bytes_per_token;
  query.link_mbps = input.service.engine->link_mbps;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    query.shared_tokens += parts[i].tokens;
  }
  std::vector<placement::PrefixCandidate> candidates;
  for (const auto& runner : runners) {
    placement::PrefixCandidate candidate;
    candidate.id_hash = runner->id_hash;
    candidate.wait = Millis(runner->PendingPrefillTokens(now) /
                                weights.prefill_tokens_per_ms +
                            kWaitMsPerRequest * runner->EstimatedLoad(now));
    if (runner->full_until > now) candidate.wait += kFullPenalty;
    for (std::size_t i = 0; i < prompt_keys.keys.size() &&
                            runner->cache.Contains(prompt_keys.keys[i]);
         ++i) {
      candidate.held_tokens += parts[i].tokens;
    }
    candidate.distance = DistanceTo(settings, runner->entry.availability_zone);
    candidate.zone = ShortHash(runner->entry.availability_zone);
    candidate.region =
        ShortHash(RegionOf(settings, runner->entry.availability_zone));
    candidate.is_eligible = candidates.size() < eligible;
    if (lag > kPenaltyFreeLag) candidate.stale_weights_penalty = kStalePenalty;
    candidates.push_back(candidate);
  }
  const placement::PrefixDecision decision =
      placement::ChooseByPrefix(candidates, query, weights);
  PlacementDecision choice;
  choice.runner = runners[decision.index];
  const std::shared_ptr<Runner> source = SourceOf(decision, runners, now);
  if (source) choice.fetch_from = source->entry.address;
  choice.fetch_source = source;
  if (version > 0) choice.weights_version = version;
  choice.cache_salt = prompt_keys.salt;
  const std::uint32_t held = candidates[decision.index].held_tokens;
  choice.held_tokens = held;
  choice.uncached_tokens = input.request.prompt_tokens > held
                               ? input.request.prompt_tokens - held
                               : 0;
  choice.cost_ms = decision.cost.count();
  choice.candidates = eligible;
  for (const std::uint64_t key : prompt_keys.keys) {
    const PartCache& cache = choice.runner->cache;
    const bool is_copied = !cache.Contains(key) && source != nullptr;
    const PartCache& holder = is_copied ? source->cache : cache;
    choice.not_before = std::max(choice.not_before, holder.ReadyAt(key));
  }
  choice.not_before = std::min(choice.not_before, now + kMaxSendDelay);
  return choice;
}

// Counts the request at the targets that pauses keep from taking it; returns
// their number.
std::uint64_t CountPassedOver(const Fleet& fleet, const std::string& service,
                              RuntimeClock::time_point now) {
  std::uint64_t paused = 0;
  for (const auto& runner : fleet.AvailableTargets(service)) {
    TargetPause& pause = runner->gate->pause();
    if (pause.MayPlace(now)) continue;
    pause.CountPassedOver();
    ++paused;
  }
  return paused;
}

Error NoTarget(const PlacementInput& input) {
  return {ErrorId::kNoTarget,
          fmt::format("service {} has no target that can take the request",
                      input.service.name),
          Verdict::kNotRun};
}

// Whether a run at `runner` on its present weights will probably begin by the
// deadline for these weights.
bool WillStartInTime(const DesiredWeightsState& desired, const Runner& runner,
                     const std::string& model, const WeightsBounds& bounds) {
  const auto deadline = desired.StartDeadline(runner.VersionOf(model), bounds);
  if (!deadline) return true;
  const auto predicted =
      kStartWaitFactor * duration_cast<milliseconds>(
                             runner.start_wait.Predict(RuntimeClock::now()));
  const auto wait = std::max<Millis>(kMinStartWait, predicted);
  return BootClock::now() + duration_cast<milliseconds>(wait) < *deadline;
}

Result<PlacementDecision> ChooseByCost(const Fleet& fleet,
                                       const PlacementSettings& settings,
                                       const PlacementInput& input,
                                       RuntimeClock::time_point now) {
  const auto runners = Eligible(fleet, input, now);
  if (runners.empty()) return NoTarget(input);
  if (!input.service.engine) return ChooseForService(runners, settings, now);
  // Runners are compared with those that have the same weights version; the
  // version whose best runner has the lowest cost is used.
  std::map<std::uint64_t, std::vector<std::shared_ptr<Runner>>> by_version;
  for (const auto& runner : runners) {
    by_version[runner->VersionOf(input.request.model)].push_back(runner);
  }
  const DesiredWeightsState desired =
      fleet.DesiredWeightsOf(input.request.model);
  const std::uint64_t newest = by_version.rbegin()->first;
  std::optional<PlacementDecision> best;
  for (auto it = by_version.rbegin(); it != by_version.rend(); ++it) {
    // If the deadline is a guess, older weights serve only until a target has
    // newer ones.
    const bool is_replaced =
        it->first < newest && newest >= desired.version() &&
        desired.IsNamingUncertain(it->first, settings.weights);
    if (is_replaced) continue;
    std::erase_if(it->second, [&](const auto& runner) {
      return !WillStartInTime(desired, *runner, input.request.model,
                              settings.weights);
    });
    if (it->second.empty()) continue;
    PlacementDecision choice =
        ChooseForEngine(fleet, settings, input, it->second, it->first, now);
    if (!best || choice.cost_ms < best->cost_ms) best = std::move(choice);
  }
  if (!best) return NoTarget(input);
  return std::move(*best);
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
                                       const PlacementSettings& settings,
                                       const PlacementInput& input,
                                       RuntimeClock::time_point now) {
  // Targets whose limits rule them out may still be copied from, like those
  // that were tried.
  std::vector<std::string> ruled_out = input.tried;
  for (;;) {
    const PlacementInput rest{input.service, input.account, input.request,
                              ruled_out,     input.started, input.is_large};
    auto choice = ChooseByCost(fleet, settings, rest, now);
    if (!choice.ok()) {
      const bool is_held_back =
          ruled_out.size() > input.tried.size() ||
          TimeToCapacity(fleet, input.service.name, now) > nanoseconds(0);
      if (!is_held_back) return choice;
      return Error{ErrorId::kOverloaded,
                   fmt::format("the targets of service {} are at the limits "
                               "that they named, or asked for a pause",
                               input.service.name),
                   Verdict::kNotRun};
    }
    Runner& runner = *choice.value().runner;
    choice.value().is_last_resort = !runner.gate->IsOpen();
    runner.limit.CountDemand(now);
    if (runner.limit.MaySend(fleet.live_peers(), now, input.is_large)) {
      choice.value().paused = CountPassedOver(fleet, input.service.name, now);
      runner.gate->pause().OnPlaced(now);
      return choice;
    }
    ruled_out.push_back(runner.entry.id);
  }
}

std::chrono::nanoseconds TimeToCapacity(const Fleet& fleet,
                                        const std::string& service,
                                        RuntimeClock::time_point now) {
  auto shortest = std::chrono::nanoseconds::max();
  for (const auto& runner : fleet.AvailableTargets(service)) {
    shortest = std::min(
        shortest, std::max(runner->limit.TimeToSend(fleet.live_peers(), now),
                           runner->gate->pause().TimeToPlace(now)));
  }
  return shortest == std::chrono::nanoseconds::max()
             ? std::chrono::nanoseconds(0)
             : shortest;
}

}  // namespace beryllane::fleet
