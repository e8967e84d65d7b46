#include "src/fleet/weights_rollout.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "beryllane/rollout/planner.h"
#include "platform/request_codec.h"
#include "src/fleet/pause_record.h"
#include "src/net/spawn.h"
#include "src/telemetry/log.h"

namespace beryllane::fleet {
namespace {

using net::asio::awaitable;
using nlohmann::json;
using std::chrono::milliseconds;
using telemetry::Level;

constexpr milliseconds kPollInterval{100};
// Number of loads that the weight store serves in parallel at full speed: one
// per `kTargetsPerParallelLoad` targets, at least `kMinParallelLoads`. The
// figures are from the deployments' data sheets.
constexpr std::size_t kTargetsPerParallelLoad = 5;
constexpr std::size_t kMinParallelLoads = 2;
// The last holder acquires the lease again without delay. Other routers wait
// for this time multiplied by their rank, so that usually only one of them
// calls the store.
constexpr milliseconds kRankDelay{150};
// If the holder has announced nothing for this long, the lease is read from the
// store. Longer than the interval between two renewals, each of which the
// holder announces.
constexpr milliseconds kHolderTimeout{1000};
// Interval at which a waiting router reads the lease.
constexpr milliseconds kLeaseReadInterval{1000};
constexpr milliseconds kRenewInterval{500};
// An order that is not lost is answered within a few round trips between
// regions.
constexpr milliseconds kOrderTimeout{250};
// A report lists the runs of one target.
constexpr std::size_t kMaxReportBytes = 256 * 1024;
// A load takes at least about this long; no report is read before.
constexpr milliseconds kFirstReportDelay{300};
constexpr milliseconds kReportInterval{120};
// If a target has not loaded the weights by then, others are ordered instead.
constexpr milliseconds kLoadTimeout{4000};
// Time for which no requests are sent to a target that was ordered to load.
constexpr milliseconds kSwitchDuration{1200};
// Time after which an order to a target is retried.
constexpr milliseconds kOrderBackoff{400};
// Number of unanswered orders after which others are ordered instead.
constexpr int kMaxUnansweredOrders = 2;
constexpr std::string_view kLeaseKey = "weights";

bool MaySend(const Runner& runner, SendKind kind) {
  return runner.gate->MaySend(Sending{kind}, RuntimeClock::now());
}

}  // namespace

WeightsRollout::WeightsRollout(platform::StoreClient& store,
                               net::HttpClient& client, Fleet& fleet,
                               Peers& peers, std::string host_id,
                               lease::Timing timing, MetricRegistry& metrics)
    : store_(store),
      client_(client),
      fleet_(fleet),
      peers_(peers),
      host_id_(std::move(host_id)),
      lease_(host_id_, timing),
      orders_(metrics.GetCounter("beryllane_orders_total",
                                 "Orders sent to targets")),
      order_failures_(metrics.GetCounter("beryllane_order_failures_total",
                                         "Orders that were not accepted")) {
  store_.OnRestore([this] { OnRestore(); });
}

void WeightsRollout::OnRestore() {
  lease_.OnEra(store_.era().number, store_.era().seen_at);
  has_read_lease_ = false;
}

awaitable<void> WeightsRollout::Run() {
  bool had_work = false;
  for (;;) {
    co_await net::Sleep(kPollInterval);
    const auto work = FindWork();
    if (!work) {
      had_work = false;
      continue;
    }
    if (!had_work) work_since_ = RuntimeClock::now();
    had_work = true;
    if (!lease_.IsHeld(BootClock::now())) {
      // Another router would have to wait until a lease acquired now expires.
      if (!is_stopping_) {
        co_await AcquireLease();
      }
    } else if (BootClock::now() - renewed_at_ > kRenewInterval) {
      co_await Renew();
    }
    if (lease_.IsHeld(BootClock::now())) StartOrders(*work);
  }
}

std::optional<WeightsRollout::Work> WeightsRollout::FindWork() const {
  for (const auto& [model, desired] : fleet_.desired_weights()) {
    Work work{model, desired.version(), {}};
    bool is_behind = false;
    for (const auto& [id, runner] : fleet_.targets()) {
      const bool has_model = runner->entry.weights.contains(model);
      if (!has_model || !MaySend(*runner, OrderKind(*runner, model))) continue;
      work.runners.push_back(runner);
      is_behind = is_behind || runner->VersionOf(model) < desired.version();
    }
    if (is_behind) return work;
  }
  return std::nullopt;
}

SendKind WeightsRollout::OrderKind(const Runner& runner,
                                   const std::string& model) const {
  const auto left = runner.gate->pause().ends_at() - RuntimeClock::now();
  const auto lag = fleet_.DesiredWeightsOf(model).Lag(runner.VersionOf(model),
                                                      BootClock::now());
  return lag + left > weights_lifetime_ ? SendKind::kUrgentOrder
                                        : SendKind::kOrder;
}

void WeightsRollout::NotePause(Runner& runner, const net::Response& answer,
                               std::string_view kind) {
  RecordPause(fleet_, runner, platform::DecodeAnswer(answer.base()),
              {kind, ""});
}

awaitable<void> WeightsRollout::AcquireLease() {
  // Without the other routers' ids each would take itself for the first.
  if (!peers_.is_registered()) co_return;
  const auto now = RuntimeClock::now();
  const auto idle_since =
      std::max(work_since_, peers_.rollout_announced_at() + kHolderTimeout);
  const bool is_last = lease_.last_holder() == host_id_;
  if (!is_last && now - idle_since < kRankDelay * peers_.Rank()) co_return;
  if (!has_read_lease_ || now - lease_read_at_ > kLeaseReadInterval) {
    co_await ReadLease();
    if (!has_read_lease_) co_return;
  }
  if (!lease_.MayAcquire(BootClock::now())) co_return;
  co_await Renew();
}

awaitable<void> WeightsRollout::ReadLease() {
  const auto seen = BootClock::now();
  lease_read_at_ = RuntimeClock::now();
  std::string topic(platform::kLeaseTopic);
  platform::RecordPage page;
  lease_.OnEra(store_.era().number, store_.era().seen_at);
  auto read = co_await store_.Read(topic, lease_.end(), milliseconds(0));
  if (!read.ok()) co_return;
  if (read.value()) {
    page = std::move(*read.value());
  } else {
    auto newest = co_await store_.ReadNewest(topic);
    if (!newest.ok()) co_return;
    page = std::move(newest.value());
  }
  for (const auto& record : page.records) {
    const json body = json::parse(record.value, nullptr, false);
    if (!body.is_object()) continue;
    const json holder = body.value("holder", json());
    // Routers of earlier releases name no era.
    const json era = body.value("era", json(lease_.era()));
    if (!holder.is_string() || !era.is_number_unsigned()) continue;
    lease_.OnRecord(holder, record.offset, seen, era);
  }
  if (page.next > lease_.end()) lease_.OnLogEnd(page.next);
  has_read_lease_ = true;
}

awaitable<void> WeightsRollout::Renew() {
  const auto sent = BootClock::now();
  const bool was_held = lease_.IsHeld(sent);
  std::string value = json{{"holder", host_id_}, {"era", lease_.era()}}.dump();
  auto outcome =
      co_await store_.Append(std::string(platform::kLeaseTopic),
                             std::string(kLeaseKey), value, lease_.end());
  if (!outcome.ok()) {
    // The record may still be appended, so the lease is read again.
    has_read_lease_ = false;
    co_return;
  }
  if (!outcome.value().is_appended) {
    lease_.Abandon();
    co_await ReadLease();
    telemetry::Log(Level::kInfo, telemetry::event::kLeaseLost,
                   {{"holder", lease_.last_holder()}});
    co_return;
  }
  lease_.OnAppended(outcome.value().offset, sent);
  renewed_at_ = sent;
  peers_.AnnounceLease();
  if (was_held) co_return;
  telemetry::Log(Level::kInfo, telemetry::event::kLeaseTaken,
                 {{"token", lease_.token()}});
}

void WeightsRollout::StartOrders(const Work& work) {
  std::vector<rollout::TargetState> states;
  const auto now = RuntimeClock::now();
  std::erase_if(backoff_until_,
                [now](const auto& pause) { return pause.second <= now; });
  for (const auto& runner : work.runners) {
    const std::string& id = runner->entry.id;
    rollout::TargetState state;
    state.version = runner->VersionOf(work.model);
    state.is_switching = in_progress_.contains(id);
    state.is_usable =
        runner->suspect_until <= now && !backoff_until_.contains(id);
    state.running = static_cast<int>(runner->EstimatedLoad(now));
    states.push_back(state);
  }
  const std::size_t parallel =
      std::max(kMinParallelLoads, states.size() / kTargetsPerParallelLoad);
  // Paused and leaving targets are not in `states`; one of the others serves.
  const std::size_t most = std::max<std::size_t>(1, states.size() - 1);
  const rollout::RolloutLimits limits{std::min(parallel, most)};
  for (const std::size_t index :
       rollout::PlanOrders(states, work.version, limits)) {
    const auto& runner = work.runners[index];
    in_progress_[runner->entry.id] = now;
    net::Spawn(client_.context().get_executor(), "update-target",
               UpdateTarget(runner, work.model, work.version));
  }
}

awaitable<void> WeightsRollout::UpdateTarget(std::shared_ptr<Runner> runner,
                                             std::string model,
                                             std::uint64_t version) {
  const std::string id = runner->entry.id;
  try {
    co_await OrderUntilInPlace(*runner, model, version);
  } catch (const std::exception& error) {
    net::ReportTaskFailure("update-target", error.what());
  }
  if (runner->VersionOf(model) >= version) {
    telemetry::Log(Level::kInfo, telemetry::event::kWeightsInPlace,
                   {{"target", id}, {"model", model}, {"version", version}});
    peers_.AnnounceWeights(*runner, model, version);
  } else {
    backoff_until_[id] = RuntimeClock::now() + kOrderBackoff;
  }
  runner->switching_until = {};
  in_progress_.erase(id);
}

awaitable<void> WeightsRollout::OrderUntilInPlace(Runner& runner,
                                                  const std::string& model,
                                                  std::uint64_t version) {
  const auto deadline = RuntimeClock::now() + kLoadTimeout;
  const bool needs_report =
      !runner.order_count && MaySend(runner, SendKind::kReport);
  auto progress = OrderProgress::kIdle;
  if (needs_report) {
    progress = co_await ReadReport(runner, model);
  }
  // An order whose answer was lost is sent again once the target's report shows
  // that it is not in progress. The expected order count prevents the target
  // from executing both.
  int unanswered = 0;
  while (progress != OrderProgress::kFailed &&
         unanswered < kMaxUnansweredOrders && RuntimeClock::now() < deadline &&
         runner.VersionOf(model) < version) {
    const SendKind next = progress == OrderProgress::kIdle
                              ? OrderKind(runner, model)
                              : SendKind::kReport;
    if (!MaySend(runner, next)) break;
    if (progress == OrderProgress::kIdle) {
      progress = co_await SendOrder(runner, model, version);
      if (progress == OrderProgress::kUnknown) ++unanswered;
      continue;
    }
    co_await net::Sleep(kReportInterval);
    progress = co_await ReadReport(runner, model);
  }
}

awaitable<WeightsRollout::OrderProgress> WeightsRollout::SendOrder(
    Runner& runner, const std::string& model, std::uint64_t version) {
  constexpr int kAccepted = 202;
  constexpr int kAlreadyLoaded = 200;
  constexpr int kConflict = 409;
  constexpr int kStaleToken = 412;
  if (!lease_.IsHeld(BootClock::now())) co_return OrderProgress::kFailed;
  platform::WeightsOrder order;
  order.model = model;
  order.version = version;
  order.mode = platform::SwitchMode::kContinue;
  order.lease_holder = host_id_;
  order.fencing_token = lease_.token();
  order.expected_order_count = runner.order_count;
  net::Request request = platform::MakeTargetRequest(
      net::http::verb::post, platform::kOrderPath, platform::EncodeOrder(order),
      runner.entry.id);
  net::CallOptions options;
  options.connect_timeout = kOrderTimeout;
  options.answer_timeout = kOrderTimeout;
  options.total_timeout = 2 * kOrderTimeout;
  options.body_limit = kMaxReportBytes;
  // Answers to orders name no request; on a new connection only the order can
  // be answered.
  options.needs_new_connection = true;
  // The lease may end or be acquired anew while the connection is established.
  options.may_send = [this, token = order.fencing_token] {
    return lease_.IsHeld(BootClock::now()) && lease_.token() == token;
  };
  fleet_.WatchAnswers(runner, options);
  const auto now = RuntimeClock::now();
  if (runner.gate->pause().IsPaused(now)) runner.gate->pause().OnUrgentSent();
  runner.switching_until = now + kSwitchDuration;
  orders_.Add();
  peers_.AnnounceOrder(runner, model, version);
  auto answer =
      co_await client_.Call(runner.entry.address, std::move(request), options);
  const int status =
      answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
  if (answer.ok()) NotePause(runner, answer.value(), "order");
  telemetry::Log(Level::kInfo, telemetry::event::kOrderSent,
                 {{"target", runner.entry.id},
                  {"model", model},
                  {"version", version},
                  {"token", order.fencing_token},
                  {"expected_orders", order.expected_order_count.value_or(0)},
                  {"status", status},
                  {"message", answer.ok() ? "" : answer.error().message}});
  if (status == kAccepted) {
    co_await net::Sleep(kFirstReportDelay);
    co_return OrderProgress::kInProgress;
  }
  if (status == kAlreadyLoaded) {
    runner.RaiseVersion(model, version);
    co_return OrderProgress::kIdle;
  }
  order_failures_.Add();
  if (status == kStaleToken) lease_.Abandon();
  // A target that did not accept the order continues to serve.
  runner.switching_until = {};
  const bool is_unreachable =
      !answer.ok() && answer.error().verdict == Verdict::kNotRun;
  const bool is_withdrawn =
      !answer.ok() && answer.error().id == ErrorId::kTargetWithdrawn;
  if (is_unreachable && !is_withdrawn) runner.Suspect(RuntimeClock::now());
  if (!answer.ok() && !is_unreachable) co_return OrderProgress::kUnknown;
  co_return status == kConflict ? OrderProgress::kInProgress
                                : OrderProgress::kFailed;
}

awaitable<WeightsRollout::OrderProgress> WeightsRollout::ReadReport(
    Runner& runner, const std::string& model) {
  constexpr int kOk = 200;
  net::Request request = platform::MakeTargetRequest(
      net::http::verb::get, platform::kReportPath, "", runner.entry.id);
  net::CallOptions options;
  options.connect_timeout = kOrderTimeout;
  options.answer_timeout = kOrderTimeout;
  options.total_timeout = 2 * kOrderTimeout;
  options.body_limit = kMaxReportBytes;
  options.unstated_idle_limit = std::chrono::nanoseconds(0);
  fleet_.WatchAnswers(runner, options);
  auto answer =
      co_await client_.Call(runner.entry.address, std::move(request), options);
  if (!answer.ok()) {
    // A target that is loading may not answer; only a refused connection shows
    // that it is gone.
    co_return answer.error().verdict == Verdict::kNotRun
        ? OrderProgress::kFailed
        : OrderProgress::kInProgress;
  }
  NotePause(runner, answer.value(), "report");
  if (answer.value().result_int() != kOk) co_return OrderProgress::kFailed;
  auto report = platform::DecodeReport(answer.value().body());
  if (!report.ok()) {
    telemetry::Log(
        Level::kWarning, telemetry::event::kRecordIgnored,
        {{"target", runner.entry.id}, {"message", report.error().message}});
    co_return OrderProgress::kFailed;
  }
  runner.order_count = report.value().order_count;
  const auto weights = report.value().weights.find(model);
  if (weights != report.value().weights.end()) {
    runner.RaiseVersion(model, weights->second);
  }
  co_return report.value().is_order_in_progress ? OrderProgress::kInProgress
                                                : OrderProgress::kIdle;
}

}  // namespace beryllane::fleet
