/// @file
/// Chooses a runner for a prompt whose leading parts other requests share.
/// Answers two loads: many requests on few long shared parts, which must not
/// be read at every runner, and bursts, which must not queue at one.
#ifndef BERYLLANE_PLACEMENT_PREFIX_POLICY_H_
#define BERYLLANE_PLACEMENT_PREFIX_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Tokens of prompts that a runner reads in a millisecond; from the
/// deployments' data sheets.
inline constexpr double kPrefillTokensPerMs = 40;

/// How far two places lie apart.
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

/// One runner that may take the request.
struct PrefixCandidate {
  std::uint64_t id_hash = 0;
  /// Predicted wait before the prompt is read.
  std::chrono::duration<double, std::milli> wait{};
  /// Shared tokens that it is known to hold, from the start of the prompt.
  std::uint32_t held_tokens = 0;
  /// From the router.
  Distance distance = Distance::kSameZone;
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  /// Price of answering on older weights.
  std::chrono::duration<double, std::milli> stale_weights_penalty{};
  /// Whether it may be chosen. One that may not is a source of copies only.
  bool is_eligible = true;
};

/// The request's prompt.
struct PrefixQuery {
  /// Identifies the deepest shared part under its cache salt.
  Hash128 rendezvous_key;
  /// Tokens of the shared parts together.
  std::uint32_t shared_tokens = 0;
  std::uint64_t kv_bytes_per_token = 0;
  double link_mbps = 100000;
};

/// Weights of the decision. Prices are expressed as the wait that is worth as
/// much.
struct PrefixWeights {
  double prefill_tokens_per_ms = kPrefillTokensPerMs;
  /// Price of reading a thousand shared tokens that another runner holds.
  double recompute_ms_per_thousand_tokens = 200;
  /// Price of copying a thousand shared tokens: the copy takes memory in which
  /// another part would be found again.
  double copy_ms_per_thousand_tokens = 110;
  /// Share of the cost of reading or copying that counts at the home: routers
  /// that know of no holder send there, so what it gets serves them all.
  double preferred_cost_factor = 0.3;
  /// Price of a request that crosses a region: its bytes are billed.
  double other_region_penalty_ms = 45;
  double same_region_penalty_ms = 2;
  /// Keeps ties on the runner that rendezvous hashing prefers.
  double rank_penalty_ms = 1;
};

struct PrefixDecision {
  /// Index of the chosen candidate.
  std::size_t index = 0;
  /// Candidate from which the missing shared parts are copied.
  std::optional<std::size_t> fetch_from;
  /// Price of the choice.
  std::chrono::duration<double, std::milli> cost{};
};

/// Chooses the candidate with the lowest cost. The first candidate by
/// rendezvous hashing is the home of the deepest shared part. Where nobody is
/// known to hold any of the prompt, all routers send it there, so the home is
/// taken to hold it. @pre one of `candidates` is eligible.
/// Thread-safe. Complexity: n squared.
PrefixDecision ChooseByPrefix(const std::vector<PrefixCandidate>& candidates,
                              const PrefixQuery& query,
                              const PrefixWeights& weights);

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_PREFIX_POLICY_H_
