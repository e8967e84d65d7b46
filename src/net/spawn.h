/// @file
/// Starts coroutines that nobody waits for, without losing their failures.
#ifndef BERYLLANE_SRC_NET_SPAWN_H_
#define BERYLLANE_SRC_NET_SPAWN_H_

#include <cstdint>
#include <functional>
#include <string>

#include "src/net/runtime.h"

namespace beryllane::net {

/// Starts `task`. An exception that leaves it is logged and counted. @pre
/// `executor` outlives the task. Thread-safe.
void Spawn(const asio::any_io_executor& executor, std::string name,
           asio::awaitable<void> task);

/// Starts a task that is made by `make` and is to run as long as the process.
/// If an exception ends it, it is made anew after a pause. @pre as for `Spawn`;
/// `make` may be called again. Thread-safe.
void SpawnLoop(const asio::any_io_executor& executor, std::string name,
               std::function<asio::awaitable<void>()> make);

/// Calls `callback`; an exception that leaves it is logged and counted, and
/// makes the result false. For callbacks that run on a loop by themselves,
/// where it would end the process. @pre none. Thread-safe.
bool CallGuarded(const char* name, const std::function<void()>& callback);

/// Logs and counts the failure of a task. @pre none. Thread-safe.
void ReportTaskFailure(const std::string& name, const std::string& message);

/// Failures of tasks so far. @pre none. Thread-safe.
std::uint64_t TaskFailures();

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_SPAWN_H_
