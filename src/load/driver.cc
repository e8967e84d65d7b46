#include "src/load/driver.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <thread>

#include "fmt/format.h"
#include "src/net/http_client.h"
#include "src/net/runtime.h"

namespace beryllane::load {
namespace {

using net::asio::awaitable;

struct Progress {
  std::atomic<std::uint64_t> offered{0};
  std::atomic<std::uint64_t> finished{0};
};

std::uint64_t HeaderNumber(const net::http::response_header<>& head,
                           std::string_view name) {
  const std::string_view text = net::Header(head, name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Counts the events of a stream and checks that positions follow each other.
class StreamCheck {
 public:
  // Returns the number of new token events; false positions are remembered.
  std::uint64_t Feed(std::string_view bytes) {
    buffer_ += bytes;
    std::uint64_t tokens = 0;
    std::size_t start = 0;
    for (;;) {
      const std::size_t end = buffer_.find("\n\n", start);
      if (end == std::string::npos) break;
      const std::string_view buffered = buffer_;
      if (Take(buffered.substr(start, end - start))) ++tokens;
      start = end + 2;
    }
    buffer_.erase(0, start);
    return tokens;
  }
  bool is_whole() const { return is_done_ && is_in_order_; }

 private:
  bool Take(std::string_view event) {
    if (event == "data: [DONE]") {
      is_done_ = true;
      return false;
    }
    if (!event.starts_with("id: ")) {
      is_in_order_ = false;
      return false;
    }
    std::uint64_t position = 0;
    std::from_chars(event.data() + 4, event.data() + event.size(), position);
    if (position != next_) is_in_order_ = false;
    ++next_;
    return true;
  }

  std::string buffer_;
  std::uint64_t next_ = 0;
  bool is_done_ = false;
  bool is_in_order_ = true;
};

// One thread's share of the load.
class Worker {
 public:
  Worker(const Workload& workload, const DriverOptions& options, int index,
         Progress& progress)
      : workload_(workload),
        options_(options),
        generator_(workload, options.seed * 1000 + index),
        progress_(progress),
        next_target_(index),
        client_(loop_) {
    report_.kinds.resize(workload.kinds.size());
  }

  void Run() {
    net::asio::co_spawn(loop_, Offer(), net::asio::detached);
    loop_.run();
  }
  const Report& report() const { return report_; }

 private:
  awaitable<void> Offer() {
    const auto start = RuntimeClock::now();
    const double rate = options_.rate / options_.threads;
    auto due = start;
    for (;;) {
      due += generator_.NextGap(rate);
      if (due > start + options_.duration) break;
      const auto now = RuntimeClock::now();
      if (due > now) {
        co_await net::Sleep(due - now);
      }
      GeneratedRequest request = generator_.Next(due - start);
      progress_.offered.fetch_add(1);
      ++outstanding_;
      net::asio::co_spawn(loop_, Send(std::move(request), due),
                          net::asio::detached);
    }
    report_.seconds =
        std::chrono::duration<double>(RuntimeClock::now() - start).count();
    has_offered_all_ = true;
    StopIfDone();
  }

  // Idle connections would keep the loop running.
  void StopIfDone() {
    if (has_offered_all_ && outstanding_ == 0) loop_.stop();
  }

  net::Request MakeHttp(const GeneratedRequest& generated) {
    const KindLoad& kind = workload_.kinds[generated.kind];
    const bool is_service = !kind.path.empty();
    net::Request request = net::MakeRequest(
        net::http::verb::post,
        is_service ? kind.path : std::string("/v1/chat/completions"),
        generated.body, "application/json");
    request.set("Authorization",
                "Bearer " + workload_.accounts[generated.account].key);
    request.set("Beryllane-Deadline-Ms",
                std::to_string(options_.timeout.count()));
    request.set("Beryllane-Request-Id", "load");
    if (is_service) {
      request.set(
          "Idempotency-Key",
          fmt::format("{}-{:x}-{:x}",
                      RuntimeClock::WallNow().time_since_epoch().count(),
                      options_.seed, progress_.offered.load()));
    } else {
      request.set("Beryllane-Kind", kind.kind);
    }
    return request;
  }

  awaitable<void> Send(GeneratedRequest generated,
                       RuntimeClock::time_point due) {
    KindReport& kind = report_.kinds[generated.kind];
    ++kind.offered;
    const net::Address target =
        options_.targets[next_target_++ % options_.targets.size()];
    net::CallOptions call;
    call.answer_timeout = options_.timeout;
    call.total_timeout = std::max<std::chrono::nanoseconds>(call.total_timeout,
                                                            options_.timeout);
    net::Request request = MakeHttp(generated);
    auto opened = co_await client_.Open(target, std::move(request), call);
    if (!opened.ok()) {
      ++kind.errors[std::string(Name(opened.error().id))];
    } else {
      co_await Receive(*opened.value(), generated, due);
    }
    progress_.finished.fetch_add(1);
    --outstanding_;
    StopIfDone();
  }

  awaitable<void> Receive(net::AnswerStream& answer,
                          const GeneratedRequest& generated,
                          RuntimeClock::time_point due) {
    constexpr int kOk = 200;
    KindReport& kind = report_.kinds[generated.kind];
    const KindLoad& load = workload_.kinds[generated.kind];
    const std::string verdict(net::Header(answer.head(), "Beryllane-Verdict"));
    ++kind.verdicts[verdict.empty() ? "none" : verdict];
    const bool is_stream = load.path.empty() && load.is_stream;
    const bool is_ok = answer.status() == kOk;
    StreamCheck check;
    std::string body;
    auto last = RuntimeClock::time_point{};
    std::chrono::nanoseconds first{0};
    for (;;) {
      auto part = co_await answer.Read();
      if (!part.ok()) {
        ++kind.errors[std::string(Name(part.error().id))];
        if (is_stream) ++kind.broken_streams;
        co_return;
      }
      if (part.value().empty()) break;
      const auto now = RuntimeClock::now();
      if (last == RuntimeClock::time_point{}) first = now - due;
      if (!is_stream || !is_ok) {
        body += part.value();
        last = now;
        continue;
      }
      const std::uint64_t tokens = check.Feed(part.value());
      if (last != RuntimeClock::time_point{} && tokens > 0) {
        kind.between_tokens.Add((now - last) / tokens);
      }
      kind.tokens += tokens;
      last = now;
    }
    if (!is_ok) {
      ++kind.errors[ErrorName(body, answer.status())];
      co_return;
    }
    if (is_stream && !check.is_whole()) {
      ++kind.broken_streams;
      co_return;
    }
    ++kind.answered;
    if (first <= load.patience) ++kind.honoured;
    kind.first_token.Add(first);
    kind.whole.Add(last - due);
    kind.prompt_tokens += generated.prompt_tokens;
    const std::uint64_t cached =
        HeaderNumber(answer.head(), "Beryllane-Cached-Tokens") +
        HeaderNumber(answer.head(), "Engine-Cached-Tokens");
    kind.cached_tokens += std::min(cached, generated.prompt_tokens);
  }

  static std::string ErrorName(const std::string& body, int status) {
    const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("error") &&
        parsed["error"].is_object()) {
      return parsed["error"].value("code", "status");
    }
    return "status " + std::to_string(status);
  }

  const Workload& workload_;
  const DriverOptions& options_;
  Generator generator_;
  Progress& progress_;
  std::size_t next_target_;
  net::asio::io_context loop_{1};
  net::HttpClient client_;
  std::uint64_t outstanding_ = 0;
  bool has_offered_all_ = false;
  Report report_;
};

}  // namespace

Report RunLoad(const Workload& workload, const DriverOptions& options) {
  Progress progress;
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(static_cast<std::size_t>(options.threads));
  for (int i = 0; i < options.threads; ++i) {
    workers.push_back(std::make_unique<Worker>(workload, options, i, progress));
  }
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  std::atomic<int> running{options.threads};
  for (auto& worker : workers) {
    threads.emplace_back([&worker, &running] {
      worker->Run();
      running.fetch_sub(1);
    });
  }
  net::asio::io_context progress_loop;
  net::asio::co_spawn(
      progress_loop,
      [&]() -> awaitable<void> {
        constexpr std::chrono::milliseconds kPoll{100};
        auto shown = RuntimeClock::now();
        while (running.load() > 0) {
          co_await net::Sleep(kPoll);
          const bool is_due =
              options.progress_every.count() > 0 &&
              RuntimeClock::now() - shown >= options.progress_every;
          if (!is_due) continue;
          shown = RuntimeClock::now();
          std::fputs(
              fmt::format("offered {} finished {}\n", progress.offered.load(),
                          progress.finished.load())
                  .c_str(),
              stderr);
        }
      },
      net::asio::detached);
  progress_loop.run();
  for (std::thread& thread : threads) thread.join();
  Report report;
  for (const auto& worker : workers) report.Merge(worker->report());
  return report;
}

}  // namespace beryllane::load
