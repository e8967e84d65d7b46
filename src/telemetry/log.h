/// @file
/// Log events as JSON lines with stable ids, listed in docs/errors.md.
#ifndef BERYLLANE_SRC_TELEMETRY_LOG_H_
#define BERYLLANE_SRC_TELEMETRY_LOG_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace beryllane::telemetry {

enum class Level { kDebug, kInfo, kWarning, kError };

/// Ids of log events. Each has an entry in docs/errors.md.
namespace event {
inline constexpr std::string_view kStarted = "started";
inline constexpr std::string_view kReady = "ready";
inline constexpr std::string_view kNotReady = "not-ready";
inline constexpr std::string_view kDraining = "draining";
inline constexpr std::string_view kStopped = "stopped";
inline constexpr std::string_view kConfigInForce = "config-in-force";
inline constexpr std::string_view kConfigRejected = "config-rejected";
inline constexpr std::string_view kConfigUnreadable = "config-unreadable";
inline constexpr std::string_view kLogDown = "log-down";
inline constexpr std::string_view kLogUp = "log-up";
inline constexpr std::string_view kHostListDown = "host-list-down";
inline constexpr std::string_view kHostListUp = "host-list-up";
inline constexpr std::string_view kRequestFailed = "request-failed";
inline constexpr std::string_view kAttemptFailed = "attempt-failed";
inline constexpr std::string_view kInvariant = "invariant-violated";
inline constexpr std::string_view kStopForced = "stop-forced";
inline constexpr std::string_view kPlaced = "placed";
inline constexpr std::string_view kRequestDone = "request-done";
inline constexpr std::string_view kStoreDown = "store-down";
inline constexpr std::string_view kStoreUp = "store-up";
inline constexpr std::string_view kStoreRestored = "store-restored";
inline constexpr std::string_view kRecordIgnored = "record-ignored";
inline constexpr std::string_view kListIncomplete = "list-incomplete";
inline constexpr std::string_view kTargetChanged = "target-changed";
inline constexpr std::string_view kTargetGone = "target-gone";
inline constexpr std::string_view kWeightsNamed = "weights-named";
inline constexpr std::string_view kLeaseTaken = "lease-taken";
inline constexpr std::string_view kLeaseLost = "lease-lost";
inline constexpr std::string_view kOrderSent = "order-sent";
inline constexpr std::string_view kWeightsInPlace = "weights-in-place";
inline constexpr std::string_view kWeightsRefused = "weights-refused";
inline constexpr std::string_view kOlderWeightsRun = "older-weights-run";
inline constexpr std::string_view kRequestWithdrawn = "request-withdrawn";
inline constexpr std::string_view kPeersUnavailable = "peers-unavailable";
inline constexpr std::string_view kReloaded = "reloaded";
inline constexpr std::string_view kTargetLeaving = "target-leaving";
inline constexpr std::string_view kTargetLimit = "target-limit";
inline constexpr std::string_view kAllowanceLedger = "allowance-ledger";
inline constexpr std::string_view kUnprovenRefusal = "unproven-refusal";
inline constexpr std::string_view kTargetPaused = "target-paused";
inline constexpr std::string_view kPauseEnded = "pause-ended";
inline constexpr std::string_view kPauseInvalid = "pause-invalid";
inline constexpr std::string_view kTargetCrashed = "target-crashed";
inline constexpr std::string_view kPartQuarantined = "part-quarantined";
inline constexpr std::string_view kPartReleased = "part-released";
inline constexpr std::string_view kTaskFailed = "task-failed";
inline constexpr std::string_view kExchangeCut = "exchange-cut";
inline constexpr std::string_view kWaitingToStart = "waiting-to-start";
inline constexpr std::string_view kSignalled = "signalled";
inline constexpr std::string_view kCrashed = "crashed";
}  // namespace event

/// Sets the level (`debug`, `info`, `warning` or `error`) and the fields that
/// each line carries; `is_batched` keeps lines for `FlushLog`, otherwise each
/// is written at once. @pre called once, before threads log. Returns false for
/// an unknown level.
bool InitLog(const std::string& level, const std::string& process,
             const std::string& host_id, bool is_batched = false);

/// Adds one line to standard output; batched lines wait for `FlushLog`,
/// errors are written at once. Never blocks. @pre `fields` is an object.
/// Thread-safe.
void Log(Level level, std::string_view event, nlohmann::json fields);

/// Writes the lines that wait, as far as their reader takes them. To be called
/// a few times a second. @pre none. Thread-safe.
void FlushLog();

/// Lines that were dropped because their reader was slow. @pre none.
/// Thread-safe.
std::uint64_t DroppedLogLines();

}  // namespace beryllane::telemetry

#endif  // BERYLLANE_SRC_TELEMETRY_LOG_H_
