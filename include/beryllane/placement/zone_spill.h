/// @file
/// Decides which share of a zone's requests is sent to other zones.
#ifndef BERYLLANE_PLACEMENT_ZONE_SPILL_H_
#define BERYLLANE_PLACEMENT_ZONE_SPILL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::placement {

/// What a router knows of the targets of one service in one zone.
struct ZoneState {
  std::uint32_t zone = 0;
  /// Requests that the usable targets can run at once, weighed by their pace.
  double capacity = 0;
  /// Requests that run or wait at the targets.
  double load = 0;
  /// Routers of the zone that may send requests.
  int routers = 1;
  /// Predicted wait for the start of a run.
  std::chrono::nanoseconds predicted_wait{};
  /// One-way latency of the link from the home zone.
  std::chrono::nanoseconds latency{};
  /// Price of the bytes billed per request, as an equivalent wait.
  std::chrono::nanoseconds price{};
  /// Time since anything was received from the zone's targets or routers.
  std::chrono::nanoseconds silent_for{};
};

/// Parameters of the decision.
struct ZoneSpillOptions {
  /// Interval between changes of the shares.
  std::chrono::nanoseconds step = std::chrono::milliseconds(200);
  /// Limits on the sums of the increases and of the decreases in one step. A
  /// slower end keeps a short lull from ending what must then begin again.
  double max_rise = 0.1;
  double max_fall = 0.06;
  /// A zone that was silent for this long gets nothing. One step less than a
  /// second, so that it takes effect within a second.
  std::chrono::nanoseconds max_silence = std::chrono::milliseconds(800);
  /// Load per capacity above which the home zone sends requests away.
  double home_fill = 0.95;
  /// Load per capacity up to which another zone has room.
  double other_fill = 0.9;
  /// Part of the free room that the busy zones claim together at once. With all
  /// of it, errors in the delay assumed for the reports make shares oscillate.
  double room_gain = 0.6;
  /// Time for which the present overload is assumed to continue: of the order
  /// of the latency goals.
  std::chrono::nanoseconds horizon = std::chrono::seconds(1);
  /// Factor on the cost of leaving, and an additional wait, that the gain must
  /// exceed before a zone gets its first requests.
  double start_factor = 1.25;
  std::chrono::nanoseconds start_margin = std::chrono::milliseconds(5);
  /// Parts of the latency goal up to which the projected wait counts as
  /// meeting it: before the zone begins to send requests away, for one request
  /// while it does, and for it to end. The projection is a mean, and waits
  /// vary.
  double start_goal_part = 0.5;
  double request_goal_part = 0.25;
  double stop_goal_part = 0.1;
  /// Replaces `start_goal_part` for this long after requests were last sent
  /// away. Demand fluctuates on both sides of a wave's crest.
  double restart_goal_part = 1;
  std::chrono::nanoseconds restart_delay = std::chrono::seconds(5);
  /// The total share, and the share that a zone has room for, follow their
  /// computed values only where they differ by more than this. Loads fluctuate
  /// by about as much.
  double total_play = 0.06;
  double room_play = 0.04;
  /// Smallest rise of the total share after it fell, and smallest fall of it.
  double min_rise = 0.3;
  double min_fall = 0.08;
};

/// Shares of the home zone's requests that go to other zones. All routers of a
/// zone compute them from the loads that routers exchange, so no message is
/// specific to it. Not thread-safe.
class ZoneSpill {
 public:
  /// @pre the options' durations and factors are positive.
  explicit ZoneSpill(ZoneSpillOptions options = {}) : options_(options) {}

  /// Takes the present state of the zones and changes the shares by at most one
  /// step. Between steps only zones that are silent or not listed lose their
  /// shares. `goal` is the shortest wait that a request tolerates; with zero,
  /// no request can be served in time without leaving when there is a wait.
  /// @pre `now` is not before that of an earlier call; the zones in `others`
  /// differ from each other and from `home`; figures are not negative. Not
  /// thread-safe. Complexity: quadratic in the number of zones.
  void Update(const ZoneState& home, const std::vector<ZoneState>& others,
              std::chrono::nanoseconds goal, RuntimeClock::time_point now);

  /// The zone that the request with this uniformly distributed hash goes to;
  /// `nullopt` for the home zone. Depends only on the hash, the goal and the
  /// state after the last update. A request whose goal can be met at home stays
  /// there; `goal` is the wait that it tolerates. Counts the request for the
  /// estimate of the home zone's demand. @pre none. Not thread-safe.
  /// Complexity: linear in the number of zones.
  std::optional<std::uint32_t> ZoneFor(std::uint64_t hash,
                                       std::chrono::nanoseconds goal);

  /// Share of the requests that go to a zone, 0 to 1. @pre none. Not
  /// thread-safe.
  double ShareOf(std::uint32_t zone) const;
  /// Share of the requests that leave the home zone, 0 to 1. @pre none. Not
  /// thread-safe.
  double TotalShare() const;
  /// Wait at home within the horizon if no request left. @pre none. Not
  /// thread-safe.
  std::chrono::nanoseconds ProjectedWait() const { return projected_wait_; }

 private:
  struct Share {
    std::uint32_t zone = 0;
    double value = 0;
    double target = 0;
    // The value whose effect the reported loads show: a mean of past values.
    double seen = 0;
    // Share that the zone has room for.
    double allowed = 0;
    bool is_listed = false;
  };

  Share& ShareFor(std::uint32_t zone);
  void DropUnusable(const std::vector<ZoneState>& others);
  void EstimateDemand(const ZoneState& home);
  void SetTargets(const ZoneState& home, const std::vector<ZoneState>& others,
                  std::chrono::nanoseconds goal);
  // Part of the goal up to which the projected wait meets it.
  double GoalPart() const;
  // Whether the zone would serve requests sooner by more than they cost.
  bool Pays(const ZoneState& other, const Share& share) const;
  // Share that the home zone may send to `other`: the present one, and a part
  // of the room.
  double Allowed(const ZoneState& home, const ZoneState& other,
                 const std::vector<ZoneState>& others,
                 const Share& share) const;
  void HoldTotal();
  void Step();

  ZoneSpillOptions options_;
  std::vector<Share> shares_;
  std::optional<RuntimeClock::time_point> stepped_at_;
  // When a share was last above zero.
  std::optional<RuntimeClock::time_point> last_sent_at_;
  // Requests that routers of the home zone have anywhere.
  double demand_ = 0;
  std::chrono::nanoseconds projected_wait_{};
  // Share that the home zone has no room for; negative where it has room.
  double excess_ = 0;
  // Whether the home zone sends requests away or would if others had room.
  bool is_leaving_ = false;
  // Whether the last change of the total share, unless it is zero, was a fall.
  bool is_falling_ = false;
  // Requests seen, and sent away; they lose weight with each step.
  double seen_ = 0;
  double sent_ = 0;
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_ZONE_SPILL_H_
