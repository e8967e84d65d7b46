/// @file
/// Finds the request property, such as a prompt part, that crashes targets.
#ifndef BERYLLANE_QUARANTINE_CRASH_ATTRIBUTION_H_
#define BERYLLANE_QUARANTINE_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "beryllane/clock/runtime_clock.h"

namespace beryllane::quarantine {

/// How far the answer to a request had come when its target crashed.
enum class Progress {
  /// Nothing of the answer had arrived.
  kWaiting,
  /// The answer had just begun.
  kStarting,
};

/// A key, such as the hash of a prompt part, of a request that a crash broke
/// off.
struct Suspect {
  std::uint64_t key = 0;
  Progress progress = Progress::kWaiting;
  /// Position of the part in the prompt. Of two keys with the same evidence,
  /// the deeper one belongs to fewer requests.
  std::uint32_t depth = 0;
  RuntimeClock::time_point sent_at;
};

/// A process that crashed.
struct CrashedTarget {
  std::uint64_t id = 0;
  /// Distinguishes processes with the same id, such as a start time.
  std::int64_t incarnation = 0;

  friend bool operator==(const CrashedTarget&, const CrashedTarget&) = default;
};

/// The evidence that makes a key the culprit.
struct AttributionOptions {
  /// Weight of a crash in which the key's request was waiting; 1 if it was
  /// starting.
  double waiting_weight = 0.5;
  /// Sum of the weights of all crashes of a culprit.
  double min_weight = 2.5;
  std::size_t min_crashes = 3;
  std::size_t min_targets = 2;
  /// Length of a sequence of crashes in which each broke off a request that
  /// was sent after the crash before it. Targets that fail together for
  /// another reason are one element.
  std::size_t min_successive_crashes = 2;
  /// Reports on one incarnation of a target within this time of each other
  /// belong to one crash. Later ones concern a newer incarnation that the
  /// reporting host did not know yet.
  std::chrono::nanoseconds merge_time = std::chrono::milliseconds(1500);
  /// Crashes are forgotten after this time.
  std::chrono::nanoseconds memory = std::chrono::seconds(60);
  std::size_t max_crashes = 256;
};

/// Collects crashes and the keys of the requests that each broke off. A request
/// that begins well clears its keys of all earlier crashes. Not thread-safe.
class CrashAttribution {
 public:
  /// @pre none.
  explicit CrashAttribution(AttributionOptions options = {})
      : options_(options) {}

  /// Adds a crash, or further suspects of a known one. @pre none. Complexity:
  /// linear in the number of crashes and suspects.
  void AddCrash(const CrashedTarget& target, RuntimeClock::time_point at,
                const std::vector<Suspect>& suspects);
  /// Clears a key of all crashes up to `at`, because a request with it was
  /// answered then; returns whether there was evidence. @pre none.
  bool Clear(std::uint64_t key, RuntimeClock::time_point at);
  /// Sum of the weights of the crashes that count against a key. @pre none.
  double Weight(std::uint64_t key) const;
  /// Drops crashes that are too old to count. @pre none.
  void Forget(RuntimeClock::time_point now);
  /// Whether no crash is remembered. @pre none.
  bool empty() const { return crashes_.empty(); }

  /// Returns the key with the most evidence if that suffices, and attributes
  /// its crashes to it: they no longer count against other keys. @pre none.
  /// Complexity: linear in the number of suspects of all crashes.
  std::optional<std::uint64_t> TakeCulprit(RuntimeClock::time_point now);
  /// Attributes later crashes that broke off a request with `key` to it. @pre
  /// none.
  void AttributeTo(std::uint64_t key, RuntimeClock::time_point now);

 private:
  struct Crash {
    CrashedTarget target;
    RuntimeClock::time_point at;
    std::map<std::uint64_t, Suspect> suspects;
    bool is_attributed = false;
  };
  // The evidence against one key.
  struct Evidence {
    double weight = 0;
    std::size_t crashes = 0;
    std::size_t starting = 0;
    std::size_t successive_crashes = 0;
    std::uint32_t depth = 0;
    RuntimeClock::time_point last_crash;
    std::map<std::uint64_t, int> targets;
  };

  double WeightOf(const Suspect& suspect) const;
  bool Suffices(const Evidence& evidence) const;

  AttributionOptions options_;
  // Ordered by time.
  std::deque<Crash> crashes_;
  // Culprits, and when a crash was last attributed to each.
  std::map<std::uint64_t, RuntimeClock::time_point> culprits_;
};

}  // namespace beryllane::quarantine

#endif  // BERYLLANE_QUARANTINE_CRASH_ATTRIBUTION_H_
