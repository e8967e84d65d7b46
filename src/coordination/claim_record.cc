#include "beryllane/claim/claim_record.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace beryllane::claim {
namespace {

using nlohmann::json;

constexpr int kClaimTag = 1;
constexpr int kWithdrawalTag = 2;
constexpr int kOutcomeTag = 3;
constexpr std::size_t kHashBytes = 16;

json EncodeHash(const Hash128& hash) {
  std::vector<std::uint8_t> bytes(kHashBytes);
  for (std::size_t i = 0; i < 8; ++i) {
    bytes[i] = static_cast<std::uint8_t>(hash.high >> (56 - 8 * i));
    bytes[8 + i] = static_cast<std::uint8_t>(hash.low >> (56 - 8 * i));
  }
  return json::binary(std::move(bytes));
}

Hash128 DecodeHash(const json& value) {
  const auto& bytes = value.get_binary();
  Hash128 hash;
  if (bytes.size() != kHashBytes) return hash;
  for (std::size_t i = 0; i < 8; ++i) {
    hash.high = hash.high << 8 | bytes[i];
    hash.low = hash.low << 8 | bytes[8 + i];
  }
  return hash;
}

WallTime DecodeTime(const json& value) {
  return WallTime(std::chrono::milliseconds(value.get<std::int64_t>()));
}

struct EntryEncoder {
  json operator()(const ClaimEntry& e) const {
    return json::array({kClaimTag, EncodeHash(e.key), EncodeHash(e.id),
                        EncodeHash(e.fingerprint),
                        e.issued.time_since_epoch().count(),
                        e.expires.time_since_epoch().count()});
  }
  json operator()(const WithdrawalEntry& e) const {
    return json::array({kWithdrawalTag, EncodeHash(e.key), EncodeHash(e.id)});
  }
  json operator()(const OutcomeEntry& e) const {
    std::vector<std::uint8_t> body(e.body.begin(), e.body.end());
    return json::array({kOutcomeTag, EncodeHash(e.key), EncodeHash(e.id),
                        e.status, e.content_type,
                        json::binary(std::move(body))});
  }
};

Entry DecodeEntry(const json& e) {
  const int tag = e.at(0).get<int>();
  const Hash128 key = DecodeHash(e.at(1));
  const Hash128 id = DecodeHash(e.at(2));
  if (tag == kClaimTag) {
    return ClaimEntry{key, id, DecodeHash(e.at(3)), DecodeTime(e.at(4)),
                      DecodeTime(e.at(5))};
  }
  if (tag == kWithdrawalTag) return WithdrawalEntry{key, id};
  const auto& body = e.at(5).get_binary();
  return OutcomeEntry{key, id, e.at(3).get<int>(), e.at(4).get<std::string>(),
                      std::string(body.begin(), body.end())};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number, base);
  if (text.empty() || error != std::errc() || end != last) return std::nullopt;
  return number;
}

std::optional<WallTime> UuidTime(std::string_view key) {
  // xxxxxxxx-xxxx-7xxx-...: the first 48 bits are milliseconds since 1970.
  constexpr std::size_t kUuidLength = 36;
  if (key.size() != kUuidLength || key[8] != '-' || key[13] != '-' ||
      key[14] != '7') {
    return std::nullopt;
  }
  const auto high = ParseNumber(key.substr(0, 8), 16);
  const auto low = ParseNumber(key.substr(9, 4), 16);
  if (!high || !low) return std::nullopt;
  return WallTime(std::chrono::milliseconds(*high << 16 | *low));
}

}  // namespace

std::string EncodeBatch(const std::vector<Entry>& batch) {
  json entries = json::array();
  for (const Entry& entry : batch) {
    entries.push_back(std::visit(EntryEncoder{}, entry));
  }
  std::string out;
  json::to_cbor(entries, out);
  return out;
}

std::optional<std::vector<Entry>> DecodeBatch(std::string_view data) {
  std::vector<Entry> batch;
  try {
    const json entries = json::from_cbor(data);
    if (!entries.is_array()) return std::nullopt;
    for (const json& entry : entries) batch.push_back(DecodeEntry(entry));
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return batch;
}

std::optional<WallTime> KeyIssueTime(std::string_view key) {
  if (const auto time = UuidTime(key)) return time;
  // Milliseconds since 1970 have 13 digits from 2001 to 2286.
  constexpr std::size_t kMillisecondDigits = 13;
  if (key.size() <= kMillisecondDigits || key[kMillisecondDigits] != '-') {
    return std::nullopt;
  }
  const auto millis = ParseNumber(key.substr(0, kMillisecondDigits), 10);
  if (!millis) return std::nullopt;
  return WallTime(std::chrono::milliseconds(*millis));
}

}  // namespace beryllane::claim
