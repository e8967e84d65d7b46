/// @file
/// The interface through which the coordination code uses a log.
#ifndef BERYLLANE_CLAIM_LOG_STREAM_H_
#define BERYLLANE_CLAIM_LOG_STREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "beryllane/configlog/config_log.h"
#include "beryllane/error/error.h"

namespace beryllane {

/// A page of records that was read from a stream.
struct LogPage {
  /// Oldest offset that the log retains.
  std::uint64_t first = 0;
  /// Offset that the next append would receive when the page was read.
  std::uint64_t end = 0;
  std::vector<configlog::LogRecord> records;
};

/// The acknowledgement of an append: the offset and time of the record.
struct AppendAck {
  std::uint64_t offset = 0;
  WallTime time;
};

/// An append-only stream of records with offsets. An append that is reported as
/// failed may still have taken place.
class LogStream {
 public:
  using AppendHandler = std::function<void(Result<AppendAck>)>;
  using ReadHandler = std::function<void(Result<LogPage>)>;

  LogStream() = default;
  LogStream(const LogStream&) = delete;
  LogStream& operator=(const LogStream&) = delete;
  virtual ~LogStream() = default;

  /// Appends one record. @pre the caller lets `done` run on its own stack,
  /// before the call returns. Thread safety: as the implementation states.
  virtual void Append(std::string data, AppendHandler done) = 0;
  /// Reads records from offset `from` on; an empty page means that the end was
  /// reached. @pre as for `Append`. Thread safety: as the implementation
  /// states.
  virtual void Read(std::uint64_t from, ReadHandler done) = 0;
};

}  // namespace beryllane

#endif  // BERYLLANE_CLAIM_LOG_STREAM_H_
