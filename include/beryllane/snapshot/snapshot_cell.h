/// @file
/// Read-copy-update for a value that many threads read and few replace.
#ifndef BERYLLANE_SNAPSHOT_SNAPSHOT_CELL_H_
#define BERYLLANE_SNAPSHOT_SNAPSHOT_CELL_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace beryllane {

/// Holds the current immutable version of a value. Writers replace the whole
/// value; each reading thread keeps a reference in its own `SnapshotReader`.
template <typename T>
class SnapshotCell {
 public:
  /// Starts with `initial`. @pre `initial` is not null.
  explicit SnapshotCell(std::shared_ptr<const T> initial)
      : value_(std::move(initial)) {}

  /// Replaces the value. @pre `next` is not null. Thread-safe.
  void Store(std::shared_ptr<const T> next) {
    const std::lock_guard lock(mutex_);
    value_ = std::move(next);
    version_.fetch_add(1, std::memory_order_release);
  }

  /// Returns the value under a lock; the request path uses `SnapshotReader`
  /// instead. @pre none. Thread-safe.
  std::shared_ptr<const T> Load() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  /// Replaces the value by `make(old)` while holding the lock. @pre `make` does
  /// not call back into this cell. Thread-safe.
  template <typename F>
  void Update(F&& make) {
    const std::lock_guard lock(mutex_);
    value_ = std::forward<F>(make)(*value_);
    version_.fetch_add(1, std::memory_order_release);
  }

  /// Version number of the value, which rises with each replacement. It starts
  /// at 1, so that 0 stands for "nothing loaded" in a reader. @pre none.
  /// Thread-safe.
  std::uint64_t version() const {
    return version_.load(std::memory_order_acquire);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
  std::atomic<std::uint64_t> version_{1};
};

/// One thread's cached reference to the value of a `SnapshotCell`. While the
/// cell is unchanged, a read costs one atomic load of a cache line that no
/// reader writes.
///
/// Example:
/// @code
///   SnapshotReader<Config> reader(cell);   // one per thread
///   const Config& config = reader.Get();
/// @endcode
template <typename T>
class SnapshotReader {
 public:
  /// @pre `cell` outlives the reader.
  explicit SnapshotReader(const SnapshotCell<T>& cell) : cell_(&cell) {}

  /// The current value, valid until the next call on this reader. @pre called
  /// by one thread at a time.
  const T& Get() {
    Refresh();
    return *value_;
  }

  /// The current value with shared ownership, for use across suspension
  /// points. @pre called by one thread at a time.
  const std::shared_ptr<const T>& GetShared() {
    Refresh();
    return value_;
  }

 private:
  void Refresh() {
    const std::uint64_t version = cell_->version();
    if (version == cached_version_) return;
    value_ = cell_->Load();
    cached_version_ = version;
  }

  const SnapshotCell<T>* cell_;
  std::shared_ptr<const T> value_;
  std::uint64_t cached_version_ = 0;
};

}  // namespace beryllane

#endif  // BERYLLANE_SNAPSHOT_SNAPSHOT_CELL_H_
