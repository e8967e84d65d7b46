/// @file
/// Relays server-sent events: each complete, exactly once and in order.
#ifndef BERYLLANE_SRC_CALLER_STREAM_RELAY_H_
#define BERYLLANE_SRC_CALLER_STREAM_RELAY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "beryllane/error/error.h"

namespace beryllane::caller {

/// Relays one streamed response, which may resume at other targets. Not
/// thread-safe.
class StreamRelay {
 public:
  /// Events larger than this are refused.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// Every event must carry `request_id`. @pre none.
  explicit StreamRelay(std::string_view request_id);

  /// Parses bytes received from a target and returns the complete events to be
  /// relayed; an incomplete event is buffered. Fails on a malformed event, an
  /// event whose position is beyond `next_position()` (an earlier one is
  /// missing) and an event without this request's id; events
  /// before it are returned first, and the next call fails.
  /// @pre none. Complexity: linear.
  Result<std::string> Feed(std::string_view bytes);
  /// Discards a buffered incomplete event, before another target resumes the
  /// stream. @pre none.
  void DiscardPartial() { partial_.clear(); }

  /// Position of the next event to be relayed. @pre none.
  std::uint64_t next_position() const { return next_position_; }
  /// Whether the end marker of the stream was received. @pre none.
  bool is_complete() const { return is_complete_; }
  /// Number of events dropped because they were relayed before. @pre none.
  std::uint64_t duplicates() const { return duplicates_; }

 private:
  // Checks one event, given without its terminating blank line. Returns whether
  // to relay it; false for a duplicate.
  Result<bool> CheckEvent(std::string_view event);

  std::string id_member_;
  std::string partial_;
  std::uint64_t next_position_ = 0;
  std::uint64_t duplicates_ = 0;
  bool is_complete_ = false;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_STREAM_RELAY_H_
