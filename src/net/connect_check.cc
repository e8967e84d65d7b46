#include "src/net/connect_check.h"

#include "src/net/watchdog.h"

namespace beryllane::net {

asio::awaitable<bool> IsConnectionRefused(Address address,
                                          std::chrono::nanoseconds timeout) {
  error_code code;
  const tcp::endpoint endpoint(asio::ip::make_address(address.ip, code),
                               address.port);
  tcp::socket socket(co_await asio::this_coro::executor);
  Watchdog watchdog(socket);
  watchdog.Arm(timeout);
  const auto [connect_code] = co_await socket.async_connect(endpoint, kAsTuple);
  co_return connect_code == asio::error::connection_refused;
}

}  // namespace beryllane::net
