/// @file
/// Forwarding of completion requests from the router's own API to engines.
#ifndef BERYLLANE_SRC_CALLER_COMPLETION_PROTOCOL_H_
#define BERYLLANE_SRC_CALLER_COMPLETION_PROTOCOL_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/caller/completion_plan.h"
#include "src/caller/request_context.h"
#include "src/caller/request_metrics.h"
#include "src/caller/stream_relay.h"
#include "src/exchange/engine.h"

namespace beryllane::caller {

/// Prefill work that this router has sent to a target. Counts towards the
/// target's load from dispatch to the first token (`Finish`) or destruction.
class PendingPrefill {
 public:
  PendingPrefill(std::shared_ptr<placement::LoadCell> load,
                 std::uint32_t tokens)
      : load_(std::move(load)), tokens_(tokens) {
    load_->AddPending(tokens_, RuntimeClock::now());
  }
  ~PendingPrefill() { Finish(); }
  PendingPrefill(const PendingPrefill&) = delete;
  PendingPrefill& operator=(const PendingPrefill&) = delete;

  void Finish() {
    if (!is_finished_) load_->RemovePending(tokens_);
    is_finished_ = true;
  }

 private:
  std::shared_ptr<placement::LoadCell> load_;
  std::uint32_t tokens_;
  bool is_finished_ = false;
};

/// Forwarding of one completion; see `exchange::Protocol`. Not thread-safe.
class CompletionProtocol {
 public:
  /// @pre all references outlive the object.
  CompletionProtocol(net::Exchange& exchange, router::Node& node,
                     RequestMetrics& metrics, const RequestContext& context,
                     CompletionPlan plan, bool is_stream, std::string body);

  Result<exchange::Target> Choose();
  std::chrono::nanoseconds SendDelay() const {
    return std::chrono::nanoseconds(0);
  }
  net::Request Encode(const exchange::Target& target) const;
  net::CallOptions Options() const;
  std::chrono::nanoseconds ProgressTimeout() const;
  exchange::Classification Classify(const net::AnswerStream& response,
                                    const exchange::Target& target);
  bool IsStream(const net::AnswerStream& /*response*/) const {
    return is_stream_;
  }
  bool ContinuesStream(const net::AnswerStream& /*response*/) const {
    return is_stream_;
  }
  Result<std::string> Feed(const std::string& bytes);
  bool IsComplete() const { return relay_.is_complete(); }
  Result<Done> OnStreamEnd() const;
  net::http::response<net::http::empty_body> StreamHead(
      const net::AnswerStream& response, const exchange::Target& target) const;
  net::Response BufferedResponse(const net::AnswerStream& response,
                                 std::string body,
                                 const exchange::Target& target) const;
  void OnAttemptEnd(const exchange::Target& target, const Error* error);
  bool ShouldRetry(Error& error, int attempts);

 private:
  // The defaults of the configuration that the plan was made with.
  const config::Defaults& defaults() const;
  const placement::PoolTarget& pool_target() const;
  Error RefusalError(placement::Refusal refusal) const;
  // Limit on the wait for the head of the response; `Options` applies it.
  std::chrono::nanoseconds HeadTimeout() const;
  void ReadEngineHeaders(const net::AnswerStream& response);
  template <typename Head>
  void SetResponseHeaders(Head& head, const exchange::Target& target) const;
  void FinishDecisionSpan(const placement::Decision& decision,
                          RuntimeClock::time_point decision_start);

  net::Exchange& exchange_;
  router::Node& node_;
  RequestMetrics& metrics_;
  const RequestContext& context_;
  CompletionPlan plan_;
  bool is_stream_;
  std::string body_;
  StreamRelay relay_;
  placement::Candidate choice_;
  std::optional<PendingPrefill> pending_prefill_;
  telemetry::TraceContext attempt_trace_;
  RuntimeClock::time_point attempt_start_;
  std::uint64_t cached_tokens_ = 0;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_COMPLETION_PROTOCOL_H_
