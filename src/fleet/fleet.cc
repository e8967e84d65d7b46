#include "src/fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "beryllane/hash/hash.h"
#include "beryllane/placement/prefix_policy.h"
#include "src/fleet/cache_scope.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;

// Time for which a target is suspect after its first failure to answer; doubles
// with each further failure in a row, up to `kMaxDoublings` times.
constexpr milliseconds kFirstSuspectTime{400};
constexpr int kMaxDoublings = 3;
// Half-life of the load that a target reported for other routers' requests.
constexpr double kReportHalfLifeMs = 400;
// Maximum time by which the list of targets lags behind the versions seen in
// answers and orders: a heartbeat interval, its delay and the read interval.
// Afterwards the list is authoritative: a version that it does not show came
// from a hint about an earlier incarnation.
constexpr milliseconds kMaxListLag{5000};
// Share of a runner's KV cache that running requests leave to cached parts.
constexpr double kCacheShare = 0.85;

}  // namespace

std::uint64_t Runner::VersionOf(const std::string& model) const {
  const auto listed = entry.weights.find(model);
  const std::uint64_t version =
      listed == entry.weights.end() ? 0 : listed->second;
  const auto reported = reported_weights.find(model);
  return reported == reported_weights.end()
             ? version
             : std::max(version, reported->second.version);
}

void Runner::RaiseVersion(const std::string& model, std::uint64_t version) {
  if (version <= VersionOf(model)) return;
  reported_weights[model] = {version, RuntimeClock::now()};
  cache.Clear();
}

bool Runner::RefuteVersion(const std::string& model, std::uint64_t version) {
  const auto reported = reported_weights.find(model);
  const auto listed = entry.weights.find(model);
  const bool is_listed =
      listed != entry.weights.end() && listed->second >= version;
  const bool is_refuted = !is_listed && reported != reported_weights.end() &&
                          reported->second.version == version;
  if (is_refuted) reported_weights.erase(reported);
  return is_refuted;
}

void Runner::DropOldReports(RuntimeClock::time_point now) {
  std::erase_if(reported_weights, [now](const auto& reported) {
    return now - reported.second.received_at >= kMaxListLag;
  });
}

double Runner::EstimatedLoad(RuntimeClock::time_point now) {
  const auto running = static_cast<double>(peer_running.Total(now));
  return own_running + std::max(running, OthersReported(now));
}

double Runner::OthersReported(RuntimeClock::time_point now) const {
  const double others =
      std::max<double>(0, reported_running - own_running_at_report);
  const double age_ms =
      std::chrono::duration<double, std::milli>(now - reported_at).count();
  return others * std::exp2(-age_ms / kReportHalfLifeMs);
}

double Runner::PendingPrefillTokens(RuntimeClock::time_point now) {
  return static_cast<double>(own_pending_prefill_tokens) +
         static_cast<double>(peer_prefill_tokens.Total(now));
}

void Runner::RecordLoad(std::optional<int> running, std::optional<int> waiting,
                        RuntimeClock::time_point now) {
  const int load = running.value_or(0) + waiting.value_or(0);
  const bool is_whole = running && waiting;
  if (!is_whole && load - own_running <= OthersReported(now)) return;
  reported_running = load;
  own_running_at_report = own_running;
  reported_at = now;
}

void Runner::RecordPace(int percent, RuntimeClock::time_point now) {
  pace_reported_at = now;
  pace.OnMomentaryPace(percent, now);
}

double Runner::PrefillTokensPerMs(RuntimeClock::time_point now) const {
  return HasPace(now) ? pace.PrefillTokensPerMs(now)
                      : placement::kPrefillTokensPerMs;
}

double Runner::StepTimeFactor(RuntimeClock::time_point now) const {
  return HasPace(now)
             ? pace.StepTime(now) / placement::TargetPace::kDefaultStepTime
             : 1;
}

void Runner::Suspect(RuntimeClock::time_point now) {
  suspect_until =
      now + kFirstSuspectTime * (1 << std::min(failures_in_row, kMaxDoublings));
  ++failures_in_row;
}

bool Fleet::SetConfig(FleetConfig config) {
  if (config_ && config.version <= config_->version) return false;
  config.shared_cache_scope = SharedCacheScope(config);
  config_ = std::make_shared<const FleetConfig>(std::move(config));
  return true;
}

bool Fleet::IsOutdated(const TargetEntry& entry) const {
  const auto known = gates_.find(entry.id);
  if (known == gates_.end()) return false;
  // A target that states its start time does so in all entries; without one,
  // each new entry may be another incarnation.
  const std::int64_t known_start = known->second.start_time;
  if (entry.start_time == 0 && known_start == 0) return false;
  const bool is_same = entry.start_time == known_start;
  return entry.start_time < known_start ||
         (is_same && entry.sequence < known->second.sequence);
}

void Fleet::SetTarget(TargetEntry entry) {
  if (IsOutdated(entry)) return;
  std::shared_ptr<Runner>& runner = targets_[entry.id];
  if (runner && entry.start_time < runner->entry.start_time) return;
  const bool is_same = runner && runner->entry.start_time == entry.start_time &&
                       runner->entry.address == entry.address;
  if (is_same) {
    if (entry.sequence < runner->entry.sequence) return;
    for (const auto& [model, listed] : entry.weights) {
      if (listed > runner->VersionOf(model)) runner->cache.Clear();
    }
    if (entry.is_draining) runner->gate->OnListedDraining(RuntimeClock::now());
    gates_[entry.id].sequence = entry.sequence;
    runner->entry = std::move(entry);
    return;
  }
  runner = std::make_shared<Runner>();
  runner->id_hash = HashBytes(entry.id).low;
  if (config_) {
    const auto service = config_->services.find(entry.service);
    if (service != config_->services.end() && service->second.engine) {
      runner->cache.set_capacity(static_cast<std::uint64_t>(
          kCacheShare *
          static_cast<double>(service->second.engine->kv_capacity_tokens)));
    }
  }
  runner->gate = GateOf(entry);
  gates_[entry.id].sequence = entry.sequence;
  runner->gate->OnListedAgain();
  if (entry.is_draining) runner->gate->OnListedDraining(RuntimeClock::now());
  runner->entry = std::move(entry);
  by_hash_[runner->id_hash] = runner;
}

void Fleet::OnListRead() {
  const auto now = RuntimeClock::now();
  for (const auto& [id, runner] : targets_) runner->DropOldReports(now);
}

void Fleet::RemoveTarget(const std::string& id) {
  const auto it = targets_.find(id);
  if (it == targets_.end()) return;
  it->second->gate->OnUnlisted(RuntimeClock::now());
  by_hash_.erase(it->second->id_hash);
  targets_.erase(it);
}

std::shared_ptr<TargetGate> Fleet::GateOf(const TargetEntry& entry) {
  // Without a start time, each new entry may be another incarnation.
  KnownGate& known = gates_[entry.id];
  const bool is_known = known.gate && entry.start_time != 0 &&
                        entry.start_time == known.start_time;
  if (!is_known) {
    known = {entry.start_time, std::make_shared<TargetGate>(drain_timeout_)};
  }
  return known.gate;
}

void Fleet::WatchAnswers(Runner& runner, net::CallOptions& options) {
  options.on_head = [this, &runner](const auto& head) {
    Observe(runner, platform::DecodeNotice(head));
  };
  options.may_reuse = [&runner] { return runner.gate->IsOpen(); };
}

Runner* Fleet::GiverOf(Runner& asked,
                       const platform::TargetNotice& notice) const {
  const bool is_named = !notice.target_id.empty();
  if (is_named && notice.target_id != asked.entry.id) {
    const auto named = targets_.find(notice.target_id);
    return named == targets_.end() ? nullptr : named->second.get();
  }
  if (is_named || !notice.is_misdirected) return &asked;
  // A refusal without a name comes from the present owner of the address.
  for (const auto& [id, runner] : targets_) {
    const bool is_owner = runner->entry.address == asked.entry.address;
    if (is_owner && id != asked.entry.id) return runner.get();
  }
  return &asked;
}

void Fleet::Observe(Runner& asked, const platform::TargetNotice& notice) {
  if (!notice.is_leaving) return;
  Runner* const giver = GiverOf(asked, notice);
  if (giver == nullptr || !giver->gate->OnLeaving(RuntimeClock::now())) return;
  if (on_leaving_) on_leaving_(*giver, notice);
}

std::vector<std::shared_ptr<Runner>> Fleet::AvailableTargets(
    const std::string& service) const {
  std::vector<std::shared_ptr<Runner>> takers;
  for (const auto& [id, runner] : targets_) {
    if (runner->entry.service == service && runner->gate->IsOpen()) {
      takers.push_back(runner);
    }
  }
  return takers;
}

std::vector<std::shared_ptr<Runner>> Fleet::LastResorts(
    const std::string& service, RuntimeClock::time_point started) const {
  const Sending sending{SendKind::kLastResort, started};
  const auto now = RuntimeClock::now();
  std::vector<std::shared_ptr<Runner>> takers;
  for (const auto& [id, runner] : targets_) {
    const bool is_leaving =
        runner->entry.service == service && !runner->gate->IsOpen();
    if (is_leaving && runner->gate->MaySend(sending, now)) {
      takers.push_back(runner);
    }
  }
  return takers;
}

bool Fleet::SetDesiredWeights(
    const DesiredWeights& weights,
    std::optional<BootClock::time_point> complete_until) {
  return desired_weights_[weights.model].Add(weights.version, BootClock::now(),
                                             complete_until);
}

DesiredWeightsState Fleet::DesiredWeightsOf(const std::string& model) const {
  const auto it = desired_weights_.find(model);
  return it == desired_weights_.end() ? DesiredWeightsState{} : it->second;
}

void Fleet::set_retry_options(RetryWindowOptions options) {
  retry_options_ = options;
  for (auto& [service, budget] : budgets_) budget.set_slack(options.slack);
}

bool Fleet::AddWork(const std::string& service, double work) {
  constexpr double kWeight = 0.02;
  const auto [mean, is_first] = mean_work_.try_emplace(service, work);
  mean->second += kWeight * (work - mean->second);
  return work >= mean->second;
}

RetryWindow& Fleet::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, retry_options_).first->second;
}

const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path) {
  const Route* best = nullptr;
  for (const Route& route : config.routes) {
    if (route.host != host || !path.starts_with(route.path_prefix)) continue;
    const bool is_longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (is_longer) best = &route;
  }
  return best;
}

const std::string& PickService(const Route& route,
                               std::string_view request_id) {
  double total = 0;
  for (const TrafficShare& share : route.shares) total += share.weight;
  constexpr double kHashRange = 18446744073709551616.0;
  double point =
      static_cast<double>(HashBytes(request_id).low) / kHashRange * total;
  for (const TrafficShare& share : route.shares) {
    point -= share.weight;
    if (point < 0 && share.weight > 0) return share.service;
  }
  return route.shares.back().service;
}

}  // namespace beryllane::fleet
