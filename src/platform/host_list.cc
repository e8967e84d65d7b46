#include "src/platform/host_list.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace beryllane::platform {
namespace {

using nlohmann::json;

std::optional<HostRole> ParseRole(const std::string& text) {
  if (text == "router") return HostRole::kRouter;
  if (text == "runner") return HostRole::kRunner;
  if (text == "service") return HostRole::kService;
  return std::nullopt;
}

const char* RoleName(HostRole role) {
  switch (role) {
    case HostRole::kRouter:
      return "router";
    case HostRole::kRunner:
      return "runner";
    case HostRole::kService:
      return "service";
  }
  return "runner";
}

std::string GetString(const json& entry, const char* name) {
  const auto it = entry.find(name);
  if (it == entry.end() || !it->is_string()) return "";
  return it->get<std::string>();
}

std::optional<Host> ParseHost(const json& entry) {
  if (!entry.is_object()) return std::nullopt;
  const auto role = ParseRole(GetString(entry, "role"));
  const auto address = net::ParseAddress(GetString(entry, "address"));
  if (!role || !address || GetString(entry, "id").empty()) return std::nullopt;
  return Host{GetString(entry, "id"),
              *role,
              GetString(entry, "pool"),
              GetString(entry, "zone"),
              *address,
              GetString(entry, "peer_address"),
              GetString(entry, "state") == "leaving"};
}

Error HostListError(std::string message) {
  return {ErrorId::kHostListUnavailable, std::move(message), Verdict::kNotRun};
}

}  // namespace

Result<HostList> ParseHosts(const std::string& body) {
  const json response = json::parse(body, nullptr, false);
  if (!response.is_object() || !response.contains("hosts")) {
    return HostListError("invalid host list response: no field \"hosts\"");
  }
  HostList list;
  const auto version = response.find("version");
  if (version != response.end() && version->is_number_unsigned()) {
    list.version = version->get<std::uint64_t>();
  }
  for (const json& entry : response["hosts"]) {
    if (auto host = ParseHost(entry)) list.hosts.push_back(std::move(*host));
  }
  return list;
}

std::string SerializeHosts(const std::vector<Host>& hosts) {
  json list = json::array();
  for (const Host& host : hosts) {
    list.push_back({{"id", host.id},
                    {"role", RoleName(host.role)},
                    {"pool", host.pool},
                    {"zone", host.zone},
                    {"address", net::ToString(host.address)},
                    {"peer_address", host.peer_address},
                    {"state", host.is_leaving ? "leaving" : "live"}});
  }
  return json{{"hosts", list}}.dump();
}

net::asio::awaitable<Result<std::optional<HostList>>> FetchHosts(
    net::HttpClient& client, net::Address address,
    std::optional<std::uint64_t> known_version) {
  constexpr int kOk = 200;
  constexpr int kNotModified = 304;
  std::string target = "/v1/hosts";
  if (known_version) target += "?known=" + std::to_string(*known_version);
  net::Request request = net::MakeRequest(net::http::verb::get, target);
  net::CallOptions options;
  options.answer_timeout = std::chrono::seconds(2);
  options.total_timeout = std::chrono::seconds(5);
  auto response =
      co_await client.Call(std::move(address), std::move(request), options);
  if (!response.ok()) co_return HostListError(response.error().message);
  const int status = static_cast<int>(response.value().result_int());
  if (status == kNotModified) co_return std::optional<HostList>();
  if (status != kOk) {
    co_return HostListError("the host list answered with status " +
                            std::to_string(status));
  }
  auto list = ParseHosts(response.value().body());
  if (!list.ok()) co_return list.error();
  co_return std::optional<HostList>(std::move(list.value()));
}

}  // namespace beryllane::platform
