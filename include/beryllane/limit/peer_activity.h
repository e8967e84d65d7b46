/// @file
/// Which of the other hosts take part, and when each last reported its demand.
#ifndef BERYLLANE_LIMIT_PEER_ACTIVITY_H_
#define BERYLLANE_LIMIT_PEER_ACTIVITY_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane {

/// A host's view of its peers. A report lists the peer's demand at each limited
/// target for which it has any, so a target that is not on it has none. Not
/// thread-safe.
class PeerActivity {
 public:
  /// Sets the number of peers that may send requests. @pre none.
  void set_live(int count) { live_ = count; }
  /// Number of peers that may send requests. @pre none.
  int live() const { return live_; }

  /// Peer `peer` sent a report. @pre peers are numbered from a small number.
  void OnReport(std::uint32_t peer, RuntimeClock::time_point now) {
    if (peer >= reported_at_.size()) reported_at_.resize(peer + 1, kNever);
    reported_at_[peer] = now;
  }
  /// Number of peers whose latest report came at `since` or later. @pre none.
  /// Complexity: linear in the number of peers.
  int CountReportsSince(RuntimeClock::time_point since) const {
    return static_cast<int>(
        std::count_if(reported_at_.begin(), reported_at_.end(),
                      [since](const auto& at) { return at >= since; }));
  }

 private:
  static constexpr RuntimeClock::time_point kNever =
      RuntimeClock::time_point::min();

  int live_ = 0;
  // By peer.
  std::vector<RuntimeClock::time_point> reported_at_;
};

}  // namespace beryllane

#endif  // BERYLLANE_LIMIT_PEER_ACTIVITY_H_
