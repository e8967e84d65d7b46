/// @file
/// Tells a process that has ended from one that broke off a single answer.
#ifndef BERYLLANE_SRC_NET_CONNECT_CHECK_H_
#define BERYLLANE_SRC_NET_CONNECT_CHECK_H_

#include <chrono>

#include "src/net/address.h"
#include "src/net/runtime.h"

namespace beryllane::net {

/// Whether a host refuses connections to `address`, so that nothing listens
/// there; false if the connection is accepted or nothing answers within
/// `timeout`. @pre `address.ip` is an IP address.
asio::awaitable<bool> IsConnectionRefused(Address address,
                                          std::chrono::nanoseconds timeout);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_CONNECT_CHECK_H_
