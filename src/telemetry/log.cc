#include "src/telemetry/log.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <memory>

#include "beryllane/clock/runtime_clock.h"
#include "src/telemetry/bounded_sink.h"

namespace beryllane::telemetry {
namespace {

struct Identity {
  std::string process;
  std::string host_id;
};

Identity& GetIdentity() {
  static Identity identity;
  return identity;
}

// Null until `InitLog`.
std::shared_ptr<BoundedSink>& GetSink() {
  static std::shared_ptr<BoundedSink> sink;
  return sink;
}

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string_view ToText(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "info";
}

}  // namespace

bool InitLog(const std::string& level, const std::string& process,
             const std::string& host_id, bool is_batched) {
  GetIdentity() = {process, host_id};
  GetSink() = std::make_shared<BoundedSink>(STDOUT_FILENO);
  auto logger = std::make_shared<spdlog::logger>("beryllane", GetSink());
  logger->flush_on(is_batched ? spdlog::level::err : spdlog::level::trace);
  spdlog::set_default_logger(logger);
  if (level == "debug") {
    logger->set_level(spdlog::level::debug);
  } else if (level == "info") {
    logger->set_level(spdlog::level::info);
  } else if (level == "warning") {
    logger->set_level(spdlog::level::warn);
  } else if (level == "error") {
    logger->set_level(spdlog::level::err);
  } else {
    return false;
  }
  return true;
}

void FlushLog() {
  if (GetSink()) GetSink()->flush();
}

std::uint64_t DroppedLogLines() { return GetSink() ? GetSink()->dropped() : 0; }

void Log(Level level, std::string_view event, nlohmann::json fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!spdlog::should_log(spdlog_level)) return;
  fields["time_ms"] = RuntimeClock::WallNow().time_since_epoch().count();
  fields["level"] = ToText(level);
  fields["event"] = event;
  fields["process"] = GetIdentity().process;
  fields["host"] = GetIdentity().host_id;
  spdlog::log(
      spdlog_level, "{}",
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace beryllane::telemetry
