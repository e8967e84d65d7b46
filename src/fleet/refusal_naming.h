/// @file
/// Decides whether a refusal belongs to the request that was sent last.
#ifndef BERYLLANE_SRC_FLEET_REFUSAL_NAMING_H_
#define BERYLLANE_SRC_FLEET_REFUSAL_NAMING_H_

#include <chrono>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::fleet {

/// Whether one target's refusals name the requests that they refuse. On a
/// reused connection a refusal without a name may be an earlier one that the
/// target wrote once more. Not thread-safe.
class RefusalNaming {
 public:
  /// Time after a refusal without a name for which more of them are expected.
  static constexpr std::chrono::seconds kLifetime{30};

  /// Whether a refusal that is not named after another request proves that the
  /// request did not run. A target is sent a request once, so one that names it
  /// is its own; the first answer on a connection can answer no other request.
  /// @pre none. Thread-safe.
  static bool IsProof(bool is_named, bool is_first_answer) {
    return is_named || is_first_answer;
  }
  /// Records a refusal of the target. @pre none.
  void OnRefusal(bool is_named, RuntimeClock::time_point now) {
    unnamed_until_ = is_named ? RuntimeClock::time_point() : now + kLifetime;
  }
  /// Whether a request that may run only once must be sent on a new connection,
  /// so that its refusal is a proof. @pre none.
  bool NeedsNewConnection(RuntimeClock::time_point now) const {
    return now < unnamed_until_;
  }

 private:
  RuntimeClock::time_point unnamed_until_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_REFUSAL_NAMING_H_
