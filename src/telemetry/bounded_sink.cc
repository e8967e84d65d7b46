#include "src/telemetry/bounded_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace beryllane::telemetry {
namespace {

// Whether a write of up to PIPE_BUF bytes goes through at once.
bool IsWritable(int fd) {
  pollfd entry{fd, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void BoundedSink::sink_it_(const spdlog::details::log_msg& message) {
  const bool is_failure = message.level >= spdlog::level::warn;
  const std::size_t limit = is_failure ? kMaxWaitingBytes : kMaxOrdinaryBytes;
  if (waiting_.size() + message.payload.size() + 1 > limit) {
    dropped_.fetch_add(1);
    return;
  }
  waiting_.append(message.payload.data(), message.payload.size());
  waiting_ += '\n';
  if (waiting_.size() >= kBatchBytes) flush_();
}

void BoundedSink::flush_() {
  std::size_t written = 0;
  while (written < waiting_.size() && IsWritable(fd_)) {
    const std::size_t size =
        std::min<std::size_t>(PIPE_BUF, waiting_.size() - written);
    const ssize_t result = write(fd_, waiting_.data() + written, size);
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  waiting_.erase(0, written);
}

}  // namespace beryllane::telemetry
