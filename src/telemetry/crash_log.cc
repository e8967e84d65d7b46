#include "src/telemetry/crash_log.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <string_view>

#include "src/telemetry/log.h"

namespace beryllane::telemetry {
namespace {

constexpr std::array<int, 6> kFatalSignals{SIGSEGV, SIGBUS,  SIGFPE,
                                           SIGILL,  SIGABRT, SIGTRAP};

void WriteText(std::string_view text) {
  // Nothing is left to do where this fails.
  [[maybe_unused]] const ssize_t written =
      write(STDERR_FILENO, text.data(), text.size());
}

// `backtrace` allocates nothing once its library has been loaded.
void OnFatalSignal(int signal) {
  constexpr int kMaxFrames = 32;
  constexpr int kTen = 10;
  const std::array<char, 2> number{static_cast<char>('0' + signal / kTen),
                                   static_cast<char>('0' + signal % kTen)};
  WriteText("{\"event\":\"crashed\",\"signal\":\"");
  WriteText({number.data(), number.size()});
  WriteText("\"}\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // The default action, which `SA_RESETHAND` has restored.
  raise(signal);
}

[[noreturn]] void OnTerminate() {
  std::string message = "no exception";
  if (const std::exception_ptr current = std::current_exception()) {
    message = "an exception of an unknown type";
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& error) {
      message = error.what();
    } catch (...) {
    }
  }
  WriteText("uncaught: " + message + "\n");
  Log(Level::kError, event::kCrashed, {{"message", message}});
  FlushLog();
  std::abort();
}

}  // namespace

void InstallCrashLog() {
  // The first call may load a library, which a signal handler must not do.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), static_cast<int>(frame.size()));
  for (const int signal : kFatalSignals) {
    struct sigaction current {};
    sigaction(signal, nullptr, &current);
    if (current.sa_handler != SIG_DFL) continue;
    struct sigaction ours {};
    ours.sa_handler = OnFatalSignal;
    ours.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(signal, &ours, nullptr);
  }
  std::set_terminate(OnTerminate);
}

}  // namespace beryllane::telemetry
