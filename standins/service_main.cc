// Stand-in for a plain service with bookings, charges and stock. It counts how
// often each idempotency key ran.
#include <absl/flags/flag.h>

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "src/net/runtime.h"
#include "src/settings/flag_source.h"
#include "standins/support.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7200", "address of the service");
ABSL_FLAG(std::string, control_listen, "", "address of the control port");
ABSL_FLAG(std::string, id, "service", "host id");
ABSL_FLAG(std::int64_t, work_ms, 10, "time that one call takes");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of random faults");

namespace beryllane::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct ServiceFaults {
  bool silent = false;
  bool refuse = false;
  // A refusal is written once more this long after each answer, on the same
  // connection; negative is never.
  milliseconds repeat_refusal_after{-1};
  // Probability that a call runs and its answer is lost.
  double lose_answers = 0;
  milliseconds work_time{10};
};

class Service {
 public:
  Service(milliseconds work_time, std::uint64_t seed) : random_(seed) {
    faults_.work_time = work_time;
  }

  net::asio::awaitable<void> Handle(net::Exchange& exchange) {
    if (faults_.silent) {
      co_await StaySilent();
    }
    if (faults_.refuse) {
      co_await Refuse(exchange);
      co_return;
    }
    const bool is_read = exchange.request().method() == net::http::verb::get;
    const std::string key(net::Header(exchange.request(), "Idempotency-Key"));
    const std::string path(net::Target(exchange.request()));
    if (!is_read) {
      ++runs_[key.empty() ? "(none)" : key];
      ++total_;
    }
    const std::uint64_t number = total_;
    co_await net::Sleep(faults_.work_time);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < faults_.lose_answers) {
      exchange.CloseAfter();
      co_return;
    }
    net::Response answer = JsonAnswer(
        200, {{"path", path}, {"confirmation", is_read ? 0 : number}});
    co_await exchange.Respond(std::move(answer));
    if (faults_.repeat_refusal_after < milliseconds(0)) co_return;
    co_await net::Sleep(faults_.repeat_refusal_after);
    co_await Refuse(exchange);
  }

  net::asio::awaitable<void> Control(net::Exchange& exchange) {
    const json change = json::parse(exchange.request().body(), nullptr, false);
    if (change.is_object()) {
      faults_.silent = change.value("silent", faults_.silent);
      faults_.refuse = change.value("refuse", faults_.refuse);
      faults_.repeat_refusal_after = milliseconds(
          change.value("repeat_refusal_after_ms",
                       std::int64_t{faults_.repeat_refusal_after.count()}));
      faults_.lose_answers = change.value("lose_answers", faults_.lose_answers);
      faults_.work_time =
          milliseconds(change.value("work_ms", faults_.work_time.count()));
    }
    std::uint64_t most = 0;
    for (const auto& [key, count] : runs_) {
      if (key != "(none)") most = std::max(most, count);
    }
    net::Response answer = JsonAnswer(
        200, {{"runs", runs_}, {"total", total_}, {"most_runs", most}});
    co_await exchange.Respond(std::move(answer));
  }

 private:
  static net::asio::awaitable<void> Refuse(net::Exchange& exchange) {
    net::Response refusal = JsonAnswer(503, {{"error", "refused"}});
    refusal.set("Service-Not-Run", "1");
    co_await exchange.Respond(std::move(refusal));
  }

  ServiceFaults faults_;
  std::map<std::string, std::uint64_t> runs_;
  std::uint64_t total_ = 0;
  std::mt19937_64 random_;
};

int Main(int argc, char** argv) {
  const std::vector<std::string> names{"listen", "control_listen", "id",
                                       "work_ms", "seed"};
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
  Service service(milliseconds(absl::GetFlag(FLAGS_work_ms)),
                  absl::GetFlag(FLAGS_seed));
  ServerSpec spec;
  spec.listen = absl::GetFlag(FLAGS_listen);
  spec.control_listen = absl::GetFlag(FLAGS_control_listen);
  spec.handler = [&](net::Exchange& e) { return service.Handle(e); };
  spec.control = [&](net::Exchange& e) { return service.Control(e); };
  return RunServers(pool, spec, [] {});
}

}  // namespace
}  // namespace beryllane::standins

int main(int argc, char** argv) {
  return beryllane::standins::Main(argc, argv);
}
