/// @file
/// Reports why a process ends that does not stop by itself.
#ifndef BERYLLANE_SRC_TELEMETRY_CRASH_LOG_H_
#define BERYLLANE_SRC_TELEMETRY_CRASH_LOG_H_

namespace beryllane::telemetry {

/// Makes a fatal signal and an uncaught exception write a line to standard
/// error before they end the process: the signal with the addresses of the
/// stack, the exception with its message. Handlers that others have set stay.
/// @pre called once, before threads start.
void InstallCrashLog();

}  // namespace beryllane::telemetry

#endif  // BERYLLANE_SRC_TELEMETRY_CRASH_LOG_H_
