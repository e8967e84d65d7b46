/// @file
/// Authentication and the other checks of a request before it is routed.
#ifndef BERYLLANE_SRC_CALLER_REQUEST_CONTEXT_H_
#define BERYLLANE_SRC_CALLER_REQUEST_CONTEXT_H_

#include <chrono>
#include <memory>
#include <string>

#include "beryllane/error/error.h"
#include "src/net/http_server.h"
#include "src/router/node.h"

namespace beryllane::caller {

/// Id, client account, trace, deadline and routing state of one request.
struct RequestContext {
  std::string id;
  std::string account;
  telemetry::TraceContext trace;
  RuntimeClock::time_point deadline;
  /// The routing state that was current when the context was made. All attempts
  /// of the request use it, also when the router has a newer one.
  std::shared_ptr<const router::RoutingState> state;

  /// Time left until the deadline; never negative. @pre none.
  std::chrono::nanoseconds TimeLeft() const;
};

/// Checks readiness, bearer key, deadline and rate limit, in this order. On
/// success `state->is_ready()` holds. @pre on the loop of `exchange`.
Result<RequestContext> MakeRequestContext(const net::Exchange& exchange,
                                          router::Node& node);

/// Looks up the request kind that the `Beryllane-Kind` header names, or
/// `fallback` without the header. Fails with `kUnknownKind`. @pre
/// `context` was returned by `MakeRequestContext`.
Result<config::RequestKind> FindRequestKind(const net::Exchange& exchange,
                                            const RequestContext& context,
                                            const std::string& fallback);

/// Lower-case hexadecimal SHA-256. @pre none. Thread-safe.
std::string Sha256Hex(std::string_view text);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_REQUEST_CONTEXT_H_
