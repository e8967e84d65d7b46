#include "src/config/parse.h"

#include <boost/leaf/handle_errors.hpp>
#include <ctime>
#include <string_view>
#include <utility>

#include "fmt/format.h"

namespace beryllane::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kSha256HexDigits = 64;
constexpr double kMaxWorth = 1e9;
constexpr double kMaxRate = 1e9;

void ReadMicros(FieldReader& reader, const char* name,
                std::chrono::microseconds& out) {
  constexpr std::int64_t kMaxMicros = 10'000'000;
  std::int64_t count = out.count();
  reader.Integer(name, count, 0, kMaxMicros);
  out = std::chrono::microseconds(count);
}

void ReadLinks(FieldReader reader, Links& links) {
  ReadMicros(reader, "same_zone_us", links.same_zone);
  ReadMicros(reader, "same_region_us", links.same_region);
  ReadMicros(reader, "cross_region_us", links.cross_region);
  reader.Number("cross_region_seconds_per_gb", links.cross_region_price, 0,
                1e6);
  reader.Finish();
}

void ReadDefaults(FieldReader reader, Defaults& d) {
  constexpr std::int64_t kMaxAttempts = 10;
  constexpr std::int64_t kMaxExceptions = 1000;
  reader.Millis("deadline_ms", d.deadline, milliseconds(1), minutes(60));
  reader.Millis("max_deadline_ms", d.max_deadline, milliseconds(1),
                minutes(24 * 60));
  reader.Millis("progress_timeout_ms", d.progress_timeout, milliseconds(10),
                minutes(10));
  reader.Millis("connect_timeout_ms", d.connect_timeout, milliseconds(10),
                seconds(60));
  std::int64_t attempts = d.max_attempts;
  reader.Integer("max_attempts", attempts, 1, kMaxAttempts);
  d.max_attempts = static_cast<int>(attempts);
  reader.Number("retry_budget", d.retry_budget, 0, 1);
  auto exceptions = static_cast<std::int64_t>(d.max_exceptions);
  reader.Integer("max_exceptions", exceptions, 0, kMaxExceptions);
  d.max_exceptions = static_cast<std::uint64_t>(exceptions);
  if (d.deadline > d.max_deadline) {
    reader.Fail("deadline_ms", "is above max_deadline_ms");
  }
  reader.Finish();
}

RequestKind ReadKind(const std::string& name, FieldReader& reader) {
  constexpr std::int64_t kPriorityBound = 100;
  RequestKind kind;
  kind.name = name;
  reader.Number("worth", kind.worth, 0, kMaxWorth);
  reader.Millis("patience_ms", kind.patience, milliseconds(1), minutes(60));
  reader.Bool("idempotent", kind.idempotent);
  std::int64_t priority = kind.priority;
  reader.Integer("priority", priority, -kPriorityBound, kPriorityBound);
  kind.priority = static_cast<int>(priority);
  return kind;
}

Pool ReadPool(const std::string& name, FieldReader& reader) {
  Pool pool;
  pool.name = name;
  std::string type = "runner";
  reader.Choice("type", type, {"runner", "service"});
  pool.type = type == "service" ? PoolType::kService : PoolType::kRunner;
  reader.Bool("checks_fencing", pool.checks_fencing);
  reader.Bool("checks_keys", pool.checks_keys);
  return pool;
}

Model ReadModel(const std::string& name, FieldReader& reader) {
  Model model;
  model.name = name;
  reader.String("pool", model.pool, true);
  reader.String("adapter", model.adapter);
  reader.String("weights_version", model.weights_version, true);
  reader.String("default_kind", model.default_kind, true);
  return model;
}

Service ReadService(const std::string& name, FieldReader& reader) {
  Service service;
  service.name = name;
  reader.String("pool", service.pool, true);
  reader.Each("operations", [&](const std::string& key, FieldReader& item) {
    Operation operation;
    operation.name = key;
    item.String("kind", operation.kind, true);
    service.operations[key] = std::move(operation);
  });
  return service;
}

Account ReadAccount(const std::string& name, FieldReader& reader) {
  Account account;
  account.name = name;
  reader.String("key_sha256", account.key_sha256, true);
  const bool is_hex = account.key_sha256.find_first_not_of(
                          "0123456789abcdef") == std::string::npos;
  if (account.key_sha256.size() != kSha256HexDigits || !is_hex) {
    reader.Fail("key_sha256", "is not 64 lower-case hexadecimal digits");
  }
  reader.Number("requests_per_second", account.requests_per_second, 0,
                kMaxRate);
  return account;
}

ExceptionRule ReadException(const std::string& name, FieldReader& reader) {
  ExceptionRule rule;
  rule.name = name;
  reader.String("scope", rule.scope, true);
  if (const json* value = reader.Raw("value", true)) rule.value = *value;
  reader.String("reason", rule.reason, true);
  reader.String("author", rule.author);
  std::string expires;
  reader.String("expires", expires);
  if (!expires.empty()) {
    rule.expires = ParseUtc(expires);
    if (!rule.expires) {
      reader.Fail("expires", fmt::format("\"{}\" is not a time such as "
                                         "2027-01-31T12:00:00Z",
                                         expires));
    }
  }
  return rule;
}

template <typename Map>
void CheckReference(const Map& known, const std::string& name,
                    const std::string& pointer, const char* what,
                    Faults& faults) {
  if (name.empty() || known.contains(name)) return;
  std::string allowed;
  for (const auto& [key, value] : known) {
    if (!allowed.empty()) allowed += ", ";
    allowed += key;
  }
  faults.list.push_back({ErrorId::kConfigInvalid, pointer,
                         fmt::format("\"{}\" is not a known {}; known are: {}",
                                     name, what, allowed)});
}

void CheckReferences(const Config& config, Faults& faults) {
  for (const auto& [name, model] : config.models) {
    const std::string at = "/models/" + name;
    CheckReference(config.pools, model.pool, at + "/pool", "pool", faults);
    CheckReference(config.kinds, model.default_kind, at + "/default_kind",
                   "request kind", faults);
  }
  for (const auto& [name, service] : config.services) {
    const std::string at = "/services/" + name;
    CheckReference(config.pools, service.pool, at + "/pool", "pool", faults);
    for (const auto& [operation_name, operation] : service.operations) {
      const std::string kind_at =
          fmt::format("{}/operations/{}/kind", at, operation_name);
      CheckReference(config.kinds, operation.kind, kind_at, "request kind",
                     faults);
    }
  }
}

void IndexAccounts(Config& config, Faults& faults) {
  for (const auto& [name, account] : config.accounts) {
    const auto [it, inserted] =
        config.accounts_by_key.try_emplace(account.key_sha256, name);
    if (inserted) continue;
    faults.list.push_back(
        {ErrorId::kConfigInvalid, "/accounts/" + name + "/key_sha256",
         fmt::format("is also the key of account \"{}\"", it->second)});
  }
}

void ReadDocument(const json& document, Config& config, Faults& faults) {
  FieldReader reader(document, "", faults);
  std::int64_t schema = kSchema;
  reader.Integer("schema", schema, kSchema, kSchema);
  reader.Each("zones", [&](const std::string& key, FieldReader& item) {
    item.String("region", config.zone_regions[key], true);
  });
  ReadLinks(reader.Object("links"), config.links);
  ReadDefaults(reader.Object("defaults"), config.defaults);
  reader.Each("request_kinds", [&](const std::string& key, FieldReader& item) {
    config.kinds[key] = ReadKind(key, item);
  });
  reader.Each("pools", [&](const std::string& key, FieldReader& item) {
    config.pools[key] = ReadPool(key, item);
  });
  reader.Each("models", [&](const std::string& key, FieldReader& item) {
    config.models[key] = ReadModel(key, item);
  });
  reader.Each("services", [&](const std::string& key, FieldReader& item) {
    config.services[key] = ReadService(key, item);
  });
  reader.Each("accounts", [&](const std::string& key, FieldReader& item) {
    config.accounts[key] = ReadAccount(key, item);
  });
  reader.Each("exceptions", [&](const std::string& key, FieldReader& item) {
    config.exceptions[key] = ReadException(key, item);
  });
  reader.Finish();
  CheckReferences(config, faults);
  IndexAccounts(config, faults);
}

// Checks each exception by itself against the document without exceptions.
void CheckException(const json& document, const ExceptionRule& rule,
                    Faults& faults) {
  const std::string at = "/exceptions/" + rule.name + "/scope";
  if (rule.scope.empty()) return;
  if (rule.scope.starts_with("/exceptions") || rule.scope == "/schema") {
    faults.list.push_back({ErrorId::kConfigInvalid, at,
                           "must not name exceptions or the schema"});
    return;
  }
  json changed = document;
  changed.erase("exceptions");
  try {
    changed[json::json_pointer(rule.scope)] = rule.value;
  } catch (const json::exception& e) {
    faults.list.push_back({ErrorId::kConfigInvalid, at,
                           fmt::format("\"{}\": {}", rule.scope, e.what())});
    return;
  }
  Config ignored;
  Faults inner;
  ReadDocument(changed, ignored, inner);
  for (const Fault& fault : inner.list) {
    faults.list.push_back({fault.id, "/exceptions/" + rule.name + "/value",
                           fault.pointer + " " + fault.message});
  }
}

void CheckExceptions(const json& document, const Config& config,
                     Faults& faults) {
  if (config.exceptions.size() > config.defaults.max_exceptions) {
    faults.list.push_back(
        {ErrorId::kConfigInvalid, "/exceptions",
         fmt::format("holds {} exceptions; defaults.max_exceptions is {}",
                     config.exceptions.size(),
                     config.defaults.max_exceptions)});
  }
  if (!faults.list.empty()) return;
  for (const auto& [name, rule] : config.exceptions) {
    CheckException(document, rule, faults);
  }
}

// Applies exceptions in force at `now`, in the order of their names.
Config WithExceptions(const json& document, const Config& base, WallTime now) {
  json changed = document;
  std::optional<WallTime> next_expiry;
  for (const auto& [name, rule] : base.exceptions) {
    if (rule.expires && *rule.expires <= now) continue;
    changed[json::json_pointer(rule.scope)] = rule.value;
    if (rule.expires && (!next_expiry || *rule.expires < *next_expiry)) {
      next_expiry = rule.expires;
    }
  }
  Config config;
  Faults ignored;
  ReadDocument(changed, config, ignored);
  config.next_expiry = next_expiry;
  return config;
}

}  // namespace

boost::leaf::result<Config> ParseConfig(const json& document,
                                        std::uint64_t version, WallTime now) {
  Config config;
  Faults faults;
  ReadDocument(document, config, faults);
  CheckExceptions(document, config, faults);
  if (!faults.list.empty()) {
    return boost::leaf::new_error(std::move(faults));
  }
  if (!config.exceptions.empty()) {
    config = WithExceptions(document, config, now);
  }
  config.version = version;
  return config;
}

bool TryParseConfig(const json& document, std::uint64_t version, WallTime now,
                    Config& config, Faults& faults) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_ASSIGN(config, ParseConfig(document, version, now));
        return true;
      },
      [&](Faults& found) {
        faults = std::move(found);
        return false;
      },
      [&] { return false; });
}

configlog::Validity Validate(const json& document) {
  const auto schema = document.find("schema");
  if (schema != document.end() && schema->is_number_integer() &&
      schema->get<std::int64_t>() > static_cast<std::int64_t>(kSchema)) {
    return configlog::Validity::kUnknownSchema;
  }
  Config config;
  Faults faults;
  const bool ok = TryParseConfig(document, 0, WallTime{}, config, faults);
  return ok ? configlog::Validity::kValid : configlog::Validity::kInvalid;
}

std::string ToText(const Faults& faults) {
  std::string text;
  for (const Fault& fault : faults.list) {
    text += fmt::format(
        "{}: {} [{} {}]\n", fault.pointer.empty() ? "/" : fault.pointer,
        fault.message, static_cast<int>(fault.id), Name(fault.id));
  }
  return text;
}

std::optional<WallTime> ParseUtc(const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (end == nullptr || *end != '\0') return std::nullopt;
  return WallTime(std::chrono::seconds(timegm(&parts)));
}

}  // namespace beryllane::config
