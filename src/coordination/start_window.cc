#include "beryllane/admission/start_window.h"

#include <algorithm>

namespace beryllane {

void StartWindow::OnStarted(std::chrono::nanoseconds delay, std::size_t waiting,
                            RuntimeClock::time_point now) {
  if (delay > target_delay_) {
    if (now - decreased_at_ < kDecreaseInterval) return;
    decreased_at_ = now;
    size_ = std::max(kMin, size_ * kDecrease);
    return;
  }
  // A window that is not used up says nothing about a larger one.
  const bool is_used = static_cast<double>(waiting) + 1 >= size_;
  if (is_used) size_ = std::min(kMax, size_ + kIncrease / size_);
}

std::size_t StartWindow::Room(std::size_t waiting) const {
  const auto window = static_cast<std::size_t>(size_);
  return window > waiting ? window - waiting : 0;
}

}  // namespace beryllane
