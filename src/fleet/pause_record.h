/// @file
/// Records the pauses that targets ask for in their answers.
#ifndef BERYLLANE_SRC_FLEET_PAUSE_RECORD_H_
#define BERYLLANE_SRC_FLEET_PAUSE_RECORD_H_

#include <string_view>

#include "platform/request_codec.h"
#include "src/fleet/fleet.h"

namespace beryllane::fleet {

/// What was answered.
struct AnsweredCall {
  /// `request`, `order`, `report` or `cache-poll`.
  std::string_view kind;
  /// Id of the caller's request; empty for the router's own calls.
  std::string_view request_id;
};

/// Applies the pause of an answer, if it asks for one, to the target that gave
/// it, and logs it. Called for each answer of a target. @pre none. Not
/// thread-safe.
void RecordPause(Fleet& fleet, Runner& runner,
                 const platform::TargetAnswer& answer,
                 const AnsweredCall& call);

/// Logs that a pause ended, at the first request that is placed at the target
/// after it. @pre none. Not thread-safe.
void RecordPauseEnd(Runner& runner, RuntimeClock::time_point now);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PAUSE_RECORD_H_
