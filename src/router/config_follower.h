/// @file
/// Follows the configuration stream and relays it.
#ifndef BERYLLANE_SRC_ROUTER_CONFIG_FOLLOWER_H_
#define BERYLLANE_SRC_ROUTER_CONFIG_FOLLOWER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "beryllane/configlog/config_log.h"
#include "beryllane/metrics/registry.h"
#include "src/config/config.h"
#include "src/platform/log_client.h"

namespace beryllane::router {

/// Name of the stream that holds the configuration.
inline constexpr const char* kConfigStream = "config";

/// Applies records from the log and from peers. Used on the control loop.
class ConfigFollower {
 public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const config::Config>)>;

  /// @pre `stream` and `metrics` outlive the follower.
  ConfigFollower(platform::HttpLogStream& stream, MetricRegistry& metrics,
                 std::chrono::milliseconds retention, ChangeHandler on_change);

  /// Tails the log for ever. @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Publishes the state anew before the log truncates it; `rank` spreads the
  /// routers' attempts over time. @pre called now and then.
  net::asio::awaitable<void> RefreshCheckpoint(std::size_t rank);
  /// Applies records that a peer sent. @pre on the control loop.
  void ApplyRelayed(const std::vector<configlog::LogRecord>& records);
  /// Installs a state that a peer sent. @pre on the control loop.
  void InstallRelayed(const configlog::Checkpoint& checkpoint);
  /// Reads the document anew when an exception lapses. @pre now and then.
  void ReparseOnExpiry();

  /// The accepted state. @pre on the control loop.
  const configlog::ConfigLog& log() const { return log_; }
  /// Records from `through` on; `nullopt` where they are not all held. @pre
  /// on the control loop.
  std::optional<std::vector<configlog::LogRecord>> RecordsFrom(
      std::uint64_t through) const;
  /// Whether the log answered last time. @pre on the control loop.
  bool is_log_up() const { return is_log_up_; }
  /// When the log or a peer last confirmed the state. @pre on the control
  /// loop.
  RuntimeClock::time_point confirmed_at() const { return confirmed_at_; }
  /// Notes that a peer holds no newer state. @pre on the control loop.
  void MarkConfirmed() { confirmed_at_ = RuntimeClock::now(); }

 private:
  void ApplyPage(const LogPage& page);
  void ApplyRecord(const configlog::LogRecord& record);
  void PublishIfNew();
  void SetLogUp(bool is_up, const std::string& message);

  platform::HttpLogStream& stream_;
  std::chrono::milliseconds retention_;
  ChangeHandler on_change_;
  configlog::ConfigLog log_;
  std::deque<configlog::LogRecord> recent_;
  std::optional<WallTime> last_checkpoint_at_;
  std::uint64_t published_version_ = 0;
  std::optional<WallTime> next_expiry_;
  bool is_log_up_ = true;
  RuntimeClock::time_point confirmed_at_{};
  Counter& accepted_;
  Counter& rejected_;
  Gauge& version_gauge_;
};

}  // namespace beryllane::router

#endif  // BERYLLANE_SRC_ROUTER_CONFIG_FOLLOWER_H_
