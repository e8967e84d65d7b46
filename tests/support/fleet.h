/// @file
/// Starts the programs as processes and calls them, for process tests.
#ifndef BERYLLANE_TESTS_SUPPORT_FLEET_H_
#define BERYLLANE_TESTS_SUPPORT_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "beryllane/error/error.h"
#include "src/net/address.h"
#include "src/net/http_types.h"

namespace beryllane::testing {

/// One running program. Ended, by its id, when destroyed.
class Process {
 public:
  Process() = default;
  /// Starts `path` with `arguments`; output goes to `log_file`. @pre the
  /// program exists.
  Process(const std::string& path, const std::vector<std::string>& arguments,
          const std::string& log_file);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  /// Sends a signal. @pre running.
  void Signal(int signal) const;
  /// Processor time that it has used. @pre running.
  std::chrono::nanoseconds ProcessorTime() const;
  /// Ends the process at once. @pre none.
  void Kill();
  /// Waits for the process to end by itself; its exit code, or -1.
  int Wait();
  /// The exit code of a process that has ended, or the negative number of the
  /// signal that ended it; nothing while it runs. @pre started, and not waited
  /// for.
  std::optional<int> EndedWith();
  /// Whether it was started and not waited for. @pre none.
  bool is_running() const { return pid_ > 0; }

 private:
  pid_t pid_ = -1;
};

/// An address that no other test process uses. @pre none.
net::Address FreeAddress();

/// Calls a stand-in's control port; null where it does not answer. @pre none.
nlohmann::json ControlAt(const net::Address& address,
                         const nlohmann::json& change);

/// Sum of a process's series whose names begin with `prefix`; 0 where it does
/// not answer. @pre none.
double ReadMetric(const net::Address& address, const std::string& prefix);

/// A header to send.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Sends a request and waits for the whole answer. @pre none. Thread-safe.
Result<net::Response> Call(
    const net::Address& address, net::http::verb method,
    const std::string& target, const std::string& body = "",
    const Headers& headers = {},
    std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// Sends raw bytes and returns all that comes back until the other end
/// closes, or `timeout` passes. @pre none. Thread-safe.
std::string CallRaw(const net::Address& address, const std::string& bytes,
                    std::chrono::milliseconds timeout);

/// A header's value in an answer. @pre none.
std::string HeaderOf(const net::Response& answer, const std::string& name);

/// Polls until `is_true`, for at most a minute; false if it never was.
bool Eventually(const std::function<bool()>& is_true);

/// A platform, engines, a service and routers on free ports.
class Fleet {
 public:
  /// Starts everything and waits until the routers are ready. Extra arguments
  /// go to each engine and router.
  Fleet(int routers, int engines,
        std::vector<std::string> engine_arguments = {},
        std::vector<std::string> router_arguments = {});

  /// The bearer key of the account in the configuration. @pre none.
  static constexpr const char* kKey = "workshop-demo-key";

  /// Starts router `i` again, or for the first time. @pre it is not running.
  void StartRouter(int i);
  /// Waits until router `i` is ready. @pre none.
  bool WaitReady(int i) const;
  /// The router process. @pre `i` < routers.
  Process& router(int i) { return routers_[static_cast<std::size_t>(i)]; }
  /// The engine process. @pre `i` < engines.
  Process& engine(int i) { return engines_[static_cast<std::size_t>(i)]; }
  net::Address router_address(int i) const { return router_ports_.at(i); }
  net::Address admin_address(int i) const { return admin_ports_.at(i); }

  /// Sends a streamed or plain completion of `tokens` tokens.
  Result<net::Response> Complete(int router, const std::string& prompt,
                                 int tokens, bool is_stream,
                                 const Headers& headers = {}) const;
  /// Books with a key through a router.
  Result<net::Response> Book(int router, const std::string& key,
                             const std::string& body = "{}",
                             const Headers& headers = {}) const;
  /// Changes faults of an engine, the platform or the service.
  nlohmann::json ControlEngine(int i, const nlohmann::json& change) const;
  nlohmann::json ControlPlatform(const nlohmann::json& change) const;
  nlohmann::json ControlService(const nlohmann::json& change) const;
  /// Appends a change to the configuration stream.
  void Publish(std::uint64_t base, const nlohmann::json& patch,
               const std::string& id) const;
  /// Puts a host into the host list.
  void PutHost(const std::string& id, const nlohmann::json& host) const;
  /// A router's status. Null if it does not answer.
  nlohmann::json StatusOf(int router) const;
  /// The sum of a metric's series whose name starts with `prefix`.
  double Metric(int router, const std::string& prefix) const;
  /// The entry of an engine in the host list.
  nlohmann::json EngineHost(int i, const std::string& state) const;
  /// A new idempotency key.
  static std::string NewKey(const std::string& name);

 private:
  std::string LogFile(const std::string& name) const;

  std::string directory_;
  std::vector<std::string> router_arguments_;
  net::Address platform_address_;
  net::Address platform_control_;
  net::Address service_address_;
  net::Address service_control_;
  std::vector<net::Address> engine_ports_;
  std::vector<net::Address> engine_controls_;
  std::vector<net::Address> router_ports_;
  std::vector<net::Address> admin_ports_;
  std::vector<net::Address> peer_ports_;
  Process platform_;
  Process service_;
  std::vector<Process> engines_;
  std::vector<Process> routers_;
};

/// The example configuration. @pre the tests run in the source tree.
nlohmann::json ExampleConfig();

/// The text that an engine stand-in's stream carries, without the request's
/// id, so that answers to one prompt can be compared.
std::string StreamText(const std::string& events);

}  // namespace beryllane::testing

#endif  // BERYLLANE_TESTS_SUPPORT_FLEET_H_
