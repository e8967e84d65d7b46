/// @file
/// What one runner is believed to hold of prompts.
#ifndef BERYLLANE_SRC_FLEET_PART_CACHE_H_
#define BERYLLANE_SRC_FLEET_PART_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::fleet {

/// Mirrors a cache that drops the least recently used parts, from what was
/// sent to its runner. Not thread-safe.
class PartCache {
 public:
  /// Notes that a request used a part; a part that is new is taken to be read
  /// by `ready_at`. @pre none. Complexity: amortized constant.
  void Touch(std::uint64_t part, std::uint32_t tokens,
             RuntimeClock::time_point ready_at = {}) {
    const auto it = entries_.find(part);
    if (it != entries_.end()) {
      lru_order_.splice(lru_order_.begin(), lru_order_, it->second);
      return;
    }
    lru_order_.push_front({part, tokens, ready_at});
    entries_[part] = lru_order_.begin();
    tokens_ += tokens;
    while (tokens_ > capacity_ && lru_order_.size() > 1) {
      tokens_ -= lru_order_.back().tokens;
      entries_.erase(lru_order_.back().part);
      lru_order_.pop_back();
    }
  }
  /// Forgets a part that was not read after all. @pre none.
  void Erase(std::uint64_t part) {
    const auto it = entries_.find(part);
    if (it == entries_.end()) return;
    tokens_ -= it->second->tokens;
    lru_order_.erase(it->second);
    entries_.erase(it);
  }
  /// Whether a part is believed to be held. @pre none.
  bool Contains(std::uint64_t part) const { return entries_.contains(part); }
  /// When a part is read; the beginning of time where it is not held. @pre
  /// none.
  RuntimeClock::time_point ReadyAt(std::uint64_t part) const {
    const auto it = entries_.find(part);
    return it == entries_.end() ? RuntimeClock::time_point()
                                : it->second->ready_at;
  }
  /// Notes that a part was read. @pre none.
  void MarkReady(std::uint64_t part) {
    const auto it = entries_.find(part);
    if (it != entries_.end()) it->second->ready_at = {};
  }
  /// Tokens of a part; 0 where it is not held. @pre none.
  std::uint32_t TokensOf(std::uint64_t part) const {
    const auto it = entries_.find(part);
    return it == entries_.end() ? 0 : it->second->tokens;
  }
  /// Forgets everything, because the runner did. @pre none.
  void Clear() {
    entries_.clear();
    lru_order_.clear();
    tokens_ = 0;
  }
  /// Tokens that the runner can be relied on to keep. @pre none.
  void set_capacity(std::uint64_t tokens) { capacity_ = tokens; }

 private:
  struct Entry {
    std::uint64_t part;
    std::uint32_t tokens;
    RuntimeClock::time_point ready_at;
  };

  std::uint64_t capacity_ = 50000;
  std::uint64_t tokens_ = 0;
  std::list<Entry> lru_order_;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries_;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_PART_CACHE_H_
