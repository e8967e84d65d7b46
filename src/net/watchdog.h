/// @file
/// Cancels the operations of a socket that makes no progress.
#ifndef BERYLLANE_SRC_NET_WATCHDOG_H_
#define BERYLLANE_SRC_NET_WATCHDOG_H_

#include <chrono>
#include <memory>

#include "src/net/runtime.h"

namespace beryllane::net {

/// Guards one socket. Arming it again for each operation is cheap: the timer
/// is set anew only when it fires. Used by the socket's loop alone.
class Watchdog {
 public:
  /// @pre `socket` outlives the watchdog.
  explicit Watchdog(tcp::socket& socket)
      : state_(std::make_shared<State>(socket)) {}
  ~Watchdog() { state_->socket = nullptr; }
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /// Cancels the socket's operations `timeout` from now. @pre none.
  void Arm(std::chrono::nanoseconds timeout) {
    state_->deadline = RuntimeClock::now() + timeout;
    state_->is_armed = true;
    state_->has_expired = false;
    const bool fires_in_time =
        state_->is_waiting && state_->timer.expiry() <= state_->deadline;
    if (!fires_in_time) Wait(state_);
  }
  /// Keeps the operations from being cancelled. @pre none.
  void Disarm() { state_->is_armed = false; }
  /// Whether it cancelled operations since it was armed. @pre none.
  bool has_expired() const { return state_->has_expired; }

 private:
  struct State {
    explicit State(tcp::socket& guarded)
        : socket(&guarded), timer(guarded.get_executor()) {}

    tcp::socket* socket;
    Timer timer;
    RuntimeClock::time_point deadline;
    bool is_armed = false;
    bool is_waiting = false;
    bool has_expired = false;
  };

  static void Wait(const std::shared_ptr<State>& state) {
    state->timer.expires_at(state->deadline);
    state->is_waiting = true;
    // A weak reference lets the state go at once when its owner is done.
    state->timer.async_wait(
        [weak = std::weak_ptr<State>(state)](const error_code& code) {
          const std::shared_ptr<State> held = weak.lock();
          if (!code && held) OnTimer(held);
        });
  }

  static void OnTimer(const std::shared_ptr<State>& state) {
    state->is_waiting = false;
    if (state->socket == nullptr || !state->is_armed) return;
    if (RuntimeClock::now() < state->deadline) {
      Wait(state);
      return;
    }
    state->has_expired = true;
    error_code ignored;
    state->socket->cancel(ignored);
  }

  std::shared_ptr<State> state_;
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_WATCHDOG_H_
