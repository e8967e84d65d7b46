/// @file
/// Offers load at a given rate, whatever the answers do.
#ifndef BERYLLANE_SRC_LOAD_DRIVER_H_
#define BERYLLANE_SRC_LOAD_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/load/report.h"
#include "src/load/workload.h"
#include "src/net/address.h"

namespace beryllane::load {

/// How a run is made.
struct DriverOptions {
  /// Routers, or engines for a baseline without a router.
  std::vector<net::Address> targets;
  double rate = 10;
  std::chrono::milliseconds duration{10000};
  std::chrono::milliseconds timeout{30000};
  std::uint64_t seed = 1;
  int threads = 1;
  /// Progress goes to standard error this often; 0 is never.
  std::chrono::seconds progress_every{10};
};

/// Runs the load and returns what was measured, with all requests finished.
/// @pre targets is not empty, rate > 0.
Report RunLoad(const Workload& workload, const DriverOptions& options);

}  // namespace beryllane::load

#endif  // BERYLLANE_SRC_LOAD_DRIVER_H_
