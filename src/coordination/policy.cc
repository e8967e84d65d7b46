#include "beryllane/placement/policy.h"

#include <algorithm>
#include <cmath>

namespace beryllane::placement {
namespace {

using std::chrono::nanoseconds;

constexpr double kBytesPerGigabyte = 1e9;

double Seconds(nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(seconds));
}

bool IsExcluded(std::span<const std::uint64_t> excluded, std::uint64_t id) {
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

// Probability that a prefix that arrives at `rate` is still cached.
double CachedProbability(double rate) {
  return 1.0 - std::exp(-rate * Seconds(ReuseTable::kEntryLifetime));
}

class TargetSelector {
 public:
  TargetSelector(const PlacementRequest& request, const PoolView& view,
                 const ReuseTable& reuse, const RateTable& rates,
                 const PolicyOptions& options, RuntimeClock::time_point now)
      : request_(request),
        view_(view),
        reuse_(reuse),
        rates_(rates),
        options_(options),
        now_(now) {}

  Decision Run() {
    CollectCandidates();
    if (decision_.count == 0) {
      // All targets are suspect; some of them may be healthy.
      allows_suspects_ = true;
      CollectCandidates();
    }
    ChooseLowestCost();
    return decision_;
  }

 private:
  void CollectCandidates() {
    if (!request_.levels.empty()) AddPreferred();
    AddRandomCandidates();
    if (decision_.count == 0) AddAll();
  }

  // The preferred and the random targets may all be excluded or suspect.
  // Without the others, the request would then be refused, or sent to a suspect
  // target, although a healthy one is left.
  void AddAll() {
    for (std::uint32_t i = 0; i < view_.targets.size(); ++i) AddCandidate(i, 0);
  }

  double FleetRate(const PrefixLevel& level) const {
    // The request itself is an arrival, even if the prefix has no slot.
    const double rate = std::max(rates_.Rate(level.hash, now_),
                                 1.0 / Seconds(RateTable::kTimeConstant));
    return rate * static_cast<double>(options_.live_routers);
  }

  // The prefill load of the tokens after the prefix, divided by the share of
  // one runner that the prefix may use.
  std::size_t PreferredCount(double fleet_rate,
                             const PoolTarget& first_preferred) const {
    const double own_tokens =
        static_cast<double>(request_.tokens) - request_.levels.front().tokens;
    const double prefill_load =
        fleet_rate * Seconds(first_preferred.load->PrefillTime(own_tokens));
    const auto extra =
        static_cast<std::size_t>(prefill_load / options_.max_prefill_share);
    return std::min(1 + extra,
                    PreferredMembers::kMaxMembers - options_.spare_candidates);
  }

  void AddPreferred() {
    const PrefixLevel& first = request_.levels.front();
    const PreferredMembers ranked = PickPreferred(
        first.hash, view_.id_hashes, PreferredMembers::kMaxMembers);
    if (ranked.count == 0) return;
    const double fleet_rate = FleetRate(first);
    const std::size_t preferred_count =
        std::min(PreferredCount(fleet_rate, view_.targets[ranked.indices[0]]),
                 ranked.count);
    decision_.preferred_count = preferred_count;
    const double cached_probability =
        CachedProbability(fleet_rate / static_cast<double>(preferred_count));
    const std::size_t considered =
        std::min(ranked.count, preferred_count + options_.spare_candidates);
    for (std::size_t rank = 0; rank < considered; ++rank) {
      const double expected =
          rank < preferred_count ? cached_probability * first.tokens : 0;
      AddCandidate(ranked.indices[rank], expected);
    }
    AssignDeeperLevels(ranked, preferred_count);
  }

  // Assigns each deeper level to one of the preferred targets, so that its
  // blocks are not computed on all of them.
  void AssignDeeperLevels(const PreferredMembers& ranked,
                          std::size_t preferred_count) {
    if (preferred_count < 2) return;
    for (const PrefixLevel& level : request_.levels.subspan(1)) {
      const double cached_probability = CachedProbability(FleetRate(level));
      std::size_t best = 0;
      for (std::size_t rank = 1; rank < preferred_count; ++rank) {
        if (RendezvousScore(level.hash, view_.id_hashes[ranked.indices[rank]]) >
            RendezvousScore(level.hash,
                            view_.id_hashes[ranked.indices[best]])) {
          best = rank;
        }
      }
      RaiseExpectedTokens(ranked.indices[best],
                          cached_probability * level.tokens);
    }
  }

  void AddRandomCandidates() {
    const std::size_t size = view_.targets.size();
    if (size == 0) return;
    for (std::size_t probe = 0; probe < options_.random_candidates; ++probe) {
      AddCandidate(
          static_cast<std::uint32_t>(Mix(request_.nonce, probe) % size), 0);
    }
  }

  bool Contains(std::uint32_t target_index) const {
    const auto end = decision_.candidates.begin() + decision_.count;
    return std::any_of(
        decision_.candidates.begin(), end,
        [&](const Candidate& c) { return c.target_index == target_index; });
  }

  void AddCandidate(std::uint32_t index, double expected_tokens) {
    if (decision_.count == Decision::kMaxCandidates) return;
    if (IsExcluded(request_.excluded, view_.id_hashes[index])) return;
    if (Contains(index)) return;
    if (!allows_suspects_ && view_.targets[index].load->IsSuspect(now_)) return;
    Candidate& candidate = decision_.candidates[decision_.count++];
    candidate.target_index = index;
    const std::uint32_t known = KnownTokens(view_.targets[index]);
    const auto expected = static_cast<std::uint32_t>(expected_tokens);
    SetCost(candidate, std::max(known, expected));
  }

  void RaiseExpectedTokens(std::uint32_t target_index, double expected_tokens) {
    for (std::size_t i = 0; i < decision_.count; ++i) {
      Candidate& candidate = decision_.candidates[i];
      if (candidate.target_index != target_index) continue;
      const auto tokens = static_cast<std::uint32_t>(expected_tokens);
      if (tokens > candidate.expected_cached_tokens) SetCost(candidate, tokens);
    }
  }

  // Tokens of the deepest level that responses showed the target to hold.
  std::uint32_t KnownTokens(const PoolTarget& target) const {
    const std::uint64_t incarnation = target.load->incarnation();
    for (std::size_t i = request_.levels.size(); i > 0; --i) {
      const PrefixLevel& level = request_.levels[i - 1];
      if (reuse_.Contains(level.hash, incarnation, now_)) {
        return level.tokens;
      }
    }
    return 0;
  }

  void SetCost(Candidate& candidate, std::uint32_t cached) const {
    const PoolTarget& target = view_.targets[candidate.target_index];
    candidate.expected_cached_tokens = std::min(cached, request_.tokens);
    const double missed = request_.tokens - candidate.expected_cached_tokens;
    candidate.wait = target.load->PredictWait(now_);
    candidate.prefill = target.load->PrefillTime(missed);
    candidate.round_trip = 2 * target.one_way_latency;
    candidate.transfer_cost =
        FromSeconds(target.cross_region_seconds_per_gb *
                    static_cast<double>(request_.bytes) / kBytesPerGigabyte);
    candidate.cost =
        candidate.wait + candidate.round_trip + candidate.transfer_cost +
        FromSeconds(Seconds(candidate.prefill) * options_.cache_miss_weight);
  }

  void ChooseLowestCost() {
    if (decision_.count == 0) {
      decision_.refusal = Refusal::kNoTarget;
      return;
    }
    for (std::size_t i = 1; i < decision_.count; ++i) {
      if (decision_.candidates[i].cost <
          decision_.candidates[decision_.chosen].cost) {
        decision_.chosen = i;
      }
    }
    const Candidate& choice = decision_.choice();
    if (choice.wait + choice.prefill + choice.round_trip >
        request_.max_time_to_first_token) {
      decision_.refusal = Refusal::kOverloaded;
    }
  }

  const PlacementRequest& request_;
  const PoolView& view_;
  const ReuseTable& reuse_;
  const RateTable& rates_;
  const PolicyOptions& options_;
  RuntimeClock::time_point now_;
  bool allows_suspects_ = false;
  Decision decision_;
};

}  // namespace

void PoolView::Add(PoolTarget target) {
  id_hashes.push_back(HashBytes(target.id).low);
  targets.push_back(std::move(target));
}

Decision Decide(const PlacementRequest& request, const PoolView& view,
                const ReuseTable& reuse, const RateTable& rates,
                const PolicyOptions& options, RuntimeClock::time_point now) {
  return TargetSelector(request, view, reuse, rates, options, now).Run();
}

namespace {

std::optional<std::uint32_t> PickAmong(const PoolView& view,
                                       std::uint64_t nonce,
                                       std::span<const std::uint64_t> excluded,
                                       RuntimeClock::time_point now,
                                       bool allows_suspects) {
  std::optional<std::uint32_t> best;
  nanoseconds best_wait{0};
  int found = 0;
  const std::size_t size = view.targets.size();
  for (std::size_t step = 0; step < size && found < 2; ++step) {
    const auto index = static_cast<std::uint32_t>((nonce + step) % size);
    const PoolTarget& target = view.targets[index];
    if (IsExcluded(excluded, view.id_hashes[index])) continue;
    if (!allows_suspects && target.load->IsSuspect(now)) continue;
    ++found;
    const nanoseconds wait =
        target.load->PredictWait(now) + target.one_way_latency;
    if (best && wait >= best_wait) continue;
    best = index;
    best_wait = wait;
  }
  return best;
}

}  // namespace

std::optional<std::uint32_t> PickLessLoadedOfTwo(
    const PoolView& view, std::uint64_t nonce,
    std::span<const std::uint64_t> excluded, RuntimeClock::time_point now) {
  const auto trusted = PickAmong(view, nonce, excluded, now, false);
  if (trusted) return trusted;
  return PickAmong(view, nonce, excluded, now, true);
}

}  // namespace beryllane::placement
