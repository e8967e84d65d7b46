#include "src/caller/completion_request.h"

#include <algorithm>
#include <array>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/src.hpp>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "fmt/format.h"

namespace beryllane::caller {
namespace {

using boost::json::error_code;
using boost::json::string_view;
using nlohmann::json;

constexpr std::size_t kNoLimit = static_cast<std::size_t>(-1);
constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxMessages = 4096;
constexpr std::uint64_t kMaxTokens = 1'000'000;
// The fields of `EngineFields`, which only the router may set.
constexpr std::array<std::string_view, 4> kReservedFields{
    "cache_salt", "weights_version", "priority", "resume_from"};

Error NotRunError(ErrorId id, std::string message) {
  return {id, std::move(message), Verdict::kNotRun};
}

// SAX handler that collects the fields needed for routing, without building a
// DOM of the whole document. The member functions in snake_case and the limits
// are required by boost::json::basic_parser.
class CompletionSaxHandler {
 public:
  static constexpr std::size_t max_object_size = kNoLimit;
  static constexpr std::size_t max_array_size = kNoLimit;
  static constexpr std::size_t max_key_size = kNoLimit;
  static constexpr std::size_t max_string_size = kNoLimit;

  explicit CompletionSaxHandler(bool is_chat) : is_chat_(is_chat) {}

  bool on_document_begin(error_code& code) {
    return SetCodeOnFailure(true, code);
  }
  bool on_document_end(error_code& code) {
    return SetCodeOnFailure(true, code);
  }
  bool on_object_begin(error_code& code) {
    return SetCodeOnFailure(BeginObject(), code);
  }
  bool on_object_end(std::size_t /*count*/, error_code& /*code*/) {
    --depth_;
    return true;
  }
  bool on_array_begin(error_code& code) {
    return SetCodeOnFailure(BeginArray(), code);
  }
  bool on_array_end(std::size_t /*count*/, error_code& /*code*/) {
    if (depth_ == 2) in_messages_ = false;
    --depth_;
    return true;
  }
  bool on_key_part(string_view part, std::size_t /*count*/,
                   error_code& /*code*/) {
    buffer_.append(part.data(), part.size());
    return true;
  }
  bool on_key(string_view part, std::size_t /*count*/, error_code& code) {
    buffer_.append(part.data(), part.size());
    return SetCodeOnFailure(Key(std::exchange(buffer_, std::string())), code);
  }
  bool on_string_part(string_view part, std::size_t /*count*/,
                      error_code& /*code*/) {
    buffer_.append(part.data(), part.size());
    return true;
  }
  bool on_string(string_view part, std::size_t /*count*/, error_code& code) {
    buffer_.append(part.data(), part.size());
    return SetCodeOnFailure(String(std::exchange(buffer_, std::string())),
                            code);
  }
  bool on_number_part(string_view /*part*/, error_code& /*code*/) {
    return true;
  }
  bool on_int64(std::int64_t value, string_view /*text*/, error_code& code) {
    return SetCodeOnFailure(Number(static_cast<double>(value)), code);
  }
  bool on_uint64(std::uint64_t value, string_view /*text*/, error_code& code) {
    return SetCodeOnFailure(Number(static_cast<double>(value)), code);
  }
  bool on_double(double value, string_view /*text*/, error_code& code) {
    return SetCodeOnFailure(Number(value), code);
  }
  bool on_bool(bool value, error_code& code) {
    return SetCodeOnFailure(Boolean(value), code);
  }
  bool on_null(error_code& code) {
    return SetCodeOnFailure(RejectWrongType("null"), code);
  }
  bool on_comment_part(string_view /*part*/, error_code& /*code*/) {
    return true;
  }
  bool on_comment(string_view /*part*/, error_code& /*code*/) { return true; }

  bool has_failed() const { return has_failed_; }
  const Error& error() const { return error_; }
  CompletionRequest TakeRequest() { return std::move(request_); }

 private:
  bool Fail(ErrorId id, std::string message) {
    if (!has_failed_) error_ = NotRunError(id, std::move(message));
    has_failed_ = true;
    return false;
  }
  // Sets `code` on failure, which makes the parser stop.
  static bool SetCodeOnFailure(bool ok, error_code& code) {
    if (!ok) code = boost::json::error::syntax;
    return ok;
  }
  bool BeginObject() {
    ++depth_;
    if (in_messages_ && depth_ == 3) request_.messages.emplace_back();
    if (request_.messages.size() <= kMaxMessages) return true;
    return Fail(
        ErrorId::kInvalidField,
        fmt::format("/messages contains more than {} messages", kMaxMessages));
  }
  bool BeginArray() {
    ++depth_;
    if (depth_ == 1) {
      return Fail(ErrorId::kInvalidField, "the body is not a JSON object");
    }
    if (depth_ == 2 && key_ == "messages" && is_chat_) in_messages_ = true;
    return true;
  }
  bool Key(std::string value) {
    if (depth_ != 1) {
      inner_key_ = std::move(value);
      return true;
    }
    key_ = std::move(value);
    const bool is_reserved =
        std::find(kReservedFields.begin(), kReservedFields.end(), key_) !=
        kReservedFields.end();
    if (!is_reserved) return true;
    return Fail(
        ErrorId::kInvalidField,
        fmt::format("/{} is set by the router and may not be sent", key_));
  }
  bool String(std::string value) {
    if (depth_ == 1 && key_ == "model") {
      request_.model = std::move(value);
      return true;
    }
    if (depth_ == 1 && key_ == "prompt" && !is_chat_) {
      request_.messages.push_back({"prompt", std::move(value)});
      return true;
    }
    if (in_messages_) return MessageString(value);
    return RejectWrongType("a string");
  }
  bool Boolean(bool value) {
    if (depth_ == 1 && key_ == "stream") {
      request_.is_stream = value;
      return true;
    }
    return RejectWrongType("a boolean");
  }
  bool Number(double value) {
    const bool is_token_limit =
        depth_ == 1 &&
        (key_ == "max_tokens" || key_ == "max_completion_tokens");
    if (!is_token_limit) return RejectWrongType("a number");
    if (!(value >= 1 && value <= static_cast<double>(kMaxTokens)) ||
        value != std::floor(value)) {
      return Fail(ErrorId::kInvalidField,
                  fmt::format("/{} is {}; expected a whole number from 1 to {}",
                              key_, value, kMaxTokens));
    }
    request_.max_tokens = static_cast<std::uint64_t>(value);
    return true;
  }
  bool MessageString(std::string& value) {
    if (depth_ == 2) {
      return Fail(ErrorId::kInvalidField,
                  "/messages contains a string; expected objects");
    }
    Message& message = request_.messages.back();
    const bool is_text_part = depth_ > 3 && inner_key_ == "text";
    if (depth_ == 3 && inner_key_ == "role") {
      message.role = std::move(value);
    } else if (depth_ == 3 && inner_key_ == "content") {
      message.content = std::move(value);
    } else if (is_text_part) {
      message.content += value;
    }
    return true;
  }
  // Called by the functions above for each null, and for each string outside
  // /messages, boolean and number that they do not store in `request_`. Fails
  // if the value is the whole body or belongs to a top-level field that is
  // listed below and needs another type; ignores it otherwise. `type` names the
  // type of the value in the error message.
  bool RejectWrongType(std::string_view type) {
    if (depth_ == 0) {
      return Fail(ErrorId::kInvalidField, "the body is not a JSON object");
    }
    const bool has_other_type =
        depth_ == 1 &&
        (key_ == "model" || key_ == "messages" || key_ == "stream" ||
         key_ == "max_tokens" || (key_ == "prompt" && !is_chat_));
    if (!has_other_type) return true;
    return Fail(ErrorId::kInvalidField,
                fmt::format("/{} is {}, which is not allowed", key_, type));
  }

  bool is_chat_;
  CompletionRequest request_;
  std::size_t depth_ = 0;
  std::string buffer_;
  std::string key_;
  std::string inner_key_;
  bool in_messages_ = false;
  bool has_failed_ = false;
  Error error_;
};

}  // namespace

namespace {

// JSON allows bytes outside ASCII only in strings, where the only possible
// error in them is their encoding.
bool IsNonAscii(const std::string& body, std::size_t position) {
  constexpr unsigned char kLastAscii = 0x7F;
  return position < body.size() &&
         static_cast<unsigned char>(body[position]) > kLastAscii;
}

Error ParserError(const error_code& code, const std::string& body,
                  std::size_t position) {
  if (code == boost::json::error::too_deep) {
    return NotRunError(
        ErrorId::kNestingTooDeep,
        fmt::format("the body nests deeper than {} levels", kMaxDepth));
  }
  const bool is_at_non_ascii = IsNonAscii(body, position) ||
                               (position > 0 && IsNonAscii(body, position - 1));
  return NotRunError(
      is_at_non_ascii ? ErrorId::kInvalidUtf8 : ErrorId::kMalformedJson,
      fmt::format("the body is not valid JSON at byte {}", position));
}

}  // namespace

Result<CompletionRequest> ParseCompletion(const std::string& body,
                                          bool is_chat) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::basic_parser<CompletionSaxHandler> parser(options, is_chat);
  error_code code;
  const std::size_t consumed =
      parser.write_some(false, body.data(), body.size(), code);
  CompletionSaxHandler& handler = parser.handler();
  if (handler.has_failed()) return handler.error();
  if (code || consumed < body.size()) return ParserError(code, body, consumed);
  CompletionRequest request = handler.TakeRequest();
  if (request.model.empty()) {
    return NotRunError(ErrorId::kInvalidField, "/model is required");
  }
  if (request.messages.empty()) {
    return NotRunError(ErrorId::kInvalidField,
                       is_chat ? "/messages is required and may not be empty"
                               : "/prompt is required and must be a string");
  }
  return request;
}

std::string EngineBody(const std::string& body, const EngineFields& fields) {
  const std::size_t end = body.rfind('}');
  std::string out;
  constexpr std::size_t kMaxAddedBytes = 192;
  out.reserve(body.size() + kMaxAddedBytes);
  out.append(body, 0, end);
  fmt::format_to(
      std::back_inserter(out),
      ",\"cache_salt\":\"{}\",\"weights_version\":{},\"priority\":{}",
      fields.cache_salt, json(fields.weights_version).dump(), fields.priority);
  if (fields.resume_from > 0) {
    fmt::format_to(std::back_inserter(out), ",\"resume_from\":{}",
                   fields.resume_from);
  }
  out += '}';
  return out;
}

}  // namespace beryllane::caller
