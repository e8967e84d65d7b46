/// @file
/// The nested prefixes of a prompt as a chain of hashes.
#ifndef BERYLLANE_PLACEMENT_PREFIX_CHAIN_H_
#define BERYLLANE_PLACEMENT_PREFIX_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "beryllane/hash/hash.h"

namespace beryllane::placement {

/// Average bytes of text per token, for estimating prompt sizes.
inline constexpr std::size_t kBytesPerToken = 4;

/// Long messages are split into chunks of this size.
inline constexpr std::size_t kChunkBytes = 4096;

/// Levels kept per prompt; all further chunks extend the last level.
inline constexpr std::size_t kMaxLevels = 64;

/// A prefix of a prompt, up to the end of a chunk.
struct PrefixLevel {
  Hash128 hash;
  /// Estimated tokens from the start of the prompt to the end of the prefix.
  std::uint32_t tokens = 0;
};

/// Prompts whose salts differ never share cached entries.
struct PrefixSalt {
  std::string_view account;
  std::string_view model;
  std::string_view adapter;
  std::string_view weights_version;
};

/// Hash of a salt; also sent to the engine as the cache salt. @pre none.
/// Thread-safe.
Hash128 SaltHash(const PrefixSalt& salt);

/// Builds the levels of a prompt, message by message.
///
/// Example:
/// @code
///   PrefixChain chain(SaltHash(salt));
///   chain.AddMessage("system", catalogue);
///   chain.AddMessage("user", question);
///   decide(chain.levels());
/// @endcode
class PrefixChain {
 public:
  /// @pre none.
  explicit PrefixChain(const Hash128& salt) : state_(salt) {}

  /// Adds a message; long contents are split into chunks, each a level. @pre
  /// none. Not thread-safe. Complexity: linear in the content.
  void AddMessage(std::string_view role, std::string_view content);

  /// The levels so far, shortest first. @pre none.
  const std::vector<PrefixLevel>& levels() const { return levels_; }
  /// Estimated tokens of the whole prompt. @pre none.
  std::uint32_t tokens() const {
    return static_cast<std::uint32_t>(bytes_ / kBytesPerToken);
  }

 private:
  void AddChunk(std::string_view chunk);

  Hash128 state_;
  std::size_t bytes_ = 0;
  std::vector<PrefixLevel> levels_;
};

}  // namespace beryllane::placement

#endif  // BERYLLANE_PLACEMENT_PREFIX_CHAIN_H_
