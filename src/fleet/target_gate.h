/// @file
/// Decides whether anything may be sent to a target.
#ifndef BERYLLANE_SRC_FLEET_TARGET_GATE_H_
#define BERYLLANE_SRC_FLEET_TARGET_GATE_H_

#include <array>
#include <chrono>
#include <optional>

#include "beryllane/clock/runtime_clock.h"
#include "src/fleet/target_pause.h"

namespace beryllane::fleet {

/// What a router sends to a target, or lets another target fetch from it.
enum class SendKind {
  /// A request, its retry or the resumption of its stream.
  kRequest,
  /// The same, if no other target of the service can take it.
  kLastResort,
  /// An order to load weights.
  kOrder,
  /// The same, if waiting would break the bound on older weights.
  kUrgentOrder,
  /// The report that an order needs.
  kReport,
  /// A poll for changes of the cache.
  kCachePoll,
  /// Another target copies cached parts from this one.
  kCopySource,
  /// A connection that is closed without a request, after a crash.
  kConnectionCheck,
};

/// All kinds, for checks of every path to a target.
inline constexpr std::array kSendKinds{
    SendKind::kRequest,     SendKind::kLastResort,     SendKind::kOrder,
    SendKind::kUrgentOrder, SendKind::kReport,         SendKind::kCachePoll,
    SendKind::kCopySource,  SendKind::kConnectionCheck};

/// One thing to be sent.
struct Sending {
  SendKind kind = SendKind::kRequest;
  /// When the caller's request was received; requests only.
  RuntimeClock::time_point started = RuntimeClock::time_point::max();
};

/// What a router knows about the leaving of one incarnation of a target, and
/// about the pause that it asked for. Each path to a target asks it. Used on
/// one loop.
class TargetGate {
 public:
  /// Time for which a leaving target may still be sent requests, as a last
  /// resort, after its leaving was announced or listed.
  /// @pre `drain_timeout` >= 0.
  explicit TargetGate(std::chrono::nanoseconds drain_timeout = {})
      : drain_timeout_(drain_timeout) {}

  /// The target announced in an answer that it leaves. Returns whether this
  /// router had no such answer yet. @pre none.
  bool OnLeaving(RuntimeClock::time_point now);
  /// A peer had such an answer. @pre none.
  void OnPeerHint() { is_hinted_ = true; }
  /// The list of targets shows the target as draining. @pre none.
  void OnListedDraining(RuntimeClock::time_point now);
  /// The target is no longer on the list. @pre none.
  void OnUnlisted(RuntimeClock::time_point now);
  /// The list shows the same incarnation again. @pre none.
  void OnListedAgain() { unlisted_at_.reset(); }

  /// Whether `sending` may go out now. @pre none.
  bool MaySend(const Sending& sending, RuntimeClock::time_point now) const;
  /// Whether nothing says that the target leaves. @pre none.
  bool IsOpen() const {
    return !left_at_ && !is_hinted_ && !draining_at_ && !unlisted_at_;
  }
  /// Whether this router had an answer that announced the leaving. @pre none.
  bool is_leaving() const { return left_at_.has_value(); }
  /// Whether a peer had such an answer. @pre none.
  bool is_hinted() const { return is_hinted_; }
  /// Requests received later are not sent. @pre `is_leaving()`.
  RuntimeClock::time_point last_start() const;
  /// The pause that the target asked for. @pre none.
  TargetPause& pause() { return pause_; }
  const TargetPause& pause() const { return pause_; }

 private:
  std::chrono::nanoseconds drain_timeout_;
  // Set once, since a leaving target does not return in this incarnation.
  std::optional<RuntimeClock::time_point> left_at_;
  std::optional<RuntimeClock::time_point> draining_at_;
  std::optional<RuntimeClock::time_point> unlisted_at_;
  bool is_hinted_ = false;
  TargetPause pause_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_TARGET_GATE_H_
