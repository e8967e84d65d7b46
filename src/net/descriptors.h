/// @file
/// The process's limit on open descriptors and how it is shared out.
#ifndef BERYLLANE_SRC_NET_DESCRIPTORS_H_
#define BERYLLANE_SRC_NET_DESCRIPTORS_H_

#include <cstddef>

namespace beryllane::net {

/// Raises the soft limit on open descriptors to `wanted`, as far as the hard
/// limit allows. Returns how many the process may use: the limit in force, and
/// at most `wanted`. @pre `wanted` > 0. Not thread-safe.
std::size_t RaiseDescriptorLimit(std::size_t wanted);

/// Connections that callers may have open of `descriptors`. The others are for
/// targets, the store, other routers and files. @pre none. Thread-safe.
std::size_t CallerConnections(std::size_t descriptors);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_DESCRIPTORS_H_
