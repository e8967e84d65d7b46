/// @file
/// Spans for each hop of a request, in OpenTelemetry's JSON encoding.
#ifndef BERYLLANE_SRC_TELEMETRY_TRACE_H_
#define BERYLLANE_SRC_TELEMETRY_TRACE_H_

#include <atomic>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/hash/hash.h"
#include "src/net/http_client.h"

namespace beryllane::telemetry {

/// The W3C trace context of one hop.
struct TraceContext {
  Hash128 trace_id;
  std::uint64_t span_id = 0;
  /// Span of the hop before; 0 for a root.
  std::uint64_t parent_id = 0;
  bool is_sampled = false;
};

/// Parses a `traceparent` header; a malformed one gives `nullopt`. The span
/// id is that of the sender. @pre none. Thread-safe.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

/// Writes a `traceparent` header. @pre none. Thread-safe.
std::string ToTraceparent(const TraceContext& context);

/// A random 64-bit number that is not 0. @pre none. Thread-safe.
std::uint64_t RandomId();

/// One finished span.
struct Span {
  TraceContext context;
  const char* name = "";
  RuntimeClock::time_point start;
  RuntimeClock::time_point end;
  bool is_error = false;
  std::vector<std::pair<const char*, std::string>> attributes;
};

/// Where spans go and how many.
struct TraceOptions {
  /// A file's path, or `http://ip:port/path`; empty for none.
  std::string sink;
  /// Share of requests without a sampled parent that are traced.
  double sample_ratio = 1.0;
  std::string host_id;
  std::string zone;
};

/// Collects spans and writes them in batches. Spans past a bound are dropped
/// and counted, so that a slow sink never holds up a request.
class Tracer {
 public:
  /// Spans kept while the sink is slow.
  static constexpr std::size_t kMaxQueued = 8192;

  /// @pre none. A file that cannot be opened shows in `is_open`.
  explicit Tracer(TraceOptions options);

  /// Whether the sink can be used. @pre none.
  bool is_open() const;
  /// The context of a request's first hop here. @pre none. Thread-safe.
  TraceContext Begin(std::string_view traceparent_header) const;
  /// The context of a hop below `parent`. @pre none. Thread-safe.
  static TraceContext Child(const TraceContext& parent);
  /// Takes a finished span if its trace is sampled. @pre none. Thread-safe.
  void Finish(Span span);
  /// Writes batches for ever. @pre spawned once, on the loop of `client`.
  net::asio::awaitable<void> Run(net::HttpClient& client);
  /// Writes what is queued to a file sink. @pre none. Thread-safe.
  void Flush();
  /// Spans dropped because the sink was slow. @pre none. Thread-safe.
  std::uint64_t dropped() const { return dropped_.load(); }

 private:
  std::vector<Span> TakeQueued();
  std::string Encode(const std::vector<Span>& spans) const;

  TraceOptions options_;
  std::optional<net::Address> collector_;
  std::string collector_path_;
  std::mutex mutex_;
  std::ofstream file_;
  std::vector<Span> queue_;
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace beryllane::telemetry

#endif  // BERYLLANE_SRC_TELEMETRY_TRACE_H_
