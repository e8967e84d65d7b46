/// @file
/// Passes on whole server-sent events, each once and in order, over several
/// targets.
#ifndef BERYLLANE_SRC_FLEET_EVENT_RELAY_H_
#define BERYLLANE_SRC_FLEET_EVENT_RELAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "beryllane/error/error.h"

namespace beryllane::fleet {

/// Follows one stream whose events carry increasing ids. Not thread-safe.
class EventRelay {
 public:
  /// Larger events are refused.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// `last_id` is the last event that the caller has already. @pre none.
  explicit EventRelay(std::optional<std::uint64_t> last_id)
      : last_id_(last_id) {}

  /// Takes bytes of a target and returns the whole events among them that the
  /// caller does not have. An event that skips ids is an error. @pre none.
  Result<std::string> Feed(std::string_view bytes);
  /// Forgets a partial event, because another target goes on. @pre none.
  void DiscardPartial() { partial_.clear(); }
  /// Whether the bytes so far end with a whole event. @pre none.
  bool is_at_event_end() const { return partial_.empty(); }
  /// Last event that the caller has. @pre none.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

 private:
  std::optional<std::uint64_t> last_id_;
  std::string partial_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_EVENT_RELAY_H_
