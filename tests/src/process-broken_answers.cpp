// Streams that broke off and whose next runner answers with something else than
// the rest of the stream.
#include <gtest/gtest.h>

#include <charconv>

#include "fmt/format.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kCutAt = 7;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

struct RawStream {
  std::string head;
  std::string events;
  bool has_final_chunk = false;
  // What follows the last whole chunk.
  std::string rest;
};

RawStream Dechunk(const std::string& bytes) {
  RawStream stream;
  const std::size_t head_end = bytes.find(kHeadEnd);
  if (head_end == std::string::npos) return {bytes, "", false, ""};
  std::string_view rest = bytes;
  stream.head = rest.substr(0, head_end);
  rest.remove_prefix(head_end + kHeadEnd.size());
  while (!stream.has_final_chunk) {
    const std::size_t line = rest.find("\r\n");
    if (line == std::string_view::npos) break;
    std::size_t size = 0;
    const auto [end, error] =
        std::from_chars(rest.data(), rest.data() + line, size, 16);
    const bool is_size = error == std::errc() && end == rest.data() + line;
    if (!is_size || rest.size() < line + 2 + size + 2) break;
    stream.events += rest.substr(line + 2, size);
    stream.has_final_chunk = size == 0;
    rest.remove_prefix(line + 2 + size + 2);
  }
  stream.rest = rest;
  return stream;
}

class BrokenAnswers : public ::testing::Test {
 protected:
  // Every stream breaks off, and every resumption is answered with `answer`.
  void ExpectBrokenStreamAfter(const json& answer) {
    SCOPED_TRACE(answer.dump());
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet_.ControlRunner(i, {{"cut_at", kCutAt}, {"resume_answer", answer}});
    }
    const std::string id = fmt::format("r{}", ++requests_);
    // The second request is answered only where the connection goes on.
    const std::string received = CallRaw(
        fleet_.router_address(0),
        fmt::format("POST /advice/x HTTP/1.1\r\nHost: {0}\r\n"
                    "Credential: {1}\r\nAttempt-Id: {2}\r\nModel: {3}\r\n"
                    "Token-Usage: 10,20\r\nPrompt-Prefix: a{2}:5,b{2}:5\r\n"
                    "Content-Length: 0\r\n\r\n"
                    "GET /open/x HTTP/1.1\r\nHost: {0}\r\n"
                    "Attempt-Id: after-{2}\r\n\r\n",
                    PlatformFleet::kHost, PlatformFleet::kKey, id,
                    PlatformFleet::kModel),
        milliseconds(4000));
    const RawStream stream = Dechunk(received);
    EXPECT_TRUE(stream.head.starts_with("HTTP/1.1 200")) << received;
    const std::string whole = PlatformFleet::WholeStream();
    const std::string lost = PlatformFleet::WholeStream(kCutAt);
    EXPECT_EQ(stream.events, whole.substr(0, whole.size() - lost.size()));
    EXPECT_FALSE(stream.has_final_chunk);
    EXPECT_EQ(stream.rest, "");
    EXPECT_EQ(fleet_.RunsOf(id), 2);
    EXPECT_EQ(fleet_.RunsOf("after-" + id), 0);
  }

  PlatformFleet fleet_;
  int requests_ = 0;
};

TEST_F(BrokenAnswers, ABegunStreamTakesNoOtherStatus) {
  for (const int status : {302, 400, 404, 413}) {
    ExpectBrokenStreamAfter({{"status", status}, {"body", "a failure\n\n"}});
  }
  ExpectBrokenStreamAfter({{"status", 304}});
}

TEST_F(BrokenAnswers, ABegunStreamTakesNoServerError) {
  for (const int status : {500, 502, 503, 504}) {
    ExpectBrokenStreamAfter({{"status", status}, {"body", "a failure\n\n"}});
  }
}

TEST_F(BrokenAnswers, ABegunStreamTakesNoSuccessOfAnotherType) {
  for (const char* body : {"", "a failure", "a failure\n\n"}) {
    ExpectBrokenStreamAfter({{"status", 200}, {"body", body}});
  }
  ExpectBrokenStreamAfter({{"status", 204}});
}

TEST_F(BrokenAnswers, ABegunStreamIsNotCompletedByAnEmptyOne) {
  ExpectBrokenStreamAfter({{"status", 200}, {"type", "text/event-stream"}});
}

TEST_F(BrokenAnswers, ABegunStreamGoesOnOnlyAfterItsLastEvent) {
  const std::string other = PlatformFleet::WholeStream();
  const std::string gap = PlatformFleet::WholeStream(kCutAt + 1);
  for (const std::string& body :
       {other, gap, std::string("data: a failure\n\n")}) {
    ExpectBrokenStreamAfter(
        {{"status", 200}, {"type", "text/event-stream"}, {"body", body}});
  }
}

}  // namespace
}  // namespace beryllane::testing
