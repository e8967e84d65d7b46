#include "beryllane/placement/prefix_policy.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "beryllane/placement/rendezvous.h"

namespace beryllane::placement {
namespace {

using Millis = std::chrono::duration<double, std::milli>;

// Copies take twice as long between zones and ten times as long between
// regions.
double CopyTimeFactor(const PrefixCandidate& a, const PrefixCandidate& b) {
  constexpr double kOtherZone = 2;
  constexpr double kOtherRegion = 10;
  if (a.zone == b.zone) return 1;
  return a.region == b.region ? kOtherZone : kOtherRegion;
}

double CopyMillis(const PrefixQuery& query, double tokens, double factor) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsPerMbps = 1000;
  const double bits =
      tokens * static_cast<double>(query.kv_bytes_per_token) * kBitsPerByte;
  return factor * bits / (query.link_mbps * kBitsPerMsPerMbps);
}

// The candidates that are known to hold the most of the prompt, by location.
// Copies come from the nearest of them.
class CopySources {
 public:
  // `ranked` holds indexes of `candidates` in the order of preference.
  CopySources(const std::vector<PrefixCandidate>& candidates,
              const std::vector<std::size_t>& ranked)
      : candidates_(candidates) {
    for (const std::size_t index : ranked) Add(index);
  }

  std::uint32_t most_held() const { return most_held_; }
  // The source for a candidate; none if no other is known to hold more.
  std::optional<std::size_t> For(const PrefixCandidate& candidate) const {
    if (candidate.held_tokens >= most_held_) return std::nullopt;
    std::optional<std::size_t> nearest;
    double factor = 0;
    for (const std::size_t holder : holders_) {
      const double own = CopyTimeFactor(candidate, candidates_[holder]);
      if (nearest && own >= factor) continue;
      nearest = holder;
      factor = own;
    }
    return nearest;
  }

 private:
  void Add(std::size_t index) {
    const PrefixCandidate& candidate = candidates_[index];
    if (candidate.held_tokens < most_held_) return;
    if (candidate.held_tokens > most_held_) {
      most_held_ = candidate.held_tokens;
      holders_.clear();
    }
    const bool is_known =
        std::any_of(holders_.begin(), holders_.end(), [&](std::size_t holder) {
          return candidates_[holder].zone == candidate.zone &&
                 candidates_[holder].region == candidate.region;
        });
    if (!is_known) holders_.push_back(index);
  }

  const std::vector<PrefixCandidate>& candidates_;
  std::uint32_t most_held_ = 0;
  // The first holder in the order of preference of each zone.
  std::vector<std::size_t> holders_;
};

// Indexes of the candidates, the preferred runner of the key first.
std::vector<std::size_t> RankByRendezvous(
    const std::vector<PrefixCandidate>& candidates, const Hash128& key) {
  std::vector<std::uint64_t> scores(candidates.size());
  std::transform(candidates.begin(), candidates.end(), scores.begin(),
                 [&key](const PrefixCandidate& candidate) {
                   return RendezvousScore(key, candidate.id_hash);
                 });
  std::vector<std::size_t> ranked(candidates.size());
  std::iota(ranked.begin(), ranked.end(), 0);
  std::sort(ranked.begin(), ranked.end(), [&](std::size_t a, std::size_t b) {
    return scores[a] > scores[b];
  });
  return ranked;
}

}  // namespace

PrefixDecision ChooseByPrefix(const std::vector<PrefixCandidate>& candidates,
                              const PrefixQuery& query,
                              const PrefixWeights& weights) {
  const std::vector<std::size_t> ranked =
      RankByRendezvous(candidates, query.rendezvous_key);
  const CopySources sources(candidates, ranked);
  const auto assumed_held = [&](std::size_t rank) {
    const PrefixCandidate& candidate = candidates[ranked[rank]];
    return rank == 0 && sources.most_held() == 0 ? query.shared_tokens
                                                 : candidate.held_tokens;
  };
  PrefixDecision best;
  bool has_best = false;
  std::vector<std::pair<double, std::size_t>> held_back;
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    const PrefixCandidate& candidate = candidates[ranked[rank]];
    if (!candidate.is_eligible) continue;
    double cost = candidate.wait.count() +
                  candidate.stale_weights_penalty.count() +
                  weights.rank_penalty_ms * static_cast<double>(rank);
    if (candidate.distance_penalty) {
      cost += candidate.distance_penalty->count();
    } else if (candidate.distance == Distance::kOtherRegion) {
      cost += weights.other_region_penalty_ms;
    } else if (candidate.distance == Distance::kSameRegion) {
      cost += weights.same_region_penalty_ms;
    }
    const double tokens_per_ms =
        candidate.prefill_tokens_per_ms.value_or(weights.prefill_tokens_per_ms);
    // Relative to the other runners, so that costs do not change where no
    // throughput is known.
    if (candidate.prefill_tokens_per_ms) {
      cost += query.own_tokens / tokens_per_ms -
              query.own_tokens / weights.prefill_tokens_per_ms;
    }
    // The source of a copy is the nearest of the candidates that are known to
    // hold the most. The preferred runner is the source only if no candidate
    // is known to hold more than this one.
    std::optional<std::size_t> source = sources.For(candidate);
    double source_held = source ? sources.most_held() : candidate.held_tokens;
    if (!source && rank > 0 && query.shared_tokens > source_held) {
      source = ranked[0];
      source_held = query.shared_tokens;
    }
    const double source_factor =
        source ? CopyTimeFactor(candidate, candidates[*source]) : 0;
    const double assumed = assumed_held(rank);
    const double missing = query.shared_tokens - assumed;
    if (missing > 0) {
      const double prefill_cost =
          missing / tokens_per_ms +
          missing / 1000 * weights.recompute_ms_per_thousand_tokens;
      const double copy_cost =
          source && source_held > assumed
              ? CopyMillis(query, source_held - assumed, source_factor) +
                    (source_held - assumed) / 1000 *
                        weights.copy_ms_per_thousand_tokens +
                    std::max(0.0, query.shared_tokens - source_held) /
                        tokens_per_ms
              : prefill_cost;
      const double cost_factor = rank == 0 ? weights.preferred_cost_factor : 1;
      cost += cost_factor * std::min(prefill_cost, copy_cost);
    }
    if (candidate.is_held_back) {
      held_back.emplace_back(cost, ranked[rank]);
      continue;
    }
    if (has_best && cost >= best.cost.count()) continue;
    has_best = true;
    best.index = ranked[rank];
    best.cost = Millis(cost);
    best.fetch_from = source;
  }
  for (const auto& [cost, index] : held_back) {
    if (cost < best.cost.count()) best.passed_over.push_back(index);
  }
  // A preferred runner that is not known to hold the part fetches it from the
  // next in rank, which was preferred while this one was unavailable. A fetch
  // that finds nothing costs little.
  const PrefixCandidate& chosen = candidates[best.index];
  if (!best.fetch_from && chosen.held_tokens < query.shared_tokens &&
      ranked.size() > 1) {
    best.fetch_from = ranked[best.index == ranked[0] ? 1 : 0];
  }
  return best;
}

}  // namespace beryllane::placement
