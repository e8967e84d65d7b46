#include "beryllane/hash/hash.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace beryllane {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;

std::optional<std::uint64_t> ParseWord(std::string_view text) {
  std::uint64_t word = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), word, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return word;
}

}  // namespace

Hash128 HashBytes(std::string_view bytes, std::uint64_t seed) {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed);
  return {hash.high64, hash.low64};
}

Hash128 ChainHash(const Hash128& parent, std::string_view bytes) {
  const Hash128 block_hash = HashBytes(bytes, parent.low);
  const std::array<std::uint64_t, 4> words{parent.high, parent.low,
                                           block_hash.high, block_hash.low};
  const XXH128_hash_t hash = XXH3_128bits(words.data(), sizeof(words));
  return {hash.high64, hash.low64};
}

// Boost-style hash_combine followed by the finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t a, std::uint64_t b) {
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  constexpr std::uint64_t kMultiplier1 = 0xBF58476D1CE4E5B9ULL;
  constexpr std::uint64_t kMultiplier2 = 0x94D049BB133111EBULL;
  std::uint64_t x = a ^ (b + kGoldenRatio + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * kMultiplier1;
  x = (x ^ (x >> 27)) * kMultiplier2;
  return x ^ (x >> 31);
}

std::string ToHex(const Hash128& hash) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(2 * kHexDigitsPerWord, '0');
  std::size_t position = 0;
  for (const std::uint64_t word : {hash.high, hash.low}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      text[position++] = kDigits[(word >> shift) & 0xF];
    }
  }
  return text;
}

std::optional<Hash128> ParseHex(std::string_view text) {
  if (text.size() != 2 * kHexDigitsPerWord) return std::nullopt;
  const auto high = ParseWord(text.substr(0, kHexDigitsPerWord));
  const auto low = ParseWord(text.substr(kHexDigitsPerWord));
  if (!high || !low) return std::nullopt;
  return Hash128{*high, *low};
}

}  // namespace beryllane
