#include "src/caller/error_response.h"

#include <nlohmann/json.hpp>

namespace beryllane::caller {
namespace {

using nlohmann::json;

constexpr int kMinServerErrorStatus = 500;
constexpr int kTooManyRequestsStatus = 429;

}  // namespace

std::string ErrorBody(const Error& error) {
  const int status = HttpStatus(error.id);
  const json body{
      {"error",
       {{"message", error.message},
        {"type", status < kMinServerErrorStatus ? "invalid_request_error"
                                                : "server_error"},
        {"param", nullptr},
        {"code", Name(error.id)},
        {"id", static_cast<int>(error.id)},
        {"verdict", ToString(error.verdict)}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

net::Response ErrorResponse(const Error& error) {
  const int status = HttpStatus(error.id);
  net::Response response =
      net::MakeResponse(status, ErrorBody(error) + "\n", "application/json");
  response.set(kVerdictHeader, std::string(ToString(error.verdict)));
  const bool may_retry_later =
      error.verdict == Verdict::kNotRun &&
      (status == kTooManyRequestsStatus || status > kMinServerErrorStatus);
  if (may_retry_later) response.set(net::http::field::retry_after, "1");
  return response;
}

std::string ErrorEvent(const Error& error) {
  return "event: error\ndata: " + ErrorBody(error) + "\n\n";
}

}  // namespace beryllane::caller
