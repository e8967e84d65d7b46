/// @file
/// Proxies between processes of one machine whose links fail on command.
#ifndef BERYLLANE_TESTS_SOAK_LOOPBACK_PROXIES_H_
#define BERYLLANE_TESTS_SOAK_LOOPBACK_PROXIES_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "src/net/address.h"
#include "src/net/runtime.h"

namespace beryllane::soak {

/// What happens to the bytes of a link.
enum class LinkFault {
  kNone,
  /// Each read is passed on late.
  kDelay,
  /// All connections are reset, and new ones as soon as they are accepted.
  kReset,
  /// What callers send stays in the proxy; the other way works.
  kCutToTarget,
  /// What the target sends stays in the proxy; the other way works.
  kCutToCaller,
  /// Nothing passes, and nothing is closed.
  kSilence,
};

/// TCP proxies on a thread of their own.
class LoopbackProxies {
 public:
  LoopbackProxies();
  ~LoopbackProxies();
  LoopbackProxies(const LoopbackProxies&) = delete;
  LoopbackProxies& operator=(const LoopbackProxies&) = delete;

  /// The address of the proxy of this name, which is made at the first call.
  /// @pre always the same `target` for one name. One thread.
  net::Address Add(const std::string& name, const net::Address& target);
  /// Changes a link, with the connections that are open. @pre `Add` was
  /// called for `name`. Thread-safe against the proxies' own thread.
  void SetFault(const std::string& name, LinkFault fault);

 private:
  struct Link;

  static net::asio::awaitable<void> Accept(std::shared_ptr<Link> link);
  static net::asio::awaitable<void> Serve(std::shared_ptr<Link> link,
                                          net::tcp::socket caller);
  static net::asio::awaitable<void> Pump(const Link& link,
                                         net::tcp::socket& from,
                                         net::tcp::socket& to, LinkFault cut);

  net::asio::io_context loop_{1};
  net::asio::executor_work_guard<net::asio::io_context::executor_type> guard_{
      loop_.get_executor()};
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace beryllane::soak

#endif  // BERYLLANE_TESTS_SOAK_LOOPBACK_PROXIES_H_
