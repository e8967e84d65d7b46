#include "src/telemetry/trace.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "fmt/format.h"

namespace beryllane::telemetry {
namespace {

using nlohmann::json;
using std::chrono::nanoseconds;

constexpr std::string_view kHttpScheme = "http://";
constexpr std::size_t kTraceparentLength = 55;

std::string SpanHex(std::uint64_t id) { return fmt::format("{:016x}", id); }

std::optional<std::uint64_t> ParseSpanHex(std::string_view text) {
  std::uint64_t id = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, id, 16);
  if (error != std::errc() || end != last) return std::nullopt;
  return id;
}

json Attribute(const char* key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json EncodeSpan(const Span& span, nanoseconds wall_offset) {
  const auto nanos = [&](RuntimeClock::time_point t) {
    return std::to_string((t.time_since_epoch() + wall_offset).count());
  };
  json attributes = json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  json encoded{{"traceId", ToHex(span.context.trace_id)},
               {"spanId", SpanHex(span.context.span_id)},
               {"name", span.name},
               {"kind", 2},
               {"startTimeUnixNano", nanos(span.start)},
               {"endTimeUnixNano", nanos(span.end)},
               {"attributes", attributes},
               {"status", {{"code", span.is_error ? 2 : 1}}}};
  if (span.context.parent_id != 0) {
    encoded["parentSpanId"] = SpanHex(span.context.parent_id);
  }
  return encoded;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  // 00-<32 hex>-<16 hex>-<2 hex>
  if (header.size() != kTraceparentLength || !header.starts_with("00-") ||
      header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  const auto trace_id = ParseHex(header.substr(3, 32));
  const auto span_id = ParseSpanHex(header.substr(36, 16));
  const auto flags = ParseSpanHex(header.substr(53, 2));
  if (!trace_id || !span_id || !flags || *span_id == 0 ||
      *trace_id == Hash128{}) {
    return std::nullopt;
  }
  return TraceContext{*trace_id, *span_id, 0, (*flags & 1) != 0};
}

std::string ToTraceparent(const TraceContext& context) {
  return fmt::format("00-{}-{}-{}", ToHex(context.trace_id),
                     SpanHex(context.span_id),
                     context.is_sampled ? "01" : "00");
}

std::uint64_t RandomId() {
  thread_local std::mt19937_64 random = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return random() | 1;
}

Tracer::Tracer(TraceOptions options) : options_(std::move(options)) {
  const std::string_view sink = options_.sink;
  if (sink.starts_with(kHttpScheme)) {
    const std::string_view rest = sink.substr(kHttpScheme.size());
    const std::size_t slash = rest.find('/');
    collector_ = net::ParseAddress(rest.substr(0, slash));
    collector_path_ = slash == std::string_view::npos
                          ? "/v1/traces"
                          : std::string(rest.substr(slash));
  } else if (!sink.empty()) {
    file_.open(options_.sink, std::ios::app);
  }
}

bool Tracer::is_open() const {
  return options_.sink.empty() || collector_.has_value() || file_.is_open();
}

TraceContext Tracer::Begin(std::string_view traceparent_header) const {
  if (const auto sender = ParseTraceparent(traceparent_header)) {
    return Child(*sender);
  }
  constexpr double kIdRange = 18446744073709551616.0;
  const std::uint64_t id = RandomId();
  const bool is_sampled =
      !options_.sink.empty() &&
      static_cast<double>(id) < options_.sample_ratio * kIdRange;
  return {{RandomId(), RandomId()}, RandomId(), 0, is_sampled};
}

TraceContext Tracer::Child(const TraceContext& parent) {
  return {parent.trace_id, RandomId(), parent.span_id, parent.is_sampled};
}

void Tracer::Finish(Span span) {
  if (!span.context.is_sampled || options_.sink.empty()) return;
  const std::lock_guard lock(mutex_);
  if (queue_.size() >= kMaxQueued) {
    dropped_.fetch_add(1);
    return;
  }
  queue_.push_back(std::move(span));
}

std::vector<Span> Tracer::TakeQueued() {
  const std::lock_guard lock(mutex_);
  return std::exchange(queue_, {});
}

std::string Tracer::Encode(const std::vector<Span>& spans) const {
  const nanoseconds wall_offset = RuntimeClock::WallNow().time_since_epoch() -
                                  RuntimeClock::now().time_since_epoch();
  json encoded = json::array();
  for (const Span& span : spans) {
    encoded.push_back(EncodeSpan(span, wall_offset));
  }
  const json resource{
      {"attributes",
       json::array({Attribute("service.name", "beryllane"),
                    Attribute("host.id", options_.host_id),
                    Attribute("availability_zone", options_.zone)})}};
  const json scope_spans{{"scope", {{"name", "beryllane"}}},
                         {"spans", encoded}};
  return json{{"resourceSpans",
               json::array({{{"resource", resource},
                             {"scopeSpans", json::array({scope_spans})}}})}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void Tracer::Flush() {
  if (!file_.is_open()) return;
  const std::vector<Span> spans = TakeQueued();
  if (spans.empty()) return;
  const std::string line = Encode(spans);
  const std::lock_guard lock(mutex_);
  file_ << line << '\n' << std::flush;
}

net::asio::awaitable<void> Tracer::Run(net::HttpClient& client) {
  constexpr std::chrono::milliseconds kFlushEvery{500};
  for (;;) {
    co_await net::Sleep(kFlushEvery);
    Flush();
    if (!collector_) continue;
    const std::vector<Span> spans = TakeQueued();
    if (spans.empty()) continue;
    net::Request request =
        net::MakeRequest(net::http::verb::post, collector_path_, Encode(spans),
                         "application/json");
    const auto answer = co_await client.Call(*collector_, std::move(request),
                                             net::CallOptions());
    if (!answer.ok()) dropped_.fetch_add(spans.size());
  }
}

}  // namespace beryllane::telemetry
