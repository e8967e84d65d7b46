/// @file
/// Reads typed fields of a JSON object and collects every fault with its JSON
/// pointer.
#ifndef BERYLLANE_SRC_CONFIG_FIELD_READER_H_
#define BERYLLANE_SRC_CONFIG_FIELD_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "beryllane/error/error.h"

namespace beryllane::config {

/// One fault of a document.
struct Fault {
  ErrorId id = ErrorId::kConfigInvalid;
  std::string pointer;
  std::string message;
};

/// Every fault of a document, in document order.
struct Faults {
  std::vector<Fault> list;
};

/// Reads the fields of one JSON object. Fields that were never asked for are
/// reported as unknown by `Finish`. Not thread-safe.
class FieldReader {
 public:
  /// @pre `faults` outlives the reader. A value that is not an object is a
  /// fault and reads as an empty one.
  FieldReader(const nlohmann::json& value, std::string pointer, Faults& faults);

  /// Reads a string of at most 4096 bytes; `required` ones may not be empty.
  /// @pre none.
  void String(const char* name, std::string& out, bool required = false);
  /// Reads a string out of a fixed set. @pre none.
  void Choice(const char* name, std::string& out,
              std::initializer_list<std::string_view> allowed);
  /// Reads a number within bounds. @pre `low` <= `high`.
  void Number(const char* name, double& out, double low, double high);
  /// Reads an integer within bounds. @pre `low` <= `high`.
  void Integer(const char* name, std::int64_t& out, std::int64_t low,
               std::int64_t high);
  /// Reads true or false. @pre none.
  void Bool(const char* name, bool& out);
  /// Reads a count of milliseconds. @pre `low` <= `high`.
  void Millis(const char* name, std::chrono::milliseconds& out,
              std::chrono::milliseconds low, std::chrono::milliseconds high);
  /// Calls `read` for each member of an object of named objects. @pre none.
  void Each(
      const char* name,
      const std::function<void(const std::string& key, FieldReader&)>& read);
  /// Returns the raw value of a field, or null. @pre none.
  const nlohmann::json* Raw(const char* name, bool required = false);
  /// Opens a nested object; an absent one reads as empty. @pre none.
  FieldReader Object(const char* name);
  /// Reports fields that were not asked for. @pre called last.
  void Finish();
  /// Adds a fault at a field of this object. @pre none.
  void Fail(std::string_view name, std::string message);

 private:
  const nlohmann::json* Find(const char* name);
  std::string PointerTo(std::string_view name) const;

  const nlohmann::json* value_;
  std::string pointer_;
  Faults& faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace beryllane::config

#endif  // BERYLLANE_SRC_CONFIG_FIELD_READER_H_
