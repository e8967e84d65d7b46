/// @file
/// Routers on the platform's stand-ins, as processes, for process tests.
#ifndef BERYLLANE_TESTS_SUPPORT_PLATFORM_FLEET_H_
#define BERYLLANE_TESTS_SUPPORT_PLATFORM_FLEET_H_

#include <functional>
#include <string>
#include <vector>

#include "tests/support/fleet.h"

namespace beryllane::testing {

/// Gives the address at which `name` is reached in place of its own.
using Relay =
    std::function<net::Address(const std::string& name, const net::Address&)>;

/// A store, three model runners, two plain service processes and routers.
/// Ended, by their ids, when destroyed.
class PlatformFleet {
 public:
  static constexpr int kRunners = 3;
  static constexpr int kDesks = 2;
  static constexpr const char* kHost = "shop.example";
  static constexpr const char* kKey = "key-of-workshop";
  static constexpr const char* kModel = "m1";
  /// Memory that a router's settings state.
  static constexpr int kMemoryMb = 100;

  /// With `relay`, routers reach each target and the store (as
  /// `store-of-router-N`) where it says, and targets write `TargetLog`.
  /// `older_weights_lifetime` bounds the time for which runs may begin on older
  /// weights. @pre `routers` > 0.
  explicit PlatformFleet(int routers = 1, Relay relay = nullptr,
                         std::chrono::milliseconds older_weights_lifetime =
                             std::chrono::milliseconds(8000));

  /// A runner's whole stream, or what is left of it from event `from` on.
  static std::string WholeStream(int from = 1);
  /// The configuration that the fleet starts with, of version 1.
  static nlohmann::json FirstConfig();
  /// Writes a record into the store. @pre none.
  void Put(const std::string& topic, const std::string& key,
           const nlohmann::json& value) const;
  /// Changes the store's faults; its counts. @pre none.
  nlohmann::json ControlStore(const nlohmann::json& change) const {
    return ControlAt(store_control_, change);
  }
  /// Changes a model runner's faults; what it saw. @pre runner `i` was started.
  nlohmann::json ControlRunner(int i, const nlohmann::json& change) const {
    return ControlAt(runner_controls_[i], change);
  }
  /// Changes a plain service's faults; what it saw. @pre `i` < kDesks.
  nlohmann::json ControlDesk(int i, const nlohmann::json& change) const {
    return ControlAt(desk_controls_[i], change);
  }
  /// Runs of one request at all targets together. @pre none.
  int RunsOf(const std::string& request_id) const;
  /// Runs of all requests at one model runner. @pre runner `i` was started.
  int RunsAtRunner(int i) const;

  /// Sends a request of a caller. @pre none.
  Result<net::Response> Send(int router, const std::string& path,
                             const std::string& id, Headers headers = {},
                             const std::string& body = "body",
                             const std::string& key = kKey) const;
  /// Sends a request with a shared prompt, which is answered by a stream.
  /// @pre none.
  Result<net::Response> Ask(int router, const std::string& path,
                            const std::string& id, Headers headers = {}) const;
  /// Sends a request with the prompt parts `parts`, as ID:TOKENS entries.
  /// @pre none.
  Result<net::Response> AskPrompt(int router, const std::string& path,
                                  const std::string& id,
                                  const std::string& parts,
                                  Headers headers = {}) const;
  /// Status of a router's readiness; 0 where it does not answer. @pre none.
  int ReadyStatus(int router) const;
  /// A counter of a router. @pre none.
  double Metric(int router, const std::string& prefix) const;
  /// Starts a router, again if it was ended. @pre none.
  void StartRouter(int i);
  /// The same without writing its settings file, and through the program and
  /// arguments of `wrapper`, if any. @pre none.
  void LaunchRouter(int i, std::vector<std::string> wrapper = {});
  /// Starts a further model runner; its index. @pre none.
  int AddRunner();
  /// Starts a model runner again under its id. @pre it was ended.
  void StartRunner(int i);
  /// Starts a plain service again under its id. @pre it was ended.
  void StartDesk(int i);
  /// The settings that a router starts with. @pre none.
  std::string SettingsOf(int i) const;
  /// Replaces a router's settings file. @pre none.
  void WriteSettings(int i, const std::string& text) const;
  bool WaitReady(int i) const;

  Process& router(int i) { return routers_[i]; }
  Process& runner(int i) { return runners_[i]; }
  Process& desk(int i) { return desks_[i]; }
  Process& store() { return store_; }
  const net::Address& router_address(int i) const { return router_ports_[i]; }
  /// Where a router answers readiness checks. @pre none.
  const net::Address& ready_address(int i) const { return ready_ports_[i]; }
  /// Where a router listens to others; its relay has the next port. @pre none.
  const net::Address& peer_address(int i) const { return peer_ports_[i]; }
  /// A router's settings file. @pre none.
  std::string SettingsPath(int i) const;
  /// Where a model runner listens. @pre `i` < kRunners.
  const net::Address& runner_address(int i) const { return runner_ports_[i]; }
  /// What a router logged. @pre none.
  std::string LogOf(int router) const;
  /// Runs and orders of one target, a JSON object a line, from its start on.
  /// @pre the fleet has a relay.
  std::vector<nlohmann::json> TargetLog(const std::string& target) const;
  /// Folder of all logs. @pre none.
  const std::string& directory() const { return directory_; }

 private:
  std::vector<std::string> TargetArguments(const std::string& id,
                                           const net::Address& listen) const;

  std::string directory_;
  Relay relay_;
  std::chrono::milliseconds older_weights_lifetime_;
  net::Address store_address_ = FreeAddress();
  net::Address store_control_ = FreeAddress();
  Process store_;
  std::vector<net::Address> runner_ports_;
  std::vector<net::Address> runner_controls_;
  std::vector<Process> runners_;
  std::vector<net::Address> desk_ports_;
  std::vector<net::Address> desk_controls_;
  std::vector<Process> desks_;
  std::vector<net::Address> router_ports_;
  std::vector<net::Address> ready_ports_;
  std::vector<net::Address> peer_ports_;
  std::vector<net::Address> metrics_ports_;
  std::vector<net::Address> store_ports_;
  std::vector<Process> routers_;
};

}  // namespace beryllane::testing

#endif  // BERYLLANE_TESTS_SUPPORT_PLATFORM_FLEET_H_
