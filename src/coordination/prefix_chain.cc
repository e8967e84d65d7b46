#include "beryllane/placement/prefix_chain.h"

namespace beryllane::placement {

Hash128 SaltHash(const PrefixSalt& salt) {
  Hash128 hash = HashBytes(salt.account);
  hash = ChainHash(hash, salt.model);
  hash = ChainHash(hash, salt.adapter);
  return ChainHash(hash, salt.weights_version);
}

void PrefixChain::AddMessage(std::string_view role, std::string_view content) {
  state_ = ChainHash(state_, role);
  do {
    const std::string_view chunk = content.substr(0, kChunkBytes);
    content.remove_prefix(chunk.size());
    AddChunk(chunk);
  } while (!content.empty());
}

void PrefixChain::AddChunk(std::string_view chunk) {
  state_ = ChainHash(state_, chunk);
  bytes_ += chunk.size();
  const PrefixLevel level{state_, tokens()};
  if (levels_.size() < kMaxLevels) {
    levels_.push_back(level);
  } else {
    levels_.back() = level;
  }
}

}  // namespace beryllane::placement
