#include "src/router/settings.h"

#include <string_view>

#include "fmt/format.h"

namespace beryllane::router {
namespace {

using settings::SettingFault;

class Checker {
 public:
  explicit Checker(std::vector<SettingFault>& faults) : faults_(faults) {}

  void Fail(ErrorId id, const std::string& name, std::string message) {
    faults_.push_back({id, name, std::move(message)});
  }
  std::string Required(const std::string& name, const std::string& value) {
    if (value.empty()) {
      Fail(ErrorId::kSettingMissing, name,
           fmt::format("--{} is required", name));
    }
    return value;
  }
  net::Address Address(const std::string& name, const std::string& value) {
    if (Required(name, value).empty()) return {};
    const auto address = net::ParseAddress(value);
    if (address) return *address;
    Fail(ErrorId::kSettingInvalid, name,
         fmt::format("--{} is \"{}\"; expected ip:port", name, value));
    return {};
  }
  template <typename T>
  T InRange(const std::string& name, T value, T low, T high) {
    if (value < low || value > high) {
      Fail(
          ErrorId::kSettingInvalid, name,
          fmt::format("--{} is {}; expected {} to {}", name, value, low, high));
    }
    return value;
  }
  std::chrono::milliseconds Millis(const std::string& name,
                                   std::int64_t value) {
    constexpr std::int64_t kMillisPerDay = 86'400'000;
    return std::chrono::milliseconds(
        InRange<std::int64_t>(name, value, 1, 30 * kMillisPerDay));
  }

 private:
  std::vector<SettingFault>& faults_;
};

std::vector<std::string> SplitPeers(const std::string& text, Checker& checker) {
  std::vector<std::string> peers;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string peer(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    if (!net::ParseAddress(peer)) {
      checker.Fail(ErrorId::kSettingInvalid, "peers",
                   fmt::format("--peers holds \"{}\"; expected ip:port", peer));
      continue;
    }
    peers.push_back(peer);
  }
  return peers;
}

void CheckConflicts(const Settings& s, Checker& checker) {
  if (s.listen.port != 0 && s.listen == s.admin_listen) {
    checker.Fail(ErrorId::kSettingConflict, "admin_listen",
                 "--admin_listen and --listen are the same address");
  }
  if (s.listen.port != 0 && net::ToString(s.listen) == s.peer_listen) {
    checker.Fail(ErrorId::kSettingConflict, "peer_listen",
                 "--peer_listen and --listen are the same address");
  }
  if (s.drain_grace > s.drain_limit) {
    checker.Fail(ErrorId::kSettingConflict, "drain_grace_ms",
                 "--drain_grace_ms is above --drain_limit_ms");
  }
}

}  // namespace

Settings ParseSettings(const RawSettings& raw,
                       std::vector<SettingFault>& faults) {
  constexpr int kMaxThreads = 64;
  constexpr std::int64_t kMaxBody = 256 * 1024 * 1024;
  constexpr std::int64_t kMinBody = 1024;
  Checker checker(faults);
  Settings s;
  s.listen = checker.Address("listen", raw.listen);
  s.admin_listen = checker.Address("admin_listen", raw.admin_listen);
  s.peer_listen =
      net::ToString(checker.Address("peer_listen", raw.peer_listen));
  s.host_id = checker.Required("host_id", raw.host_id);
  s.availability_zone =
      checker.Required("availability_zone", raw.availability_zone);
  s.region = checker.Required("region", raw.region);
  s.peers = SplitPeers(raw.peers, checker);
  s.log_service = checker.Address("log_service", raw.log_service);
  s.host_list = checker.Address("host_list", raw.host_list);
  s.log_level = raw.log_level;
  const bool is_known_level = s.log_level == "debug" || s.log_level == "info" ||
                              s.log_level == "warning" ||
                              s.log_level == "error";
  if (!is_known_level) {
    checker.Fail(ErrorId::kSettingInvalid, "log_level",
                 fmt::format("--log_level is \"{}\"; expected debug, info, "
                             "warning or error",
                             s.log_level));
  }
  s.trace_sink = raw.trace_sink;
  s.trace_ratio = checker.InRange("trace_ratio", raw.trace_ratio, 0.0, 1.0);
  s.threads = checker.InRange("threads", raw.threads, 1, kMaxThreads);
  s.drain_grace = checker.Millis("drain_grace_ms", raw.drain_grace_ms);
  s.drain_limit = checker.Millis("drain_limit_ms", raw.drain_limit_ms);
  s.log_retention = checker.Millis("log_retention_ms", raw.log_retention_ms);
  s.head_timeout = checker.Millis("head_timeout_ms", raw.head_timeout_ms);
  s.body_timeout = checker.Millis("body_timeout_ms", raw.body_timeout_ms);
  s.max_body_bytes = static_cast<std::size_t>(checker.InRange(
      "max_body_bytes", raw.max_body_bytes, kMinBody, kMaxBody));
  s.fatal_invariants = raw.fatal_invariants;
  CheckConflicts(s, checker);
  return s;
}

}  // namespace beryllane::router
