#include "src/fleet/target_pause.h"

#include <algorithm>

namespace beryllane::fleet {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

bool TargetPause::OnRetryAfter(nanoseconds duration, TimePoint now) {
  duration = std::clamp<nanoseconds>(duration, nanoseconds(0), kMaxPause);
  const TimePoint end = now + duration;
  const bool is_longer = duration > nanoseconds(0) && end > ends_at_;
  if (!is_longer) return false;
  if (!IsPaused(now)) {
    passed_over_ = 0;
    is_urgent_sent_ = false;
  }
  ends_at_ = end;
  is_end_taken_ = false;
  placed_ = 0;
  return true;
}

bool TargetPause::MayPlace(TimePoint now) const {
  if (IsPaused(now)) return false;
  if (ends_at_ == TimePoint()) return true;
  const std::int64_t step = StepAt(now);
  return step >= kSteps || placed_ < kFirstPlaces << step;
}

void TargetPause::OnPlaced(TimePoint now) {
  const bool is_returning =
      ends_at_ != TimePoint() && !IsPaused(now) && StepAt(now) < kSteps;
  if (is_returning) ++placed_;
}

nanoseconds TargetPause::TimeToPlace(TimePoint now) const {
  if (IsPaused(now)) return ends_at_ - now;
  if (MayPlace(now)) return nanoseconds(0);
  // Within the steps, the places double at the next one.
  return ends_at_ + kStep * (StepAt(now) + 1) - now;
}

bool TargetPause::TakeEnd(TimePoint now) {
  if (is_end_taken_ || IsPaused(now)) return false;
  is_end_taken_ = true;
  return true;
}

nanoseconds SpreadRetryAfter(nanoseconds to_first_place, nanoseconds time_left,
                             std::uint64_t hash) {
  constexpr nanoseconds kMinSpread = milliseconds(100);
  constexpr nanoseconds kMaxSpread = std::chrono::seconds(1);
  constexpr double kHashRange = 18446744073709551616.0;
  const double point = static_cast<double>(hash) / kHashRange;
  const auto spread = std::clamp(to_first_place / 2, kMinSpread, kMaxSpread);
  const nanoseconds wanted =
      to_first_place + duration_cast<nanoseconds>(point * spread);
  const nanoseconds latest = std::max(nanoseconds(0), time_left) / 3;
  if (wanted <= latest) return wanted;
  // The spread then lies before the latest useful time.
  return latest - duration_cast<nanoseconds>(point * (latest / 4));
}

}  // namespace beryllane::fleet
