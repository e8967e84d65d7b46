// Stand-in for a model engine with an OpenAI-style interface, a prefix cache,
// lagged load reports, orders, and faults that the control port switches.
#include <absl/flags/flag.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "beryllane/placement/prefix_chain.h"
#include "fmt/format.h"
#include "src/net/http_client.h"
#include "src/net/runtime.h"
#include "src/settings/flag_source.h"
#include "standins/engine_batch.h"
#include "standins/support.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7100", "address of the engine");
ABSL_FLAG(std::string, control_listen, "", "address of the control port");
ABSL_FLAG(std::string, id, "runner", "host id");
ABSL_FLAG(std::string, weights_version, "w1", "weights loaded at start");
ABSL_FLAG(std::string, weight_store, "", "address of the weight store");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old number");
ABSL_FLAG(double, prefill_tokens_per_second, 8000, "speed of prefill");
ABSL_FLAG(std::int64_t, step_us, 15000, "time of one decoding step");
ABSL_FLAG(std::uint64_t, max_running, 32, "requests decoded at once");
ABSL_FLAG(std::uint64_t, cache_tokens, 200000, "size of the block cache");
ABSL_FLAG(std::int64_t, report_lag_ms, 500, "age of load reports");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of incarnations and random faults");

namespace beryllane::standins {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

struct EngineFaults {
  // Open streams stop for good, new connections work.
  bool silent = false;
  // Nothing is answered, on any connection.
  bool frozen = false;
  // Streams break off before this position; negative is never.
  std::int64_t reset_at = -1;
  // Probability that a cache event is missing from the stream of events.
  double event_gaps = 0;
  // Answers carry another request's id.
  bool cross_answers = false;
  // Answer to requests that resume a stream: `status`, and optionally `body`;
  // null is the rest of the stream.
  json resume_answer;
};

struct LoadFigures {
  RuntimeClock::time_point at;
  std::size_t queued_tokens = 0;
  std::size_t running = 0;
};

// The text of a prompt: roles and contents in order.
std::string PromptText(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>();
  }
  std::string text;
  for (const json& message : body.value("messages", json::array())) {
    text +=
        message.value("role", "") + "\n" + message.value("content", "") + "\n";
  }
  return text;
}

// Token `position` of the answer, the same on every engine and after a resume.
std::string TokenText(const Hash128& prompt, std::size_t position) {
  return fmt::format("{:04x} ", Mix(prompt.low, position) & 0xFFFF);
}

class Engine {
 public:
  Engine(net::asio::io_context& context, EngineOptions options)
      : context_(context),
        client_(context),
        batch_(context, options),
        random_(absl::GetFlag(FLAGS_seed)),
        weights_version_(absl::GetFlag(FLAGS_weights_version)) {
    NewIncarnation();
  }

  void Start() {
    net::asio::co_spawn(context_, batch_.Run(), net::asio::detached);
    net::asio::co_spawn(context_, SampleLoad(), net::asio::detached);
  }

  awaitable<void> Handle(net::Exchange& exchange) {
    const std::uint64_t life = life_;
    if (faults_.frozen) {
      co_await StaySilent();
    }
    const std::string path(net::Target(exchange.request()));
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
      co_await Complete(exchange, path == "/v1/chat/completions", life);
    } else if (path == "/load") {
      net::Response answer = JsonAnswer(200, LoadJson());
      co_await exchange.Respond(std::move(answer));
    } else if (path == "/v1/orders") {
      co_await Order(exchange);
    } else if (path == "/v1/cache_events") {
      net::Response answer = JsonAnswer(200, {{"events", events_}});
      co_await exchange.Respond(std::move(answer));
    } else {
      net::Response answer = JsonAnswer(404, {{"error", "no such path"}});
      co_await exchange.Respond(std::move(answer));
    }
  }

  awaitable<void> Control(net::Exchange& exchange) {
    const json change = json::parse(exchange.request().body(), nullptr, false);
    if (change.is_object()) ApplyFaults(change);
    json report = LoadJson();
    report["computed_tokens"] = batch_.computed_tokens();
    report["cached_tokens"] = batch_.cached_tokens();
    report["streams"] = streams_;
    report["decoding"] = batch_.running();
    report["cancelled"] = cancelled_;
    report["orders_refused"] = orders_refused_;
    co_await exchange.Respond(JsonAnswer(200, report));
  }

 private:
  void NewIncarnation() { incarnation_ = random_() | 1; }

  void ApplyFaults(const json& change) {
    faults_.silent = change.value("silent", faults_.silent);
    faults_.frozen = change.value("frozen", faults_.frozen);
    faults_.reset_at = change.value("reset_at", faults_.reset_at);
    faults_.event_gaps = change.value("event_gaps", faults_.event_gaps);
    faults_.cross_answers =
        change.value("cross_answers", faults_.cross_answers);
    faults_.resume_answer =
        change.value("resume_answer", faults_.resume_answer);
    if (change.contains("slowdown")) {
      batch_.SetSlowdown(change["slowdown"].get<double>());
    }
    if (change.value("crash", false)) {
      ++life_;
      batch_.Crash();
      NewIncarnation();
    }
  }

  awaitable<void> SampleLoad() {
    constexpr milliseconds kEvery{50};
    const milliseconds lag(absl::GetFlag(FLAGS_report_lag_ms));
    for (;;) {
      const auto now = RuntimeClock::now();
      samples_.push_back({now, batch_.queued_tokens(), batch_.running()});
      while (samples_.size() > 1 && samples_[1].at + lag <= now) {
        samples_.pop_front();
      }
      co_await net::Sleep(kEvery);
    }
  }

  json LoadJson() const {
    const LoadFigures load =
        samples_.empty() ? LoadFigures{} : samples_.front();
    return {{"id", absl::GetFlag(FLAGS_id)},
            {"incarnation", fmt::format("{:016x}", incarnation_)},
            {"weights_version", weights_version_},
            {"queued_tokens", load.queued_tokens},
            {"running", load.running},
            {"prefill_tokens_per_second",
             batch_.options().prefill_tokens_per_second},
            {"cached_blocks", batch_.cache().size()}};
  }

  template <typename Message>
  void SetEngineHeaders(Message& message, const Job& job,
                        const std::string& request_id) const {
    const LoadFigures load =
        samples_.empty() ? LoadFigures{} : samples_.front();
    message.set("Engine-Incarnation", fmt::format("{:016x}", incarnation_));
    message.set("Engine-Request-Id", request_id);
    message.set("Engine-Cached-Tokens", std::to_string(job.cached_tokens));
    message.set("Engine-Prompt-Tokens", std::to_string(job.prompt_tokens));
    message.set("Engine-Load",
                fmt::format("{} {} {:.0f}", load.queued_tokens, load.running,
                            batch_.options().prefill_tokens_per_second));
  }

  // Removes a job however its request ends.
  struct JobGuard {
    Engine& engine;
    std::shared_ptr<Job> job;
    bool is_complete = false;

    ~JobGuard() {
      engine.batch_.Remove(job);
      if (!is_complete) ++engine.cancelled_;
    }
  };

  awaitable<void> Complete(net::Exchange& exchange, bool is_chat,
                           std::uint64_t life) {
    using net::asio::experimental::awaitable_operators::operator||;
    ++streams_;
    const json body = json::parse(exchange.TakeBody(), nullptr, false);
    if (!body.is_object()) {
      net::Response answer = JsonAnswer(400, {{"error", "not JSON"}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    const std::string version = body.value("weights_version", weights_version_);
    if (version != weights_version_) {
      net::Response answer =
          JsonAnswer(409, {{"error", "weights version not loaded"},
                           {"weights_version", weights_version_}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    const std::string prompt = PromptText(body);
    const std::size_t from = body.value("resume_from", std::size_t{0});
    if (from > 0 && faults_.resume_answer.is_object()) {
      const json& fault = faults_.resume_answer;
      net::Response answer = net::MakeResponse(
          fault.value("status", 200), fault.value("body", ""), "text/plain");
      answer.set("Engine-Request-Id", RequestId(exchange));
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    auto job = std::make_shared<Job>(context_.get_executor());
    job->prompt_tokens =
        std::max<std::size_t>(1, prompt.size() / placement::kBytesPerToken);
    job->blocks = BlockHashes(
        ChainHash(HashBytes(body.value("cache_salt", "")), weights_version_),
        prompt);
    job->max_tokens = body.value("max_tokens", std::size_t{64});
    job->produced = from;
    job->priority = body.value("priority", 0);
    JobGuard guard{*this, job};
    batch_.Add(job);
    const std::string request_id = RequestId(exchange);
    if (body.value("stream", false)) {
      co_await (
          Stream(exchange, *job, prompt, request_id, is_chat, from, life) ||
          exchange.WaitForClose());
    } else {
      co_await (Whole(exchange, *job, prompt, request_id, is_chat) ||
                exchange.WaitForClose());
    }
    guard.is_complete = exchange.is_reusable();
  }

  std::string RequestId(const net::Exchange& exchange) const {
    if (faults_.cross_answers) return "another-request";
    return std::string(net::Header(exchange.request(), "Beryllane-Request-Id"));
  }

  // Waits until the job has more than `position` tokens; false if it is lost.
  static awaitable<bool> WaitForToken(Job& job, std::size_t position) {
    while (job.produced <= position || !job.is_prefilled) {
      if (job.is_lost) co_return false;
      job.signal.expires_after(std::chrono::hours(1));
      co_await job.signal.async_wait(net::kAsTuple);
    }
    co_return true;
  }

  static json Usage(const Job& job) {
    return {{"prompt_tokens", job.prompt_tokens},
            {"completion_tokens", job.max_tokens},
            {"total_tokens", job.prompt_tokens + job.max_tokens},
            {"prompt_tokens_details", {{"cached_tokens", job.cached_tokens}}}};
  }

  awaitable<void> Whole(net::Exchange& exchange, Job& job,
                        const std::string& prompt,
                        const std::string& request_id, bool is_chat) {
    const Hash128 seed = HashBytes(prompt);
    std::string text;
    for (std::size_t i = 0; i < job.max_tokens; ++i) {
      if (!co_await WaitForToken(job, i)) {
        exchange.CloseAfter();
        co_return;
      }
      if (faults_.silent) {
        co_await StaySilent();
      }
      text += TokenText(seed, i);
    }
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (is_chat) {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    net::Response answer = JsonAnswer(
        200, {{"id", request_id},
              {"object", is_chat ? "chat.completion" : "text_completion"},
              {"choices", json::array({choice})},
              {"usage", Usage(job)}});
    SetEngineHeaders(answer, job, request_id);
    co_await exchange.Respond(std::move(answer));
  }

  static std::string Event(std::size_t position, const std::string& request_id,
                           const std::string& text, bool is_chat) {
    if (is_chat) {
      return fmt::format(
          "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
          "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{}\"}}}}]}}"
          "\n\n",
          position, request_id, text);
    }
    return fmt::format(
        "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"text_completion\","
        "\"choices\":[{{\"index\":0,\"text\":\"{}\"}}]}}\n\n",
        position, request_id, text);
  }

  awaitable<void> Stream(net::Exchange& exchange, Job& job,
                         const std::string& prompt,
                         const std::string& request_id, bool is_chat,
                         std::size_t from, std::uint64_t life) {
    const Hash128 seed = HashBytes(prompt);
    bool is_started = false;
    for (std::size_t i = from; i < job.max_tokens; ++i) {
      const bool has_token = co_await WaitForToken(job, i);
      if (!has_token || life != life_ ||
          (faults_.reset_at >= 0 &&
           i >= static_cast<std::size_t>(faults_.reset_at) && is_started)) {
        exchange.CloseAfter();
        co_return;
      }
      if (!is_started) {
        net::http::response<net::http::empty_body> head(net::http::status::ok,
                                                        net::kHttp11);
        head.set(net::http::field::content_type, "text/event-stream");
        SetEngineHeaders(head, job, request_id);
        if (!co_await exchange.StartStream(std::move(head))) co_return;
        is_started = true;
      }
      if (faults_.silent) {
        co_await StaySilent();
      }
      if (!co_await exchange.Write(
              Event(i, request_id, TokenText(seed, i), is_chat))) {
        co_return;
      }
    }
    const json last{
        {"id", request_id},
        {"object", is_chat ? "chat.completion.chunk" : "text_completion"},
        {"choices", json::array({{{"index", 0},
                                  {"delta", json::object()},
                                  {"finish_reason", "stop"}}})},
        {"usage", Usage(job)}};
    co_await exchange.Write(fmt::format("id: {}\ndata: {}\n\ndata: [DONE]\n\n",
                                        job.max_tokens, last.dump()));
    co_await exchange.FinishStream();
  }

  awaitable<void> Order(net::Exchange& exchange) {
    const json order = json::parse(exchange.request().body(), nullptr, false);
    if (!order.is_object()) {
      net::Response answer = JsonAnswer(400, {{"error", "not JSON"}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    const std::uint64_t fencing = order.value("fencing", std::uint64_t{0});
    if (absl::GetFlag(FLAGS_checks_fencing) && fencing < highest_fencing_) {
      ++orders_refused_;
      net::Response answer = JsonAnswer(
          409, {{"error", "old fencing number"}, {"seen", highest_fencing_}});
      co_await exchange.Respond(std::move(answer));
      co_return;
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    const std::string version =
        order.value("weights_version", weights_version_);
    if (version != weights_version_) {
      co_await LoadWeights(version);
      weights_version_ = version;
    }
    co_await exchange.Respond(JsonAnswer(200, LoadJson()));
  }

  awaitable<void> LoadWeights(const std::string& version) {
    constexpr milliseconds kLoadTime{500};
    const auto store = net::ParseAddress(absl::GetFlag(FLAGS_weight_store));
    if (!store) {
      co_await net::Sleep(kLoadTime);
      co_return;
    }
    net::Request request =
        net::MakeRequest(net::http::verb::get, "/v1/weights/" + version);
    net::CallOptions options;
    options.answer_timeout = std::chrono::seconds(60);
    options.total_timeout = std::chrono::seconds(120);
    co_await client_.Call(*store, std::move(request), options);
  }

  net::asio::io_context& context_;
  net::HttpClient client_;
  EngineBatch batch_;
  EngineFaults faults_;
  std::mt19937_64 random_;
  std::string weights_version_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t life_ = 0;
  std::deque<LoadFigures> samples_;
  json events_ = json::array();
  std::uint64_t highest_fencing_ = 0;
  std::uint64_t orders_refused_ = 0;
  std::uint64_t streams_ = 0;
  std::uint64_t cancelled_ = 0;
};

int Main(int argc, char** argv) {
  const std::vector<std::string> names{"listen",
                                       "control_listen",
                                       "id",
                                       "weights_version",
                                       "weight_store",
                                       "checks_fencing",
                                       "prefill_tokens_per_second",
                                       "step_us",
                                       "max_running",
                                       "cache_tokens",
                                       "report_lag_ms",
                                       "seed"};
  const auto line = settings::ReadCommandLine(argc, argv, names);
  if (line.wants_help) {
    std::puts(settings::HelpText(names).c_str());
    return 0;
  }
  if (!line.faults.empty()) {
    std::fputs(settings::FaultText(line.faults).c_str(), stderr);
    return settings::kBadSettingsExit;
  }
  net::ContextPool pool(1);
  EngineOptions options;
  options.prefill_tokens_per_second =
      absl::GetFlag(FLAGS_prefill_tokens_per_second);
  options.step = std::chrono::microseconds(absl::GetFlag(FLAGS_step_us));
  options.max_running = absl::GetFlag(FLAGS_max_running);
  options.cache_tokens = absl::GetFlag(FLAGS_cache_tokens);
  Engine engine(pool.at(0), options);
  ServerSpec spec;
  spec.listen = absl::GetFlag(FLAGS_listen);
  spec.control_listen = absl::GetFlag(FLAGS_control_listen);
  spec.handler = [&](net::Exchange& e) { return engine.Handle(e); };
  spec.control = [&](net::Exchange& e) { return engine.Control(e); };
  return RunServers(pool, spec, [&] { engine.Start(); });
}

}  // namespace
}  // namespace beryllane::standins

int main(int argc, char** argv) {
  return beryllane::standins::Main(argc, argv);
}
