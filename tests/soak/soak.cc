#include "tests/soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <thread>

#include "fmt/format.h"

namespace beryllane::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testing::PlatformFleet;

// In force but while a plan takes it away.
constexpr const char* kSecondKey = "second-key-of-workshop";
constexpr milliseconds kTick{10};
// An event in the middle of the stand-in's streams.
constexpr int kCutAtEvent = 9;
// Calls to the store normally take 4 ms.
constexpr int kSlowStoreMs = 400;
constexpr double kShareOfLostAnswers = 0.5;

json ConfigOf(int version, bool is_key_revoked) {
  json config = PlatformFleet::FirstConfig();
  config["version"] = version;
  json keys = json::array({PlatformFleet::kKey});
  if (!is_key_revoked) keys.push_back(kSecondKey);
  config["tenants"][0]["apiKeys"] = keys;
  return config;
}

bool IsPlannedWork(FaultKind kind) {
  return kind == FaultKind::kStopRouter || kind == FaultKind::kReloadRouter ||
         kind == FaultKind::kRevokeKey || kind == FaultKind::kNameWeights;
}

}  // namespace

Soak::Soak(std::uint64_t seed, const PlanShape& shape)
    : shape_(shape),
      plan_(DrawPlan(seed, shape)),
      fleet_(shape.routers,
             [this](const std::string& name, const net::Address& at) {
               return proxies_.Add(name, at);
             }) {
  std::vector<net::Address> addresses;
  for (int i = 0; i < shape.routers; ++i) {
    routers_.push_back({&fleet_.router(i), fmt::format("router-{}", i), i});
    addresses.push_back(fleet_.router_address(i));
  }
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    targets_.push_back({&fleet_.runner(i), fmt::format("runner-{}", i), i});
  }
  for (int i = 0; i < PlatformFleet::kDesks; ++i) {
    targets_.push_back({&fleet_.desk(i), fmt::format("desk-{}", i), i});
  }
  store_ = {&fleet_.store(), "store"};
  fleet_.Put("keyed.op", "config", ConfigOf(++config_version_, false));
  callers_.emplace(addresses,
                   std::vector<std::string>{PlatformFleet::kKey, kSecondKey},
                   seed);
}

std::size_t Soak::served() const {
  return static_cast<std::size_t>(std::count_if(
      record_.calls.begin(), record_.calls.end(), [](const CallRecord& call) {
        return call.end == CallEnd::kAnswered && call.status == 200;
      }));
}

std::vector<std::string> Soak::Run() {
  const Instant start = steady_clock::now();
  std::vector<Fault> ends = plan_;
  std::sort(ends.begin(), ends.end(), [](const Fault& a, const Fault& b) {
    return a.at + a.lasts < b.at + b.lasts;
  });
  auto next = plan_.begin();
  auto next_end = ends.begin();
  while (next_end != ends.end()) {
    const auto now = steady_clock::now() - start;
    for (; next != plan_.end() && next->at <= now; ++next) {
      begun_.try_emplace({next->at, next->lasts}, steady_clock::now());
      Begin(*next);
    }
    for (; next_end != ends.end() && next_end->at + next_end->lasts <= now;
         ++next_end) {
      End(*next_end);
    }
    Tick();
    std::this_thread::sleep_for(kTick);
  }
  const auto served_before = callers_->Served();
  if (!testing::Eventually([&] { return HasRecovered(served_before); })) {
    broken_.emplace_back("the fleet did not recover");
  }
  record_.calls = callers_->Finish();
  CheckCounts();
  for (const Member& target : targets_) {
    ReadTargetLog(fleet_.TargetLog(target.name), record_);
  }
  const auto found = FindBroken(record_, PromiseBounds{});
  broken_.insert(broken_.end(), found.begin(), found.end());
  return broken_;
}

void Soak::CheckCounts() {
  for (const Member& router : routers_) {
    const auto count = [&](const char* name) {
      return fleet_.Metric(router.index, name);
    };
    const bool is_complete = testing::Eventually([&] {
      return count("beryllane_exchanges_read_total") ==
             count("beryllane_exchanges_answered_total") +
                 count("beryllane_exchanges_caller_gone_total") +
                 count("beryllane_exchanges_cut_total");
    });
    if (!is_complete) {
      broken_.push_back(router.name + " has read requests without an end");
    }
    if (count("beryllane_task_failures_total") > 0) {
      broken_.push_back("a task failed at " + router.name);
    }
  }
}

void Soak::Begin(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillRouter:
      return Kill(RouterOf(fault));
    case FaultKind::kStopRouter:
      RouterOf(fault).is_stopping = RouterOf(fault).process->is_running();
      return RouterOf(fault).process->Signal(SIGTERM);
    case FaultKind::kPauseRouter:
      return Pause(RouterOf(fault), true);
    case FaultKind::kReloadRouter:
      return RouterOf(fault).process->Signal(SIGHUP);
    case FaultKind::kKillTarget:
      return Kill(TargetOf(fault));
    case FaultKind::kPauseTarget:
      return Pause(TargetOf(fault), true);
    case FaultKind::kPauseStore:
      return Pause(store_, true);
    case FaultKind::kTargetLink:
      return proxies_.SetFault(TargetOf(fault).name, fault.link);
    case FaultKind::kStoreLink:
      return proxies_.SetFault("store-of-" + RouterOf(fault).name, fault.link);
    case FaultKind::kRevokeKey:
      wants_key_revoked_ = true;
      return;
    case FaultKind::kNameWeights:
      ++wanted_weights_;
      return;
    default:
      SetTargetFault(fault, true);
      SetStoreFault(fault, true);
  }
}

void Soak::End(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillRouter:
    case FaultKind::kStopRouter:
      RouterOf(fault).starts_again = true;
      break;
    case FaultKind::kPauseRouter:
      Pause(RouterOf(fault), false);
      break;
    case FaultKind::kKillTarget:
      TargetOf(fault).starts_again = true;
      break;
    case FaultKind::kPauseTarget:
      Pause(TargetOf(fault), false);
      break;
    case FaultKind::kPauseStore:
      Pause(store_, false);
      break;
    case FaultKind::kTargetLink:
      proxies_.SetFault(TargetOf(fault).name, LinkFault::kNone);
      break;
    case FaultKind::kStoreLink:
      proxies_.SetFault("store-of-" + RouterOf(fault).name, LinkFault::kNone);
      break;
    case FaultKind::kRevokeKey:
      wants_key_revoked_ = false;
      break;
    case FaultKind::kTargetLeaves:
      Kill(TargetOf(fault));
      TargetOf(fault).starts_again = true;
      break;
    default:
      SetTargetFault(fault, false);
      SetStoreFault(fault, false);
  }
  if (!IsPlannedWork(fault.kind)) {
    const Instant now = steady_clock::now();
    const bool is_link = fault.kind == FaultKind::kTargetLink;
    record_.disturbances.push_back({begun_.at({fault.at, fault.lasts}) - kTick,
                                    now, is_link ? TargetOf(fault).name : ""});
  }
}

void Soak::SetTargetFault(const Fault& fault, bool is_on) {
  json& change = TargetOf(fault).change;
  switch (fault.kind) {
    case FaultKind::kTargetLosesAnswers:
      change["lose_answers"] = is_on;
      break;
    case FaultKind::kTargetFails:
      change["fail"] = is_on;
      break;
    case FaultKind::kTargetRefuses:
      change["refuse"] = is_on;
      break;
    case FaultKind::kTargetCutsStreams:
      change["cut_at"] = is_on ? kCutAtEvent : -1;
      break;
    case FaultKind::kTargetIgnoresOrders:
      change["ignore_orders"] = is_on;
      break;
    case FaultKind::kTargetLeaves:
      change["leaving"] = is_on;
      break;
    case FaultKind::kTargetAsksForPause:
      change["pause_ms"] = is_on ? fault.lasts.count() : 0;
      break;
    default:
      break;
  }
}

void Soak::SetStoreFault(const Fault& fault, bool is_on) {
  switch (fault.kind) {
    case FaultKind::kStoreDown:
      store_.change["down"] = is_on;
      break;
    case FaultKind::kStoreSilent:
      store_.change["silent"] = is_on;
      break;
    case FaultKind::kStoreSlow:
      store_.change["answer_ms"] = is_on ? kSlowStoreMs : 4;
      break;
    case FaultKind::kStoreLosesAnswers:
      store_.change["lose_answers"] = is_on ? kShareOfLostAnswers : 0.0;
      break;
    default:
      break;
  }
}

void Soak::SetKey(bool is_revoked) {
  if (!is_revoked) record_.revocations.back().until = steady_clock::now();
  fleet_.Put("keyed.op", "config", ConfigOf(++config_version_, is_revoked));
  if (is_revoked) {
    const Instant now = steady_clock::now();
    record_.revocations.push_back({kSecondKey, now, Instant::max()});
  }
  is_key_revoked_ = is_revoked;
}

void Soak::NoteBreak(const Member& member) {
  if (!member.name.starts_with("router")) return;
  record_.router_breaks.push_back({member.index, steady_clock::now()});
}

void Soak::Pause(Member& member, bool is_paused) {
  NoteBreak(member);
  member.process->Signal(is_paused ? SIGSTOP : SIGCONT);
  member.is_paused = is_paused && member.process->is_running();
}

void Soak::Kill(Member& member) {
  NoteBreak(member);
  member.process->Kill();
  member.is_paused = false;
  member.is_stopping = false;
}

void Soak::Start(Member& member) {
  NoteBreak(member);
  member.is_paused = false;
  member.is_stopping = false;
  member.starts_again = false;
  member.change = json::object();
  if (member.name.starts_with("router")) {
    fleet_.StartRouter(member.index);
  } else if (member.name.starts_with("runner")) {
    fleet_.StartRunner(member.index);
  } else {
    fleet_.StartDesk(member.index);
  }
}

void Soak::Tick() {
  for (Member& router : routers_) LookAfter(router);
  for (Member& target : targets_) {
    LookAfter(target);
    if (target.change.empty() || target.is_paused ||
        !target.process->is_running()) {
      continue;
    }
    const json seen = target.name.starts_with("runner")
                          ? fleet_.ControlRunner(target.index, target.change)
                          : fleet_.ControlDesk(target.index, target.change);
    // A process that starts up does not answer yet.
    if (seen.is_object()) target.change.clear();
  }
  if (store_.is_paused) return;
  if (!store_.change.empty()) fleet_.ControlStore(store_.change);
  store_.change.clear();
  if (wants_key_revoked_ != is_key_revoked_) SetKey(wants_key_revoked_);
  if (wanted_weights_ != weights_version_) {
    weights_version_ = wanted_weights_;
    fleet_.Put(
        "keyed.op", std::string("version/") + PlatformFleet::kModel,
        json{{"model", PlatformFleet::kModel}, {"version", weights_version_}});
  }
}

void Soak::LookAfter(Member& member) {
  if (const auto code = member.process->EndedWith()) {
    if (!member.is_stopping) {
      broken_.push_back(
          fmt::format("{} ended by itself, code {}", member.name, *code));
      member.starts_again = true;
    } else if (*code != 0) {
      broken_.push_back(
          fmt::format("{} stopped with code {}", member.name, *code));
    }
  }
  if (member.starts_again && !member.process->is_running()) Start(member);
  // A process that was not ended in the end has nothing to start again.
  if (member.starts_again && !member.is_stopping) member.starts_again = false;
}

bool Soak::HasRecovered(const std::vector<std::uint64_t>& served_before) {
  Tick();
  for (int i = 0; i < shape_.routers; ++i) {
    if (fleet_.ReadyStatus(i) != 200) return false;
  }
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json seen = fleet_.ControlRunner(i, json::object());
    if (!seen.is_object() || seen["version"] != weights_version_) return false;
  }
  const auto served = callers_->Served();
  for (std::size_t i = 0; i < served.size(); ++i) {
    if (served[i] == served_before[i]) return false;
  }
  return true;
}

}  // namespace beryllane::soak
