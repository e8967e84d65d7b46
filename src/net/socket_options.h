/// @file
/// Options of every connection.
#ifndef BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_
#define BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_

#include <chrono>

#include "src/net/runtime.h"

namespace beryllane::net {

/// Turns off delays and lets the kernel end a connection whose peer has
/// vanished without a reset. Options that the system lacks are passed over.
/// @pre `socket` is open. Not thread-safe.
void SetStreamOptions(tcp::socket& socket);

/// Bytes that a peer takes even if its program reads none.
inline constexpr std::size_t kWindowBytes = 32 * 1024;

/// How long sent bytes may stay unacknowledged at first.
inline constexpr std::chrono::milliseconds kUnacknowledgedTimeout{3000};

/// Sets how long sent bytes may stay unacknowledged before the kernel ends the
/// connection. A peer whose window is full acknowledges none, so whoever sends
/// more than `kWindowBytes` has to allow as long as it may be slow. @pre
/// `socket` is open. Not thread-safe.
void SetUnacknowledgedTimeout(tcp::socket& socket,
                              std::chrono::milliseconds timeout);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_
