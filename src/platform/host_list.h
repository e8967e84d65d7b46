/// @file
/// The platform's host list.
#ifndef BERYLLANE_SRC_PLATFORM_HOST_LIST_H_
#define BERYLLANE_SRC_PLATFORM_HOST_LIST_H_

#include <string>
#include <vector>

#include "src/net/http_client.h"

namespace beryllane::platform {

/// What a host is for.
enum class HostRole { kRouter, kRunner, kService };

/// One host of the list.
struct Host {
  std::string id;
  HostRole role = HostRole::kRunner;
  /// Pool of a runner or service host.
  std::string pool;
  std::string zone;
  net::Address address;
  /// Router hosts: where peers reach them.
  std::string peer_address;
  bool is_leaving = false;

  friend bool operator==(const Host&, const Host&) = default;
};

/// Fetches the list. Entries that cannot be read are left out, so that one
/// wrong entry does not hide the others. @pre on the client's loop.
net::asio::awaitable<Result<std::vector<Host>>> FetchHosts(
    net::HttpClient& client, net::Address address);

/// Parses the answer of the host list. @pre none. Thread-safe.
Result<std::vector<Host>> ParseHosts(const std::string& body);

/// Writes hosts in the form that `ParseHosts` reads. @pre none. Thread-safe.
std::string HostsText(const std::vector<Host>& hosts);

}  // namespace beryllane::platform

#endif  // BERYLLANE_SRC_PLATFORM_HOST_LIST_H_
