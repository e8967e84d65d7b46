#include "src/caller/stream_relay.h"

#include <charconv>
#include <utility>

#include "beryllane/invariant/invariant.h"
#include "fmt/format.h"

namespace beryllane::caller {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kPositionField = "id: ";
constexpr std::string_view kDoneEvent = "data: [DONE]";

Error InvalidStreamError(std::string message) {
  return {ErrorId::kTargetAnswerInvalid, std::move(message), Verdict::kRan};
}

}  // namespace

StreamRelay::StreamRelay(std::string_view request_id)
    : id_member_(fmt::format("\"id\":\"{}\"", request_id)) {}

Result<std::string> StreamRelay::Feed(std::string_view bytes) {
  std::string joined;
  std::string_view rest = bytes;
  if (!partial_.empty()) {
    joined = std::exchange(partial_, std::string());
    joined += bytes;
    rest = joined;
  }
  std::string out;
  while (!is_complete_) {
    const std::size_t end = rest.find(kEventEnd);
    if (end == std::string_view::npos) break;
    const std::string_view event = rest.substr(0, end);
    auto is_next = CheckEvent(event);
    if (!is_next.ok() && out.empty()) return is_next.error();
    // What came before counts as relayed; the next call fails.
    if (!is_next.ok()) break;
    if (is_next.value()) out += rest.substr(0, end + kEventEnd.size());
    rest.remove_prefix(end + kEventEnd.size());
  }
  if (out.empty() && rest.size() > kMaxEventBytes) {
    return InvalidStreamError(
        fmt::format("an event exceeds {} bytes", kMaxEventBytes));
  }
  partial_ = rest;
  return out;
}

Result<bool> StreamRelay::CheckEvent(std::string_view event) {
  if (event == kDoneEvent) {
    is_complete_ = true;
    return true;
  }
  if (!event.starts_with(kPositionField)) {
    return InvalidStreamError("an event has no position");
  }
  std::uint64_t position = 0;
  const char* first = event.data() + kPositionField.size();
  const char* last = event.data() + event.size();
  const auto [end, error] = std::from_chars(first, last, position);
  if (error != std::errc() || end == last || *end != '\n') {
    return InvalidStreamError("an event's position is not a number");
  }
  if (event.find(id_member_) == std::string_view::npos) {
    return InvalidStreamError("an event belongs to another request");
  }
  if (position < next_position_) {
    ++duplicates_;
    return false;
  }
  if (position > next_position_) {
    return InvalidStreamError(fmt::format(
        "received event position {}, expected {}", position, next_position_));
  }
  ++next_position_;
  return true;
}

}  // namespace beryllane::caller
