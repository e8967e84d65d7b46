/// @file
/// Serves completion requests, with buffered or streamed responses.
#ifndef BERYLLANE_SRC_CALLER_COMPLETION_HANDLER_H_
#define BERYLLANE_SRC_CALLER_COMPLETION_HANDLER_H_

#include <nlohmann/json.hpp>
#include <string>

#include "src/caller/completion_request.h"
#include "src/caller/request_context.h"
#include "src/caller/request_metrics.h"
#include "src/net/http_server.h"
#include "src/router/node.h"

namespace beryllane::caller {

/// Handles `/v1/chat/completions` and `/v1/completions`. Thread-safe.
class CompletionHandler {
 public:
  /// @pre `node` and `metrics` outlive the handler.
  CompletionHandler(router::Node& node, RequestMetrics& metrics);

  /// Answers one request. @pre on the loop of `exchange`.
  net::asio::awaitable<void> Handle(net::Exchange& exchange, bool is_chat);

  /// Returns the placement decision for a request of `account` as JSON, without
  /// sending the request. @pre none.
  Result<nlohmann::json> Explain(const std::string& body, bool is_chat,
                                 const std::string& account);

 private:
  router::Node& node_;
  RequestMetrics& metrics_;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_COMPLETION_HANDLER_H_
