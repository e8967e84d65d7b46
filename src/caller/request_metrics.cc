#include "src/caller/request_metrics.h"

#include <string>

namespace beryllane::caller {

RequestMetrics::RequestMetrics(MetricRegistry& r)
    : registry(r),
      completions(r.GetCounter("beryllane_requests_total", "Requests received",
                               {{"path", "completions"}})),
      service_calls(r.GetCounter("beryllane_requests_total",
                                 "Requests received", {{"path", "services"}})),
      answered(r.GetCounter("beryllane_outcomes_total", "Requests by verdict",
                            {{"verdict", "ran"}})),
      not_run(r.GetCounter("beryllane_outcomes_total", "Requests by verdict",
                           {{"verdict", "not-run"}})),
      may_have_run(r.GetCounter("beryllane_outcomes_total",
                                "Requests by verdict",
                                {{"verdict", "may-have-run"}})),
      attempts(r.GetCounter("beryllane_attempts_total",
                            "Exchanges started with targets")),
      retries(r.GetCounter("beryllane_retries_total",
                           "Attempts after the first of a request")),
      resumes(r.GetCounter("beryllane_stream_resumes_total",
                           "Streams that went on at another connection")),
      caller_gone(r.GetCounter("beryllane_caller_gone_total",
                               "Requests whose caller closed first")),
      prompt_tokens(r.GetCounter("beryllane_prompt_tokens_total",
                                 "Prompt tokens of answered requests")),
      cached_tokens(r.GetCounter("beryllane_cached_tokens_total",
                                 "Prompt tokens that targets found cached")),
      stream_reads(r.GetCounter("beryllane_stream_reads_total",
                                "Parts of streams relayed to callers")),
      duplicate_events(r.GetCounter("beryllane_duplicate_events_total",
                                    "Stream events that callers had already")),
      crossed_answers(r.GetCounter("beryllane_crossed_answers_total",
                                   "Answers of another request, dropped")),
      running(
          r.GetGauge("beryllane_requests_running", "Requests being answered")),
      first_token(r.GetHistogram("beryllane_first_token_seconds",
                                 "Time from request to first token")),
      claim_wait(
          r.GetHistogram("beryllane_claim_seconds", "Time that claims took")) {}

void RequestMetrics::CountError(const Error& error) {
  registry
      .GetCounter("beryllane_errors_total", "Errors sent to callers",
                  {{"error", std::string(Name(error.id))}})
      .Add();
  switch (error.verdict) {
    case Verdict::kNotRun:
      not_run.Add();
      break;
    case Verdict::kMayHaveRun:
      may_have_run.Add();
      break;
    case Verdict::kRan:
      answered.Add();
      break;
  }
}

}  // namespace beryllane::caller
