#include "src/fleet/record_relay.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace beryllane::fleet {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string Pack(const json& message) {
  const auto bytes = json::to_msgpack(message);
  return {bytes.begin(), bytes.end()};
}

json ToJson(const platform::RecordPage& page) {
  json records = json::array();
  for (const auto& record : page.records) {
    const auto* data =
        reinterpret_cast<const std::uint8_t*>(record.value.data());
    records.push_back({record.key,
                       json::binary({data, data + record.value.size()}),
                       record.offset});
  }
  return {page.next, records};
}

platform::RecordPage ToPage(const json& object) {
  platform::RecordPage page;
  page.next = object.at(0).get<std::uint64_t>();
  for (const json& record : object.at(1)) {
    const auto& value = record.at(1).get_binary();
    page.records.push_back({record.at(0).get<std::string>(),
                            std::string(value.begin(), value.end()),
                            record.at(2).get<std::uint64_t>()});
  }
  return page;
}

json OffsetToJson(std::optional<std::uint64_t> offset) {
  return offset ? json(*offset) : json();
}

std::optional<std::uint64_t> ToOffset(const json& value) {
  if (value.is_null()) return std::nullopt;
  return value.get<std::uint64_t>();
}

}  // namespace

void RecordTail::Reset(const platform::RecordPage& newest) {
  DropRecords();
  first_ = newest.next;
  end_ = newest.next;
  newest_.emplace();
  for (const auto& record : newest.records) {
    if (!record.value.empty()) (*newest_)[record.key] = record;
  }
}

void RecordTail::Add(std::uint64_t from, const platform::RecordPage& page) {
  if (from != end_) {
    DropRecords();
    newest_.reset();
    first_ = from;
  }
  for (const auto& record : page.records) {
    records_.push_back(record);
    bytes_ += SizeOf(record);
    if (!newest_) continue;
    if (record.value.empty()) {
      newest_->erase(record.key);
    } else {
      (*newest_)[record.key] = record;
    }
  }
  end_ = page.next;
  while (records_.size() > kMaxRecords || bytes_ > kMaxBytes) {
    bytes_ -= SizeOf(records_.front());
    first_ = records_.front().offset + 1;
    records_.pop_front();
  }
}

std::optional<platform::RecordPage> RecordTail::ReadFrom(
    std::uint64_t from) const {
  if (from < first_ || from > end_) return std::nullopt;
  platform::RecordPage page;
  page.next = end_;
  for (const auto& record : records_) {
    if (record.offset >= from) page.records.push_back(record);
  }
  return page;
}

std::optional<platform::RecordPage> RecordTail::ReadNewest() const {
  if (!newest_) return std::nullopt;
  platform::RecordPage page;
  page.next = end_;
  for (const auto& [key, record] : *newest_) page.records.push_back(record);
  return page;
}

std::string Encode(const RelayRequest& request) {
  return Pack({OffsetToJson(request.operator_next),
               OffsetToJson(request.targets_next),
               OffsetToJson(request.quarantine_next), request.era});
}

std::string Encode(const RelayAnswer& answer) {
  return Pack({answer.proof_age.count(), ToJson(answer.operator_page),
               ToJson(answer.targets_page), ToJson(answer.quarantine_page),
               answer.era});
}

std::string Encode(const NoRecords& answer) {
  return Pack(json::array({OffsetToJson(answer.rank)}));
}

std::optional<NoRecords> DecodeNoRecords(const std::string& message) {
  try {
    const json body = json::from_msgpack(message);
    if (!body.is_array() || body.size() != 1) return std::nullopt;
    return NoRecords{ToOffset(body.at(0))};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<RelayRequest> DecodeRelayRequest(const std::string& message) {
  try {
    const json body = json::from_msgpack(message);
    return RelayRequest{ToOffset(body.at(0)), ToOffset(body.at(1)),
                        ToOffset(body.at(2)), body.at(3).get<std::uint64_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<RelayAnswer> DecodeRelayAnswer(const std::string& message) {
  try {
    const json body = json::from_msgpack(message);
    RelayAnswer answer;
    answer.proof_age = milliseconds(body.at(0).get<std::int64_t>());
    answer.operator_page = ToPage(body.at(1));
    answer.targets_page = ToPage(body.at(2));
    answer.quarantine_page = ToPage(body.at(3));
    answer.era = body.at(4).get<std::uint64_t>();
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void RecordRelay::SetEra(std::uint64_t era) {
  if (era == era_) return;
  era_ = era;
  for (RecordTail* tail :
       {&operator_tail_, &targets_tail_, &quarantine_tail_}) {
    tail->Clear();
  }
}

std::string RecordRelay::Serve(const std::string& message) const {
  const auto request = DecodeRelayRequest(message);
  if (!request || !is_store_up_) return "";
  const bool needs_newest = !request->operator_next || !request->targets_next ||
                            !request->quarantine_next;
  std::string no_records = needs_newest ? Encode(NoRecords{rank_}) : "";
  if (request->era != era_) return no_records;
  auto operator_page = operator_tail_.Read(request->operator_next);
  auto targets_page = targets_tail_.Read(request->targets_next);
  auto quarantine_page = quarantine_tail_.Read(request->quarantine_next);
  if (!operator_page || !targets_page || !quarantine_page) return no_records;
  RelayAnswer answer;
  answer.era = era_;
  const auto age = freshness_.Age(BootClock::now());
  if (age) {
    answer.proof_age = std::chrono::ceil<milliseconds>(*age);
  }
  answer.operator_page = std::move(*operator_page);
  answer.targets_page = std::move(*targets_page);
  answer.quarantine_page = std::move(*quarantine_page);
  return Encode(answer);
}

}  // namespace beryllane::fleet
