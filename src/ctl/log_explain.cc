#include "src/ctl/log_explain.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include "fmt/format.h"

namespace beryllane::ctl {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// How long before a request its router's beliefs are of interest: longer than
// the entry of a lost target stays on the list.
constexpr milliseconds kBefore{5000};

// What concerns all requests of a router.
constexpr std::array<std::string_view, 9> kRouterEvents{
    "started",    "ready",    "not-ready",       "draining", "stopped",
    "store-down", "store-up", "config-in-force", "reloaded"};

std::int64_t TimeOf(const json& line) {
  return line.value("time_ms", std::int64_t{0});
}

bool Concerns(const json& line, const std::set<std::string>& targets) {
  const std::string event = line.value("event", "");
  const bool is_of_router =
      std::find(kRouterEvents.begin(), kRouterEvents.end(), event) !=
      kRouterEvents.end();
  return is_of_router || (!line.contains("request") &&
                          targets.contains(line.value("target", "")));
}

std::string Fields(const json& line) {
  std::string text;
  for (const auto& [name, value] : line.items()) {
    const bool is_shown_already = name == "time_ms" || name == "event" ||
                                  name == "host" || name == "level" ||
                                  name == "process" || name == "request";
    if (!is_shown_already) text += fmt::format(" {}={}", name, value.dump());
  }
  return text;
}

}  // namespace

void LogCollection::Read(std::istream& in) {
  std::string text;
  while (std::getline(in, text)) {
    const std::size_t brace = text.find('{');
    json line = brace == std::string::npos
                    ? json()
                    : json::parse(text.substr(brace), nullptr, false);
    if (line.is_object()) {
      lines_.push_back(std::move(line));
    } else if (!text.empty()) {
      ++unreadable_;
    }
  }
}

std::vector<json> LogCollection::LinesAbout(const std::string& request) const {
  std::set<std::string> targets;
  std::set<std::string> hosts;
  std::optional<std::int64_t> first;
  std::int64_t last = 0;
  for (const json& line : lines_) {
    if (line.value("request", "") != request) continue;
    if (line.contains("target")) targets.insert(line.value("target", ""));
    hosts.insert(line.value("host", ""));
    first = std::min(first.value_or(TimeOf(line)), TimeOf(line));
    last = std::max(last, TimeOf(line));
  }
  std::vector<json> found;
  if (!first) return found;
  for (const json& line : lines_) {
    const bool is_own = line.value("request", "") == request;
    const bool is_in_time =
        TimeOf(line) >= *first - kBefore.count() && TimeOf(line) <= last;
    const bool is_context = is_in_time &&
                            hosts.contains(line.value("host", "")) &&
                            Concerns(line, targets);
    if (is_own || is_context) found.push_back(line);
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const json& a, const json& b) { return TimeOf(a) < TimeOf(b); });
  return found;
}

std::string ExplainLines(const std::string& request,
                         const std::vector<json>& lines) {
  const auto own = std::find_if(lines.begin(), lines.end(), [&](const json& l) {
    return l.value("request", "") == request;
  });
  if (own == lines.end()) {
    return fmt::format("no line names request {}\n", request);
  }
  std::string text;
  const json* done = nullptr;
  const json* failure = nullptr;
  for (const json& line : lines) {
    const std::string event = line.value("event", "");
    const bool is_own = line.value("request", "") == request;
    text += fmt::format("{:>8} ms {} {:<18} {}{}\n",
                        TimeOf(line) - TimeOf(*own), is_own ? "*" : " ", event,
                        line.value("host", ""), Fields(line));
    if (is_own && event == "request-done") done = &line;
    if (is_own && event == "attempt-failed") failure = &line;
  }
  if (done == nullptr) {
    text += "its end is not in these logs\n";
    return text;
  }
  text += fmt::format("{} after {} ms and {} attempts",
                      done->value("outcome", "ended"),
                      done->value("took_ms", 0), done->value("attempts", 0));
  const json* cause = done->contains("error") ? done : failure;
  if (cause != nullptr) {
    text +=
        fmt::format("; {}: {} (verdict {})", cause->value("error", ""),
                    cause->value("message", ""), cause->value("verdict", ""));
  }
  return text + "\n";
}

}  // namespace beryllane::ctl
