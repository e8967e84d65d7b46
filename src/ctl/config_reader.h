/// @file
/// Reads the whole configuration stream, as a router would.
#ifndef BERYLLANE_SRC_CTL_CONFIG_READER_H_
#define BERYLLANE_SRC_CTL_CONFIG_READER_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "beryllane/configlog/config_log.h"
#include "src/ctl/context.h"
#include "src/platform/log_client.h"

namespace beryllane::ctl {

/// Follows the stream on request. Used on one loop.
class ConfigReader {
 public:
  /// @pre `context` outlives the reader.
  explicit ConfigReader(Context& context);

  /// Applies everything up to the stream's end. @pre on the loop.
  net::asio::awaitable<Result<Done>> CatchUp();
  /// Appends a change until its place in the log is known, and reads up to
  /// it. A lost answer is settled by reading for the change's id. @pre on the
  /// loop.
  net::asio::awaitable<Result<configlog::HistoryEntry>> Publish(
      configlog::Change change);

  /// The state reached. @pre none.
  const configlog::ConfigLog& log() const { return log_; }
  /// The document of a version that the stream still shows. @pre none.
  std::optional<nlohmann::json> DocumentAt(std::uint64_t version) const;

 private:
  std::optional<configlog::HistoryEntry> FindChange(
      const std::string& id) const;

  platform::HttpLogStream stream_;
  configlog::ConfigLog log_;
  std::map<std::uint64_t, nlohmann::json> documents_;
};

}  // namespace beryllane::ctl

#endif  // BERYLLANE_SRC_CTL_CONFIG_READER_H_
