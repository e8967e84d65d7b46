#include "src/config/field_reader.h"

#include <cmath>
#include <utility>

#include "fmt/format.h"

namespace beryllane::config {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxString = 4096;
constexpr std::size_t kMaxShown = 60;

const json& EmptyObject() {
  static const json empty = json::object();
  return empty;
}

std::string Shown(const json& value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxShown) text = text.substr(0, kMaxShown) + "...";
  return text;
}

std::string EscapePointer(std::string_view name) {
  std::string out;
  for (const char c : name) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

}  // namespace

FieldReader::FieldReader(const json& value, std::string pointer, Faults& faults)
    : value_(&value), pointer_(std::move(pointer)), faults_(faults) {
  if (value.is_object()) return;
  faults_.list.push_back({ErrorId::kConfigInvalid, pointer_,
                          fmt::format("{} is not an object", Shown(value))});
  value_ = &EmptyObject();
}

std::string FieldReader::PointerTo(std::string_view name) const {
  return pointer_ + "/" + EscapePointer(name);
}

void FieldReader::Fail(std::string_view name, std::string message) {
  faults_.list.push_back(
      {ErrorId::kConfigInvalid, PointerTo(name), std::move(message)});
}

const json* FieldReader::Find(const char* name) {
  known_.insert(name);
  const auto it = value_->find(name);
  return it == value_->end() ? nullptr : &*it;
}

const json* FieldReader::Raw(const char* name, bool required) {
  const json* value = Find(name);
  if (value == nullptr && required) Fail(name, "is required");
  return value;
}

void FieldReader::String(const char* name, std::string& out, bool required) {
  const json* value = Raw(name, required);
  if (value == nullptr) return;
  if (!value->is_string()) {
    Fail(name, fmt::format("{} is not a string", Shown(*value)));
    return;
  }
  out = value->get<std::string>();
  if (required && out.empty()) Fail(name, "must not be empty");
  if (out.size() > kMaxString) {
    Fail(name, fmt::format("has {} bytes; at most {} are allowed", out.size(),
                           kMaxString));
  }
}

void FieldReader::Choice(const char* name, std::string& out,
                         std::initializer_list<std::string_view> allowed) {
  String(name, out);
  std::string list;
  for (const std::string_view choice : allowed) {
    if (out == choice) return;
    if (!list.empty()) list += ", ";
    list += choice;
  }
  Fail(name, fmt::format("\"{}\" is not one of: {}", out, list));
}

void FieldReader::Number(const char* name, double& out, double low,
                         double high) {
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_number()) {
    Fail(name, fmt::format("{} is not a number", Shown(*value)));
    return;
  }
  const double number = value->get<double>();
  if (!(number >= low && number <= high)) {
    Fail(name, fmt::format("{} is outside {} to {}", number, low, high));
    return;
  }
  out = number;
}

void FieldReader::Integer(const char* name, std::int64_t& out, std::int64_t low,
                          std::int64_t high) {
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_number_integer()) {
    Fail(name, fmt::format("{} is not an integer", Shown(*value)));
    return;
  }
  // Unsigned values above the signed range compare as doubles.
  const double number = value->get<double>();
  if (!(number >= static_cast<double>(low) &&
        number <= static_cast<double>(high))) {
    Fail(name, fmt::format("{} is outside {} to {}", Shown(*value), low, high));
    return;
  }
  out = value->get<std::int64_t>();
}

void FieldReader::Bool(const char* name, bool& out) {
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_boolean()) {
    Fail(name, fmt::format("{} is not true or false", Shown(*value)));
    return;
  }
  out = value->get<bool>();
}

void FieldReader::Millis(const char* name, std::chrono::milliseconds& out,
                         std::chrono::milliseconds low,
                         std::chrono::milliseconds high) {
  std::int64_t count = out.count();
  Integer(name, count, low.count(), high.count());
  out = std::chrono::milliseconds(count);
}

void FieldReader::Each(
    const char* name,
    const std::function<void(const std::string&, FieldReader&)>& read) {
  const json* value = Find(name);
  if (value == nullptr) return;
  if (!value->is_object()) {
    Fail(name, fmt::format("{} is not an object", Shown(*value)));
    return;
  }
  for (const auto& [key, item] : value->items()) {
    FieldReader reader(item, PointerTo(name) + "/" + EscapePointer(key),
                       faults_);
    read(key, reader);
    reader.Finish();
  }
}

FieldReader FieldReader::Object(const char* name) {
  const json* value = Find(name);
  return {value == nullptr ? EmptyObject() : *value, PointerTo(name), faults_};
}

void FieldReader::Finish() {
  for (const auto& [key, item] : value_->items()) {
    if (known_.contains(key)) continue;
    std::string allowed;
    for (const std::string& name : known_) {
      if (!allowed.empty()) allowed += ", ";
      allowed += name;
    }
    faults_.list.push_back({ErrorId::kConfigUnknownField, PointerTo(key),
                            "is not a known field; known are: " + allowed});
  }
}

}  // namespace beryllane::config
