#include "src/admission/admission_lines.h"

#include <algorithm>

#include "fmt/format.h"
#include "src/net/spawn.h"

namespace beryllane::admission {
namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Places that time out and deadlines that can no longer be met are noticed this
// often.
constexpr milliseconds kWatchInterval{50};

}  // namespace

void StartPlace::OnStarted(std::uint32_t prefill_tokens, nanoseconds elapsed,
                           double load) {
  if (line_ == nullptr) return;
  const auto now = RuntimeClock::now();
  AdmissionLine& line = *line_;
  line.pace_.OnFirstEvent(prefill_tokens, elapsed, load, now);
  const std::chrono::duration<double, std::milli> prefill(
      prefill_tokens / line.pace_.PrefillTokensPerMs(now));
  line.window_.OnStarted(
      elapsed - std::chrono::duration_cast<nanoseconds>(prefill),
      line.places_.size(), now);
  GiveUp();
}

void StartPlace::GiveUp() {
  if (line_ != nullptr) line_->GiveUp(admitted_at_, id_);
  line_ = nullptr;
}

AdmissionLine::AdmissionLine(net::asio::io_context& loop, std::string service,
                             Counter& waited, Counter& refused)
    : loop_(loop),
      service_(std::move(service)),
      waited_(waited),
      refused_(refused),
      queue_(AdmissionQueueOptions{}) {}

std::size_t AdmissionLine::Room() {
  const auto oldest = RuntimeClock::now() - kMaxPlaceTime;
  places_.erase(places_.begin(), places_.lower_bound({oldest, 0}));
  return window_.Room(places_.size());
}

StartPlace AdmissionLine::TakePlace(std::uint64_t id) {
  const auto now = RuntimeClock::now();
  places_.emplace(now, id);
  return {*this, now, id};
}

void AdmissionLine::GiveUp(RuntimeClock::time_point admitted_at,
                           std::uint64_t id) {
  places_.erase({admitted_at, id});
  if (queue_.size() > 0) Update();
}

Rejection AdmissionLine::RejectionOf(nanoseconds retry_after) {
  refused_.Add();
  return {{ErrorId::kOverloaded,
           fmt::format("service {} has too much work to start the request in "
                       "time; {} requests wait here",
                       service_, queue_.size()),
           Verdict::kNotRun},
          retry_after};
}

void AdmissionLine::Refuse(const AdmissionQueue::Refusal& refusal) {
  const auto found = waiters_.find(refusal.id);
  if (found == waiters_.end()) return;
  found->second->retry_after = refusal.retry_after;
  found->second->decided.cancel();
}

void AdmissionLine::Update() {
  const auto next = queue_.Next(Room(), RuntimeClock::now());
  for (const std::uint64_t id : next.admitted) {
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) continue;
    found->second->is_admitted = true;
    // Reserved until the request resumes and takes it.
    places_.emplace(RuntimeClock::time_point::max(), id);
    found->second->decided.cancel();
  }
  for (const auto& refusal : next.refused) Refuse(refusal);
}

awaitable<void> AdmissionLine::Watch() {
  const std::shared_ptr<void> ending(nullptr,
                                     [this](void*) { is_watching_ = false; });
  while (queue_.size() > 0) {
    co_await net::Sleep(kWatchInterval);
    Update();
  }
}

awaitable<std::variant<StartPlace, Rejection>> AdmissionLine::Enter(
    WaitingRequest request, ObstacleCheck find_obstacle) {
  request.id = ++next_id_;
  const std::uint64_t id = request.id;
  const auto offered = queue_.Offer(request, Room(), RuntimeClock::now());
  for (const auto& refusal : offered.displaced) Refuse(refusal);
  if (std::holds_alternative<AdmissionQueue::Admit>(offered.decision)) {
    co_return TakePlace(id);
  }
  if (const auto* refused =
          std::get_if<AdmissionQueue::Refuse>(&offered.decision)) {
    co_return RejectionOf(refused->retry_after);
  }
  if (auto obstacle = find_obstacle()) {
    queue_.Remove(id, RuntimeClock::now());
    co_return std::move(*obstacle);
  }
  waited_.Add();
  Waiter waiter(loop_);
  waiters_[id] = &waiter;
  // Also runs where the caller leaves and the coroutine is destroyed.
  const std::shared_ptr<void> leaving(nullptr, [&](void*) {
    waiters_.erase(id);
    queue_.Remove(id, RuntimeClock::now());
    const bool had_place =
        places_.erase({RuntimeClock::time_point::max(), id}) > 0;
    if (had_place && !waiter.is_taken && queue_.size() > 0) Update();
  });
  if (!std::exchange(is_watching_, true)) {
    net::Spawn(loop_.get_executor(), "admission", Watch());
  }
  if (Room() > 0) Update();
  while (!waiter.is_admitted && !waiter.retry_after) {
    co_await waiter.decided.async_wait(net::kAsTuple);
  }
  if (waiter.retry_after) co_return RejectionOf(*waiter.retry_after);
  waiter.is_taken = true;
  co_return TakePlace(id);
}

AdmissionLines::AdmissionLines(net::asio::io_context& loop,
                               MetricRegistry& metrics)
    : loop_(loop),
      waited_(metrics.GetCounter("beryllane_admission_waited_total",
                                 "Requests that waited in a line")),
      refused_(metrics.GetCounter("beryllane_admission_refused_total",
                                  "Requests that a line refused")) {
  metrics.AddCallbackGauge("beryllane_admission_waiting",
                           "Requests that wait in lines", [this] {
                             std::size_t waiting = 0;
                             for (const auto& [name, line] : lines_) {
                               waiting += line->size();
                             }
                             return static_cast<double>(waiting);
                           });
  metrics.AddCallbackGauge(
      "beryllane_admission_window",
      "Requests that may wait for their start, over all services", [this] {
        double window = 0;
        for (const auto& [name, line] : lines_) window += line->window();
        return window;
      });
}

AdmissionLine& AdmissionLines::LineOf(const std::string& service) {
  auto& line = lines_[service];
  if (!line) {
    line = std::make_unique<AdmissionLine>(loop_, service, waited_, refused_);
  }
  return *line;
}

}  // namespace beryllane::admission
