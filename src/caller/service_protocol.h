/// @file
/// Forwarding of calls from the router's own API to plain services.
#ifndef BERYLLANE_SRC_CALLER_SERVICE_PROTOCOL_H_
#define BERYLLANE_SRC_CALLER_SERVICE_PROTOCOL_H_

#include <string>
#include <vector>

#include "src/caller/request_context.h"
#include "src/caller/request_metrics.h"
#include "src/caller/service_call.h"
#include "src/exchange/engine.h"

namespace beryllane::caller {

/// Forwarding of one call; see `exchange::Protocol`. Retries idempotent calls
/// and calls whose key the service checks. A call with a claimed key is retried
/// only while no target can have run it. Not thread-safe.
class ServiceProtocol {
 public:
  /// @pre all references outlive the object.
  ServiceProtocol(net::Exchange& exchange, router::Node& node,
                  RequestMetrics& metrics, const RequestContext& context,
                  const ServiceCall& call, const std::string& body);
  ~ServiceProtocol();
  ServiceProtocol(const ServiceProtocol&) = delete;
  ServiceProtocol& operator=(const ServiceProtocol&) = delete;

  Result<exchange::Target> Choose();
  std::chrono::nanoseconds SendDelay() const {
    return std::chrono::nanoseconds(0);
  }
  net::Request Encode(const exchange::Target& target) const;
  net::CallOptions Options() const;
  std::chrono::nanoseconds ProgressTimeout() const {
    return context_.TimeLeft();
  }
  exchange::Classification Classify(const net::AnswerStream& response,
                                    const exchange::Target& target);
  bool IsStream(const net::AnswerStream& /*response*/) const { return false; }
  bool ContinuesStream(const net::AnswerStream& /*response*/) const {
    return false;
  }
  Result<std::string> Feed(std::string bytes) const { return bytes; }
  bool IsComplete() const { return false; }
  Result<Done> OnStreamEnd() const { return Done{}; }
  net::http::response<net::http::empty_body> StreamHead(
      const net::AnswerStream& response, const exchange::Target& target) const;
  net::Response BufferedResponse(const net::AnswerStream& response,
                                 std::string body,
                                 const exchange::Target& target) const;
  void OnAttemptEnd(const exchange::Target& target, const Error* error);
  bool ShouldRetry(Error& error, int attempts);

 private:
  const router::PoolTargets& targets() const;
  const placement::PoolTarget& pool_target() const;

  net::Exchange& exchange_;
  router::Node& node_;
  RequestMetrics& metrics_;
  const RequestContext& context_;
  const ServiceCall& call_;
  const std::string& body_;
  std::vector<std::uint64_t> excluded_;
  std::size_t target_index_ = 0;
  // Whether the target of this attempt sent a response.
  bool has_response_ = false;
  // Attempts in which the target may have run the call.
  int possible_runs_ = 0;
  telemetry::TraceContext attempt_trace_;
  RuntimeClock::time_point attempt_start_;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_SERVICE_PROTOCOL_H_
