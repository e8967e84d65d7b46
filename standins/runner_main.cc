// Stand-in for the platform's targets: a model runner or a plain service that
// registers itself in the store, with faults that the control port switches.
#include <absl/flags/flag.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "fmt/format.h"
#include "src/net/http_client.h"
#include "src/settings/flag_source.h"
#include "standins/cache_log.h"
#include "standins/support.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7300", "address of the target");
ABSL_FLAG(std::string, control_listen, "", "address of the control port");
ABSL_FLAG(std::string, advertise, "",
          "address that it registers; by default the one it listens on");
ABSL_FLAG(std::string, store_control, "", "control port of the store");
ABSL_FLAG(std::string, id, "i-1", "id of this target");
ABSL_FLAG(std::string, service, "scribe", "service that it belongs to");
ABSL_FLAG(std::string, zone, "zone-a", "availability zone");
ABSL_FLAG(std::string, model, "", "model; empty for a plain service");
ABSL_FLAG(std::int64_t, step_ms, 5, "time between the events of a stream");
ABSL_FLAG(int, events, 20, "events of a stream");
ABSL_FLAG(bool, name_requests, false, "events name the request they answer");
ABSL_FLAG(std::string, run_log, "",
          "file to which each run and order is appended as a JSON line");

namespace beryllane::standins {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kRequestId = "Attempt-Id";

struct RunnerFaults {
  // Requests are refused with the proof that they did not run.
  bool refuse = false;
  // Status of a refusal where `refuse` is set, and whether it bears the proof.
  int refusal_status = 503;
  bool prove_refusals = true;
  // Refusals name the request that they refuse, as the protocol asks.
  bool name_refusals = true;
  // The newest refusal is written once more this long after each whole answer,
  // on the same connection; negative is never.
  milliseconds repeat_refusal_after{-1};
  // A report is written once more this long after it was given, on the same
  // connection; negative is never.
  milliseconds repeat_report_after{-1};
  // Requests run and their connection closes without an answer.
  bool lose_answers = false;
  // Requests run and fail, with this status.
  bool fail = false;
  unsigned fail_status = 500;
  // An answer to another request comes first.
  bool answer_other = false;
  // Successes come without the seal.
  bool unsealed = false;
  // Nothing is answered.
  bool silent = false;
  // Orders are neither answered nor carried out.
  bool ignore_orders = false;
  // Requests wait in the queue and do not begin.
  bool hold = false;
  // Time between the events of a stream.
  milliseconds step{0};
  // Streams break off within the event of this number; negative is never.
  int cut_at = -1;
  // Answer to requests that resume a stream: `status`, and optionally `type`
  // and `body`; null is the rest of the stream.
  json resume_answer;
  // Requests a second that answers name as a limit; negative is none.
  double limit = -1;
  // All answers say that the target leaves.
  bool leaving = false;
  // Until then requests are turned away as not run with `Retry-After`.
  RuntimeClock::time_point paused_until;
  // Sent instead of the time that is left of the pause; empty is none.
  std::string retry_after;
  // Id of the prompt part on which the process ends once it has sent the head
  // of an answer; empty is none.
  std::string deadly_part;
};

class Runner {
 public:
  explicit Runner(net::asio::io_context& context)
      : context_(context),
        client_(context),
        id_(absl::GetFlag(FLAGS_id)),
        born_(RuntimeClock::WallNow().time_since_epoch().count()) {
    faults_.step = milliseconds(absl::GetFlag(FLAGS_step_ms));
    const std::string advertised = absl::GetFlag(FLAGS_advertise);
    address_ = advertised.empty() ? absl::GetFlag(FLAGS_listen) : advertised;
    const std::string run_log = absl::GetFlag(FLAGS_run_log);
    if (!run_log.empty()) run_log_.open(run_log, std::ios::app);
  }

  void Start() {
    net::asio::co_spawn(context_, Register(), net::asio::detached);
  }

  awaitable<void> Handle(net::Exchange& exchange) {
    using net::asio::experimental::awaitable_operators::operator||;
    if (faults_.silent) {
      co_await StaySilent();
    }
    const std::string path(net::Target(exchange.request()));
    NoteArrival(path);
    const std::string_view expected =
        net::Header(exchange.request(), "Expect-Instance");
    // It also serves under other ids, which tests register.
    const bool is_expected =
        expected.empty() || expected == id_ || expected.starts_with(id_ + ".");
    if (!is_expected) {
      co_await Refuse(exchange, 421);
    } else if (path == "/api/report") {
      co_await TellReport(exchange);
    } else if (path.starts_with("/api/kv-events?since=")) {
      co_await TellCacheChanges(exchange, path);
    } else if (path == "/api/order" && faults_.ignore_orders) {
      co_await exchange.WaitForClose();
    } else if (path == "/api/order") {
      co_await Order(exchange);
    } else {
      co_await (Serve(exchange) || exchange.WaitForClose());
      if (!exchange.is_reusable()) exchange.CloseAfter();
    }
  }

  awaitable<void> Control(net::Exchange& exchange) {
    const json change = json::parse(exchange.request().body(), nullptr, false);
    if (change.is_object()) {
      faults_.refuse = change.value("refuse", faults_.refuse);
      faults_.refusal_status =
          change.value("refusal_status", faults_.refusal_status);
      faults_.prove_refusals =
          change.value("prove_refusals", faults_.prove_refusals);
      faults_.name_refusals =
          change.value("name_refusals", faults_.name_refusals);
      faults_.repeat_refusal_after = milliseconds(
          change.value("repeat_refusal_after_ms",
                       std::int64_t{faults_.repeat_refusal_after.count()}));
      faults_.repeat_report_after = milliseconds(
          change.value("repeat_report_after_ms",
                       std::int64_t{faults_.repeat_report_after.count()}));
      faults_.lose_answers = change.value("lose_answers", faults_.lose_answers);
      faults_.fail = change.value("fail", faults_.fail);
      faults_.fail_status = change.value("fail_status", faults_.fail_status);
      faults_.answer_other = change.value("answer_other", faults_.answer_other);
      faults_.unsealed = change.value("unsealed", faults_.unsealed);
      faults_.silent = change.value("silent", faults_.silent);
      faults_.ignore_orders =
          change.value("ignore_orders", faults_.ignore_orders);
      faults_.hold = change.value("hold", faults_.hold);
      faults_.cut_at = change.value("cut_at", faults_.cut_at);
      faults_.resume_answer =
          change.value("resume_answer", faults_.resume_answer);
      faults_.leaving = change.value("leaving", faults_.leaving);
      faults_.limit = change.value("limit", faults_.limit);
      faults_.retry_after = change.value("retry_after", faults_.retry_after);
      if (change.contains("pause_ms")) {
        faults_.paused_until =
            RuntimeClock::now() + milliseconds(change["pause_ms"]);
        pause_told_at_.reset();
        pause_arrivals_ = json::array();
        turned_away_ = 0;
      }
      faults_.deadly_part = change.value("deadly_part", faults_.deadly_part);
      faults_.step = milliseconds(
          change.value("step_ms", std::int64_t{faults_.step.count()}));
      state_ = change.value("state", state_);
      version_ = change.value("version", version_);
      if (change.contains("listed_version")) {
        listed_version_ = change["listed_version"].get<std::uint64_t>();
      }
      if (change.value("drop_cache", false)) cache_.Drop();
      if (change.value("restart_cache", false)) cache_.Restart();
    }
    const json seen{{"runs", runs_},
                    {"queued", queued_},
                    {"refused_versions", refused_versions_},
                    {"last", last_},
                    {"orders", orders_},
                    {"version", version_},
                    {"running", running_},
                    {"turned_away", turned_away_},
                    {"pause_arrivals", pause_arrivals_}};
    co_await exchange.Respond(JsonAnswer(200, seen));
  }

 private:
  // Sends an answer that says that the target leaves where it does.
  awaitable<bool> Respond(net::Exchange& exchange, net::Response answer) const {
    AnnounceLeaving(answer);
    co_return co_await exchange.Respond(std::move(answer));
  }

  template <typename Message>
  void AnnounceLeaving(Message& answer) const {
    if (faults_.leaving) answer.set("Server-Leaving", "1");
  }

  static json Models(std::uint64_t version) {
    const std::string model = absl::GetFlag(FLAGS_model);
    if (model.empty()) return json::array();
    return json::array(
        {{{"name", model}, {"version", version}, {"adapters", json::array()}}});
  }

  json Report() const {
    return {{"stage", "unified"},  {"models", Models(version_)},
            {"busy", is_loading_}, {"sequence", orders_.size()},
            {"queued", queued_},   {"active", running_},
            {"born", born_}};
  }

  awaitable<void> TellReport(net::Exchange& exchange) const {
    net::Response answer = JsonAnswer(200, Report());
    answer.set("Keep-Alive", "timeout=5");
    net::Response repeated = answer;
    co_await Respond(exchange, std::move(answer));
    if (faults_.repeat_report_after < milliseconds(0)) co_return;
    co_await net::Sleep(faults_.repeat_report_after);
    co_await exchange.Respond(std::move(repeated));
  }

  // Writes its entry into the store again and again, as targets do.
  awaitable<void> Register() {
    constexpr milliseconds kBeat{150};
    const auto store = net::ParseAddress(absl::GetFlag(FLAGS_store_control));
    for (std::uint64_t beat = 1; store; ++beat) {
      const json entry{{"service", absl::GetFlag(FLAGS_service)},
                       {"address", address_},
                       {"zone", absl::GetFlag(FLAGS_zone)},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", state_},
                       {"coldRemainingMs", 0},
                       {"models", Models(listed_version_.value_or(version_))},
                       {"sequence", beat},
                       {"born", born_}};
      const json put{
          {"put",
           {{"topic", "keyed.servers"}, {"key", id_}, {"value", entry}}}};
      net::Request request = net::MakeRequest(net::http::verb::post, "/",
                                              put.dump(), "application/json");
      // A beat that is lost is followed by the next.
      const net::CallOptions options;
      co_await client_.Call(*store, std::move(request), options);
      co_await net::Sleep(kBeat);
    }
  }

  awaitable<void> Order(net::Exchange& exchange) {
    constexpr milliseconds kLoadTime{100};
    const json order = json::parse(exchange.request().body(), nullptr, false);
    const std::uint64_t token = order.value("fencingToken", std::uint64_t{0});
    int status = 202;
    if (token < highest_token_) {
      status = 412;
    } else if (is_loading_ || (order.contains("expect") &&
                               order["expect"] != orders_.size())) {
      status = 409;
    } else if (order.value("version", version_) == version_) {
      status = 200;
    }
    highest_token_ = std::max(highest_token_, token);
    net::Response answer = JsonAnswer(status, json::object());
    co_await Respond(exchange, std::move(answer));
    if (status != 202) co_return;
    orders_.push_back(order);
    if (run_log_.is_open()) Log({{"order", order}});
    is_loading_ = true;
    co_await net::Sleep(kLoadTime);
    version_ = order["version"];
    is_loading_ = false;
  }

  awaitable<void> Serve(net::Exchange& exchange) {
    const net::Request& request = exchange.request();
    const std::string id(net::Header(request, kRequestId));
    co_await WaitInQueue();
    const std::string_view version = net::Header(request, "Expect-Version");
    const bool is_other_version =
        !version.empty() && version != std::to_string(version_);
    if (is_other_version) refused_versions_.emplace(version);
    const bool is_paused = RuntimeClock::now() < faults_.paused_until;
    if (faults_.refuse || is_loading_ || is_other_version || is_paused) {
      const int status = is_other_version ? 421 : faults_.refusal_status;
      co_await Refuse(exchange, status, is_paused && !is_other_version);
      co_return;
    }
    ++runs_[id];
    Remember(request);
    if (run_log_.is_open()) LogRun(id);
    ++running_;
    const std::shared_ptr<void> guard(nullptr, [this](void*) { --running_; });
    if (faults_.lose_answers) {
      exchange.CloseAfter();
      co_return;
    }
    if (faults_.answer_other) {
      net::Response other = Answer("another-request", "not yours");
      co_await Respond(exchange, std::move(other));
    }
    if (faults_.fail) {
      net::Response failure = Answer(id, "failed");
      failure.result(faults_.fail_status);
      co_await Respond(exchange, std::move(failure));
    } else if (faults_.resume_answer.is_object() &&
               !net::Header(request, "Last-Event-Id").empty()) {
      net::Response answer = ResumeAnswer(id);
      co_await Respond(exchange, std::move(answer));
    } else if (net::Header(request, "Token-Usage").empty()) {
      net::Response answer =
          Answer(id, "ran at " + id_ + ": " + request.body());
      co_await Respond(exchange, std::move(answer));
    } else {
      co_await Stream(exchange, id);
    }
    co_await RepeatRefusal(exchange);
  }

  awaitable<void> Refuse(net::Exchange& exchange, int status,
                         bool asks_for_pause = false) {
    net::Response refusal = JsonAnswer(status, json::object());
    const std::string_view id = net::Header(exchange.request(), kRequestId);
    if (faults_.name_refusals && !id.empty()) {
      refusal.set(std::string(kRequestId), std::string(id));
    }
    if (faults_.prove_refusals) refusal.set("Not-Executed", "1");
    refusal.set("Instance-Id", id_);
    if (asks_for_pause) AskForPause(refusal, std::string(id));
    last_refusal_ = refusal;
    co_await Respond(exchange, std::move(refusal));
  }

  awaitable<void> RepeatRefusal(net::Exchange& exchange) const {
    if (faults_.repeat_refusal_after < milliseconds(0)) co_return;
    if (!last_refusal_ || !exchange.is_reusable()) co_return;
    if (faults_.repeat_refusal_after > milliseconds(0)) {
      co_await net::Sleep(faults_.repeat_refusal_after);
    }
    net::Response repeated = *last_refusal_;
    co_await exchange.Respond(std::move(repeated));
  }

  void AskForPause(net::Response& answer, const std::string& id) {
    const auto now = RuntimeClock::now();
    const std::chrono::duration<double> left = faults_.paused_until - now;
    answer.set(net::http::field::retry_after,
               faults_.retry_after.empty() ? fmt::format("{:.3f}", left.count())
                                           : faults_.retry_after);
    ++turned_away_;
    if (run_log_.is_open()) {
      Log({{"turned_away", id}, {"born", born_}, {"pause_s", left.count()}});
    }
    if (!pause_told_at_) pause_told_at_ = now;
  }

  // Records the requests that a sender should have held back: what it was told
  // had half a second to reach it.
  void NoteArrival(const std::string& path) {
    constexpr milliseconds kNoticeTime{500};
    const auto now = RuntimeClock::now();
    const bool is_unwanted = pause_told_at_ && now < faults_.paused_until &&
                             now - *pause_told_at_ > kNoticeTime;
    if (is_unwanted) pause_arrivals_.push_back(path);
  }

  awaitable<void> WaitInQueue() {
    constexpr milliseconds kPoll{5};
    ++queued_;
    const std::shared_ptr<void> guard(nullptr, [this](void*) { --queued_; });
    while (faults_.hold) {
      co_await net::Sleep(kPoll);
    }
  }

  // Waits for a change as long as the call allows.
  awaitable<void> TellCacheChanges(net::Exchange& exchange, std::string path) {
    constexpr milliseconds kPoll{10};
    const std::uint64_t since = std::stoull(path.substr(path.find('=') + 1));
    const std::string wait(net::Header(exchange.request(), "Wait-Ms"));
    const auto limit =
        RuntimeClock::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
    while (cache_.next() <= since && RuntimeClock::now() < limit) {
      co_await net::Sleep(kPoll);
    }
    net::Response answer = JsonAnswer(200, cache_.Since(since));
    co_await Respond(exchange, std::move(answer));
  }

  void Remember(const net::Request& request) {
    cache_.Read(std::string(net::Header(request, "Cache-Salt")),
                std::string(net::Header(request, "Prompt-Prefix")));
    last_ = json::object();
    last_["method"] = std::string(request.method_string());
    last_["path"] = std::string(net::Target(request));
    last_["body"] = request.body();
    for (const auto& field : request) {
      last_["headers"][std::string(field.name_string())] =
          std::string(field.value());
    }
  }

  void LogRun(const std::string& id) {
    json run = last_;
    run["run"] = id;
    run["born"] = born_;
    run["leaving"] = faults_.leaving;
    Log(std::move(run));
  }

  // Written through at once, so that a kill loses no line.
  void Log(json line) {
    line["target"] = id_;
    line["at_ns"] = std::chrono::steady_clock::now().time_since_epoch().count();
    run_log_ << line.dump() << std::endl;
  }

  net::Response Answer(const std::string& request_id,
                       const std::string& body) const {
    net::Response answer = net::MakeResponse(200, body, "text/plain");
    SetHeaders(answer, request_id);
    return answer;
  }

  net::Response ResumeAnswer(const std::string& request_id) const {
    const json& fault = faults_.resume_answer;
    net::Response answer = Answer(request_id, fault.value("body", ""));
    answer.result(fault.value("status", 200U));
    answer.set(net::http::field::content_type,
               fault.value("type", "text/plain"));
    return answer;
  }

  template <typename Message>
  void SetHeaders(Message& answer, const std::string& request_id) const {
    answer.set(std::string(kRequestId), request_id);
    if (!faults_.unsealed) answer.set("Response-Seal", "seal-of-" + id_);
    answer.set("Instance-Load", fmt::format("{},0,8", running_));
    answer.set("Keep-Alive", "timeout=5");
    if (faults_.limit >= 0) {
      answer.set("Server-Limit", fmt::format("{:.1f}", faults_.limit));
    }
  }

  awaitable<void> CrashOnDeadlyPart(const net::Request& request) const {
    constexpr milliseconds kTimeToCrash{30};
    constexpr int kCrashExit = 7;
    const std::string_view parts = net::Header(request, "Prompt-Prefix");
    const std::string& deadly = faults_.deadly_part;
    if (deadly.empty() || parts.find(deadly + ':') == std::string_view::npos) {
      co_return;
    }
    co_await net::Sleep(kTimeToCrash);
    std::_Exit(kCrashExit);
  }

  awaitable<void> Stream(net::Exchange& exchange, std::string id) {
    net::http::response<net::http::empty_body> head(net::http::status::ok,
                                                    net::kHttp11);
    head.set(net::http::field::content_type, "text/event-stream");
    SetHeaders(head, id);
    AnnounceLeaving(head);
    if (!co_await exchange.StartStream(std::move(head))) co_return;
    co_await CrashOnDeadlyPart(exchange.request());
    const std::string last(net::Header(exchange.request(), "Last-Event-Id"));
    const int from = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string suffix =
        absl::GetFlag(FLAGS_name_requests) ? " of " + id : "";
    for (int i = from; i <= absl::GetFlag(FLAGS_events); ++i) {
      co_await net::Sleep(faults_.step);
      const std::string event =
          fmt::format("id: {}\ndata: word {}{}\n\n", i, i, suffix);
      if (i == faults_.cut_at) {
        co_await exchange.Write(event.substr(0, event.size() / 2));
        exchange.CloseAfter();
        co_return;
      }
      if (!co_await exchange.Write(event)) co_return;
    }
    co_await exchange.FinishStream();
  }

  net::asio::io_context& context_;
  net::HttpClient client_;
  std::string id_;
  std::string address_;
  std::ofstream run_log_;
  std::int64_t born_;
  std::string state_ = "ready";
  RunnerFaults faults_;
  std::optional<net::Response> last_refusal_;
  std::map<std::string, int> runs_;
  json last_;
  std::vector<json> orders_;
  CacheLog cache_{absl::GetFlag(FLAGS_model)};
  std::uint64_t highest_token_ = 0;
  std::uint64_t version_ = 1;
  // Version that the list of targets shows instead of the one it has.
  std::optional<std::uint64_t> listed_version_;
  // Versions that refused requests expected.
  std::set<std::string> refused_versions_;
  bool is_loading_ = false;
  int running_ = 0;
  int queued_ = 0;
  // When the pause was first told.
  std::optional<RuntimeClock::time_point> pause_told_at_;
  json pause_arrivals_ = json::array();
  int turned_away_ = 0;
};

int Main(int argc, char** argv) {
  const std::vector<std::string> names{
      "listen",  "control_listen", "advertise",     "store_control",
      "id",      "service",        "zone",          "model",
      "step_ms", "events",         "name_requests", "run_log"};
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
  Runner runner(pool.at(0));
  ServerSpec spec;
  spec.listen = absl::GetFlag(FLAGS_listen);
  spec.control_listen = absl::GetFlag(FLAGS_control_listen);
  spec.handler = [&](net::Exchange& e) { return runner.Handle(e); };
  spec.control = [&](net::Exchange& e) { return runner.Control(e); };
  return RunServers(pool, spec, [&] { runner.Start(); });
}

}  // namespace
}  // namespace beryllane::standins

int main(int argc, char** argv) {
  return beryllane::standins::Main(argc, argv);
}
