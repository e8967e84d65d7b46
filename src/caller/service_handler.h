/// @file
/// Serves calls to plain services. A non-idempotent call runs at most once per
/// idempotency key.
#ifndef BERYLLANE_SRC_CALLER_SERVICE_HANDLER_H_
#define BERYLLANE_SRC_CALLER_SERVICE_HANDLER_H_

#include "src/caller/request_context.h"
#include "src/caller/request_metrics.h"
#include "src/net/http_server.h"
#include "src/router/node.h"

namespace beryllane::caller {

/// Handles `/services/<service>/<operation>...`. Thread-safe.
class ServiceHandler {
 public:
  /// @pre `node` and `metrics` outlive the handler.
  ServiceHandler(router::Node& node, RequestMetrics& metrics);

  /// Answers one call. @pre on the loop of `exchange`.
  net::asio::awaitable<void> Handle(net::Exchange& exchange);

 private:
  router::Node& node_;
  RequestMetrics& metrics_;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_SERVICE_HANDLER_H_
