#include "standins/engine_batch.h"

#include <algorithm>

#include "beryllane/placement/prefix_chain.h"

namespace beryllane::standins {

std::size_t BlockCache::Match(const std::vector<Hash128>& blocks) {
  std::size_t matched = 0;
  for (const Hash128& block : blocks) {
    const auto it = index_.find(block);
    if (it == index_.end()) break;
    Touch(it->second);
    ++matched;
  }
  return matched;
}

void BlockCache::Insert(const std::vector<Hash128>& blocks) {
  for (const Hash128& block : blocks) {
    const auto it = index_.find(block);
    if (it != index_.end()) {
      Touch(it->second);
      continue;
    }
    order_.push_front(block);
    index_[block] = order_.begin();
    if (index_.size() <= capacity_) continue;
    index_.erase(order_.back());
    order_.pop_back();
    ++evicted_;
  }
}

void BlockCache::Clear() {
  order_.clear();
  index_.clear();
}

void BlockCache::Touch(std::list<Hash128>::iterator block) {
  order_.splice(order_.begin(), order_, block);
}

EngineBatch::EngineBatch(net::asio::io_context& context, EngineOptions options)
    : options_(options), cache_(options.cache_tokens), wake_(context) {}

net::asio::awaitable<void> EngineBatch::Run() {
  for (;;) {
    if (jobs_.empty()) {
      wake_.expires_after(std::chrono::hours(1));
      co_await wake_.async_wait(net::kAsTuple);
      continue;
    }
    const auto step = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(options_.step) * slowdown_);
    co_await net::Sleep(step);
    Step(options_.step);
  }
}

void EngineBatch::Add(const std::shared_ptr<Job>& job) {
  job->arrived = RuntimeClock::now();
  job->to_prefill = static_cast<double>(job->prompt_tokens);
  jobs_.push_back(job);
  wake_.cancel();
}

void EngineBatch::Remove(const std::shared_ptr<Job>& job) { jobs_.remove(job); }

void EngineBatch::Crash() {
  for (const auto& job : jobs_) {
    job->is_lost = true;
    job->signal.cancel();
  }
  jobs_.clear();
  cache_.Clear();
}

std::size_t EngineBatch::queued_tokens() const {
  double tokens = 0;
  for (const auto& job : jobs_) {
    if (!job->is_prefilled) tokens += job->to_prefill;
  }
  return static_cast<std::size_t>(tokens);
}

std::size_t EngineBatch::running() const {
  return static_cast<std::size_t>(
      std::count_if(jobs_.begin(), jobs_.end(),
                    [](const auto& job) { return job->is_prefilled; }));
}

void EngineBatch::Step(std::chrono::duration<double> elapsed) {
  for (const auto& job : jobs_) {
    if (!job->is_prefilled || job->produced >= job->max_tokens) continue;
    ++job->produced;
    job->signal.cancel();
  }
  Prefill(options_.prefill_tokens_per_second * elapsed.count());
}

void EngineBatch::Prefill(double budget) {
  while (budget > 0) {
    Job* job = NextToPrefill();
    if (job == nullptr) return;
    if (!job->is_admitted) Admit(*job);
    const double share = std::min(budget, job->to_prefill);
    budget -= share;
    job->to_prefill -= share;
    if (job->to_prefill > 0) continue;
    job->is_prefilled = true;
    job->produced = std::max<std::size_t>(job->produced, 1);
    cache_.Insert(job->blocks);
    job->signal.cancel();
  }
}

Job* EngineBatch::NextToPrefill() {
  const auto overdue = RuntimeClock::now() - options_.max_wait;
  Job* best = nullptr;
  std::size_t admitted = 0;
  for (const auto& job : jobs_) {
    if (job->is_admitted) ++admitted;
    if (job->is_prefilled) continue;
    if (job->is_admitted) return job.get();
    const auto rank = [&](const Job& j) {
      return j.arrived < overdue ? -1000 : j.priority;
    };
    if (best == nullptr || rank(*job) < rank(*best)) best = job.get();
  }
  return admitted < options_.max_running ? best : nullptr;
}

void EngineBatch::Admit(Job& job) {
  job.is_admitted = true;
  const std::size_t matched = cache_.Match(job.blocks);
  job.cached_tokens =
      std::min(job.prompt_tokens, matched * BlockCache::kTokensPerBlock);
  // At least one token is computed, as engines need it to start.
  job.to_prefill =
      std::max(1.0, static_cast<double>(job.prompt_tokens - job.cached_tokens));
  cached_tokens_ += job.cached_tokens;
  computed_tokens_ += job.prompt_tokens - job.cached_tokens;
}

std::vector<Hash128> BlockHashes(const Hash128& salt, std::string_view prompt) {
  constexpr std::size_t kBlockBytes =
      BlockCache::kTokensPerBlock * placement::kBytesPerToken;
  std::vector<Hash128> blocks;
  Hash128 state = salt;
  while (prompt.size() >= kBlockBytes) {
    state = ChainHash(state, prompt.substr(0, kBlockBytes));
    blocks.push_back(state);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

}  // namespace beryllane::standins
