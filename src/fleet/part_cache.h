/// @file
/// Estimate of the prompt parts that one runner has cached.
#ifndef BERYLLANE_SRC_FLEET_PART_CACHE_H_
#define BERYLLANE_SRC_FLEET_PART_CACHE_H_

#include <cstdint>
#include <list>
#include <unordered_map>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::fleet {

/// Models a runner's LRU cache of prompt parts from the requests sent to the
/// runner. Parts are identified by the hash from `PartKey`. Not thread-safe.
class PartCache {
 public:
  /// Marks a part as most recently used. A part that is not cached yet is added
  /// and expected to complete its prefill at `ready_at`; this evicts the least
  /// recently used parts above the capacity. @pre none. Complexity: amortized
  /// constant.
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
  /// Removes a part that the runner does not hold. @pre none.
  void Erase(std::uint64_t part) {
    const auto it = entries_.find(part);
    if (it == entries_.end()) return;
    tokens_ -= it->second->tokens;
    lru_order_.erase(it->second);
    entries_.erase(it);
  }
  /// Whether a part is assumed to be cached. @pre none.
  bool Contains(std::uint64_t part) const { return entries_.contains(part); }
  /// When the prefill of a part is expected to complete; the clock's epoch if
  /// it has completed or the part is not cached. @pre none.
  RuntimeClock::time_point ReadyAt(std::uint64_t part) const {
    const auto it = entries_.find(part);
    return it == entries_.end() ? RuntimeClock::time_point()
                                : it->second->ready_at;
  }
  /// Marks the prefill of a part as complete. @pre none.
  void MarkReady(std::uint64_t part) {
    const auto it = entries_.find(part);
    if (it != entries_.end()) it->second->ready_at = {};
  }
  /// Tokens of a part; 0 if it is not cached. @pre none.
  std::uint32_t TokensOf(std::uint64_t part) const {
    const auto it = entries_.find(part);
    return it == entries_.end() ? 0 : it->second->tokens;
  }
  /// Removes all parts, because the runner lost its cache. @pre none.
  void Clear() {
    entries_.clear();
    lru_order_.clear();
    tokens_ = 0;
  }
  /// Sets the capacity in tokens. @pre none.
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
