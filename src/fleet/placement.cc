#include "src/fleet/placement.h"

#include <algorithm>
#include <array>
#include <utility>

#include "beryllane/placement/prefix_policy.h"
#include "fmt/format.h"
#include "src/fleet/cache_scope.h"

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
// Additional time of a runner's decoding step per request in its batch, at the
// usual step time.
constexpr double kWaitMsPerRequest = 1.5;
// Wait at a plain service per request above its number of slots.
constexpr double kServiceWaitMsPerQueued = 25;
// Cost of sending a small request to another region, in latency and in billed
// bytes.
constexpr double kServiceOtherRegionCostMs = 26;
// Added to the penalty for leaving the zone where the shares of the zones keep
// a request at home: the cost of crossing regions once more. Small differences
// between waits then do not bypass the shares, and large ones still do.
constexpr double kStayPenaltyMs = 45;
constexpr Millis kFullPenalty{150};
// Maximum wait for another request to complete the prefill of shared parts. A
// second prefill would take as long and would delay all other requests of the
// runner.
constexpr milliseconds kMaxSendDelay{150};

using Runners = std::vector<std::shared_ptr<Runner>>;

// The locations of targets as the router sees them. A zone is looked up once.
class Locations {
 public:
  struct Location {
    Distance distance = Distance::kSameZone;
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
  };

  explicit Locations(const PlacementSettings& settings) : settings_(settings) {}

  const Location& Of(const Runner& runner) {
    const std::string& zone = runner.entry.availability_zone;
    const auto known =
        std::find_if(known_.begin(), known_.end(),
                     [&](const auto& entry) { return entry.first == zone; });
    if (known != known_.end()) return known->second;
    return known_.emplace_back(zone, Find(zone)).second;
  }

 private:
  Location Find(const std::string& zone) const {
    const auto listed = settings_.region_of_zone.find(zone);
    const std::string& region =
        listed == settings_.region_of_zone.end() ? zone : listed->second;
    Location location;
    location.zone = ZoneHash(zone);
    location.region = ZoneHash(region);
    if (zone != settings_.availability_zone) {
      location.distance = region == settings_.region ? Distance::kSameRegion
                                                     : Distance::kOtherRegion;
    }
    return location;
  }

  const PlacementSettings& settings_;
  std::vector<std::pair<std::string, Location>> known_;
};

// The targets that a request may go to, by preference: a tier is used only if
// no target of an earlier one can take the request.
struct Tier {
  Runners targets;
  // Parallel to `targets`: whether its limit or the wait at it rules the target
  // out now.
  std::vector<bool> is_limited;

  bool is_usable() const {
    return std::find(is_limited.begin(), is_limited.end(), false) !=
           is_limited.end();
  }
};

// Predicted wait for the start of a run at a model runner.
Millis PredictedWait(Runner& runner, RuntimeClock::time_point now) {
  const Millis prefill(runner.PendingPrefillTokens(now) /
                       runner.PrefillTokensPerMs(now));
  return prefill + Millis(kWaitMsPerRequest * runner.StepTimeFactor(now) *
                          runner.EstimatedLoad(now));
}

// Predicted wait at an instance of a plain service.
Millis ServiceWait(Runner& runner, RuntimeClock::time_point now) {
  const double queued = runner.EstimatedLoad(now) + 1 - runner.entry.slots;
  return Millis(std::max(0.0, queued) * kServiceWaitMsPerQueued);
}

// Penalty for the distance to a target where the zone of the request is chosen.
Millis LeavingPenalty(const ZoneChoice& choice,
                      const Locations::Location& location, double penalty) {
  if (location.distance == Distance::kSameZone) return Millis(0);
  if (choice.away == location.zone) return choice.round_trip;
  return Millis(penalty + kStayPenaltyMs);
}

// Whether the limit of a target or the wait at it rules the target out.
bool IsRuledOut(Runner& runner, const Fleet& fleet, const PlacementInput& input,
                RuntimeClock::time_point now) {
  const bool is_too_late =
      input.service.engine && PredictedWait(runner, now) > input.deadline - now;
  return is_too_late ||
         !runner.limit.MaySend(fleet.peer_activity(), now, input.is_large);
}

// Splits targets into the healthy and the suspect ones.
std::array<Tier, 2> SplitSuspects(Runners targets, const Fleet& fleet,
                                  const PlacementInput& input,
                                  RuntimeClock::time_point now) {
  std::array<Tier, 2> tiers;
  for (auto& runner : targets) {
    const auto& tried = input.tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), runner->entry.id) != tried.end();
    const bool may_place = runner->gate->pause().MayPlace(now);
    if (was_tried || !may_place || runner->switching_until > now) continue;
    Tier& tier = tiers[runner->suspect_until > now ? 1 : 0];
    tier.is_limited.push_back(IsRuledOut(*runner, fleet, input, now));
    tier.targets.push_back(std::move(runner));
  }
  return tiers;
}

// Targets of earlier attempts from which cached parts can still be copied: most
// of them refused only because they are full.
Runners TriedSources(const Fleet& fleet, const PlacementInput& input,
                     std::uint64_t version, RuntimeClock::time_point now) {
  Runners sources;
  if (input.tried.empty()) return sources;
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

// A choice, and the targets that cost less and are at their limits.
struct Choice {
  PlacementDecision decision;
  Runners passed_over;
};

// The zone that a request should be served in; `nullopt` where the service's
// targets do not report their pace and distance alone decides.
std::optional<ZoneChoice> ZoneOf(const Fleet& fleet,
                                 const PlacementSettings& settings,
                                 const PlacementInput& input,
                                 RuntimeClock::time_point now) {
  const std::string& service = input.service.name;
  if (!fleet.reports_pace(service)) return std::nullopt;
  ZoneBalance& balance = fleet.zone_balance();
  const ZoneMap zones{settings.availability_zone, settings.region,
                      settings.region_of_zone};
  if (balance.IsDue(service, now)) {
    std::vector<ZoneTarget> targets;
    for (const auto& runner : fleet.AvailableTargets(service)) {
      const bool is_usable = runner->suspect_until <= now &&
                             runner->switching_until <= now &&
                             runner->gate->pause().MayPlace(now);
      ZoneTarget target;
      target.zone = &runner->entry.availability_zone;
      target.slots = is_usable ? runner->entry.slots : 0;
      target.load = runner->EstimatedLoad(now);
      target.wait = duration_cast<nanoseconds>(input.service.engine
                                                   ? PredictedWait(*runner, now)
                                                   : ServiceWait(*runner, now));
      target.last_received_at = runner->last_received_at;
      targets.push_back(target);
    }
    balance.Update(service, zones, targets, now);
  }
  return balance.ZoneOf(service, HashBytes(input.request.id).low, input.goal);
}

Choice ChooseForService(const Fleet& fleet, const PlacementSettings& settings,
                        const PlacementInput& input, const Tier& tier,
                        RuntimeClock::time_point now) {
  Choice choice;
  const auto zone = ZoneOf(fleet, settings, input, now);
  PlacementDecision& best = choice.decision;
  Locations locations(settings);
  std::vector<std::pair<double, std::shared_ptr<Runner>>> limited;
  for (std::size_t i = 0; i < tier.targets.size(); ++i) {
    const std::shared_ptr<Runner>& runner = tier.targets[i];
    const double queued = runner->EstimatedLoad(now) + 1 - runner->entry.slots;
    double cost = std::max(0.0, queued) * kServiceWaitMsPerQueued +
                  runner->EstimatedLoad(now);
    const Locations::Location& location = locations.Of(*runner);
    const double penalty = location.distance == Distance::kOtherRegion
                               ? kServiceOtherRegionCostMs
                               : 0;
    cost += zone ? LeavingPenalty(*zone, location, penalty).count() : penalty;
    if (runner->full_until > now) cost += kFullPenalty.count();
    if (tier.is_limited[i]) {
      limited.emplace_back(cost, runner);
      continue;
    }
    if (best.runner && cost >= best.cost_ms) continue;
    best.runner = runner;
    best.cost_ms = cost;
  }
  best.candidates = tier.targets.size();
  for (auto& [cost, runner] : limited) {
    if (cost < best.cost_ms) choice.passed_over.push_back(std::move(runner));
  }
  return choice;
}

// Keys of the prompt, common to all runners with one weights version.
struct PromptKeys {
  std::string salt;
  std::vector<std::uint64_t> keys;
  Hash128 preferred_key;
};

PromptKeys KeysOf(const Fleet& fleet, const PlacementInput& input,
                  std::uint64_t version) {
  PromptKeys prompt_keys;
  // A request that was admitted by an earlier configuration must not reach
  // parts from which a newer one separates its account.
  prompt_keys.salt =
      CacheSalt(version, CacheScopeOf(fleet.config().get(), input.account));
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
std::shared_ptr<Runner> SourceOf(const placement::PrefixDecision& decision,
                                 const Runners& runners,
                                 RuntimeClock::time_point now) {
  if (!decision.fetch_from) return nullptr;
  const auto& source = runners[*decision.fetch_from];
  const bool may_copy = source->gate->MaySend({SendKind::kCopySource}, now);
  return may_copy ? source : nullptr;
}

double PenaltyOf(const Locations::Location& location,
                 const placement::PrefixWeights& weights) {
  return location.distance == Distance::kOtherRegion
             ? weights.other_region_penalty_ms
             : weights.same_region_penalty_ms;
}

// @pre a target of `group` is not limited.
Choice ChooseForEngine(const Fleet& fleet, const PlacementSettings& settings,
                       const PlacementInput& input, Tier group,
                       std::uint64_t version, RuntimeClock::time_point now) {
  Runners& runners = group.targets;
  const std::size_t eligible = runners.size();
  for (auto& source : TriedSources(fleet, input, version, now)) {
    runners.push_back(std::move(source));
  }
  const PromptKeys prompt_keys = KeysOf(fleet, input, version);
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
  if (input.request.prompt_tokens > query.shared_tokens) {
    query.own_tokens = input.request.prompt_tokens - query.shared_tokens;
  }
  std::vector<placement::PrefixCandidate> candidates;
  candidates.reserve(runners.size());
  Locations locations(settings);
  const auto zone = ZoneOf(fleet, settings, input, now);
  for (const auto& runner : runners) {
    placement::PrefixCandidate candidate;
    candidate.id_hash = runner->id_hash;
    candidate.wait = PredictedWait(*runner, now);
    if (runner->HasPace(now)) {
      candidate.prefill_tokens_per_ms = runner->PrefillTokensPerMs(now);
    }
    if (runner->full_until > now) candidate.wait += kFullPenalty;
    for (std::size_t i = 0; i < prompt_keys.keys.size() &&
                            runner->cache.Contains(prompt_keys.keys[i]);
         ++i) {
      candidate.held_tokens += parts[i].tokens;
    }
    const Locations::Location& location = locations.Of(*runner);
    candidate.distance = location.distance;
    if (zone) {
      candidate.distance_penalty =
          LeavingPenalty(*zone, location, PenaltyOf(location, weights));
    }
    candidate.zone = location.zone;
    candidate.region = location.region;
    candidate.is_eligible = candidates.size() < eligible;
    candidate.is_held_back =
        candidate.is_eligible && group.is_limited[candidates.size()];
    if (lag > kPenaltyFreeLag) candidate.stale_weights_penalty = kStalePenalty;
    candidates.push_back(candidate);
  }
  const placement::PrefixDecision decision =
      placement::ChooseByPrefix(candidates, query, weights);
  Choice chosen;
  for (const std::size_t index : decision.passed_over) {
    chosen.passed_over.push_back(runners[index]);
  }
  PlacementDecision& choice = chosen.decision;
  choice.runner = runners[decision.index];
  const std::shared_ptr<Runner> source = SourceOf(decision, runners, now);
  if (source) choice.fetch_from = source->entry.address;
  choice.fetch_source = source;
  if (version > 0) choice.weights_version = version;
  choice.cache_salt = prompt_keys.salt;
  const std::uint32_t held = candidates[decision.index].held_tokens;
  choice.held_tokens = held;
  choice.own_tokens = query.own_tokens;
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
  return chosen;
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

// Groups the targets by weights version, without those at which the run would
// begin too late on their weights.
std::map<std::uint64_t, Tier> GroupByVersion(const Tier& tier,
                                             const DesiredWeightsState& desired,
                                             const PlacementSettings& settings,
                                             const std::string& model) {
  std::map<std::uint64_t, Tier> groups;
  for (std::size_t i = 0; i < tier.targets.size(); ++i) {
    const auto& runner = tier.targets[i];
    if (!WillStartInTime(desired, *runner, model, settings.weights)) continue;
    Tier& group = groups[runner->VersionOf(model)];
    group.targets.push_back(runner);
    group.is_limited.push_back(tier.is_limited[i]);
  }
  return groups;
}

// Runners are compared with those that have the same weights version; the
// version whose best runner has the lowest cost is used.
std::optional<Choice> ChooseByVersion(const Fleet& fleet,
                                      const PlacementSettings& settings,
                                      const PlacementInput& input,
                                      const Tier& tier,
                                      RuntimeClock::time_point now) {
  const std::string& model = input.request.model;
  const DesiredWeightsState desired = fleet.DesiredWeightsOf(model);
  auto groups = GroupByVersion(tier, desired, settings, model);
  std::optional<Choice> best;
  std::uint64_t newest = 0;
  Runners limited;
  for (auto it = groups.rbegin(); it != groups.rend(); ++it) {
    auto& [version, group] = *it;
    // If the deadline is a guess, older weights serve only until a target has
    // newer ones.
    const bool is_replaced =
        best && newest >= desired.version() &&
        desired.IsNamingUncertain(version, settings.weights);
    if (is_replaced) continue;
    if (!group.is_usable()) {
      limited.insert(limited.end(), group.targets.begin(), group.targets.end());
      continue;
    }
    if (!best) newest = version;
    Choice choice =
        ChooseForEngine(fleet, settings, input, std::move(group), version, now);
    limited.insert(limited.end(), choice.passed_over.begin(),
                   choice.passed_over.end());
    const bool is_better =
        !best || choice.decision.cost_ms < best->decision.cost_ms;
    if (is_better) best = std::move(choice);
  }
  if (best) best->passed_over = std::move(limited);
  return best;
}

// The choice in a tier; none if it has no target that can take the request.
std::optional<Choice> ChooseInTier(const Fleet& fleet,
                                   const PlacementSettings& settings,
                                   const PlacementInput& input,
                                   const Tier& tier,
                                   RuntimeClock::time_point now) {
  std::optional<Choice> choice;
  if (tier.is_usable()) {
    choice = input.service.engine
                 ? ChooseByVersion(fleet, settings, input, tier, now)
                 : ChooseForService(fleet, settings, input, tier, now);
  }
  if (choice) {
    for (const auto& runner : choice->passed_over) {
      runner->limit.CountDemand(now);
    }
    return choice;
  }
  for (std::size_t i = 0; i < tier.targets.size(); ++i) {
    if (tier.is_limited[i]) tier.targets[i]->limit.CountDemand(now);
  }
  return choice;
}

// Chooses among the healthy targets, the suspect ones or, last, those that
// leave. Sets whether a limit ruled a target out.
std::optional<PlacementDecision> ChooseByCost(const Fleet& fleet,
                                              const PlacementSettings& settings,
                                              const PlacementInput& input,
                                              RuntimeClock::time_point now,
                                              bool& has_limited) {
  const std::string& service = input.service.name;
  for (const bool is_last_resort : {false, true}) {
    auto targets = is_last_resort ? fleet.LastResorts(service, input.started)
                                  : fleet.AvailableTargets(service);
    for (const Tier& tier :
         SplitSuspects(std::move(targets), fleet, input, now)) {
      auto choice = ChooseInTier(fleet, settings, input, tier, now);
      if (choice) {
        choice->decision.is_last_resort = is_last_resort;
        return std::move(choice->decision);
      }
      has_limited = has_limited ||
                    std::find(tier.is_limited.begin(), tier.is_limited.end(),
                              true) != tier.is_limited.end();
    }
  }
  return std::nullopt;
}

// Why no target can take the request.
Error ObstacleOf(const Fleet& fleet, const PlacementInput& input,
                 bool has_limited, RuntimeClock::time_point now) {
  const bool is_held_back =
      has_limited ||
      TimeToCapacity(fleet, input.service.name, now) > nanoseconds(0);
  if (!is_held_back) return NoTarget(input);
  return Error{ErrorId::kOverloaded,
               fmt::format("the targets of service {} are at the limits "
                           "that they named, asked for a pause, or would start "
                           "the run too late",
                           input.service.name),
               Verdict::kNotRun};
}

}  // namespace

std::string CacheSalt(std::uint64_t version, const std::string& scope) {
  return fmt::format("v{}{}", version, scope);
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
  bool has_limited = false;
  auto choice = ChooseByCost(fleet, settings, input, now, has_limited);
  if (choice) {
    choice->runner->limit.CountDemand(now);
    choice->paused = CountPassedOver(fleet, input.service.name, now);
    choice->runner->gate->pause().OnPlaced(now);
    return std::move(*choice);
  }
  return ObstacleOf(fleet, input, has_limited, now);
}

std::optional<Error> FindPlacementObstacle(const Fleet& fleet,
                                           const PlacementSettings& settings,
                                           const PlacementInput& input,
                                           RuntimeClock::time_point now) {
  bool has_limited = false;
  const std::string& service = input.service.name;
  for (const bool is_last_resort : {false, true}) {
    auto targets = is_last_resort ? fleet.LastResorts(service, input.started)
                                  : fleet.AvailableTargets(service);
    for (const Tier& tier :
         SplitSuspects(std::move(targets), fleet, input, now)) {
      for (std::size_t i = 0; i < tier.targets.size(); ++i) {
        if (tier.is_limited[i]) {
          has_limited = true;
          continue;
        }
        const bool can_start =
            !input.service.engine ||
            WillStartInTime(fleet.DesiredWeightsOf(input.request.model),
                            *tier.targets[i], input.request.model,
                            settings.weights);
        if (can_start) return std::nullopt;
      }
    }
  }
  return ObstacleOf(fleet, input, has_limited, now);
}

std::chrono::nanoseconds TimeToCapacity(const Fleet& fleet,
                                        const std::string& service,
                                        RuntimeClock::time_point now) {
  auto shortest = std::chrono::nanoseconds::max();
  for (const auto& runner : fleet.AvailableTargets(service)) {
    shortest = std::min(
        shortest, std::max(runner->limit.TimeToSend(fleet.peer_activity(), now),
                           runner->gate->pause().TimeToPlace(now)));
  }
  return shortest == std::chrono::nanoseconds::max()
             ? std::chrono::nanoseconds(0)
             : shortest;
}

}  // namespace beryllane::fleet
