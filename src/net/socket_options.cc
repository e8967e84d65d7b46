#include "src/net/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace beryllane::net {
namespace {

template <int kLevel, int kName>
using IntegerOption = asio::detail::socket_option::integer<kLevel, kName>;

// A peer that answers no probe for this long is gone.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

}  // namespace

void SetStreamOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeIdleSeconds),
                    ignored);
  socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeIntervalSeconds),
      ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(kProbeCount),
                    ignored);
  SetUnacknowledgedTimeout(socket, kUnacknowledgedTimeout);
  socket.non_blocking(true, ignored);
}

void SetUnacknowledgedTimeout(tcp::socket& socket,
                              std::chrono::milliseconds timeout) {
  error_code ignored;
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                        static_cast<int>(timeout.count())),
                    ignored);
}

}  // namespace beryllane::net
