#include "src/net/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace beryllane::net {

std::size_t RaiseDescriptorLimit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  if (limit.rlim_cur < wanted) {
    rlimit raised = limit;
    raised.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0) limit = raised;
  }
  return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, wanted));
}

std::size_t CallerConnections(std::size_t descriptors) {
  // For the loop, the listeners, the store and the connections between routers.
  constexpr std::size_t kReserved = 32;
  constexpr std::size_t kCallerParts = 2;
  constexpr std::size_t kParts = 3;
  const std::size_t shared =
      descriptors > kReserved ? descriptors - kReserved : 0;
  return std::max<std::size_t>(1, shared * kCallerParts / kParts);
}

}  // namespace beryllane::net
