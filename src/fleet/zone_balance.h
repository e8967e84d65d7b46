/// @file
/// Shares of the requests that leave this router's zone, by service.
#ifndef BERYLLANE_SRC_FLEET_ZONE_BALANCE_H_
#define BERYLLANE_SRC_FLEET_ZONE_BALANCE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/metrics/registry.h"
#include "beryllane/placement/zone_spill.h"

namespace beryllane::fleet {

/// Identifies a zone or a region. @pre none. Thread-safe.
std::uint32_t ZoneHash(const std::string& name);

/// This router's zone and the regions of the others.
struct ZoneMap {
  const std::string& availability_zone;
  const std::string& region;
  const std::map<std::string, std::string>& region_of_zone;
};

/// What an update takes from one target of a service.
struct ZoneTarget {
  const std::string* zone = nullptr;
  /// Requests that it can run at once; 0 if it is not usable.
  double slots = 0;
  /// Requests that run or wait at it.
  double load = 0;
  std::chrono::nanoseconds wait{};
  RuntimeClock::time_point last_received_at;
};

/// Where a request should be served.
struct ZoneChoice {
  /// Hash of the other zone; `nullopt` for this router's own zone.
  std::optional<std::uint32_t> away;
  /// Of the link to that zone.
  std::chrono::duration<double, std::milli> round_trip{};
};

/// Owns one `ZoneSpill` per service. Used only on the router's loop; not
/// thread-safe.
class ZoneBalance {
 public:
  /// Minimum time between updates of a service.
  static constexpr std::chrono::milliseconds kInterval{200};

  /// A message of another router was received. @pre routers are numbered from a
  /// small number.
  void OnRouterHeard(std::uint32_t router, const std::string& zone,
                     RuntimeClock::time_point now);
  /// Whether the shares of a service should be updated. @pre none.
  bool IsDue(const std::string& service, RuntimeClock::time_point now) const;
  /// Updates the shares of a service from the state of its targets. @pre the
  /// zone of each target is not null. Complexity: linear in the number of
  /// targets and routers.
  void Update(const std::string& service, const ZoneMap& zones,
              const std::vector<ZoneTarget>& targets,
              RuntimeClock::time_point now);
  /// The zone for a request with this hash; the same while the shares stand.
  /// `goal` is the desired time to its answer. @pre none. Complexity:
  /// logarithmic in the number of services, linear in that of zones.
  ZoneChoice ZoneOf(const std::string& service, std::uint64_t hash,
                    std::chrono::nanoseconds goal);
  /// Share of a service's requests that goes to a zone, 0 to 1. @pre none.
  double ShareOf(const std::string& service, const std::string& zone) const;
  /// Sets one gauge per zone to the largest share of any service. @pre always
  /// called with the same registry.
  void Export(MetricRegistry& metrics) const;

 private:
  struct ServiceState {
    placement::ZoneSpill spill;
    std::optional<RuntimeClock::time_point> updated_at;
    std::vector<placement::ZoneState> others;
    // Shortest goal of the requests since the last update.
    std::optional<std::chrono::nanoseconds> shortest_goal;
    std::chrono::nanoseconds goal{};
  };
  struct Router {
    std::uint32_t zone = 0;
    std::optional<RuntimeClock::time_point> heard_at;
  };

  // Adds what was heard of the zone's routers.
  void AddRouters(placement::ZoneState& state,
                  RuntimeClock::time_point now) const;

  std::map<std::string, ServiceState> services_;
  // By number.
  std::vector<Router> routers_;
  // Other zones that were ever listed, for the gauges.
  std::map<std::uint32_t, std::string> names_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_ZONE_BALANCE_H_
