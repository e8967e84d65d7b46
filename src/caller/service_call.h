/// @file
/// The checked form of a call to a plain service.
#ifndef BERYLLANE_SRC_CALLER_SERVICE_CALL_H_
#define BERYLLANE_SRC_CALLER_SERVICE_CALL_H_

#include <string>
#include <string_view>

#include "beryllane/claim/claim_table.h"
#include "src/caller/request_context.h"
#include "src/net/http_server.h"

namespace beryllane::caller {

/// A call whose path, kind and key were checked.
struct ServiceCall {
  std::string pool;
  /// Path at the service, such as `/refills`.
  std::string path;
  config::RequestKind kind;
  bool is_idempotent = true;
  /// The service runs a key at most once by itself.
  bool checks_keys = false;
  std::string key;
  WallTime key_issued;

  /// Whether the call must claim its key before it is sent. @pre none.
  bool needs_claim() const { return !is_idempotent && !checks_keys; }
};

/// Checks a call. `bounds` limit the age of a key. @pre `context.state` is
/// ready.
Result<ServiceCall> ParseServiceCall(const net::Exchange& exchange,
                                     const RequestContext& context,
                                     const claim::ClaimBounds& bounds);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_SERVICE_CALL_H_
