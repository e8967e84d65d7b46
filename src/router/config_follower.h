/// @file
/// Reads the configuration stream and keeps recent records for peers.
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

/// Applies configuration records from the log and from peers. Used on the
/// control loop.
class ConfigFollower {
 public:
  using ChangeHandler =
      std::function<void(std::shared_ptr<const config::Config>)>;

  /// `retention` is how long the log keeps records. @pre `stream` and `metrics`
  /// outlive the follower.
  ConfigFollower(platform::HttpLogStream& stream, MetricRegistry& metrics,
                 std::chrono::milliseconds retention, ChangeHandler on_change);

  /// Tails the log; never returns. @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Appends a checkpoint if the last one is old, before the log truncates it.
  /// Routers of higher `rank` wait longer, so that the routers do not all
  /// append at once. @pre called periodically.
  net::asio::awaitable<void> RefreshCheckpoint(std::size_t rank);
  /// Applies a peer's records that continue the applied log without a gap and
  /// ignores the others. @pre on the control loop.
  void ApplyRelayed(const std::vector<configlog::LogRecord>& records);
  /// Installs a peer's checkpoint if it is newer. @pre on the control loop.
  void InstallRelayed(const configlog::Checkpoint& checkpoint);
  /// Parses and publishes the document again once an exception has expired.
  /// @pre called periodically.
  void ReparseOnExpiry();

  /// The accepted state. @pre on the control loop.
  const configlog::ConfigLog& log() const { return log_; }
  /// Returns the records from offset `through` on, or `nullopt` if some of them
  /// are no longer kept. @pre on the control loop.
  std::optional<std::vector<configlog::LogRecord>> RecordsFrom(
      std::uint64_t through) const;
  /// Whether the last read from the log succeeded. @pre on the control loop.
  bool is_log_up() const { return is_log_up_; }
  /// When the log or a peer last confirmed that the state is up to date. @pre
  /// on the control loop.
  RuntimeClock::time_point confirmed_at() const { return confirmed_at_; }
  /// Records that the log or a peer holds no newer state. @pre on the control
  /// loop.
  void Confirm() { confirmed_at_ = RuntimeClock::now(); }

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
  std::optional<WallTime> checkpointed_at_;
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
