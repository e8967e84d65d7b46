/// @file
/// Relays server-sent events whole, once and in order.
#ifndef BERYLLANE_SRC_CALLER_STREAM_RELAY_H_
#define BERYLLANE_SRC_CALLER_STREAM_RELAY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "beryllane/error/error.h"

namespace beryllane::caller {

/// Follows one answer over any number of target connections. Not thread-safe.
class StreamRelay {
 public:
  /// Events larger than this are refused.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// Every event must carry `request_id`. @pre none.
  explicit StreamRelay(std::string_view request_id);

  /// Takes bytes of a target's answer and returns the events that come next
  /// for the caller; part of an event is kept back. An event out of order or
  /// of another request is an error, after which nothing more is taken.
  /// @pre none. Complexity: linear.
  Result<std::string> Feed(std::string_view bytes);
  /// Forgets a partial event, because another target goes on. @pre none.
  void DiscardPartial() { partial_.clear(); }

  /// Position of the caller's next event. @pre none.
  std::uint64_t next_position() const { return next_position_; }
  /// Whether the end of the answer was seen. @pre none.
  bool is_complete() const { return is_complete_; }
  /// Events dropped because the caller has them. @pre none.
  std::uint64_t duplicates() const { return duplicates_; }

 private:
  // Decides on one event, without its blank line.
  Result<bool> CheckEvent(std::string_view event);

  std::string id_member_;
  std::string partial_;
  std::uint64_t next_position_ = 0;
  std::uint64_t duplicates_ = 0;
  bool is_complete_ = false;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_STREAM_RELAY_H_
