/// @file
/// Client of the platform's host list.
#ifndef BERYLLANE_SRC_PLATFORM_HOST_LIST_H_
#define BERYLLANE_SRC_PLATFORM_HOST_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/net/http_client.h"

namespace beryllane::platform {

/// What a host runs.
enum class HostRole { kRouter, kRunner, kService };

/// One host of the list.
struct Host {
  std::string id;
  HostRole role = HostRole::kRunner;
  /// Pool of a runner or service host.
  std::string pool;
  std::string zone;
  net::Address address;
  /// Address for requests of peers; only for router hosts.
  std::string peer_address;
  bool is_leaving = false;

  friend bool operator==(const Host&, const Host&) = default;
};

/// One version of the host list.
struct HostList {
  std::uint64_t version = 0;
  std::vector<Host> hosts;
};

/// Fetches the list unless its version is still `known_version`; `nullopt`
/// means that it is. Entries that cannot be read are left out, so that one
/// wrong entry does not hide the others. @pre on the client's loop.
net::asio::awaitable<Result<std::optional<HostList>>> FetchHosts(
    net::HttpClient& client, net::Address address,
    std::optional<std::uint64_t> known_version);

/// Parses the body of a host list response. Entries that cannot be read are
/// left out. @pre none. Thread-safe.
Result<HostList> ParseHosts(const std::string& body);

/// Serializes hosts to the JSON format that `ParseHosts` reads. @pre none.
/// Thread-safe.
std::string SerializeHosts(const std::vector<Host>& hosts);

}  // namespace beryllane::platform

#endif  // BERYLLANE_SRC_PLATFORM_HOST_LIST_H_
