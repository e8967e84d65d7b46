#include "tests/soak/loopback_proxies.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "tests/support/fleet.h"

namespace beryllane::soak {
namespace {

using net::tcp;
using net::asio::awaitable;
using std::chrono::milliseconds;

// Longer than the rounds of the loopback, shorter than any deadline.
constexpr milliseconds kDelay{150};
// How often a link looks whether its fault has changed.
constexpr milliseconds kFaultPoll{20};

tcp::endpoint EndpointOf(const net::Address& address) {
  return {net::asio::ip::make_address(address.ip), address.port};
}

void Reset(tcp::socket& socket) {
  net::error_code code;
  socket.set_option(net::asio::socket_base::linger(true, 0), code);
  // A connection that is closed already needs no reset.
  socket.close(code);
}

}  // namespace

struct LoopbackProxies::Link {
  Link(net::asio::io_context& loop, const net::Address& listen,
       net::Address target_address)
      : target(std::move(target_address)), acceptor(loop, EndpointOf(listen)) {}

  net::Address target;
  tcp::acceptor acceptor;
  std::atomic<LinkFault> fault{LinkFault::kNone};
};

LoopbackProxies::LoopbackProxies() : thread_([this] { loop_.run(); }) {}

LoopbackProxies::~LoopbackProxies() {
  loop_.stop();
  thread_.join();
}

net::Address LoopbackProxies::Add(const std::string& name,
                                  const net::Address& target) {
  const auto known = links_.find(name);
  if (known != links_.end()) {
    const auto at = known->second->acceptor.local_endpoint();
    return {at.address().to_string(), at.port()};
  }
  net::Address listen = testing::FreeAddress();
  auto link = std::make_shared<Link>(loop_, listen, target);
  links_[name] = link;
  net::asio::co_spawn(loop_, Accept(std::move(link)), net::asio::detached);
  return listen;
}

void LoopbackProxies::SetFault(const std::string& name, LinkFault fault) {
  links_.at(name)->fault = fault;
}

awaitable<void> LoopbackProxies::Accept(std::shared_ptr<Link> link) {
  const auto executor = co_await net::asio::this_coro::executor;
  for (;;) {
    auto [code, socket] = co_await link->acceptor.async_accept(net::kAsTuple);
    if (code) co_return;
    net::asio::co_spawn(executor, Serve(link, std::move(socket)),
                        net::asio::detached);
  }
}

awaitable<void> LoopbackProxies::Serve(std::shared_ptr<Link> link,
                                       tcp::socket caller) {
  using net::asio::experimental::awaitable_operators::operator||;
  tcp::socket target(co_await net::asio::this_coro::executor);
  const auto [code] =
      co_await target.async_connect(EndpointOf(link->target), net::kAsTuple);
  if (code) {
    Reset(caller);
    co_return;
  }
  co_await (Pump(*link, caller, target, LinkFault::kCutToTarget) ||
            Pump(*link, target, caller, LinkFault::kCutToCaller));
  if (link->fault == LinkFault::kReset) {
    Reset(caller);
    Reset(target);
  }
}

awaitable<void> LoopbackProxies::Pump(const Link& link, tcp::socket& from,
                                      tcp::socket& to, LinkFault cut) {
  using net::asio::experimental::awaitable_operators::operator||;
  constexpr std::size_t kBuffer = 16384;
  std::array<char, kBuffer> buffer{};
  from.non_blocking(true);
  for (;;) {
    const LinkFault fault = link.fault;
    if (fault == LinkFault::kReset) co_return;
    if (fault == cut || fault == LinkFault::kSilence) {
      co_await net::Sleep(kFaultPoll);
      continue;
    }
    // A wait that is given up consumes no bytes, as a read might.
    co_await (from.async_wait(tcp::socket::wait_read, net::kAsTuple) ||
              net::Sleep(kFaultPoll));
    net::error_code code;
    const std::size_t size = from.read_some(net::asio::buffer(buffer), code);
    if (code == net::asio::error::would_block) continue;
    if (code) co_return;
    if (fault == LinkFault::kDelay) {
      co_await net::Sleep(kDelay);
    }
    const auto written = co_await net::asio::async_write(
        to, net::asio::buffer(buffer.data(), size), net::kAsTuple);
    if (std::get<0>(written)) co_return;
  }
}

}  // namespace beryllane::soak
