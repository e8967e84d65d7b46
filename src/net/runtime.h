/// @file
/// Asio types on the runtime clock, and the threads that run them.
#ifndef BERYLLANE_SRC_NET_RUNTIME_H_
#define BERYLLANE_SRC_NET_RUNTIME_H_

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::net {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// A timer that tests can pause and advance.
using Timer = asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

/// Completion token that returns errors as values.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Suspends the coroutine. @pre runs on an executor. Thread-safe.
inline asio::awaitable<void> Sleep(std::chrono::nanoseconds duration) {
  Timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kAsTuple);
}

/// One event loop per thread; a connection stays on the loop that accepted it,
/// so its state needs no lock.
class ContextPool {
 public:
  /// @pre `threads` > 0.
  explicit ContextPool(int threads) {
    for (int i = 0; i < threads; ++i) {
      contexts_.push_back(std::make_unique<asio::io_context>(1));
      guards_.emplace_back(contexts_.back()->get_executor());
    }
  }
  ~ContextPool() {
    Stop();
    Join();
  }
  ContextPool(const ContextPool&) = delete;
  ContextPool& operator=(const ContextPool&) = delete;

  /// Starts the threads. @pre called once.
  void Start() {
    for (auto& context : contexts_) {
      threads_.emplace_back([&context] { context->run(); });
    }
  }
  /// Makes the threads return. @pre none. Thread-safe.
  void Stop() {
    for (auto& context : contexts_) context->stop();
  }
  /// Waits for the threads. @pre called by one thread.
  void Join() {
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  /// Number of loops. @pre none. Thread-safe.
  std::size_t size() const { return contexts_.size(); }
  /// A loop by index. @pre `index < size()`. Thread-safe.
  asio::io_context& at(std::size_t index) { return *contexts_[index]; }

 private:
  using Guard = asio::executor_work_guard<asio::io_context::executor_type>;

  std::vector<std::unique_ptr<asio::io_context>> contexts_;
  std::vector<Guard> guards_;
  std::vector<std::thread> threads_;
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_RUNTIME_H_
