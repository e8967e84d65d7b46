#include "src/caller/service_call.h"

#include <utility>

#include "fmt/format.h"
#include "src/caller/error_response.h"

namespace beryllane::caller {
namespace {

constexpr std::string_view kPathPrefix = "/services/";
constexpr std::size_t kMaxKeyBytes = 256;

Error NotRunError(ErrorId id, std::string message) {
  return {id, std::move(message), Verdict::kNotRun};
}

// Whether the path contains segments or escapes that a target could normalize
// to a path other than the one checked here.
bool HasUnsafeSegment(std::string_view path) {
  path = path.substr(0, path.find('?'));
  return path.find("/../") != std::string_view::npos || path.ends_with("/..") ||
         path.find("/./") != std::string_view::npos ||
         path.find("//") != std::string_view::npos ||
         path.find("%2f") != std::string_view::npos ||
         path.find("%2F") != std::string_view::npos ||
         path.find("%2e") != std::string_view::npos ||
         path.find("%2E") != std::string_view::npos ||
         path.find('\\') != std::string_view::npos;
}

Result<Done> CheckKey(ServiceCall& call, const claim::ClaimBounds& bounds) {
  if (call.key.empty()) {
    return NotRunError(ErrorId::kKeyRequired,
                       fmt::format("requests of kind \"{}\" need the header {}",
                                   call.kind.name, kKeyHeader));
  }
  const auto issued = claim::KeyIssueTime(call.key);
  if (!issued || call.key.size() > kMaxKeyBytes) {
    return NotRunError(
        ErrorId::kInvalidKey,
        fmt::format("{} must be a UUID of version 7 or "
                    "<milliseconds since 1970>-<text>, of at most {} "
                    "bytes",
                    kKeyHeader, kMaxKeyBytes));
  }
  call.key_issued = *issued;
  const WallTime now = RuntimeClock::WallNow();
  if (now > *issued + bounds.max_age || *issued > now + bounds.max_skew) {
    return NotRunError(
        ErrorId::kKeyExpired,
        fmt::format("the key was issued {} ms ago; at most {} ms are "
                    "allowed, and {} ms ahead",
                    (now - *issued).count(), bounds.max_age.count(),
                    bounds.max_skew.count()));
  }
  return Done{};
}

}  // namespace

Result<ServiceCall> ParseServiceCall(const net::Exchange& exchange,
                                     const RequestContext& context,
                                     const claim::ClaimBounds& bounds) {
  const config::Config& config = *context.state->config;
  const std::string_view target = net::Target(exchange.request());
  if (HasUnsafeSegment(target)) {
    return NotRunError(
        ErrorId::kInvalidField,
        "the path contains segments that targets may normalize differently");
  }
  const std::string_view rest = target.substr(kPathPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  const auto service = config.services.find(name);
  if (service == config.services.end() || slash == std::string_view::npos) {
    return NotRunError(ErrorId::kUnknownService,
                       fmt::format("\"{}\" is not a service", name));
  }
  const std::string_view path = rest.substr(slash);
  const std::string operation_name(
      path.substr(1, path.find_first_of("/?", 1) - 1));
  const auto operation = service->second.operations.find(operation_name);
  if (operation == service->second.operations.end()) {
    return NotRunError(
        ErrorId::kUnknownService,
        fmt::format("\"{}\" is not an operation of service \"{}\"",
                    operation_name, name));
  }
  ServiceCall call;
  call.pool = service->second.pool;
  call.path = path;
  call.kind = config.kinds.at(operation->second.kind);
  const auto method = exchange.request().method();
  const bool is_read =
      method == net::http::verb::get || method == net::http::verb::head;
  call.is_idempotent = is_read || call.kind.idempotent;
  call.checks_keys = config.pools.at(call.pool).checks_keys;
  call.key = net::Header(exchange.request(), kKeyHeader);
  if (call.is_idempotent) return call;
  auto checked = CheckKey(call, bounds);
  if (!checked.ok()) return checked.error();
  return call;
}

}  // namespace beryllane::caller
