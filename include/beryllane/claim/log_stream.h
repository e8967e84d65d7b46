/// @file
/// The narrow interface through which coordination parts use a log.
#ifndef BERYLLANE_CLAIM_LOG_STREAM_H_
#define BERYLLANE_CLAIM_LOG_STREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "beryllane/configlog/config_log.h"
#include "beryllane/error/error.h"

namespace beryllane {

/// A page of records read from a stream.
struct LogPage {
  /// Oldest offset that the log still holds.
  std::uint64_t first = 0;
  /// Offset that the next append would receive when the page was read.
  std::uint64_t end = 0;
  std::vector<configlog::LogRecord> records;
};

/// An append that the log confirmed.
struct AppendAck {
  std::uint64_t offset = 0;
  WallTime time;
};

/// One append-only stream with offsets. A failed append may have taken place.
class LogStream {
 public:
  using AppendHandler = std::function<void(Result<AppendAck>)>;
  using ReadHandler = std::function<void(Result<LogPage>)>;

  LogStream() = default;
  LogStream(const LogStream&) = delete;
  LogStream& operator=(const LogStream&) = delete;
  virtual ~LogStream() = default;

  /// Appends one record. @pre the handler may run on the caller's stack.
  /// Thread safety: as the implementation states.
  virtual void Append(std::string data, AppendHandler done) = 0;
  /// Reads records from `from` on; an empty page means the end was reached.
  /// @pre as for `Append`. Thread safety: as the implementation states.
  virtual void Read(std::uint64_t from, ReadHandler done) = 0;
};

}  // namespace beryllane

#endif  // BERYLLANE_CLAIM_LOG_STREAM_H_
