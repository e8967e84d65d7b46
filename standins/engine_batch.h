/// @file
/// Stand-in for an engine: continuous batching over a prefix cache.
#ifndef BERYLLANE_STANDINS_ENGINE_BATCH_H_
#define BERYLLANE_STANDINS_ENGINE_BATCH_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "beryllane/hash/hash.h"
#include "src/net/runtime.h"

namespace beryllane::standins {

/// Speeds and sizes of an engine.
struct EngineOptions {
  double prefill_tokens_per_second = 8000;
  /// Time of one step, in which each running request gains a token.
  std::chrono::microseconds step{15000};
  std::size_t max_running = 32;
  /// Tokens that the block cache holds.
  std::size_t cache_tokens = 200'000;
  /// A request that waited this long goes before any priority.
  std::chrono::milliseconds max_wait{5000};
};

/// Blocks of cached tokens, the least recently used evicted first.
class BlockCache {
 public:
  static constexpr std::size_t kTokensPerBlock = 16;

  explicit BlockCache(std::size_t tokens)
      : capacity_(tokens / kTokensPerBlock) {}

  /// Counts the leading blocks held, and marks them as used. @pre none.
  std::size_t Match(const std::vector<Hash128>& blocks);
  /// Adds blocks; evicts others where full. @pre none.
  void Insert(const std::vector<Hash128>& blocks);
  /// Empties the cache. @pre none.
  void Clear();
  /// Blocks evicted since the start. @pre none.
  std::uint64_t evicted() const { return evicted_; }
  /// Blocks held. @pre none.
  std::size_t size() const { return index_.size(); }

 private:
  void Touch(std::list<Hash128>::iterator block);

  std::size_t capacity_;
  std::list<Hash128> order_;  // Most recently used first.
  std::unordered_map<Hash128, std::list<Hash128>::iterator> index_;
  std::uint64_t evicted_ = 0;
};

/// One request inside an engine.
struct Job {
  explicit Job(const net::asio::any_io_executor& executor) : signal(executor) {}

  std::vector<Hash128> blocks;
  std::size_t prompt_tokens = 0;
  std::size_t cached_tokens = 0;
  double to_prefill = 0;
  std::size_t produced = 0;
  std::size_t max_tokens = 0;
  int priority = 0;
  RuntimeClock::time_point arrived;
  bool is_admitted = false;
  bool is_prefilled = false;
  /// The engine crashed while it held the job.
  bool is_lost = false;
  /// Cancelled when `produced` or `is_lost` changes.
  net::Timer signal;
};

/// Runs jobs in steps. One loop.
class EngineBatch {
 public:
  EngineBatch(net::asio::io_context& context, EngineOptions options);

  /// Runs steps for ever. @pre spawned once.
  net::asio::awaitable<void> Run();
  /// Adds a job. @pre its fields describe the prompt.
  void Add(const std::shared_ptr<Job>& job);
  /// Removes a job, done or cancelled. @pre none.
  void Remove(const std::shared_ptr<Job>& job);
  /// Loses every job and the cache. @pre none.
  void Crash();
  /// Makes each step take `factor` times as long. @pre `factor` > 0.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  /// Prompt tokens that wait or are in prefill. @pre none.
  std::size_t queued_tokens() const;
  /// Jobs being decoded. @pre none.
  std::size_t running() const;
  /// The block cache. @pre none.
  const BlockCache& cache() const { return cache_; }
  /// Prompt tokens computed and found in cache so far. @pre none.
  std::uint64_t computed_tokens() const { return computed_tokens_; }
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  /// Speeds and sizes. @pre none.
  const EngineOptions& options() const { return options_; }

 private:
  void Step(std::chrono::duration<double> elapsed);
  void Prefill(double budget);
  Job* NextToPrefill();
  void Admit(Job& job);

  EngineOptions options_;
  BlockCache cache_;
  std::list<std::shared_ptr<Job>> jobs_;
  net::Timer wake_;
  double slowdown_ = 1;
  std::uint64_t computed_tokens_ = 0;
  std::uint64_t cached_tokens_ = 0;
};

/// Hashes of a prompt's full blocks, each chained behind the one before and
/// all behind `salt`. @pre none.
std::vector<Hash128> BlockHashes(const Hash128& salt, std::string_view prompt);

}  // namespace beryllane::standins

#endif  // BERYLLANE_STANDINS_ENGINE_BATCH_H_
