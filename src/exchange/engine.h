/// @file
/// The life of one request: choose a target, send, judge the answer, relay it,
/// try again where that is safe.
#ifndef BERYLLANE_SRC_EXCHANGE_ENGINE_H_
#define BERYLLANE_SRC_EXCHANGE_ENGINE_H_

#include <optional>
#include <string>
#include <variant>

#include "beryllane/error/error.h"
#include "src/net/http_client.h"
#include "src/net/http_server.h"

namespace beryllane::caller {
class CompletionDialect;
class ServiceDialect;
}  // namespace beryllane::caller

namespace beryllane::fleet {
class RunnerProtocol;
}  // namespace beryllane::fleet

namespace beryllane::exchange {

/// Where one attempt goes.
struct Target {
  std::string id;
  net::Address address;
};

/// What the head of a target's answer means for the request.
struct Judgement {
  enum class Kind {
    /// The answer is passed on.
    kRelay,
    /// The answer belongs to another request; the next one may be ours.
    kForeign,
    /// The attempt failed; `error` has the verdict.
    kFailed,
    /// A failure that may be passed on whole where no other target is tried.
    kFailedWithAnswer,
  };
  Kind kind = Kind::kRelay;
  Error error;
};

/// How a request ended.
struct Ending {
  enum class Kind {
    /// `answer` is to be sent.
    kAnswer,
    /// The caller received everything as a stream.
    kStreamed,
    /// The caller closed its connection.
    kCallerGone,
    /// `error` is to be sent.
    kFailed,
  };
  Kind kind = Kind::kFailed;
  net::Response answer;
  Error error;
};

/// One language spoken between a kind of caller and a kind of target. Each
/// alternative provides:
/// - `Result<Target> Choose()`: the next target, or the refusal.
/// - `std::chrono::nanoseconds SendDelay()`: how long to wait before sending.
/// - `net::Request Encode(const Target&)` and `net::CallOptions Options()`.
/// - `std::chrono::nanoseconds ProgressTimeout()`: longest silence from now.
/// - `Judgement Judge(const net::AnswerStream&, const Target&)`.
/// - `bool IsStream(const net::AnswerStream&)`: whether events are relayed as
///   they arrive.
/// - `Result<std::string> Feed(std::string)`: the bytes that the caller gets.
/// - `bool IsComplete()`: whether the stream ended by its own mark.
/// - `Result<Done> OnStreamEnd()`: judges the end of the bytes.
/// - `StreamHead(answer, target)` and `WholeAnswer(answer, body, target)`.
/// - `void OnAttemptEnd(const Target&, const Error*)`: null on success.
/// - `bool MayTryAgain(Error&, int attempts)`: may replace the error by the
///   reason for not trying.
using Dialect = std::variant<caller::CompletionDialect*,
                             caller::ServiceDialect*, fleet::RunnerProtocol*>;

/// Runs one request. Used by one coroutine.
class Engine {
 public:
  /// @pre all arguments outlive the engine.
  Engine(net::Exchange& exchange, net::HttpClient& client, Dialect dialect)
      : exchange_(exchange), client_(client), dialect_(dialect) {}

  /// Makes attempts until the request is answered or cannot be. @pre called
  /// once, on the loop of `exchange` and `client`.
  net::asio::awaitable<Ending> Run();

 private:
  // How one attempt ended; an error may allow another.
  struct AttemptEnd {
    std::optional<Ending> ending;
    Error error;
  };

  net::asio::awaitable<AttemptEnd> Attempt(Target target);
  net::asio::awaitable<AttemptEnd> Relay(net::AnswerStream& answer,
                                         const Target& target);
  net::asio::awaitable<AttemptEnd> RelayStream(net::AnswerStream& answer,
                                               const Target& target);
  net::asio::awaitable<AttemptEnd> RelayWhole(net::AnswerStream& answer,
                                              const Target& target);
  net::asio::awaitable<Result<Judgement>> JudgeAnswers(
      net::AnswerStream& answer, const Target& target);
  net::asio::awaitable<void> KeepFailure(net::AnswerStream& answer,
                                         const Target& target);

  net::Exchange& exchange_;
  net::HttpClient& client_;
  Dialect dialect_;
  // A target's own failure, passed on if no other target does better.
  std::optional<net::Response> failure_;
};

}  // namespace beryllane::exchange

#endif  // BERYLLANE_SRC_EXCHANGE_ENGINE_H_
