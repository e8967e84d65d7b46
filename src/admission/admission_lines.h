/// @file
/// Lets requests wait in this router while the targets of their service have
/// too much work.
#ifndef BERYLLANE_SRC_ADMISSION_ADMISSION_LINES_H_
#define BERYLLANE_SRC_ADMISSION_ADMISSION_LINES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "beryllane/admission/admission_queue.h"
#include "beryllane/admission/start_window.h"
#include "beryllane/error/error.h"
#include "beryllane/metrics/registry.h"
#include "beryllane/placement/pace.h"
#include "src/net/runtime.h"

namespace beryllane::admission {

class AdmissionLine;

/// The place of an admitted request among those that wait for their start.
/// Given up when destroyed. Not thread-safe.
class StartPlace {
 public:
  /// @pre `line` outlives the place.
  StartPlace(AdmissionLine& line, RuntimeClock::time_point admitted_at,
             std::uint64_t id)
      : line_(&line), admitted_at_(admitted_at), id_(id) {}
  ~StartPlace() { GiveUp(); }
  StartPlace(StartPlace&& other) noexcept
      : line_(std::exchange(other.line_, nullptr)),
        admitted_at_(other.admitted_at_),
        id_(other.id_) {}
  StartPlace& operator=(StartPlace&&) = delete;

  /// The run started `elapsed` after it was sent; `prefill_tokens` had to be
  /// processed, at a target with an estimated number of `load` requests. Gives
  /// up the place. @pre none.
  void OnStarted(std::uint32_t prefill_tokens, std::chrono::nanoseconds elapsed,
                 double load);

 private:
  void GiveUp();

  AdmissionLine* line_;
  RuntimeClock::time_point admitted_at_;
  std::uint64_t id_;
};

/// A request that was not admitted.
struct Rejection {
  Error error;
  std::chrono::nanoseconds retry_after{0};
};

/// The line of one service. Used on one loop.
class AdmissionLine {
 public:
  /// A request that has not started by then no longer takes up a place: its
  /// target may be down, which is no reason to send less to the others.
  static constexpr std::chrono::milliseconds kMaxPlaceTime{1000};

  /// @pre `loop` and the counters outlive the line.
  AdmissionLine(net::asio::io_context& loop, std::string service,
                Counter& waited, Counter& refused);

  /// Sets the delay of starts that the line aims at. @pre `delay` > 0.
  void set_target_delay(std::chrono::nanoseconds delay) {
    window_.set_target_delay(delay);
  }
  /// Waits until the request may be sent. `find_obstacle` returns the reason if
  /// no target could take it now even without the line; it does not wait then.
  /// @pre none.
  using ObstacleCheck = std::function<std::optional<Rejection>()>;
  net::asio::awaitable<std::variant<StartPlace, Rejection>> Enter(
      WaitingRequest request, ObstacleCheck find_obstacle);
  /// Number of requests that wait in the line. @pre none.
  std::size_t size() const { return queue_.size(); }
  double window() const { return window_.size(); }

 private:
  friend class StartPlace;

  struct Waiter {
    explicit Waiter(net::asio::io_context& loop)
        : decided(loop, RuntimeClock::time_point::max()) {}

    net::Timer decided;
    bool is_admitted = false;
    // The request has its own place in exchange for the reserved one.
    bool is_taken = false;
    std::optional<std::chrono::nanoseconds> retry_after;
  };

  std::size_t Room();
  // Admits and refuses what the room and the deadlines ask for.
  void Update();
  void Refuse(const AdmissionQueue::Refusal& refusal);
  Rejection RejectionOf(std::chrono::nanoseconds retry_after);
  StartPlace TakePlace(std::uint64_t id);
  void GiveUp(RuntimeClock::time_point admitted_at, std::uint64_t id);
  // Updates the line until nothing waits in it.
  net::asio::awaitable<void> Watch();

  net::asio::io_context& loop_;
  std::string service_;
  Counter& waited_;
  Counter& refused_;
  AdmissionQueue queue_;
  StartWindow window_;
  placement::TargetPace pace_;
  // Requests that were sent and have not started, by the time of admission.
  std::set<std::pair<RuntimeClock::time_point, std::uint64_t>> places_;
  std::unordered_map<std::uint64_t, Waiter*> waiters_;
  std::uint64_t next_id_ = 0;
  bool is_watching_ = false;
};

/// The lines of all services. Used on one loop.
class AdmissionLines {
 public:
  /// @pre `loop` and `metrics` outlive the lines.
  AdmissionLines(net::asio::io_context& loop, MetricRegistry& metrics);

  /// Whether requests are admitted by lines at all. @pre none.
  bool is_enabled() const { return is_enabled_; }
  void set_enabled(bool is_enabled) { is_enabled_ = is_enabled; }
  /// The line of a service, created on first use. @pre none.
  AdmissionLine& LineOf(const std::string& service);

 private:
  net::asio::io_context& loop_;
  Counter& waited_;
  Counter& refused_;
  bool is_enabled_ = false;
  std::map<std::string, std::unique_ptr<AdmissionLine>> lines_;
};

}  // namespace beryllane::admission

#endif  // BERYLLANE_SRC_ADMISSION_ADMISSION_LINES_H_
