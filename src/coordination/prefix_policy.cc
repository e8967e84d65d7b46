#include "beryllane/placement/prefix_policy.h"

#include <algorithm>
#include <numeric>

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

}  // namespace

PrefixDecision ChooseByPrefix(const std::vector<PrefixCandidate>& candidates,
                              const PrefixQuery& query,
                              const PrefixWeights& weights) {
  std::vector<std::size_t> ranked(candidates.size());
  std::iota(ranked.begin(), ranked.end(), 0);
  std::sort(ranked.begin(), ranked.end(), [&](std::size_t a, std::size_t b) {
    return RendezvousScore(query.rendezvous_key, candidates[a].id_hash) >
           RendezvousScore(query.rendezvous_key, candidates[b].id_hash);
  });
  std::uint32_t most_held = 0;
  for (const auto& candidate : candidates) {
    most_held = std::max(most_held, candidate.held_tokens);
  }
  const auto assumed_held = [&](std::size_t rank) {
    const PrefixCandidate& candidate = candidates[ranked[rank]];
    return rank == 0 && most_held == 0 ? query.shared_tokens
                                       : candidate.held_tokens;
  };
  PrefixDecision best;
  bool has_best = false;
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    const PrefixCandidate& candidate = candidates[ranked[rank]];
    if (!candidate.is_eligible) continue;
    double cost = candidate.wait.count() +
                  candidate.stale_weights_penalty.count() +
                  weights.rank_penalty_ms * static_cast<double>(rank);
    if (candidate.distance == Distance::kOtherRegion) {
      cost += weights.other_region_penalty_ms;
    } else if (candidate.distance == Distance::kSameRegion) {
      cost += weights.same_region_penalty_ms;
    }
    // The source of a copy is the nearest of the candidates that are known to
    // hold the most. The preferred runner is the source only if no candidate
    // is known to hold more than this one.
    std::optional<std::size_t> source;
    double source_held = candidate.held_tokens;
    double source_factor = 0;
    for (std::size_t other = 0; other < ranked.size(); ++other) {
      if (other == rank) continue;
      const double held = candidates[ranked[other]].held_tokens;
      const double factor =
          CopyTimeFactor(candidate, candidates[ranked[other]]);
      const bool is_better =
          held > source_held ||
          (source && held == source_held && factor < source_factor);
      if (!is_better) continue;
      source = ranked[other];
      source_held = held;
      source_factor = factor;
    }
    if (!source && rank > 0 && query.shared_tokens > source_held) {
      source = ranked[0];
      source_held = query.shared_tokens;
      source_factor = CopyTimeFactor(candidate, candidates[ranked[0]]);
    }
    const double assumed = assumed_held(rank);
    const double missing = query.shared_tokens - assumed;
    if (missing > 0) {
      const double prefill_cost =
          missing / weights.prefill_tokens_per_ms +
          missing / 1000 * weights.recompute_ms_per_thousand_tokens;
      const double copy_cost =
          source && source_held > assumed
              ? CopyMillis(query, source_held - assumed, source_factor) +
                    (source_held - assumed) / 1000 *
                        weights.copy_ms_per_thousand_tokens +
                    std::max(0.0, query.shared_tokens - source_held) /
                        weights.prefill_tokens_per_ms
              : prefill_cost;
      const double cost_factor = rank == 0 ? weights.preferred_cost_factor : 1;
      cost += cost_factor * std::min(prefill_cost, copy_cost);
    }
    if (has_best && cost >= best.cost.count()) continue;
    has_best = true;
    best.index = ranked[rank];
    best.cost = Millis(cost);
    best.fetch_from = source;
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
