/// @file
/// Settings of the router process.
#ifndef BERYLLANE_SRC_ROUTER_SETTINGS_H_
#define BERYLLANE_SRC_ROUTER_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/net/address.h"
#include "src/settings/flag_source.h"

namespace beryllane::router {

/// Settings of a router, read from its flags and environment.
struct Settings {
  net::Address listen;
  net::Address admin_listen;
  std::string peer_listen;
  std::string host_id;
  std::string availability_zone;
  std::string region;
  /// Addresses of peers to contact while no other live router is known.
  std::vector<std::string> peers;
  net::Address log_service;
  net::Address host_list;
  std::string log_level = "info";
  std::string trace_sink;
  double trace_ratio = 1.0;
  int threads = 2;
  std::chrono::milliseconds drain_grace{1000};
  std::chrono::milliseconds drain_limit{30000};
  std::chrono::milliseconds log_retention{std::chrono::hours(2)};
  std::chrono::milliseconds head_timeout{5000};
  std::chrono::milliseconds body_timeout{15000};
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  bool fatal_invariants = false;
};

/// Values of the settings before they are checked.
struct RawSettings {
  std::string listen;
  std::string admin_listen;
  std::string peer_listen;
  std::string host_id;
  std::string availability_zone;
  std::string region;
  std::string peers;
  std::string log_service;
  std::string host_list;
  std::string log_level;
  std::string trace_sink;
  double trace_ratio = 1.0;
  int threads = 2;
  std::int64_t drain_grace_ms = 1000;
  std::int64_t drain_limit_ms = 30000;
  std::int64_t log_retention_ms = 7200000;
  std::int64_t head_timeout_ms = 5000;
  std::int64_t body_timeout_ms = 15000;
  std::int64_t max_body_bytes = 8 * 1024 * 1024;
  bool fatal_invariants = false;
};

/// Checks and converts settings. Every fault is added to `faults`; the result
/// is valid only if none was added. @pre none. Thread-safe.
Settings ParseSettings(const RawSettings& raw,
                       std::vector<settings::SettingFault>& faults);

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_SETTINGS_H_
