/// @file
/// Parsing and validation of calls to plain services.
#ifndef BERYLLANE_SRC_CALLER_SERVICE_CALL_H_
#define BERYLLANE_SRC_CALLER_SERVICE_CALL_H_

#include <string>
#include <string_view>

#include "beryllane/claim/claim_table.h"
#include "src/caller/request_context.h"
#include "src/net/http_server.h"

namespace beryllane::caller {

/// A call with validated path, request kind and idempotency key.
struct ServiceCall {
  std::string pool;
  /// Path sent to the service, such as `/refills`.
  std::string path;
  config::RequestKind kind;
  bool is_idempotent = true;
  /// The service itself runs a call at most once per key.
  bool checks_keys = false;
  std::string key;
  WallTime key_issued;

  /// Whether the router must claim the key before it sends the call. @pre none.
  bool needs_claim() const { return !is_idempotent && !checks_keys; }
};

/// Parses and validates a call. `bounds` limit the age of its key. @pre
/// `context.state` is ready.
Result<ServiceCall> ParseServiceCall(const net::Exchange& exchange,
                                     const RequestContext& context,
                                     const claim::ClaimBounds& bounds);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_SERVICE_CALL_H_
