/// @file
/// Callers that keep their connections and write down what they see.
#ifndef BERYLLANE_TESTS_SOAK_CALLERS_H_
#define BERYLLANE_TESTS_SOAK_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "src/net/address.h"
#include "src/net/http_types.h"
#include "src/net/runtime.h"

namespace beryllane::soak {

/// The machine-wide clock on which runs and calls are ordered.
using Instant = std::chrono::steady_clock::time_point;

/// What a request asks for.
enum class RequestKind {
  /// Not idempotent.
  kBook,
  /// Idempotent.
  kStock,
  /// A stream that may be resumed.
  kAdvice,
  /// A stream that may not.
  kChat,
};
inline constexpr int kRequestKinds = 4;

/// How a call ended.
enum class CallEnd {
  /// A whole answer came.
  kAnswered,
  /// The connection was refused or ended first.
  kClosed,
  kTimedOut,
  /// The caller closed the connection without waiting.
  kAbandoned,
};

/// One request as its caller saw it.
struct CallRecord {
  std::string id;
  RequestKind kind = RequestKind::kBook;
  std::string key;
  int router = 0;
  Instant sent_at;
  Instant ended_at;
  CallEnd end = CallEnd::kClosed;
  /// 0 where no head came.
  int status = 0;
  std::string answered_id;
  bool is_sealed = false;
  /// All that came of the body.
  std::string body;
};

/// Path of a kind's route. @pre none. Thread-safe.
std::string PathOf(RequestKind kind);

/// Callers on a thread of their own, a few for each router.
class Callers {
 public:
  /// Starts to call. The keys are taken in turn; the first is used for most
  /// requests. @pre none is empty.
  Callers(std::vector<net::Address> routers, std::vector<std::string> keys,
          std::uint64_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Successes so far, for each router and kind of request. @pre none.
  /// Thread-safe.
  std::vector<std::uint64_t> Served() const;
  /// Lets the last requests end, and returns all records. @pre called once.
  std::vector<CallRecord> Finish();

 private:
  net::asio::awaitable<void> Run(int caller, std::uint64_t seed);
  CallRecord NextCall(int caller, std::uint64_t number, std::uint64_t drawn);

  std::vector<net::Address> routers_;
  std::vector<std::string> keys_;
  std::atomic<bool> is_ending_{false};
  std::vector<std::atomic<std::uint64_t>> served_;
  // Written on the callers' thread, read once it has ended.
  std::vector<CallRecord> records_;
  net::asio::io_context loop_{1};
  std::thread thread_;
};

}  // namespace beryllane::soak

#endif  // BERYLLANE_TESTS_SOAK_CALLERS_H_
