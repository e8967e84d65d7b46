#include "standins/support.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>

#include "fmt/format.h"
#include "src/net/percent_encoding.h"

namespace beryllane::standins {
namespace {

net::Response FormatRejection(const Error& error) {
  return JsonAnswer(HttpStatus(error.id), {{"error", error.message}});
}

bool Listen(net::HttpServer& server, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) {
    std::fputs(fmt::format("\"{}\" is not ip:port\n", text).c_str(), stderr);
    return false;
  }
  const auto bound = server.Listen(*address);
  if (bound.ok()) return true;
  std::fputs((bound.error().message + "\n").c_str(), stderr);
  return false;
}

}  // namespace

std::int64_t ParsedTarget::Number(const std::string& name,
                                  std::int64_t fallback) const {
  const auto it = query.find(name);
  if (it == query.end()) return fallback;
  return std::strtoll(it->second.c_str(), nullptr, 10);
}

ParsedTarget ParseTarget(std::string_view target) {
  ParsedTarget parsed;
  const std::size_t mark = target.find('?');
  parsed.path = target.substr(0, mark);
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      std::string value(pair.substr(equals + 1));
      std::replace(value.begin(), value.end(), '+', ' ');
      parsed.query[std::string(pair.substr(0, equals))] =
          net::PercentDecode(value);
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return parsed;
}

net::Response JsonAnswer(int status, const nlohmann::json& body) {
  return net::MakeResponse(status, body.dump() + "\n", "application/json");
}

net::asio::awaitable<void> StaySilent() {
  constexpr std::chrono::hours kForGood{24};
  co_await net::Sleep(kForGood);
}

int RunServers(net::ContextPool& pool, const ServerSpec& spec,
               const std::function<void()>& started) {
  net::ServerLimits limits;
  limits.body_bytes = 64 * 1024 * 1024;
  limits.allows_second_answer = true;
  net::HttpServer server(pool, limits, spec.handler, FormatRejection);
  net::HttpServer control(pool, limits, spec.control, FormatRejection);
  if (!Listen(server, spec.listen)) return 2;
  if (!spec.control_listen.empty() && !Listen(control, spec.control_listen)) {
    return 2;
  }
  net::asio::signal_set signals(pool.at(0), SIGINT, SIGTERM);
  signals.async_wait([&pool](const net::error_code&, int) { pool.Stop(); });
  started();
  pool.Start();
  pool.Join();
  return 0;
}

}  // namespace beryllane::standins
