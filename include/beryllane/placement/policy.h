/// @file
/// The placement decision: a pure function of a pool, a request and a time.
#ifndef BERYLLANE_PLACEMENT_POLICY_H_
#define BERYLLANE_PLACEMENT_POLICY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/placement/load_cell.h"
#include "beryllane/placement/prefix_chain.h"
#include "beryllane/placement/rate_table.h"
#include "beryllane/placement/rendezvous.h"
#include "beryllane/placement/reuse_table.h"

namespace beryllane::placement {

/// A target with the properties that placement compares.
struct PoolTarget {
  std::string id;
  /// From the router to the target.
  std::chrono::nanoseconds one_way_latency{0};
  /// Cost of moving one GB to or from the target, in seconds of request time.
  double cross_region_seconds_per_gb = 0;
  std::shared_ptr<LoadCell> load;
};

/// The targets of one pool that accept new work.
struct PoolView {
  std::vector<PoolTarget> targets;
  /// Hash of each target's id, in the same order.
  std::vector<std::uint64_t> id_hashes;

  /// Adds a target. @pre not shared with other threads yet.
  void Add(PoolTarget target);
};

/// Weights of the cost function; the same for every deployment.
struct PolicyOptions {
  /// Factor on the prefill time of tokens that are not cached. Above 1, because
  /// a miss also delays other requests and evicts their blocks.
  double cache_miss_weight = 2.0;
  /// Share of one runner's prefill capacity that a prefix may use before it
  /// gets one more preferred target.
  double max_prefill_share = 0.5;
  /// Number of candidates that rank directly after the preferred targets.
  std::size_t spare_candidates = 2;
  /// Number of random draws of further candidates. A draw adds none if its
  /// target is a candidate already, excluded or suspect.
  std::size_t random_candidates = 2;
  /// Live routers, including this one; scales local rates to the fleet.
  std::size_t live_routers = 1;
};

/// A request to place.
struct PlacementRequest {
  std::span<const PrefixLevel> levels;
  std::uint32_t tokens = 0;
  /// The request is refused if its predicted time to the first token is longer.
  std::chrono::nanoseconds max_time_to_first_token = std::chrono::seconds(30);
  /// Size of the request and its answer.
  std::size_t bytes = 0;
  /// Differs between requests; seeds the choice of random candidates.
  std::uint64_t nonce = 0;
  /// Hashes of the ids of targets that already failed this request.
  std::span<const std::uint64_t> excluded;
};

/// A candidate target with its cost and the parts of the cost.
struct Candidate {
  std::uint32_t target_index = 0;
  std::uint32_t expected_cached_tokens = 0;
  std::chrono::nanoseconds wait{0};
  std::chrono::nanoseconds prefill{0};
  std::chrono::nanoseconds round_trip{0};
  std::chrono::nanoseconds transfer_cost{0};
  /// Sum of the parts, with `cache_miss_weight` applied to `prefill`.
  std::chrono::nanoseconds cost{0};
};

/// Why a request was not placed.
enum class Refusal { kNone, kNoTarget, kOverloaded };

/// The outcome of a decision, with the candidates that it compared.
struct Decision {
  static constexpr std::size_t kMaxCandidates = 24;

  Refusal refusal = Refusal::kNone;
  /// Index of the chosen candidate. @pre `refusal == kNone`.
  std::size_t chosen = 0;
  std::size_t preferred_count = 0;
  std::array<Candidate, kMaxCandidates> candidates{};
  std::size_t count = 0;

  /// The chosen candidate. @pre `refusal == kNone`.
  const Candidate& choice() const { return candidates[chosen]; }
};

/// Places a request. @pre `view` and the tables outlive the call.
/// Thread-safe, lock-free, does not allocate. Complexity: targets times
/// preferred targets.
Decision Decide(const PlacementRequest& request, const PoolView& view,
                const ReuseTable& reuse, const RateTable& rates,
                const PolicyOptions& options, RuntimeClock::time_point now);

/// Places a call to a plain service, which has no prefix: picks the one of two
/// targets with the shorter predicted wait. @pre as for `Decide`. Thread-safe.
std::optional<std::uint32_t> PickLessLoadedOfTwo(
    const PoolView& view, std::uint64_t nonce,
    std::span<const std::uint64_t> excluded, RuntimeClock::time_point now);

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_POLICY_H_
