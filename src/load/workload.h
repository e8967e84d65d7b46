/// @file
/// What a load run offers: kinds of requests over nested shared prefixes.
#ifndef BERYLLANE_SRC_LOAD_WORKLOAD_H_
#define BERYLLANE_SRC_LOAD_WORKLOAD_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "beryllane/error/error.h"

namespace beryllane::load {

/// One level of nested prefixes, such as catalogues or sheets.
struct PrefixTier {
  /// Different texts at this level below one parent.
  std::uint64_t count = 1;
  std::uint64_t tokens = 100;
  /// Exponent of the popularity's power law; 0 is uniform.
  double skew = 1.0;
};

/// One kind of request in the mix.
struct KindLoad {
  std::string kind;
  double share = 1;
  double worth = 1;
  std::chrono::milliseconds patience{10000};
  /// Path of a service call; empty for a completion.
  std::string path;
  bool is_stream = true;
  std::uint64_t max_tokens = 32;
  std::uint64_t question_tokens = 40;
  std::vector<PrefixTier> tiers;
};

/// A client account of the run.
struct AccountLoad {
  std::string key;
  double share = 1;
};

/// A whole mix.
struct Workload {
  std::string model;
  std::vector<AccountLoad> accounts;
  std::vector<KindLoad> kinds;
  /// The popular prefixes change this often; 0 is never.
  std::chrono::seconds hot_shift{0};
};

/// Reads a workload file; errors name the field. @pre none. Thread-safe.
Result<Workload> ReadWorkload(const std::string& path);

/// One request to send.
struct GeneratedRequest {
  std::size_t kind = 0;
  std::size_t account = 0;
  /// Body of a completion or of a service call.
  std::string body;
  std::uint64_t prompt_tokens = 0;
};

/// Draws requests. Deterministic by seed. Not thread-safe.
class Generator {
 public:
  /// @pre `workload` outlives the generator and has kinds and accounts.
  Generator(const Workload& workload, std::uint64_t seed);

  /// Draws the request that arrives `elapsed` after the start. @pre none.
  GeneratedRequest Next(std::chrono::nanoseconds elapsed);
  /// Draws the time to the next arrival at `rate` per second. @pre rate > 0.
  std::chrono::nanoseconds NextGap(double rate);

 private:
  std::uint64_t DrawRank(const PrefixTier& tier);
  std::string PromptFor(const KindLoad& kind, std::size_t account,
                        std::uint64_t shift, std::uint64_t& tokens);

  const Workload& workload_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> kinds_;
  std::discrete_distribution<std::size_t> accounts_;
};

}  // namespace beryllane::load

#endif  // BERYLLANE_SRC_LOAD_WORKLOAD_H_
