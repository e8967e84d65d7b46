#include "src/allowance/lease_messages.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace beryllane::allowance {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Field that tells these messages from the others of the same port, which are
// arrays.
constexpr const char* kCallField = "lease";
constexpr const char* kReplyField = "grant";

std::string Pack(const json& value) {
  const auto bytes = json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

// Throws where the value is no finite number of at least zero.
double ToUnits(const json& value) {
  const double units = value.get<double>();
  if (!std::isfinite(units) || units < 0) {
    throw std::out_of_range("expected a number of units");
  }
  return units;
}

}  // namespace

std::string Encode(const LeaseCall& call) {
  return Pack(
      {{kCallField,
        {call.account, call.borrower, call.request.needed, call.request.wanted,
         call.limit.per_second, call.limit.burst, call.config_version}}});
}

std::string Encode(const LeaseReply& reply) {
  const auto retry_ms =
      std::chrono::ceil<milliseconds>(reply.grant.retry_after).count();
  return Pack({{kReplyField,
                {static_cast<int>(reply.kind), reply.grant.units, retry_ms}}});
}

std::optional<LeaseCall> DecodeLeaseCall(const std::string& message) {
  try {
    const json body = json::from_msgpack(message);
    if (!body.is_object() || !body.contains(kCallField)) return std::nullopt;
    const json& fields = body.at(kCallField);
    LeaseCall call;
    call.account = fields.at(0).get<std::string>();
    call.borrower = fields.at(1).get<std::uint64_t>();
    call.request.needed = ToUnits(fields.at(2));
    call.request.wanted = ToUnits(fields.at(3));
    call.limit.per_second = ToUnits(fields.at(4));
    call.limit.burst = ToUnits(fields.at(5));
    call.config_version = fields.at(6).get<std::uint64_t>();
    return call;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<LeaseReply> DecodeLeaseReply(const std::string& message) {
  try {
    const json body = json::from_msgpack(message);
    const json& fields = body.at(kReplyField);
    const int kind = fields.at(0).get<int>();
    const bool is_known =
        kind >= static_cast<int>(LeaseReply::Kind::kGranted) &&
        kind <= static_cast<int>(LeaseReply::Kind::kNotOwner);
    if (!is_known) return std::nullopt;
    LeaseReply reply;
    reply.kind = static_cast<LeaseReply::Kind>(kind);
    reply.grant.units = ToUnits(fields.at(1));
    reply.grant.retry_after = milliseconds(fields.at(2).get<std::int64_t>());
    return reply;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace beryllane::allowance
