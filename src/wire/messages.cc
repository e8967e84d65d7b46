#include "src/wire/messages.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace beryllane::wire {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kStateExchangeTag = 1;
constexpr int kClaimTag = 2;
constexpr int kUpdateTag = 3;

json ToBinary(const std::string& data) {
  return json::binary(std::vector<std::uint8_t>(data.begin(), data.end()));
}

std::string FromBinary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

json EncodeLoads(const std::vector<LoadEntry>& loads) {
  json out = json::array();
  for (const LoadEntry& load : loads) {
    out.push_back(json::array(
        {load.runner_hash, load.age.count(), load.queued_tokens, load.running,
         load.prefill_tokens_per_second, load.incarnation}));
  }
  return out;
}

std::vector<LoadEntry> DecodeLoads(const json& list) {
  std::vector<LoadEntry> loads;
  for (const json& e : list) {
    loads.push_back({e.at(0).get<std::uint32_t>(),
                     milliseconds(e.at(1).get<std::int64_t>()),
                     e.at(2).get<std::uint32_t>(), e.at(3).get<std::uint32_t>(),
                     e.at(4).get<std::uint32_t>(),
                     e.at(5).get<std::uint64_t>()});
  }
  return loads;
}

json EncodeRecords(const std::vector<configlog::LogRecord>& records) {
  json out = json::array();
  for (const auto& record : records) {
    out.push_back(
        json::array({record.offset, record.time.time_since_epoch().count(),
                     ToBinary(record.data)}));
  }
  return out;
}

std::vector<configlog::LogRecord> DecodeRecords(const json& list) {
  std::vector<configlog::LogRecord> records;
  for (const json& e : list) {
    records.push_back({e.at(0).get<std::uint64_t>(),
                       WallTime(milliseconds(e.at(1).get<std::int64_t>())),
                       FromBinary(e.at(2))});
  }
  return records;
}

// Encodes an entry as a batch of one, as in the log of a claim partition.
json EncodeEntry(claim::Entry entry) {
  return ToBinary(claim::EncodeBatch({std::move(entry)}));
}

std::optional<claim::Entry> DecodeEntry(const json& value) {
  auto batch = claim::DecodeBatch(FromBinary(value));
  if (!batch || batch->size() != 1) return std::nullopt;
  return std::move(batch->front());
}

struct RequestEncoder {
  json operator()(const StateExchange& m) const {
    const json checkpoint =
        m.checkpoint ? ToBinary(configlog::Encode(*m.checkpoint)) : json();
    return json::array({kStateExchangeTag, m.sender, m.config_through,
                        m.config_version, m.is_leaving, m.wants_full_state,
                        EncodeLoads(m.loads), EncodeRecords(m.records),
                        checkpoint, m.hosts});
  }
  json operator()(const ClaimRequest& m) const {
    return json::array(
        {kClaimTag, m.partition, EncodeEntry(m.entry), m.time_left.count()});
  }
  json operator()(const ClaimUpdate& m) const {
    return json::array({kUpdateTag, m.partition, EncodeEntry(m.entry)});
  }
};

StateExchange DecodeExchange(const json& m) {
  StateExchange exchange;
  exchange.sender = m.at(1).get<std::string>();
  exchange.config_through = m.at(2).get<std::uint64_t>();
  exchange.config_version = m.at(3).get<std::uint64_t>();
  exchange.is_leaving = m.at(4).get<bool>();
  exchange.wants_full_state = m.at(5).get<bool>();
  exchange.loads = DecodeLoads(m.at(6));
  exchange.records = DecodeRecords(m.at(7));
  if (!m.at(8).is_null()) {
    exchange.checkpoint = configlog::DecodeCheckpoint(FromBinary(m.at(8)));
  }
  exchange.hosts = m.at(9).get<std::string>();
  return exchange;
}

std::optional<PeerRequest> DecodeTagged(const json& m) {
  const int tag = m.at(0).get<int>();
  if (tag == kStateExchangeTag) return DecodeExchange(m);
  if (tag != kClaimTag && tag != kUpdateTag) return std::nullopt;
  const auto partition = m.at(1).get<std::uint32_t>();
  auto entry = DecodeEntry(m.at(2));
  if (!entry) return std::nullopt;
  if (tag == kUpdateTag) return ClaimUpdate{partition, std::move(*entry)};
  const auto* claim = std::get_if<claim::ClaimEntry>(&*entry);
  if (claim == nullptr) return std::nullopt;
  return ClaimRequest{partition, *claim,
                      milliseconds(m.at(3).get<std::int64_t>())};
}

}  // namespace

std::string Encode(const PeerRequest& request) {
  std::string out;
  json::to_cbor(std::visit(RequestEncoder{}, request), out);
  return out;
}

std::optional<PeerRequest> DecodeRequest(std::string_view data) {
  try {
    const json message = json::from_cbor(data);
    if (!message.is_array()) return std::nullopt;
    return DecodeTagged(message);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string Encode(const claim::ClaimAnswer& answer) {
  const json outcome = answer.outcome ? EncodeEntry(*answer.outcome) : json();
  std::string out;
  json::to_cbor(json::array({static_cast<int>(answer.status), outcome}), out);
  return out;
}

std::optional<claim::ClaimAnswer> DecodeClaimAnswer(std::string_view data) {
  constexpr int kMaxStatus = static_cast<int>(claim::ClaimStatus::kUnavailable);
  try {
    const json message = json::from_cbor(data);
    const int status = message.at(0).get<int>();
    if (status < 0 || status > kMaxStatus) return std::nullopt;
    claim::ClaimAnswer answer;
    answer.status = static_cast<claim::ClaimStatus>(status);
    if (message.at(1).is_null()) return answer;
    const auto entry = DecodeEntry(message.at(1));
    const auto* outcome =
        entry ? std::get_if<claim::OutcomeEntry>(&*entry) : nullptr;
    if (outcome == nullptr) return std::nullopt;
    answer.outcome = *outcome;
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace beryllane::wire
