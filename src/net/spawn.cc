#include "src/net/spawn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <utility>

#include "src/telemetry/log.h"

namespace beryllane::net {
namespace {

// Keeps a task that fails at once from using up the processor.
constexpr std::chrono::milliseconds kRestartPause{500};

std::atomic<std::uint64_t>& Failures() {
  static std::atomic<std::uint64_t> failures{0};
  return failures;
}

// Whether the task came to its own end.
asio::awaitable<bool> RunGuarded(const std::string& name,
                                 asio::awaitable<void> task) {
  bool has_failed = false;
  try {
    co_await std::move(task);
  } catch (const std::exception& error) {
    has_failed = true;
    ReportTaskFailure(name, error.what());
  }
  co_return !has_failed;
}

asio::awaitable<void> RunOnce(std::string name, asio::awaitable<void> task) {
  co_await RunGuarded(name, std::move(task));
}

asio::awaitable<void> RunAgain(std::string name,
                               std::function<asio::awaitable<void>()> make) {
  for (;;) {
    asio::awaitable<void> task = make();
    const bool is_complete = co_await RunGuarded(name, std::move(task));
    if (is_complete) co_return;
    co_await Sleep(kRestartPause);
  }
}

}  // namespace

void Spawn(const asio::any_io_executor& executor, std::string name,
           asio::awaitable<void> task) {
  asio::co_spawn(executor, RunOnce(std::move(name), std::move(task)),
                 asio::detached);
}

void SpawnLoop(const asio::any_io_executor& executor, std::string name,
               std::function<asio::awaitable<void>()> make) {
  asio::co_spawn(executor, RunAgain(std::move(name), std::move(make)),
                 asio::detached);
}

bool CallGuarded(const char* name, const std::function<void()>& callback) {
  try {
    callback();
    return true;
  } catch (const std::exception& error) {
    ReportTaskFailure(name, error.what());
  }
  return false;
}

void ReportTaskFailure(const std::string& name, const std::string& message) {
  Failures().fetch_add(1);
  telemetry::Log(telemetry::Level::kError, telemetry::event::kTaskFailed,
                 {{"task", name}, {"message", message}});
}

std::uint64_t TaskFailures() { return Failures().load(); }

}  // namespace beryllane::net
