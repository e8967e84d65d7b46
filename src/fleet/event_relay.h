/// @file
/// Relays complete server-sent events exactly once and in order while targets
/// of the stream change.
#ifndef BERYLLANE_SRC_FLEET_EVENT_RELAY_H_
#define BERYLLANE_SRC_FLEET_EVENT_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "beryllane/error/error.h"

namespace beryllane::fleet {

/// Relays one stream whose events have consecutive ids. Not thread-safe.
class EventRelay {
 public:
  /// Size limit of an event; a larger one is an error.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// `last_id` is the id of the last event that the caller has received. @pre
  /// none.
  explicit EventRelay(std::optional<std::uint64_t> last_id)
      : last_id_(last_id), is_resuming_(last_id.has_value()) {}

  /// Adds bytes received from a target and returns the complete events that the
  /// caller does not have yet. An event whose id skips others is an error, as
  /// is a run that resumes anywhere but right after the last event; the events
  /// before it are returned first, and the next call fails. @pre none.
  Result<std::string> Feed(std::string_view bytes);
  /// Discards an incomplete event, because another target resumes the stream.
  /// @pre none.
  void Restart() {
    partial_.clear();
    is_resuming_ = last_id_.has_value() || has_relayed_;
  }
  /// Whether the caller got events, and none of the run that resumes them yet.
  /// @pre none.
  bool is_resumption_empty() const { return is_resuming_ && has_relayed_; }
  /// Whether the bytes so far end with a complete event. @pre none.
  bool is_at_event_end() const { return partial_.empty(); }
  /// Id of the last event that the caller has received. @pre none.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

 private:
  // Checks a complete event. Returns whether to relay it; false for one that
  // the caller has.
  Result<bool> CheckEvent(std::string_view event);

  std::optional<std::uint64_t> last_id_;
  // Whether the next event must be the one after the last.
  bool is_resuming_;
  bool has_relayed_ = false;
  std::string partial_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_EVENT_RELAY_H_
