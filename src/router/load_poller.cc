#include "src/router/load_poller.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "beryllane/hash/hash.h"
#include "src/net/spawn.h"

namespace beryllane::router {
namespace {

using net::asio::awaitable;
using nlohmann::json;

std::uint32_t UnsignedField(const json& body, const char* name) {
  const auto it = body.find(name);
  if (it == body.end() || !it->is_number()) return 0;
  const double value = it->get<double>();
  constexpr double kMaxValue = 4e9;
  return value > 0 && value < kMaxValue ? static_cast<std::uint32_t>(value) : 0;
}

std::uint64_t Incarnation(const json& body) {
  const auto it = body.find("incarnation");
  if (it == body.end() || !it->is_string()) return 0;
  const auto& text = it->get_ref<const std::string&>();
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

}  // namespace

LoadPoller::LoadPoller(net::HttpClient& client, const Settings& settings,
                       const Directory& directory, MetricRegistry& metrics)
    : client_(client),
      host_id_(settings.host_id),
      directory_(directory),
      polls_(metrics.GetCounter("beryllane_load_polls_total",
                                "Load reports asked of runners")),
      failures_(metrics.GetCounter("beryllane_load_poll_failures_total",
                                   "Load reports that did not arrive")) {}

awaitable<void> LoadPoller::Run() {
  for (;;) {
    co_await PollAll();
    co_await net::Sleep(kInterval);
  }
}

bool LoadPoller::IsAssignedHere(const std::string& runner) const {
  const auto state = directory_.state_cell().Load();
  const Peer* owner = OwnerOf(*state, HashBytes(runner));
  return owner != nullptr && owner->id == host_id_;
}

awaitable<void> LoadPoller::PollAll() {
  const auto executor = co_await net::asio::this_coro::executor;
  for (const auto& [id, target] : directory_.targets()) {
    if (target.host.role != platform::HostRole::kRunner) continue;
    if (!IsAssignedHere(id)) continue;
    net::Spawn(executor, "load", Poll(target));
  }
}

awaitable<void> LoadPoller::Poll(Target target) {
  polls_.Add();
  net::Request request = net::MakeRequest(net::http::verb::get, "/load");
  net::CallOptions options;
  options.connect_timeout = kInterval;
  options.answer_timeout = kInterval;
  options.total_timeout = 2 * kInterval;
  auto response =
      co_await client_.Call(target.host.address, std::move(request), options);
  if (!response.ok()) {
    failures_.Add();
    target.load->Suspect(RuntimeClock::now() + kTargetBackoff);
    co_return;
  }
  const json body = json::parse(response.value().body(), nullptr, false);
  if (!body.is_object()) co_return;
  target.load->ClearSuspicion();
  const placement::LoadReport report{
      UnsignedField(body, "queued_tokens"), UnsignedField(body, "running"),
      UnsignedField(body, "prefill_tokens_per_second"), RuntimeClock::now()};
  target.load->ApplyReport(report);
  const std::uint64_t incarnation = Incarnation(body);
  if (incarnation != 0) target.load->set_incarnation(incarnation);
}

}  // namespace beryllane::router
