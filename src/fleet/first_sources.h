/// @file
/// Where a router that starts reads its first records.
#ifndef BERYLLANE_SRC_FLEET_FIRST_SOURCES_H_
#define BERYLLANE_SRC_FLEET_FIRST_SOURCES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace beryllane::fleet {

/// The routers of a zone that a starting router asks for the newest records,
/// until it reads the store itself. Where all start for the first time, only
/// the one that registered first reads the store. Registrations outlive their
/// routers: one that registered later, or not yet, in spite of its earlier
/// registration shows that routers start again while callers wait, and nothing
/// is waited for. Not thread-safe.
class FirstSources {
 public:
  /// Routers that do not answer before the store is read.
  static constexpr int kMaxSilent = 2;

  FirstSources() = default;
  /// `sources` are the routers that registered before this one, the earliest
  /// first; `own_rank` is the rank of this router's registration. @pre none.
  FirstSources(std::vector<std::string> sources, std::uint64_t own_rank)
      : sources_(std::move(sources)), own_rank_(own_rank) {}

  /// The router to ask next; `nullopt` if the store is to be read. Alternates
  /// between any and the earliest, which reads the store when all start at
  /// once. @pre none.
  std::optional<std::string> Next() {
    if (sources_.empty() || silent_ >= kMaxSilent) return std::nullopt;
    const std::size_t attempt = attempts_++;
    if (attempt % 2 == 1) return sources_.front();
    return sources_[(own_rank_ + attempt) % sources_.size()];
  }
  /// A router has no records yet; `rank` is that of its registration, none
  /// before it has registered. @pre none.
  void OnNoRecords(std::optional<std::uint64_t> rank) {
    if (!rank || *rank > own_rank_) sources_.clear();
  }
  /// A router answered that it cannot serve records. @pre none.
  void OnRefusal(const std::string& source) { Drop(source); }
  /// A router did not answer. @pre none.
  void OnSilence(const std::string& source) {
    ++silent_;
    Drop(source);
  }

 private:
  void Drop(const std::string& source) { std::erase(sources_, source); }

  std::vector<std::string> sources_;
  std::uint64_t own_rank_ = 0;
  std::size_t attempts_ = 0;
  int silent_ = 0;
};

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_FIRST_SOURCES_H_
