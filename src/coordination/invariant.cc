#include "beryllane/invariant/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace beryllane::invariant {
namespace {

struct State {
  std::mutex mutex;
  std::map<std::string, std::uint64_t> counts;
  std::atomic<Handler> handler{nullptr};
  std::atomic<bool> fatal{false};
};

State& GetState() {
  static State state;
  return state;
}

}  // namespace

void SetHandler(Handler handler) { GetState().handler.store(handler); }

void SetFatal(bool fatal) { GetState().fatal.store(fatal); }

void ReportViolation(const char* id, const char* file, int line) {
  State& state = GetState();
  {
    const std::lock_guard lock(state.mutex);
    ++state.counts[id];
  }
  const Handler handler = state.handler.load();
  if (handler != nullptr) handler(id, file, line);
  if (!state.fatal.load()) return;
  std::fprintf(stderr, "invariant %s violated at %s:%d\n", id, file, line);
  std::abort();
}

std::map<std::string, std::uint64_t> Counts() {
  State& state = GetState();
  const std::lock_guard lock(state.mutex);
  return state.counts;
}

}  // namespace beryllane::invariant
