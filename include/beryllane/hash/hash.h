/// @file
/// 128-bit non-cryptographic hashes for prefixes, keys and placement.
#ifndef BERYLLANE_HASH_HASH_H_
#define BERYLLANE_HASH_HASH_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace beryllane {

/// A 128-bit hash value.
struct Hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Hash128&, const Hash128&) = default;
};

/// Hashes bytes together with a seed. @pre none. Thread-safe. Complexity:
/// linear in the length of `bytes`.
Hash128 HashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Hashes `bytes` as a continuation of `parent`; equal hashes identify equal
/// whole sequences. @pre none. Thread-safe. Complexity: linear.
Hash128 ChainHash(const Hash128& parent, std::string_view bytes);

/// Mixes two 64-bit words into one pseudorandom word. @pre none. Thread-safe.
std::uint64_t Mix(std::uint64_t a, std::uint64_t b);

/// Formats a hash as 32 lower-case hexadecimal digits. @pre none. Thread-safe.
std::string ToHex(const Hash128& hash);

/// Parses 32 hexadecimal digits; returns `nullopt` for any other text. @pre
/// none. Thread-safe.
std::optional<Hash128> ParseHex(std::string_view text);

}  // namespace beryllane

/// Makes `Hash128` usable as a key of unordered containers.
template <>
struct std::hash<beryllane::Hash128> {
  std::size_t operator()(const beryllane::Hash128& hash) const noexcept {
    return hash.low;
  }
};

#endif  // BERYLLANE_HASH_HASH_H_
