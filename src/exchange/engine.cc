#include "src/exchange/engine.h"

#include <utility>

#include "src/caller/completion_dialect.h"
#include "src/caller/service_dialect.h"
#include "src/fleet/runner_dialect.h"

namespace beryllane::exchange {
namespace {

using net::asio::awaitable;

// Calls `visitor` with the dialect in use.
template <typename Visitor>
auto With(const Dialect& dialect, Visitor visitor) {
  return std::visit([&](auto* in_use) { return visitor(*in_use); }, dialect);
}

// Largest number of foreign answers that are skipped on one connection.
constexpr int kMaxForeignAnswers = 4;

}  // namespace

awaitable<Ending> Engine::Run() {
  Error error;
  // What all attempts together say about whether the request ran.
  Verdict verdict = Verdict::kNotRun;
  for (int attempts = 1;; ++attempts) {
    auto target = With(dialect_, [](auto& d) { return d.Choose(); });
    if (!target.ok()) {
      // A failure of an earlier attempt says more than the lack of a target.
      if (attempts == 1) error = target.error();
      break;
    }
    AttemptEnd end = co_await Attempt(target.value());
    if (end.ending) co_return std::move(*end.ending);
    error = std::move(end.error);
    verdict = Combine(verdict, error.verdict);
    error.verdict = verdict;
    const bool may_try_again =
        With(dialect_, [&](auto& d) { return d.MayTryAgain(error, attempts); });
    if (!may_try_again) break;
  }
  error.verdict = Combine(verdict, error.verdict);
  if (failure_ && !exchange_.is_started()) {
    co_return Ending{Ending::Kind::kAnswer, std::move(*failure_), {}};
  }
  co_return Ending{Ending::Kind::kFailed, {}, std::move(error)};
}

awaitable<Engine::AttemptEnd> Engine::Attempt(Target target) {
  const auto delay = With(dialect_, [](auto& d) { return d.SendDelay(); });
  if (delay > std::chrono::nanoseconds(0)) {
    co_await net::Sleep(delay);
  }
  net::Request request =
      With(dialect_, [&](auto& d) { return d.Encode(target); });
  const net::CallOptions options =
      With(dialect_, [](auto& d) { return d.Options(); });
  auto opened =
      co_await client_.Open(target.address, std::move(request), options);
  AttemptEnd end;
  if (!opened.ok()) {
    end.error = opened.error();
    end.error.message = target.id + ": " + end.error.message;
  } else {
    end = co_await Relay(*opened.value(), target);
  }
  const Error* failure = end.ending ? nullptr : &end.error;
  With(dialect_, [&](auto& d) { d.OnAttemptEnd(target, failure); });
  co_return end;
}

awaitable<Engine::AttemptEnd> Engine::Relay(net::AnswerStream& answer,
                                            const Target& target) {
  auto judged = co_await JudgeAnswers(answer, target);
  if (!judged.ok()) co_return AttemptEnd{std::nullopt, judged.error()};
  Judgement& judgement = judged.value();
  if (judgement.kind == Judgement::Kind::kFailedWithAnswer) {
    co_await KeepFailure(answer, target);
  }
  if (judgement.kind != Judgement::Kind::kRelay) {
    co_return AttemptEnd{std::nullopt, std::move(judgement.error)};
  }
  const bool is_stream =
      With(dialect_, [&](auto& d) { return d.IsStream(answer); });
  if (is_stream) {
    co_return co_await RelayStream(answer, target);
  }
  co_return co_await RelayWhole(answer, target);
}

awaitable<Result<Judgement>> Engine::JudgeAnswers(net::AnswerStream& answer,
                                                  const Target& target) {
  Judgement judgement;
  for (int skipped = 0; skipped <= kMaxForeignAnswers; ++skipped) {
    judgement =
        With(dialect_, [&](auto& d) { return d.Judge(answer, target); });
    if (judgement.kind != Judgement::Kind::kForeign) co_return judgement;
    auto next = co_await answer.SkipAnswer();
    if (!next.ok()) co_return next.error();
  }
  co_return Error{ErrorId::kTargetAnswerInvalid,
                  target.id + " keeps answering other requests",
                  Verdict::kMayHaveRun};
}

awaitable<void> Engine::KeepFailure(net::AnswerStream& answer,
                                    const Target& target) {
  std::string body;
  for (;;) {
    auto part = co_await answer.Read();
    if (!part.ok()) co_return;
    if (part.value().empty()) break;
    body += part.value();
  }
  failure_ = With(dialect_, [&](auto& d) {
    return d.WholeAnswer(answer, std::move(body), target);
  });
}

awaitable<Engine::AttemptEnd> Engine::RelayStream(net::AnswerStream& answer,
                                                  const Target& target) {
  const auto is_complete = [this] {
    return With(dialect_, [](auto& d) { return d.IsComplete(); });
  };
  while (!is_complete()) {
    answer.set_answer_timeout(
        With(dialect_, [](auto& d) { return d.ProgressTimeout(); }));
    auto part = co_await answer.Read();
    if (!part.ok()) {
      Error error = part.error();
      error.message = target.id + ": " + error.message;
      co_return AttemptEnd{std::nullopt, std::move(error)};
    }
    if (part.value().empty()) {
      auto ended = With(dialect_, [](auto& d) { return d.OnStreamEnd(); });
      if (!ended.ok()) co_return AttemptEnd{std::nullopt, ended.error()};
      break;
    }
    auto bytes = With(dialect_,
                      [&](auto& d) { return d.Feed(std::move(part.value())); });
    if (!bytes.ok()) co_return AttemptEnd{std::nullopt, bytes.error()};
    bool is_sent = true;
    if (!exchange_.is_started()) {
      auto head =
          With(dialect_, [&](auto& d) { return d.StreamHead(answer, target); });
      is_sent = co_await exchange_.StartStream(std::move(head), bytes.value());
    } else {
      is_sent = co_await exchange_.Write(bytes.value());
    }
    if (!is_sent) {
      co_return AttemptEnd{Ending{Ending::Kind::kCallerGone, {}, {}}, {}};
    }
  }
  if (!exchange_.is_started()) {
    auto head =
        With(dialect_, [&](auto& d) { return d.StreamHead(answer, target); });
    co_await exchange_.StartStream(std::move(head), "");
  }
  co_await exchange_.FinishStream();
  // Reading the end lets the connection be used again.
  if (is_complete()) {
    co_await answer.Read();
  }
  co_return AttemptEnd{Ending{Ending::Kind::kStreamed, {}, {}}, {}};
}

awaitable<Engine::AttemptEnd> Engine::RelayWhole(net::AnswerStream& answer,
                                                 const Target& target) {
  std::string body;
  answer.set_answer_timeout(
      With(dialect_, [](auto& d) { return d.ProgressTimeout(); }));
  for (;;) {
    auto part = co_await answer.Read();
    if (!part.ok()) {
      Error error = part.error();
      error.message = target.id + ": " + error.message;
      co_return AttemptEnd{std::nullopt, std::move(error)};
    }
    if (part.value().empty()) break;
    body += part.value();
  }
  Ending ending;
  ending.kind = Ending::Kind::kAnswer;
  ending.answer = With(dialect_, [&](auto& d) {
    return d.WholeAnswer(answer, std::move(body), target);
  });
  co_return AttemptEnd{std::move(ending), {}};
}

}  // namespace beryllane::exchange
