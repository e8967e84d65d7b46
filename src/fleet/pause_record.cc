#include "src/fleet/pause_record.h"

#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using telemetry::Level;

// Answers that name one end differ by their time on the way.
constexpr milliseconds kSameEnd{100};

}  // namespace

void RecordPause(Fleet& fleet, Runner& runner,
                 const platform::TargetAnswer& answer,
                 const AnsweredCall& call) {
  nlohmann::json fields{{"target", runner.entry.id},
                        {"start_time", runner.entry.start_time},
                        {"answer", call.kind},
                        {"request", call.request_id}};
  if (!answer.invalid_pause.empty()) {
    ++fleet.pause_counts().invalid;
    fields["text"] = answer.invalid_pause;
    telemetry::Log(Level::kWarning, telemetry::event::kPauseInvalid,
                   std::move(fields));
    return;
  }
  if (!answer.pause) return;
  const auto now = RuntimeClock::now();
  TargetPause& pause = runner.gate->pause();
  const auto known_end = pause.ends_at();
  const bool is_news = pause.OnRetryAfter(*answer.pause, now) &&
                       pause.ends_at() - known_end > kSameEnd;
  if (!is_news) return;
  ++fleet.pause_counts().pauses;
  const auto lasts = duration_cast<milliseconds>(pause.ends_at() - now);
  const bool is_cut = *answer.pause > TargetPause::kMaxPause;
  fields["asked_ms"] = duration_cast<milliseconds>(*answer.pause).count();
  fields["lasts_ms"] = lasts.count();
  fields["until"] =
      duration_cast<milliseconds>(RuntimeClock::WallNow().time_since_epoch())
          .count() +
      lasts.count();
  telemetry::Log(is_cut ? Level::kWarning : Level::kInfo,
                 telemetry::event::kTargetPaused, std::move(fields));
}

void RecordPauseEnd(Runner& runner, RuntimeClock::time_point now) {
  TargetPause& pause = runner.gate->pause();
  if (!pause.TakeEnd(now)) return;
  telemetry::Log(Level::kInfo, telemetry::event::kPauseEnded,
                 {{"target", runner.entry.id},
                  {"start_time", runner.entry.start_time},
                  {"placed_elsewhere", pause.passed_over()}});
}

}  // namespace beryllane::fleet
