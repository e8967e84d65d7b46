#include "beryllane/quarantine/crash_attribution.h"

#include <algorithm>
#include <tuple>

namespace beryllane::quarantine {

void CrashAttribution::AddCrash(const CrashedTarget& target,
                                RuntimeClock::time_point at,
                                const std::vector<Suspect>& suspects) {
  Forget(at);
  const auto is_same = [&](const Crash& crash) {
    const auto distance = std::chrono::abs(crash.at - at);
    return crash.target == target && distance < options_.merge_time;
  };
  auto crash = std::find_if(crashes_.begin(), crashes_.end(), is_same);
  if (crash == crashes_.end()) {
    const auto next = std::upper_bound(
        crashes_.begin(), crashes_.end(), at,
        [](const auto& time, const Crash& other) { return time < other.at; });
    crash = crashes_.insert(next, Crash{target, at, {}, false});
  }
  for (const Suspect& suspect : suspects) {
    const auto [it, is_new] = crash->suspects.try_emplace(suspect.key, suspect);
    Suspect& known = it->second;
    known.sent_at = std::max(known.sent_at, suspect.sent_at);
    if (suspect.progress == Progress::kStarting) {
      known.progress = Progress::kStarting;
    }
    const auto culprit = culprits_.find(suspect.key);
    if (culprit == culprits_.end()) continue;
    crash->is_attributed = true;
    culprit->second = std::max(culprit->second, at);
  }
  while (crashes_.size() > options_.max_crashes) crashes_.pop_front();
}

bool CrashAttribution::Clear(std::uint64_t key, RuntimeClock::time_point at) {
  bool had_evidence = culprits_.erase(key) > 0;
  for (Crash& crash : crashes_) {
    if (crash.at > at) break;
    if (crash.suspects.erase(key) > 0) had_evidence = true;
  }
  return had_evidence;
}

double CrashAttribution::Weight(std::uint64_t key) const {
  double weight = 0;
  for (const Crash& crash : crashes_) {
    const auto suspect = crash.suspects.find(key);
    const bool counts = suspect != crash.suspects.end() &&
                        (!crash.is_attributed || culprits_.contains(key));
    if (counts) weight += WeightOf(suspect->second);
  }
  return weight;
}

std::optional<std::uint64_t> CrashAttribution::TakeCulprit(
    RuntimeClock::time_point now) {
  Forget(now);
  std::map<std::uint64_t, Evidence> evidence_by_key;
  for (const Crash& crash : crashes_) {
    if (crash.is_attributed) continue;
    for (const auto& [key, suspect] : crash.suspects) {
      Evidence& evidence = evidence_by_key[key];
      const bool is_successive =
          evidence.crashes == 0 || suspect.sent_at > evidence.last_crash;
      if (is_successive) {
        ++evidence.successive_crashes;
        evidence.last_crash = crash.at;
      }
      ++evidence.crashes;
      ++evidence.targets[crash.target.id];
      evidence.weight += WeightOf(suspect);
      if (suspect.progress == Progress::kStarting) ++evidence.starting;
      evidence.depth = std::max(evidence.depth, suspect.depth);
    }
  }
  const auto rank = [](const auto& entry) {
    const Evidence& evidence = entry.second;
    return std::tuple(evidence.weight, evidence.starting, evidence.depth);
  };
  const auto best = std::max_element(
      evidence_by_key.begin(), evidence_by_key.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (best == evidence_by_key.end() || !Suffices(best->second)) {
    return std::nullopt;
  }
  AttributeTo(best->first, now);
  return best->first;
}

void CrashAttribution::AttributeTo(std::uint64_t key,
                                   RuntimeClock::time_point now) {
  culprits_[key] = now;
  for (Crash& crash : crashes_) {
    if (crash.suspects.contains(key)) crash.is_attributed = true;
  }
}

void CrashAttribution::Forget(RuntimeClock::time_point now) {
  while (!crashes_.empty() && now - crashes_.front().at > options_.memory) {
    crashes_.pop_front();
  }
  std::erase_if(culprits_, [&](const auto& culprit) {
    return now - culprit.second > options_.memory;
  });
}

double CrashAttribution::WeightOf(const Suspect& suspect) const {
  return suspect.progress == Progress::kStarting ? 1.0
                                                 : options_.waiting_weight;
}

bool CrashAttribution::Suffices(const Evidence& evidence) const {
  return evidence.weight >= options_.min_weight &&
         evidence.crashes >= options_.min_crashes &&
         evidence.targets.size() >= options_.min_targets &&
         evidence.successive_crashes >= options_.min_successive_crashes;
}

}  // namespace beryllane::quarantine
