/// @file
/// The published configuration as typed values.
#ifndef BERYLLANE_SRC_CONFIG_CONFIG_H_
#define BERYLLANE_SRC_CONFIG_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::config {

/// The schema number that this program reads.
inline constexpr std::uint64_t kSchema = 1;

/// What a class of requests is worth and how long its callers wait.
struct RequestKind {
  std::string name;
  /// Worth of one request honoured, in units of the operator's choice.
  double worth = 1;
  /// Time to the first token after which the answer has lost its worth.
  std::chrono::milliseconds patience{10000};
  /// Whether a request may be sent twice.
  bool idempotent = true;
  /// Passed to engines; a lower number goes first.
  int priority = 0;
};

enum class PoolType { kRunner, kService };

/// A set of targets that serve the same requests.
struct Pool {
  std::string name;
  PoolType type = PoolType::kRunner;
  /// Whether targets refuse orders with an old fencing number.
  bool checks_fencing = false;
  /// Whether targets themselves run an idempotency key at most once.
  bool checks_keys = false;
};

/// A model that callers name.
struct Model {
  std::string name;
  std::string pool;
  std::string adapter;
  std::string weights_version;
  std::string default_kind;
};

/// An operation of a plain service.
struct Operation {
  std::string name;
  std::string kind;
};

/// A plain service beside the engines.
struct Service {
  std::string name;
  std::string pool;
  std::map<std::string, Operation> operations;
};

/// A client account.
struct Account {
  std::string name;
  /// Lower-case hexadecimal SHA-256 of the account's bearer key.
  std::string key_sha256;
  /// Fleet-wide limit; 0 is no limit.
  double requests_per_second = 0;
};

/// Limits and times for the whole fleet.
struct Defaults {
  std::chrono::milliseconds deadline{30000};
  std::chrono::milliseconds max_deadline{600000};
  /// Longest silence on a running stream before it is moved or ended.
  std::chrono::milliseconds progress_timeout{5000};
  std::chrono::milliseconds connect_timeout{1000};
  /// Attempts of one idempotent request.
  int max_attempts = 3;
  /// Retries as a share of requests, over all requests of a router.
  double retry_budget = 0.1;
  /// Exceptions that may stand at once.
  std::uint64_t max_exceptions = 20;
};

/// Latency and price between zones.
struct Links {
  std::chrono::microseconds same_zone{200};
  std::chrono::microseconds same_region{1000};
  std::chrono::microseconds cross_region{12000};
  /// Seconds of request time that one GB across regions is worth.
  double cross_region_price = 20;
};

/// A deviation from the defaults, with its reason.
struct ExceptionRule {
  std::string name;
  /// JSON pointer of the value that it replaces.
  std::string scope;
  nlohmann::json value;
  std::string reason;
  std::string author;
  std::optional<WallTime> expires;
};

/// One accepted version, ready for use. Immutable once published.
struct Config {
  std::uint64_t version = 0;
  std::map<std::string, std::string> zone_regions;
  Links links;
  Defaults defaults;
  std::map<std::string, RequestKind> kinds;
  std::map<std::string, Pool> pools;
  std::map<std::string, Model> models;
  std::map<std::string, Service> services;
  std::map<std::string, Account> accounts;
  /// Account name by key hash.
  std::map<std::string, std::string> accounts_by_key;
  std::map<std::string, ExceptionRule> exceptions;
  /// When the next exception lapses and the document must be read again.
  std::optional<WallTime> next_expiry;
};

}  // namespace beryllane::config

#endif  // BERYLLANE_SRC_CONFIG_CONFIG_H_
