/// @file
/// The placement decision: a pure function of a view, a request and a time.
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

/// A target as placement sees it.
struct PoolTarget {
  std::string id;
  /// One-way latency to it.
  std::chrono::nanoseconds one_way_latency{0};
  /// Price of one GB sent there and back, in seconds of a request's time.
  double cross_region_seconds_per_gb = 0;
  std::shared_ptr<LoadCell> load;
};

/// The targets of one pool that accept new work.
struct PoolView {
  std::vector<PoolTarget> targets;
  /// Hash of each member's id, in the same order.
  std::vector<std::uint64_t> id_hashes;

  /// Adds a member. @pre not shared with other threads yet.
  void Add(PoolTarget target);
};

/// Weights of the price; one set serves every deployment.
struct PolicyOptions {
  /// A missed token delays others and evicts their blocks, so it is priced
  /// above its own prefill time.
  double cache_miss_weight = 2.0;
  /// Share of one runner's prefill that a prefix may take before its home set
  /// grows by one runner.
  double max_prefill_share = 0.5;
  /// Homes that are priced beyond the home set, and probes of other targets.
  std::size_t spare_candidates = 2;
  std::size_t random_candidates = 2;
  /// Routers alive, including this one; scales local rates to the fleet.
  std::size_t live_routers = 1;
};

/// What is to be placed.
struct PlacementRequest {
  std::span<const PrefixLevel> levels;
  std::uint32_t tokens = 0;
  /// Longest predicted time to the first token that is worth starting.
  std::chrono::nanoseconds max_time_to_first_token = std::chrono::seconds(30);
  /// Bytes that the request and its answer move.
  std::size_t bytes = 0;
  /// Distinguishes requests, for probing.
  std::uint64_t nonce = 0;
  /// Targets that failed this request already.
  std::span<const std::uint64_t> excluded;
};

/// The price of one candidate and its parts.
struct Candidate {
  std::uint32_t target_index = 0;
  std::uint32_t expected_cached_tokens = 0;
  std::chrono::nanoseconds wait{0};
  std::chrono::nanoseconds prefill{0};
  std::chrono::nanoseconds round_trip{0};
  std::chrono::nanoseconds transfer_cost{0};
  /// Sum of the parts with the weight of missed tokens.
  std::chrono::nanoseconds cost{0};
};

/// Why a request was not placed.
enum class Refusal { kNone, kNoTarget, kOverloaded };

/// The outcome of a decision with its reasons.
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
/// Thread-safe, lock-free, does not allocate. Complexity: members times home
/// width.
Decision Decide(const PlacementRequest& request, const PoolView& view,
                const ReuseTable& reuse, const RateTable& rates,
                const PolicyOptions& options, RuntimeClock::time_point now);

/// Places a call to a service, which has no prefix: the better of two random
/// members by predicted wait. @pre as for `Decide`. Thread-safe.
std::optional<std::uint32_t> PickLessLoadedOfTwo(
    const PoolView& view, std::uint64_t nonce,
    std::span<const std::uint64_t> excluded, RuntimeClock::time_point now);

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_POLICY_H_
