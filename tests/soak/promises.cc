#include "tests/soak/promises.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

#include "fmt/format.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::soak {
namespace {

using nlohmann::json;

constexpr int kEvents = 20;
constexpr std::string_view kAccount = "workshop";

bool IsStream(RequestKind kind) {
  return kind == RequestKind::kAdvice || kind == RequestKind::kChat;
}

bool IsIdempotent(RequestKind kind) {
  return kind == RequestKind::kStock || kind == RequestKind::kAdvice;
}

// Statuses that promise that the request has not run and never will.
bool PromisesNoRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string WholeStream(const std::string& id) {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    text += fmt::format("id: {}\ndata: word {} of {}\n\n", i, i, id);
  }
  return text;
}

class Checker {
 public:
  Checker(const SoakRecord& record, const PromiseBounds& bounds)
      : record_(record), bounds_(bounds) {
    for (const RunRecord& run : record.runs) runs_[run.id].push_back(&run);
  }

  std::vector<std::string> Check() {
    std::set<std::string> sent;
    for (const CallRecord& call : record_.calls) {
      sent.insert(call.id);
      CheckRuns(call);
      if (call.status == 200) CheckSuccess(call);
      CheckKey(call);
      CheckCalm(call);
    }
    for (const RunRecord& run : record_.runs) {
      if (!sent.contains(run.id)) Report(run.id, "ran, but nobody sent it");
    }
    if (excess_attempts_ > bounds_.excused_attempts) {
      Report("", fmt::format("{} requests ran more often than they may",
                             excess_attempts_));
    }
    CheckOrders();
    CheckLeaving();
    CheckPauses();
    return std::move(broken_);
  }

 private:
  void Report(const std::string& id, const std::string& what) {
    broken_.push_back(id + ": " + what);
  }

  const std::vector<const RunRecord*>& RunsOf(const std::string& id) {
    return runs_[id];
  }

  void CheckRuns(const CallRecord& call) {
    const auto& runs = RunsOf(call.id);
    if (IsIdempotent(call.kind)) {
      if (static_cast<int>(runs.size()) > bounds_.max_attempts) {
        ++excess_attempts_;
      }
    } else {
      if (runs.size() > 1) {
        Report(call.id, fmt::format("ran {} times", runs.size()));
      }
      if (PromisesNoRun(call.status) && !runs.empty()) {
        Report(call.id, fmt::format("was refused with {}, but ran at {}",
                                    call.status, runs.front()->target));
      }
    }
    for (const RunRecord* run : runs) {
      if (run->path != PathOf(call.kind) || run->body != call.id) {
        Report(call.id, "ran with another path or body");
      }
      if (run->account != kAccount) {
        Report(call.id, "ran for account " + run->account);
      }
    }
  }

  void CheckSuccess(const CallRecord& call) {
    if (!call.is_sealed || call.answered_id != call.id) {
      Report(call.id, "success of another request: " + call.answered_id);
    }
    const auto& runs = RunsOf(call.id);
    if (runs.empty()) Report(call.id, "success without a run");
    const bool is_whole = call.end == CallEnd::kAnswered;
    if (IsStream(call.kind)) {
      const std::string whole = WholeStream(call.id);
      if (is_whole ? call.body != whole : !whole.starts_with(call.body)) {
        Report(call.id, fmt::format("stream of {} bytes is not its own",
                                    call.body.size()));
      }
    } else if (is_whole) {
      const bool is_own =
          std::any_of(runs.begin(), runs.end(), [&](const RunRecord* run) {
            return call.body == "ran at " + run->target + ": " + call.id;
          });
      if (!is_own) Report(call.id, "answer is not its own: " + call.body);
    }
  }

  void CheckKey(const CallRecord& call) {
    for (const Revocation& revocation : record_.revocations) {
      if (call.key != revocation.key || RunsOf(call.id).empty()) continue;
      if (call.sent_at > revocation.from + bounds_.revocation &&
          call.sent_at < revocation.until) {
        Report(call.id, "ran with a key that was revoked");
      }
    }
  }

  // While nothing but planned work goes on, a request that was taken is
  // answered.
  void CheckCalm(const CallRecord& call) {
    if (call.end != CallEnd::kClosed && call.end != CallEnd::kTimedOut) return;
    for (const Disturbance& disturbance : record_.disturbances) {
      if (call.ended_at >= disturbance.from &&
          call.sent_at <= disturbance.until + bounds_.settling) {
        return;
      }
    }
    // A request may cross the close of a connection; then it does not run.
    const bool has_crossed = call.end == CallEnd::kClosed && call.status == 0 &&
                             RunsOf(call.id).empty();
    if (!has_crossed) {
      Report(call.id, fmt::format("had no answer in a calm span (status {})",
                                  call.status));
    }
  }

  using RouterAndTarget = std::tuple<int, std::string, std::int64_t>;

  static RouterAndTarget KeyOf(const CallRecord& call, const RunRecord& run) {
    return {call.router, run.target, run.start_time};
  }

  // When each router had first passed on an announcement of each incarnation.
  std::map<RouterAndTarget, Instant> FindAnnouncements() {
    std::map<RouterAndTarget, Instant> first;
    for (const CallRecord& call : record_.calls) {
      if (call.end != CallEnd::kAnswered || call.status != 200) continue;
      for (const RunRecord* run : RunsOf(call.id)) {
        const bool is_passed_on =
            run->is_leaving &&
            call.body == "ran at " + run->target + ": " + call.id;
        if (!is_passed_on) continue;
        const auto [it, is_new] =
            first.try_emplace(KeyOf(call, *run), call.ended_at);
        it->second = std::min(it->second, call.ended_at);
      }
    }
    return first;
  }

  bool HasBreak(int router, Instant from, Instant until) const {
    return std::any_of(record_.router_breaks.begin(),
                       record_.router_breaks.end(),
                       [&](const RouterBreak& pause) {
                         return pause.router == router && pause.at >= from &&
                                pause.at <= until;
                       });
  }

  void CheckLeaving() {
    const auto announcements = FindAnnouncements();
    for (const CallRecord& call : record_.calls) {
      for (const RunRecord* run : RunsOf(call.id)) {
        const auto announced = announcements.find(KeyOf(call, *run));
        if (announced == announcements.end()) continue;
        const bool is_late = call.sent_at > announced->second + bounds_.drain;
        if (is_late && !HasBreak(call.router, announced->second, run->at)) {
          Report(call.id, "reached " + run->target + ", which had announced " +
                              "that it leaves");
        }
      }
    }
  }

  bool IsLinkDisturbed(const std::string& target, Instant from,
                       Instant until) const {
    return std::any_of(record_.disturbances.begin(), record_.disturbances.end(),
                       [&](const Disturbance& disturbance) {
                         return disturbance.link == target &&
                                disturbance.from <= until &&
                                disturbance.until >= from;
                       });
  }

  // What one router knows of the pause of one incarnation of a target.
  struct KnownPause {
    Instant told_at;
    Instant ends_at;
    int arrivals = 0;
  };

  void CheckPauses() {
    std::map<std::string, int> routers;
    for (const CallRecord& call : record_.calls) routers[call.id] = call.router;
    std::map<RouterAndTarget, KnownPause> pauses;
    for (const TurnedAwayRecord& arrival : record_.turned_away) {
      const int router = routers[arrival.id];
      KnownPause& pause = pauses[{router, arrival.target, arrival.start_time}];
      const bool is_excused =
          HasBreak(router, pause.told_at, arrival.at) ||
          IsLinkDisturbed(arrival.target, pause.told_at, arrival.at);
      if (arrival.at >= pause.ends_at || is_excused) {
        pause = {arrival.at, arrival.at + arrival.pause, 0};
      } else if (arrival.at > pause.told_at + bounds_.pause_notice &&
                 ++pause.arrivals > bounds_.max_arrivals_in_pause) {
        Report(arrival.id,
               "reached " + arrival.target + ", which had asked for a pause");
      }
    }
  }

  void CheckOrders() {
    std::map<std::uint64_t, std::string> holders;
    std::map<std::string, std::uint64_t> newest;
    for (const OrderRecord& order : record_.orders) {
      const auto [it, is_new] =
          holders.try_emplace(order.fencing_token, order.holder);
      if (it->second != order.holder) {
        Report(order.target,
               fmt::format("token {} of {} and {}", order.fencing_token,
                           it->second, order.holder));
      }
      std::uint64_t& token = newest[order.target];
      if (order.fencing_token < token) {
        Report(order.target, "accepted an order of an older token");
      }
      token = std::max(token, order.fencing_token);
    }
  }

  const SoakRecord& record_;
  const PromiseBounds& bounds_;
  std::map<std::string, std::vector<const RunRecord*>> runs_;
  std::vector<std::string> broken_;
  int excess_attempts_ = 0;
};

}  // namespace

void ReadTargetLog(const std::vector<json>& lines, SoakRecord& record) {
  for (const json& line : lines) {
    const Instant at{
        std::chrono::nanoseconds(line.at("at_ns").get<std::int64_t>())};
    const std::string target = line.at("target");
    if (line.contains("order")) {
      const json& order = line["order"];
      record.orders.push_back({target, at, order.at("holder"),
                               order.at("fencingToken").get<std::uint64_t>()});
      continue;
    }
    if (line.contains("turned_away")) {
      const std::chrono::duration<double> pause(line.at("pause_s"));
      record.turned_away.push_back(
          {line["turned_away"], target, line.at("born"), at,
           std::chrono::duration_cast<std::chrono::nanoseconds>(pause)});
      continue;
    }
    const json& headers = line.at("headers");
    record.runs.push_back({line.at("run"), target, at, line.at("path"),
                           line.at("body"), headers.value("Tenant", ""),
                           line.value("born", std::int64_t{0}),
                           line.value("leaving", false)});
  }
}

std::vector<std::string> FindBroken(const SoakRecord& record,
                                    const PromiseBounds& bounds) {
  return Checker(record, bounds).Check();
}

}  // namespace beryllane::soak
