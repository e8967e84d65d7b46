/// @file
/// Metrics of the request path. Each is looked up in the registry only once.
#ifndef BERYLLANE_SRC_CALLER_REQUEST_METRICS_H_
#define BERYLLANE_SRC_CALLER_REQUEST_METRICS_H_

#include "beryllane/error/error.h"
#include "beryllane/metrics/registry.h"

namespace beryllane::caller {

/// References to metrics in a registry. Thread-safe.
struct RequestMetrics {
  /// @pre `registry` outlives the metrics.
  explicit RequestMetrics(MetricRegistry& registry);

  /// Counts a request that ended with an error, by error and by verdict. @pre
  /// none. Thread-safe.
  void CountError(const Error& error);

  MetricRegistry& registry;
  Counter& completions;
  Counter& service_calls;
  Counter& answered;
  Counter& not_run;
  Counter& may_have_run;
  Counter& attempts;
  Counter& retries;
  Counter& resumes;
  Counter& caller_gone;
  Counter& prompt_tokens;
  Counter& cached_tokens;
  Counter& stream_reads;
  Counter& duplicate_events;
  Counter& crossed_answers;
  Gauge& running;
  LatencyHistogram& first_token;
  LatencyHistogram& claim_wait;
};

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_REQUEST_METRICS_H_
