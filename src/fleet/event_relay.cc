#include "src/fleet/event_relay.h"

#include <charconv>

#include "fmt/format.h"

namespace beryllane::fleet {
namespace {

// Returns the length of the first event with its empty line; `npos` if it is
// incomplete.
std::size_t EventLength(std::string_view bytes) {
  std::size_t at = bytes.find('\n');
  while (at != std::string_view::npos) {
    std::size_t next = at + 1;
    if (next < bytes.size() && bytes[next] == '\r') ++next;
    if (next < bytes.size() && bytes[next] == '\n') return next + 1;
    at = bytes.find('\n', at + 1);
  }
  return std::string_view::npos;
}

// Returns the id of an event, from its line `id: N`.
std::optional<std::uint64_t> IdOf(std::string_view event) {
  constexpr std::string_view kName = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kName)) {
      line.remove_prefix(kName.size());
      while (line.starts_with(' ')) line.remove_prefix(1);
      std::uint64_t id = 0;
      const auto [last, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (error == std::errc()) return id;
      return std::nullopt;
    }
    if (end == std::string_view::npos) return std::nullopt;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

Result<bool> EventRelay::CheckEvent(std::string_view event) {
  const auto id = IdOf(event);
  const bool follows = id && last_id_ && *id == *last_id_ + 1;
  if (is_resuming_ && !follows) {
    return Error{ErrorId::kTargetAnswerInvalid,
                 "the stream was not resumed right after its last event",
                 Verdict::kRan};
  }
  is_resuming_ = false;
  const bool is_known = id && last_id_ && *id <= *last_id_;
  if (is_known) return false;
  if (id && last_id_ && !follows) {
    return Error{ErrorId::kTargetAnswerInvalid,
                 fmt::format("event {} came after {}", *id, *last_id_),
                 Verdict::kRan};
  }
  if (id) last_id_ = id;
  has_relayed_ = true;
  return true;
}

Result<std::string> EventRelay::Feed(std::string_view bytes) {
  partial_ += bytes;
  std::string out;
  std::string_view rest = partial_;
  std::optional<Error> failure;
  while (!failure) {
    const std::size_t length = EventLength(rest);
    if (length == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, length);
    const auto is_new = CheckEvent(event);
    if (is_new.ok()) {
      if (is_new.value()) out += event;
      rest.remove_prefix(length);
    } else {
      failure = is_new.error();
    }
  }
  if (!failure && rest.size() > kMaxEventBytes) {
    failure = Error{ErrorId::kTargetAnswerInvalid,
                    fmt::format("an event is over {} bytes", kMaxEventBytes),
                    Verdict::kRan};
  }
  // What came before the failure counts as relayed; the next call fails.
  if (failure && out.empty()) return *failure;
  partial_.erase(0, partial_.size() - rest.size());
  return out;
}

}  // namespace beryllane::fleet
