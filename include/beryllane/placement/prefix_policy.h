/// @file
/// Chooses a runner for a prompt whose leading parts other requests share.
/// Handles two workloads: many requests on few long shared parts, which must
/// not be prefilled on every runner, and bursts, which must not queue at one.
#ifndef BERYLLANE_PLACEMENT_PREFIX_POLICY_H_
#define BERYLLANE_PLACEMENT_PREFIX_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Prefill throughput of a runner, according to the data sheets of the
/// deployments.
inline constexpr double kPrefillTokensPerMs = 40;

/// Distance between two hosts.
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/// A runner that is considered for the request.
struct PrefixCandidate {
  std::uint64_t id_hash = 0;
  /// Predicted wait until the prefill starts.
  std::chrono::duration<double, std::milli> wait{};
  /// Leading shared tokens that the runner is known to have cached.
  std::uint32_t held_tokens = 0;
  /// Prefill throughput of this runner, if it is known; positive.
  std::optional<double> prefill_tokens_per_ms;
  /// From the router.
  Distance distance = Distance::kSameZone;
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  /// Replaces the penalty for the distance if set.
  std::optional<std::chrono::duration<double, std::milli>> distance_penalty;
  /// Cost of answering with older weights.
  std::chrono::duration<double, std::milli> stale_weights_penalty{};
  /// Whether it may be chosen; otherwise it only serves as a source of copies.
  bool is_eligible = true;
  /// Whether an eligible runner cannot take the request now. It is passed over
  /// if it has the lowest cost.
  bool is_held_back = false;
};

/// Properties of the request's prompt.
struct PrefixQuery {
  /// Identifies the deepest shared part for rendezvous hashing.
  Hash128 rendezvous_key;
  /// Total tokens of the shared parts.
  std::uint32_t shared_tokens = 0;
  /// Tokens of the part that is specific to the request, which no runner holds.
  std::uint32_t own_tokens = 0;
  std::uint64_t kv_bytes_per_token = 0;
  double link_mbps = 100000;
};

/// Weights of the cost function. Costs are expressed as equivalent waiting
/// time.
struct PrefixWeights {
  /// Prefill throughput of runners whose own is unknown.
  double prefill_tokens_per_ms = kPrefillTokensPerMs;
  /// Added to the prefill time per thousand shared tokens held elsewhere.
  double recompute_ms_per_thousand_tokens = 200;
  /// Added to the transfer time per thousand copied shared tokens: the copy
  /// occupies memory that could keep another part cached.
  double copy_ms_per_thousand_tokens = 110;
  /// Factor on prefill or copy cost at the preferred runner, as routers that
  /// know of no holder send requests there, so a part cached there serves all.
  double preferred_cost_factor = 0.3;
  /// Cost of a request that crosses regions, where traffic is billed.
  double other_region_penalty_ms = 45;
  double same_region_penalty_ms = 2;
  /// Cost per rank; breaks ties in favour of the preferred runner.
  double rank_penalty_ms = 1;
};

struct PrefixDecision {
  /// Index of the chosen candidate.
  std::size_t index = 0;
  /// Index of the candidate from which the chosen runner copies the shared
  /// parts of the prompt that its own cache lacks.
  std::optional<std::size_t> fetch_from;
  /// Cost of the chosen candidate.
  std::chrono::duration<double, std::milli> cost{};
  /// Indexes of the candidates that are held back and cost less.
  std::vector<std::size_t> passed_over;
};

/// Chooses the eligible candidate with the lowest cost that is not held back.
/// The candidate that
/// rendezvous hashing ranks first is the preferred runner of the deepest shared
/// part. If no candidate is known to hold any of the prompt, the preferred
/// runner is assumed to hold it, because all routers send it there. The prefill
/// of the request's own tokens counts at a runner with a known throughput by
/// the time that it takes more, or less, than at the others. @pre one of
/// `candidates` is eligible and not held back. Thread-safe. Complexity: n log n
/// plus n times the number of zones.
PrefixDecision ChooseByPrefix(const std::vector<PrefixCandidate>& candidates,
                              const PrefixQuery& query,
                              const PrefixWeights& weights);

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_PREFIX_POLICY_H_
