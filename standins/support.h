/// @file
/// What the stand-ins share: JSON answers, query strings and start-up.
#ifndef BERYLLANE_STANDINS_SUPPORT_H_
#define BERYLLANE_STANDINS_SUPPORT_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/net/http_server.h"

namespace beryllane::standins {

/// A request's path and query parameters.
struct ParsedTarget {
  std::string path;
  std::map<std::string, std::string> query;

  /// A parameter as a number, or `fallback`. @pre none.
  std::int64_t Number(const std::string& name, std::int64_t fallback) const;
};

/// Splits a request's target. @pre none. Thread-safe.
ParsedTarget ParseTarget(std::string_view target);

/// Makes a JSON answer. @pre none. Thread-safe.
net::Response JsonAnswer(int status, const nlohmann::json& body);

/// A server on one loop, and a second one for the control port.
struct ServerSpec {
  std::string listen;
  std::string control_listen;
  net::Handler handler;
  net::Handler control;
};

/// Serves until SIGINT or SIGTERM; returns the exit code. `started` runs on
/// the loop once the ports are open. @pre called once, from main.
int RunServers(net::ContextPool& pool, const ServerSpec& spec,
               const std::function<void()>& started);

/// Suspends for good, as a process does that lost track of its connection.
net::asio::awaitable<void> StaySilent();

}  // namespace beryllane::standins

#endif  // BERYLLANE_STANDINS_SUPPORT_H_
