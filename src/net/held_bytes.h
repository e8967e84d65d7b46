/// @file
/// A limit on the memory that messages in progress hold.
#ifndef BERYLLANE_SRC_NET_HELD_BYTES_H_
#define BERYLLANE_SRC_NET_HELD_BYTES_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace beryllane::net {

/// The bytes that all exchanges of a server hold together, and their limit.
/// Thread-safe.
class HeldBytesLimit {
 public:
  /// @pre none.
  explicit HeldBytesLimit(std::size_t most) : most_(most) {}
  HeldBytesLimit(const HeldBytesLimit&) = delete;
  HeldBytesLimit& operator=(const HeldBytesLimit&) = delete;

  /// Replaces the limit; what is held already stays. @pre none.
  void set_most(std::size_t most) { most_.store(most); }
  /// Bytes held now. @pre none.
  std::size_t held() const { return held_.load(); }
  /// How often there was no room. @pre none.
  std::uint64_t refusals() const { return refusals_.load(); }

 private:
  friend class HeldBytes;

  bool TryAdd(std::size_t bytes, std::size_t most) {
    const bool is_allowed = held_.fetch_add(bytes) + bytes <= most;
    if (!is_allowed) {
      held_.fetch_sub(bytes);
      refusals_.fetch_add(1);
    }
    return is_allowed;
  }
  void Release(std::size_t bytes) { held_.fetch_sub(bytes); }

  std::atomic<std::size_t> most_;
  std::atomic<std::size_t> held_{0};
  std::atomic<std::uint64_t> refusals_{0};
};

/// The bytes that one exchange holds, until it is destroyed. Used by one
/// coroutine.
class HeldBytes {
 public:
  /// Shares the limit, since a connection may outlive its server. @pre `limit`
  /// is not null.
  explicit HeldBytes(std::shared_ptr<HeldBytesLimit> limit)
      : limit_(std::move(limit)) {}
  ~HeldBytes() { limit_->Release(bytes_); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// Bytes held. @pre none.
  std::size_t bytes() const { return bytes_; }
  /// Raises the bytes held to `bytes`; false if the limit has no room for them.
  /// Less than what is held changes nothing. @pre none.
  bool TryGrowTo(std::size_t bytes) { return TryGrow(bytes, limit_->most_); }
  /// The same for an answer, which has as much room again: its request was
  /// taken, and may have run. @pre none.
  bool TryGrowForAnswerTo(std::size_t bytes) {
    return TryGrow(bytes, 2 * limit_->most_);
  }

 private:
  bool TryGrow(std::size_t bytes, std::size_t most) {
    if (bytes <= bytes_) return true;
    if (!limit_->TryAdd(bytes - bytes_, most)) return false;
    bytes_ = bytes;
    return true;
  }

  std::shared_ptr<HeldBytesLimit> limit_;
  std::size_t bytes_ = 0;
};

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_HELD_BYTES_H_
