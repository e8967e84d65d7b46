/// @file
/// What a router knows about the fleet: routes, services, client accounts and
/// targets, free of any wire format.
#ifndef BERYLLANE_SRC_FLEET_MODEL_H_
#define BERYLLANE_SRC_FLEET_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/net/address.h"

namespace beryllane::fleet {

/// What may be repeated after a failure.
enum class Repeatability {
  /// May run more than once.
  kIdempotent,
  /// May run at most once.
  kAtMostOnce,
};

/// One service's share of a route's traffic.
struct TrafficShare {
  std::string service;
  double weight = 1;
};

/// Where requests of one host name and path prefix go, and how.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  std::vector<TrafficShare> shares;
  bool is_stream = false;
  /// Whether the request as a whole may run again, or a stream may go on at
  /// another target.
  Repeatability repeatability = Repeatability::kAtMostOnce;
  /// Longest time until the final answer.
  std::chrono::milliseconds timeout{30000};
  /// Time to the answer, or to the first event of a stream, that callers want.
  std::chrono::milliseconds latency_target{1000};
  /// Targets to which one request may be sent.
  int max_attempts = 1;
  /// 0 is the most urgent.
  int priority = 5;
  /// No credential is needed.
  bool is_public = false;
};

/// Facts about a service whose targets are model runners.
struct EngineProperties {
  /// Memory of one runner, in tokens.
  std::uint64_t kv_capacity_tokens = 0;
  std::uint64_t kv_bytes_per_token = 0;
  /// Speed of a runner's link for cached memory, in megabits a second.
  double link_mbps = 100000;
  int slots = 0;
};

/// A group of interchangeable targets.
struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;
  std::optional<EngineProperties> engine;
};

/// A client account and the credentials that stand for it.
struct Account {
  std::string name;
  std::vector<std::string> credentials;
  /// Goes before a route's priority.
  std::optional<int> priority;
  /// Shares no cached prompt with other accounts.
  bool is_isolated = false;
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t head_bytes = 16 * 1024;
  std::size_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One accepted configuration.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  std::vector<Account> accounts;
  /// Index into `accounts` by credential.
  std::unordered_map<std::string, std::size_t> account_by_credential;
  /// Whether requests need a credential at all.
  bool needs_credentials = false;
  CallerLimits limits;
};

/// What a target says of itself in the platform's list.
struct TargetEntry {
  std::string id;
  /// Start of the process in Unix milliseconds; tells incarnations of one id
  /// apart. 0 where it is not stated.
  std::int64_t born = 0;
  std::string service;
  net::Address address;
  std::string availability_zone;
  int slots = 1;
  bool is_draining = false;
  /// Number of this entry among those of the process; it grows by itself.
  std::uint64_t sequence = 0;
  /// Weights version by model.
  std::map<std::string, std::uint64_t> weights;
};

/// Weights that the operator wants in place.
struct DesiredWeights {
  std::string model;
  std::uint64_t version = 0;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_MODEL_H_
