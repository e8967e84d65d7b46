/// @file
/// Forwards one request: chooses a target, sends the request, classifies the
/// response, relays it to the caller, and retries where that is safe.
#ifndef BERYLLANE_SRC_EXCHANGE_ENGINE_H_
#define BERYLLANE_SRC_EXCHANGE_ENGINE_H_

#include <optional>
#include <string>
#include <variant>

#include "beryllane/error/error.h"
#include "src/net/http_client.h"
#include "src/net/http_server.h"

namespace beryllane::caller {
class CompletionProtocol;
class ServiceProtocol;
}  // namespace beryllane::caller

namespace beryllane::fleet {
class RunnerProtocol;
}  // namespace beryllane::fleet

namespace beryllane::exchange {

/// The target of one attempt.
struct Target {
  std::string id;
  net::Address address;
};

/// What to do with a response, decided from its status and headers.
struct Classification {
  enum class Kind {
    /// Relay the response to the caller.
    kRelay,
    /// The response names the id of another request. It is skipped, since the
    /// next one on the connection may belong to this request.
    kMismatched,
    /// The attempt failed; `error` holds the reason and the verdict.
    kFailed,
    /// The attempt failed. The response is stored, and relayed if no later
    /// attempt succeeds.
    kFailedWithResponse,
  };
  Kind kind = Kind::kRelay;
  Error error;
};

/// The result of forwarding one request.
struct ForwardResult {
  enum class Kind {
    /// `response` is to be sent to the caller.
    kResponse,
    /// The complete response was streamed to the caller.
    kStreamed,
    /// The caller closed its connection.
    kCallerGone,
    /// `error` is to be sent to the caller.
    kFailed,
  };
  Kind kind = Kind::kFailed;
  net::Response response;
  Error error;
};

/// The request-specific part of forwarding: one alternative for each
/// combination of caller interface and kind of target. Each provides:
/// - `Result<Target> Choose()`: the next target, or the error if there is none.
/// - `std::chrono::nanoseconds SendDelay()`: time to wait before sending.
/// - `net::Request Encode(const Target&)` and `net::CallOptions Options()`: the
///   request to send, and its options, such as the limit on the wait for the
///   head of the response.
/// - `std::chrono::nanoseconds ProgressTimeout()`: limit on the wait for
///   the next bytes of the response.
/// - `Classification Classify(const net::AnswerStream&, const Target&)`.
/// - `bool IsStream(const net::AnswerStream&)`: whether the response is relayed
///   in parts as they arrive, rather than buffered.
/// - `bool ContinuesStream(const net::AnswerStream&)`: whether the response may
///   go on with a stream that has begun; asked once it was classified as one to
///   relay.
/// - `Result<std::string> Feed(std::string)`: converts bytes received from the
///   target to bytes for the caller.
/// - `bool IsComplete()`: whether the end marker of the stream was received.
/// - `Result<Done> OnStreamEnd()`: called at the end of the body; an error
///   if the stream is incomplete there.
/// - `StreamHead(response, target)`: the head of a streamed response.
/// - `BufferedResponse(response, body, target)`: a response sent in one piece.
/// - `void OnAttemptEnd(const Target&, const Error*)`: called after each
///   attempt; the error is null on success.
/// - `bool ShouldRetry(Error&, int attempts)`: may replace or extend the
///   error to say why there is no retry.
using Protocol = std::variant<caller::CompletionProtocol*,
                              caller::ServiceProtocol*, fleet::RunnerProtocol*>;

/// Forwards one request to targets until one responds or no retry is safe. Used
/// by one coroutine.
class RequestForwarder {
 public:
  /// @pre all arguments outlive the forwarder.
  RequestForwarder(net::Exchange& exchange, net::HttpClient& client,
                   Protocol protocol)
      : exchange_(exchange), client_(client), protocol_(protocol) {}

  /// Makes attempts until one succeeds or no further attempt is allowed. Throws
  /// nothing. @pre called once, on the loop of `exchange` and `client`.
  net::asio::awaitable<ForwardResult> Run();

 private:
  // The outcome of one attempt: a final result, or an error that may be
  // retried.
  struct AttemptResult {
    std::optional<ForwardResult> result;
    Error error;
  };

  net::asio::awaitable<ForwardResult> RunAttempts();
  net::asio::awaitable<AttemptResult> Attempt(Target target);
  net::asio::awaitable<AttemptResult> Relay(net::AnswerStream& response,
                                            const Target& target);
  net::asio::awaitable<AttemptResult> RelayStream(net::AnswerStream& response,
                                                  const Target& target);
  net::asio::awaitable<AttemptResult> RelayBuffered(net::AnswerStream& response,
                                                    const Target& target);
  net::asio::awaitable<Result<Classification>> ClassifyResponse(
      net::AnswerStream& response, const Target& target);
  net::asio::awaitable<void> SaveFailureResponse(net::AnswerStream& response,
                                                 const Target& target);

  net::Exchange& exchange_;
  net::HttpClient& client_;
  Protocol protocol_;
  // Error response of a target, relayed if no later attempt succeeds.
  std::optional<net::Response> failure_response_;
  // Whether an attempt so far may have run.
  bool may_have_run_ = false;
};

}  // namespace beryllane::exchange

#endif  // BERYLLANE_SRC_EXCHANGE_ENGINE_H_
