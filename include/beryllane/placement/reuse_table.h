/// @file
/// Records which runner holds which prefix, as learned from responses.
#ifndef BERYLLANE_PLACEMENT_REUSE_TABLE_H_
#define BERYLLANE_PLACEMENT_REUSE_TABLE_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "beryllane/clock/runtime_clock.h"
#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// A fixed-size table of (prefix, runner incarnation) pairs that expire within
/// seconds. A new pair overwrites the one in its slot, so memory is bounded and
/// no lock is needed. The entries are hints: a lost race loses one of them.
class ReuseTable {
 public:
  /// A runner is expected to keep an unused prefix for this long.
  static constexpr std::chrono::seconds kEntryLifetime{10};

  /// Rounds `slots` up to a power of two; 16 bytes each. @pre `slots` > 0.
  explicit ReuseTable(std::size_t slots);

  /// Records that a runner's incarnation holds `prefix`. @pre none.
  /// Thread-safe, lock-free.
  void Insert(const Hash128& prefix, std::uint64_t incarnation,
              RuntimeClock::time_point now);
  /// Whether a runner's incarnation is expected to hold `prefix`. @pre none.
  /// Thread-safe, lock-free.
  bool Contains(const Hash128& prefix, std::uint64_t incarnation,
                RuntimeClock::time_point now) const;
  /// Bytes of memory held. @pre none. Thread-safe.
  std::size_t bytes() const { return (mask_ + 1) * sizeof(Slot); }

 private:
  struct Slot {
    std::atomic<std::uint64_t> tag{0};
    std::atomic<std::int64_t> expires_ns{0};
  };

  static std::uint64_t Tag(const Hash128& prefix, std::uint64_t incarnation);

  std::size_t mask_;
  std::unique_ptr<Slot[]> slots_;
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_REUSE_TABLE_H_
