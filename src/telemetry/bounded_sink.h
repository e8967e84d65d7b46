/// @file
/// Log lines to standard output, bounded and without blocking.
#ifndef BERYLLANE_SRC_TELEMETRY_BOUNDED_SINK_H_
#define BERYLLANE_SRC_TELEMETRY_BOUNDED_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace beryllane::telemetry {

/// Keeps lines until their reader takes them. Where the reader is slow, lines
/// of ordinary events are dropped first and those of failures last; each drop
/// is counted. Thread-safe.
class BoundedSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// Memory for lines that wait, for all lines and for ordinary ones.
  static constexpr std::size_t kMaxWaitingBytes = 512 * 1024;
  static constexpr std::size_t kMaxOrdinaryBytes = 256 * 1024;
  /// Lines are written together once this much waits.
  static constexpr std::size_t kBatchBytes = 8 * 1024;

  /// Writes to the descriptor `fd`. @pre `fd` stays open.
  explicit BoundedSink(int fd) : fd_(fd) {}

  /// Lines that were dropped so far. @pre none. Thread-safe.
  std::uint64_t dropped() const { return dropped_.load(); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override;

 private:
  int fd_;
  std::string waiting_;
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace beryllane::telemetry

#endif  // BERYLLANE_SRC_TELEMETRY_BOUNDED_SINK_H_
