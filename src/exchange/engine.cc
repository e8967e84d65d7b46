#include "src/exchange/engine.h"

#include <utility>

#include "fmt/format.h"
#include "src/caller/completion_protocol.h"
#include "src/caller/service_protocol.h"
#include "src/fleet/runner_protocol.h"
#include "src/net/spawn.h"

namespace beryllane::exchange {
namespace {

using net::asio::awaitable;

// Calls `visitor` with the active alternative of `protocol`.
template <typename Visitor>
auto CallProtocol(const Protocol& protocol, Visitor visitor) {
  return std::visit([&](auto* in_use) { return visitor(*in_use); }, protocol);
}

// Limit on the responses to other requests that are skipped on one connection.
constexpr int kMaxMismatchedResponses = 4;
// Limit on a response that is held in memory until it is complete.
constexpr std::size_t kMaxBufferedBytes = 8 * 1024 * 1024;

}  // namespace

awaitable<ForwardResult> RequestForwarder::Run() {
  std::string failure;
  try {
    co_return co_await RunAttempts();
  } catch (const boost::system::system_error& error) {
    // Another branch of the caller's `operator||` has ended first.
    if (error.code() == net::asio::error::operation_aborted) {
      co_return ForwardResult{ForwardResult::Kind::kCallerGone, {}, {}};
    }
    failure = error.what();
  } catch (const std::exception& error) {
    failure = error.what();
  }
  // `operator||` takes an exception for no result, and would wait until another
  // branch ends.
  net::ReportTaskFailure("forward", failure);
  co_return ForwardResult{
      ForwardResult::Kind::kFailed,
      {},
      {ErrorId::kInternal, "the request cannot be forwarded",
       may_have_run_ ? Verdict::kMayHaveRun : Verdict::kNotRun}};
}

awaitable<ForwardResult> RequestForwarder::RunAttempts() {
  Error error;
  // Whether the request ran in any attempt so far: the verdict of the attempt
  // that got furthest.
  Verdict verdict = Verdict::kNotRun;
  for (int attempts = 1;; ++attempts) {
    auto target = CallProtocol(protocol_, [](auto& d) { return d.Choose(); });
    if (!target.ok()) {
      // The error of an earlier attempt is more specific than having no target
      // left.
      if (attempts == 1) error = target.error();
      break;
    }
    AttemptResult attempt = co_await Attempt(target.value());
    if (attempt.result) co_return std::move(*attempt.result);
    error = std::move(attempt.error);
    verdict = Combine(verdict, error.verdict);
    may_have_run_ = verdict != Verdict::kNotRun;
    error.verdict = verdict;
    const bool should_retry = CallProtocol(
        protocol_, [&](auto& d) { return d.ShouldRetry(error, attempts); });
    if (!should_retry) break;
  }
  error.verdict = Combine(verdict, error.verdict);
  if (failure_response_ && !exchange_.is_started()) {
    co_return ForwardResult{
        ForwardResult::Kind::kResponse, std::move(*failure_response_), {}};
  }
  co_return ForwardResult{ForwardResult::Kind::kFailed, {}, std::move(error)};
}

awaitable<RequestForwarder::AttemptResult> RequestForwarder::Attempt(
    Target target) {
  const auto delay =
      CallProtocol(protocol_, [](auto& d) { return d.SendDelay(); });
  if (delay > std::chrono::nanoseconds(0)) {
    co_await net::Sleep(delay);
  }
  net::Request request =
      CallProtocol(protocol_, [&](auto& d) { return d.Encode(target); });
  net::CallOptions options =
      CallProtocol(protocol_, [](auto& d) { return d.Options(); });
  // The loop may be late to tell of a close; what is sent would run in vain.
  options.may_send = [this, may_send = std::move(options.may_send)] {
    return !exchange_.IsCallerGone() && (!may_send || may_send());
  };
  may_have_run_ = true;
  auto opened =
      co_await client_.Open(target.address, std::move(request), options);
  AttemptResult attempt;
  bool is_gone = false;
  if (!opened.ok()) {
    attempt.error = opened.error();
    attempt.error.message = target.id + ": " + attempt.error.message;
    is_gone = attempt.error.id == ErrorId::kTargetWithdrawn &&
              exchange_.IsCallerGone();
    if (is_gone) {
      attempt.result = ForwardResult{ForwardResult::Kind::kCallerGone, {}, {}};
    }
  } else {
    attempt = co_await Relay(*opened.value(), target);
  }
  const bool has_failed = is_gone || !attempt.result;
  const Error* failure = has_failed ? &attempt.error : nullptr;
  CallProtocol(protocol_, [&](auto& d) { d.OnAttemptEnd(target, failure); });
  co_return attempt;
}

awaitable<RequestForwarder::AttemptResult> RequestForwarder::Relay(
    net::AnswerStream& response, const Target& target) {
  auto outcome = co_await ClassifyResponse(response, target);
  if (!outcome.ok()) co_return AttemptResult{std::nullopt, outcome.error()};
  Classification& classification = outcome.value();
  if (classification.kind == Classification::Kind::kFailedWithResponse) {
    co_await SaveFailureResponse(response, target);
  }
  if (classification.kind != Classification::Kind::kRelay) {
    co_return AttemptResult{std::nullopt, std::move(classification.error)};
  }
  const bool is_stream =
      CallProtocol(protocol_, [&](auto& d) { return d.IsStream(response); });
  // Nothing but the rest of a stream may follow its begin.
  const bool can_follow =
      !exchange_.is_started() || CallProtocol(protocol_, [&](auto& d) {
        return d.ContinuesStream(response);
      });
  if (!can_follow) {
    Error error{
        ErrorId::kTargetAnswerInvalid,
        fmt::format("{} resumed a stream with status {} or another type",
                    target.id, response.status()),
        Verdict::kRan};
    co_return AttemptResult{std::nullopt, std::move(error)};
  }
  if (is_stream) {
    co_return co_await RelayStream(response, target);
  }
  co_return co_await RelayBuffered(response, target);
}

awaitable<Result<Classification>> RequestForwarder::ClassifyResponse(
    net::AnswerStream& response, const Target& target) {
  Classification result;
  for (int skipped = 0; skipped <= kMaxMismatchedResponses; ++skipped) {
    result = CallProtocol(
        protocol_, [&](auto& d) { return d.Classify(response, target); });
    if (result.kind != Classification::Kind::kMismatched) co_return result;
    response.set_answer_timeout(
        CallProtocol(protocol_, [](auto& d) { return d.ProgressTimeout(); }));
    auto next = co_await response.SkipAnswer();
    if (!next.ok()) co_return next.error();
  }
  co_return Error{ErrorId::kTargetAnswerInvalid,
                  target.id + " sent only responses to other requests",
                  Verdict::kMayHaveRun};
}

awaitable<void> RequestForwarder::SaveFailureResponse(
    net::AnswerStream& response, const Target& target) {
  std::string body;
  for (;;) {
    response.set_answer_timeout(
        CallProtocol(protocol_, [](auto& d) { return d.ProgressTimeout(); }));
    auto part = co_await response.Read();
    if (!part.ok()) co_return;
    if (part.value().empty()) break;
    body += part.value();
    const bool has_room = exchange_.TryHoldAnswer(body.size());
    if (body.size() > kMaxBufferedBytes || !has_room) co_return;
  }
  failure_response_ = CallProtocol(protocol_, [&](auto& d) {
    return d.BufferedResponse(response, std::move(body), target);
  });
}

awaitable<RequestForwarder::AttemptResult> RequestForwarder::RelayStream(
    net::AnswerStream& response, const Target& target) {
  const auto is_complete = [this] {
    return CallProtocol(protocol_, [](auto& d) { return d.IsComplete(); });
  };
  while (!is_complete()) {
    response.set_answer_timeout(
        CallProtocol(protocol_, [](auto& d) { return d.ProgressTimeout(); }));
    auto part = co_await response.Read();
    if (!part.ok()) {
      Error error = part.error();
      error.message = target.id + ": " + error.message;
      co_return AttemptResult{std::nullopt, std::move(error)};
    }
    if (part.value().empty()) {
      auto ended =
          CallProtocol(protocol_, [](auto& d) { return d.OnStreamEnd(); });
      if (!ended.ok()) co_return AttemptResult{std::nullopt, ended.error()};
      break;
    }
    auto bytes = CallProtocol(
        protocol_, [&](auto& d) { return d.Feed(std::move(part.value())); });
    if (!bytes.ok()) co_return AttemptResult{std::nullopt, bytes.error()};
    bool is_sent = true;
    if (!exchange_.is_started()) {
      auto head = CallProtocol(
          protocol_, [&](auto& d) { return d.StreamHead(response, target); });
      is_sent = co_await exchange_.StartStream(std::move(head), bytes.value());
    } else {
      is_sent = co_await exchange_.Write(bytes.value());
    }
    if (!is_sent) {
      co_return AttemptResult{
          ForwardResult{ForwardResult::Kind::kCallerGone, {}, {}}, {}};
    }
  }
  if (!exchange_.is_started()) {
    auto head = CallProtocol(
        protocol_, [&](auto& d) { return d.StreamHead(response, target); });
    co_await exchange_.StartStream(std::move(head), "");
  }
  co_await exchange_.FinishStream();
  // The connection can be reused only after the end of the body was read.
  if (is_complete()) {
    co_await response.Read();
  }
  co_return AttemptResult{ForwardResult{ForwardResult::Kind::kStreamed, {}, {}},
                          {}};
}

awaitable<RequestForwarder::AttemptResult> RequestForwarder::RelayBuffered(
    net::AnswerStream& response, const Target& target) {
  std::string body;
  for (;;) {
    response.set_answer_timeout(
        CallProtocol(protocol_, [](auto& d) { return d.ProgressTimeout(); }));
    auto part = co_await response.Read();
    if (!part.ok()) {
      Error error = part.error();
      error.message = target.id + ": " + error.message;
      co_return AttemptResult{std::nullopt, std::move(error)};
    }
    if (part.value().empty()) break;
    body += part.value();
    if (body.size() > kMaxBufferedBytes) {
      co_return AttemptResult{
          std::nullopt,
          {ErrorId::kTargetAnswerInvalid,
           target.id + " sent a body that is too large", Verdict::kRan}};
    }
    if (!exchange_.TryHoldAnswer(body.size())) {
      co_return AttemptResult{
          std::nullopt,
          {ErrorId::kOverloaded,
           "other messages take up the memory for the body of " + target.id,
           Verdict::kRan}};
    }
  }
  ForwardResult result;
  result.kind = ForwardResult::Kind::kResponse;
  result.response = CallProtocol(protocol_, [&](auto& d) {
    return d.BufferedResponse(response, std::move(body), target);
  });
  co_return AttemptResult{std::move(result), {}};
}

}  // namespace beryllane::exchange
