/// @file
/// Options of every connection.
#ifndef BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_
#define BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_

#include "src/net/runtime.h"

namespace beryllane::net {

/// Turns off delays and lets the kernel end a connection whose peer has
/// vanished without a reset. Options that the system lacks are passed over.
/// @pre `socket` is open. Not thread-safe.
void SetStreamOptions(tcp::socket& socket);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_SOCKET_OPTIONS_H_
