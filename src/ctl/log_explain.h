/// @file
/// Finds out from collected logs what happened to one request.
#ifndef BERYLLANE_SRC_CTL_LOG_EXPLAIN_H_
#define BERYLLANE_SRC_CTL_LOG_EXPLAIN_H_

#include <chrono>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace beryllane::ctl {

/// Lines of routers' logs, collected from any number of files.
class LogCollection {
 public:
  /// Reads JSON lines; what precedes the first brace of a line is skipped, as
  /// collectors put a time or a name there. @pre none. Not thread-safe.
  void Read(std::istream& in);
  /// Lines that were no JSON object. @pre none.
  std::size_t unreadable() const { return unreadable_; }

  /// The request's own lines, and what its router noted of the request's
  /// targets and of its own state shortly before and meanwhile, by time; empty
  /// where the request is not named. @pre none.
  std::vector<nlohmann::json> LinesAbout(const std::string& request) const;

 private:
  std::vector<nlohmann::json> lines_;
  std::size_t unreadable_ = 0;
};

/// One text line for each log line, with the time since the first line of the
/// request, and a last one that names outcome and cause. @pre none.
/// Thread-safe.
std::string ExplainLines(const std::string& request,
                         const std::vector<nlohmann::json>& lines);

}  // namespace beryllane::ctl

#endif  // BERYLLANE_SRC_CTL_LOG_EXPLAIN_H_
