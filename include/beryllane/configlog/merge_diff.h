/// @file
/// Computes the JSON merge patch between two documents.
#ifndef BERYLLANE_CONFIGLOG_MERGE_DIFF_H_
#define BERYLLANE_CONFIGLOG_MERGE_DIFF_H_

#include <nlohmann/json.hpp>

namespace beryllane::configlog {

/// Returns the merge patch (RFC 7396) that turns `from` into `to`. A merge
/// patch cannot express null values inside objects. @pre neither holds nulls.
/// Thread-safe. Complexity: linear in both documents.
///
/// Example: `MergeDiff({{"a", 1}}, {{"b", 2}})` is `{"a": null, "b": 2}`.
inline nlohmann::json MergeDiff(const nlohmann::json& from,
                                const nlohmann::json& to) {
  if (!from.is_object() || !to.is_object()) return to;
  nlohmann::json patch = nlohmann::json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) patch[key] = nullptr;
  }
  for (const auto& [key, value] : to.items()) {
    const auto old = from.find(key);
    if (old == from.end()) {
      patch[key] = value;
    } else if (*old != value) {
      patch[key] = MergeDiff(*old, value);
    }
  }
  return patch;
}

}  // namespace beryllane::configlog

#endif  // BERYLLANE_CONFIGLOG_MERGE_DIFF_H_
