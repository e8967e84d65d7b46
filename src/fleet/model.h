/// @file
/// Data model of the fleet: routes, services, client accounts and targets.
/// Independent of any wire format.
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

#include "beryllane/limit/allowance.h"
#include "src/net/address.h"

namespace beryllane::fleet {

/// Whether a request may be retried after a failure.
enum class Repeatability {
  kIdempotent,
  kAtMostOnce,
};

/// One service's share of a route's traffic.
struct TrafficShare {
  std::string service;
  double weight = 1;
};

/// Routing rule for requests with one host name and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  std::vector<TrafficShare> shares;
  bool is_stream = false;
  /// Whether a request may be retried as a whole, or a stream resumed at
  /// another target.
  Repeatability repeatability = Repeatability::kAtMostOnce;
  /// Maximum time from the receipt of a request to the end of its answer.
  std::chrono::milliseconds timeout{30000};
  /// Desired time to the answer, or to the first event of a stream.
  std::chrono::milliseconds latency_target{1000};
  /// Maximum number of targets at which one request may run.
  int max_attempts = 1;
  /// 0 is the highest priority.
  int priority = 5;
  /// Accepts requests without a credential.
  bool is_public = false;
};

/// Properties of a service whose targets are model runners.
struct EngineProperties {
  /// KV cache capacity of one runner, in tokens.
  std::uint64_t kv_capacity_tokens = 0;
  std::uint64_t kv_bytes_per_token = 0;
  /// Bandwidth at which a runner copies KV cache entries, in Mbit/s.
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

/// What the units of an allowance count.
enum class AllowanceUnit {
  kRequests,
  /// Prompt tokens and maximum output tokens.
  kTokens,
};

/// The allowance of an account, for all routers together.
struct Allowance {
  AllowanceLimit limit;
  AllowanceUnit unit = AllowanceUnit::kRequests;
  /// Tokens that a request counts as if it does not state its tokens.
  double default_tokens = 0;
};

/// A client account and the credentials that authenticate it.
struct Account {
  std::string name;
  std::vector<std::string> credentials;
  /// Overrides the priority of a route.
  std::optional<int> priority;
  /// Does not share cached prompt parts with other accounts.
  bool is_isolated = false;
  /// None without a limit.
  std::optional<Allowance> allowance = std::nullopt;
};

/// Size and time limits for callers.
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
  /// Whether routes that are not public require a credential.
  bool needs_credentials = false;
  CallerLimits limits;
  /// See `SharedCacheScope`; set when the configuration comes into force.
  std::string shared_cache_scope;
};

/// A target's own entry in the platform's list of targets.
struct TargetEntry {
  std::string id;
  /// Process start time in Unix milliseconds, which distinguishes incarnations
  /// of one id. 0 if the target does not state it.
  std::int64_t start_time = 0;
  std::string service;
  net::Address address;
  std::string availability_zone;
  int slots = 1;
  bool is_draining = false;
  /// Sequence number of this entry, which grows with each heartbeat of the
  /// process.
  std::uint64_t sequence = 0;
  /// Weights version for each model.
  std::map<std::string, std::uint64_t> weights;
};

/// Weights version that the operator wants for a model.
struct DesiredWeights {
  std::string model;
  std::uint64_t version = 0;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_MODEL_H_
