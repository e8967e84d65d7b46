#include "src/caller/completion_request.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "fmt/format.h"

namespace beryllane::caller {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxMessages = 4096;
constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::array<std::string_view, 4> kReservedFields{
    "cache_salt", "weights_version", "priority", "resume_from"};

Error Fault(ErrorId id, std::string message) {
  return {id, std::move(message), Verdict::kNotRun};
}

// Collects the fields of interest while the parser goes through the text, so
// that no tree of the whole document is built.
class CompletionReader : public nlohmann::json_sax<json> {
 public:
  explicit CompletionReader(bool is_chat) : is_chat_(is_chat) {}

  bool null() override { return Scalar("null"); }
  bool boolean(bool value) override {
    if (depth_ == 1 && key_ == "stream") {
      request_.is_stream = value;
      return true;
    }
    return Scalar("a boolean");
  }
  bool number_integer(json::number_integer_t value) override {
    return Number(static_cast<double>(value));
  }
  bool number_unsigned(json::number_unsigned_t value) override {
    return Number(static_cast<double>(value));
  }
  bool number_float(json::number_float_t value,
                    const std::string& /*text*/) override {
    return Number(value);
  }
  bool string(std::string& value) override {
    if (depth_ == 1 && key_ == "model") {
      request_.model = std::move(value);
      return true;
    }
    if (depth_ == 1 && key_ == "prompt" && !is_chat_) {
      request_.messages.push_back({"prompt", std::move(value)});
      return true;
    }
    if (in_messages_) return MessageString(value);
    return Scalar("a string");
  }
  bool binary(json::binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override {
    ++depth_;
    if (in_messages_ && depth_ == 3) request_.messages.emplace_back();
    if (request_.messages.size() > kMaxMessages) {
      return Fail(
          ErrorId::kInvalidField,
          fmt::format("/messages holds more than {} messages", kMaxMessages));
    }
    return CheckDepth();
  }
  bool key(std::string& value) override {
    if (depth_ == 1) {
      key_ = value;
      const bool is_reserved =
          std::find(kReservedFields.begin(), kReservedFields.end(), key_) !=
          kReservedFields.end();
      if (is_reserved) {
        return Fail(
            ErrorId::kInvalidField,
            fmt::format("/{} is set by the router and may not be sent", key_));
      }
    } else {
      inner_key_ = value;
    }
    return true;
  }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t /*elements*/) override {
    ++depth_;
    if (depth_ == 1) {
      return Fail(ErrorId::kInvalidField, "the body is not a JSON object");
    }
    if (depth_ == 2 && key_ == "messages" && is_chat_) in_messages_ = true;
    return CheckDepth();
  }
  bool end_array() override {
    if (depth_ == 2) in_messages_ = false;
    --depth_;
    return true;
  }
  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::detail::exception& e) override {
    const std::string_view what = e.what();
    const bool is_utf8 = what.find("UTF-8") != std::string_view::npos;
    return Fail(is_utf8 ? ErrorId::kInvalidUtf8 : ErrorId::kMalformedJson,
                fmt::format("the body is not valid JSON at byte {}", position));
  }

  bool has_failed() const { return has_failed_; }
  const Error& error() const { return error_; }
  CompletionRequest TakeRequest() { return std::move(request_); }

 private:
  bool Fail(ErrorId id, std::string message) {
    if (!has_failed_) error_ = Fault(id, std::move(message));
    has_failed_ = true;
    return false;
  }
  bool CheckDepth() {
    if (depth_ <= kMaxDepth) return true;
    return Fail(ErrorId::kNestingTooDeep,
                fmt::format("the body nests deeper than {} levels", kMaxDepth));
  }
  bool Number(double value) {
    const bool is_limit = depth_ == 1 && (key_ == "max_tokens" ||
                                          key_ == "max_completion_tokens");
    if (!is_limit) return Scalar("a number");
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
                  "/messages holds a string; expected objects");
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
  // Values of fields that routing reads must have their own type.
  bool Scalar(std::string_view type) {
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
  std::string key_;
  std::string inner_key_;
  bool in_messages_ = false;
  bool has_failed_ = false;
  Error error_;
};

}  // namespace

Result<CompletionRequest> ParseCompletion(const std::string& body,
                                          bool is_chat) {
  CompletionReader reader(is_chat);
  const bool ok = json::sax_parse(body, &reader);
  if (reader.has_failed()) return reader.error();
  if (!ok) {
    return Fault(ErrorId::kMalformedJson, "the body is not valid JSON");
  }
  CompletionRequest request = reader.TakeRequest();
  if (request.model.empty()) {
    return Fault(ErrorId::kInvalidField, "/model is required");
  }
  if (request.messages.empty()) {
    return Fault(ErrorId::kInvalidField,
                 is_chat ? "/messages is required and may not be empty"
                         : "/prompt is required and must be a string");
  }
  return request;
}

std::string EngineBody(const std::string& body, const EngineFields& fields) {
  const std::size_t end = body.rfind('}');
  std::string out;
  constexpr std::size_t kAddedBytes = 192;
  out.reserve(body.size() + kAddedBytes);
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
