#include "beryllane/clock/runtime_clock.h"

#include <time.h>

#include <algorithm>
#include <atomic>
#include <mutex>

#include "beryllane/clock/boot_clock.h"

namespace beryllane {
namespace {

using std::chrono::nanoseconds;

constexpr nanoseconds kPausedPollInterval = std::chrono::milliseconds(1);

// While running, now() is the steady clock plus `offset`; while paused, it is
// `paused_reading`.
struct State {
  std::mutex mutex;
  std::atomic<bool> paused{false};
  std::atomic<nanoseconds::rep> paused_reading{0};
  std::atomic<nanoseconds::rep> offset{0};
  // SuspendedTime() as of the pause.
  std::atomic<nanoseconds::rep> paused_suspended_time{0};
};

State& GetState() {
  static State state;
  return state;
}

nanoseconds SteadyNow() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// Total time for which the host was suspended: the boot clock's lead over the
// steady clock. The two are read one after the other, so results vary by the
// time between the reads.
nanoseconds SuspendedTime() {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  return std::chrono::seconds(boot.tv_sec) + nanoseconds(boot.tv_nsec) -
         SteadyNow();
}

}  // namespace

RuntimeClock::time_point RuntimeClock::now() {
  State& state = GetState();
  if (state.paused.load(std::memory_order_acquire)) {
    return time_point(nanoseconds(state.paused_reading.load()));
  }
  return time_point(SteadyNow() + nanoseconds(state.offset.load()));
}

WallTime RuntimeClock::WallNow() {
  const nanoseconds shift = now().time_since_epoch() - SteadyNow();
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(shift));
}

void RuntimeClock::Pause() {
  State& state = GetState();
  const std::lock_guard lock(state.mutex);
  if (state.paused.load()) return;
  state.paused_reading.store(
      (SteadyNow() + nanoseconds(state.offset.load())).count());
  state.paused_suspended_time.store(SuspendedTime().count());
  state.paused.store(true, std::memory_order_release);
}

void RuntimeClock::Resume() {
  State& state = GetState();
  const std::lock_guard lock(state.mutex);
  if (!state.paused.load()) return;
  state.offset.store(state.paused_reading.load() - SteadyNow().count());
  state.paused.store(false, std::memory_order_release);
}

void RuntimeClock::Advance(nanoseconds step) {
  State& state = GetState();
  const std::lock_guard lock(state.mutex);
  if (state.paused.load()) {
    state.paused_reading.fetch_add(step.count());
  } else {
    state.offset.fetch_add(step.count());
  }
}

BootClock::time_point BootClock::now() {
  State& state = GetState();
  const nanoseconds suspended_time =
      state.paused.load(std::memory_order_acquire)
          ? nanoseconds(state.paused_suspended_time.load())
          : SuspendedTime();
  return time_point(RuntimeClock::now().time_since_epoch() + suspended_time);
}

bool RuntimeClock::IsPaused() { return GetState().paused.load(); }

RuntimeClock::duration RuntimeWaitTraits::to_wait_duration(
    const RuntimeClock::duration& remaining) {
  if (!RuntimeClock::IsPaused()) return remaining;
  return std::min(remaining, kPausedPollInterval);
}

RuntimeClock::duration RuntimeWaitTraits::to_wait_duration(
    const RuntimeClock::time_point& deadline) {
  return to_wait_duration(deadline - RuntimeClock::now());
}

}  // namespace beryllane
