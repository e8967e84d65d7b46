#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "fmt/format.h"
#include "src/caller/completion_request.h"
#include "src/caller/error_response.h"
#include "src/caller/request_context.h"
#include "src/caller/stream_relay.h"

namespace beryllane::caller {
namespace {

using nlohmann::json;

std::string EventAt(std::uint64_t position, const std::string& id = "r1") {
  return fmt::format("id: {}\ndata: {{\"id\":\"{}\",\"t\":{}}}\n\n", position,
                     id, position);
}

TEST(StreamRelay, PassesWholeEventsInOrder) {
  StreamRelay relay("r1");
  EXPECT_EQ(relay.Feed(EventAt(0) + EventAt(1)).value(),
            EventAt(0) + EventAt(1));
  EXPECT_EQ(relay.Feed("data: [DONE]\n\n").value(), "data: [DONE]\n\n");
  EXPECT_TRUE(relay.is_complete());
}

TEST(StreamRelay, KeepsPartOfAnEventBackAndDropsItAtARestart) {
  StreamRelay relay("r1");
  const std::string event = EventAt(0);
  EXPECT_EQ(relay.Feed(event.substr(0, 10)).value(), "");
  relay.DiscardPartial();
  EXPECT_EQ(relay.Feed(event).value(), event);
  EXPECT_EQ(relay.next_position(), 1U);
}

TEST(StreamRelay, DropsWhatTheCallerHasAndRefusesGaps) {
  StreamRelay relay("r1");
  relay.Feed(EventAt(0) + EventAt(1));
  EXPECT_EQ(relay.Feed(EventAt(1) + EventAt(2)).value(), EventAt(2));
  EXPECT_EQ(relay.duplicates(), 1U);
  EXPECT_FALSE(relay.Feed(EventAt(4)).ok());
}

TEST(StreamRelay, EventsBeforeAFaultyOneAreRelayed) {
  StreamRelay relay("r1");
  const auto fed = relay.Feed(EventAt(0) + EventAt(2));
  ASSERT_TRUE(fed.ok());
  EXPECT_EQ(fed.value(), EventAt(0));
  EXPECT_EQ(relay.next_position(), 1U);
  EXPECT_FALSE(relay.Feed("").ok());
}

TEST(StreamRelay, RefusesEventsOfAnotherRequestAndWithoutPosition) {
  EXPECT_FALSE(StreamRelay("r1").Feed(EventAt(0, "r2")).ok());
  EXPECT_FALSE(StreamRelay("r1").Feed("data: {}\n\n").ok());
  EXPECT_FALSE(StreamRelay("r1").Feed("id: x\ndata: {}\n\n").ok());
  EXPECT_FALSE(StreamRelay("r1")
                   .Feed(std::string(StreamRelay::kMaxEventBytes + 1, 'x'))
                   .ok());
}

// However an answer is cut into parts and moved between targets, the caller
// gets each event once and in order.
RC_GTEST_PROP(StreamRelayProperty, AnyCutsAndRestartsGiveTheSameBytes, ()) {
  const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
  std::string whole;
  for (std::uint64_t i = 0; i < count; ++i) whole += EventAt(i);
  whole += "data: [DONE]\n\n";
  StreamRelay relay("r1");
  std::string out;
  // Each round reaches further, so that the test ends.
  for (std::size_t round = 1; !relay.is_complete(); ++round) {
    // A target resumes at or before the next position.
    const auto back = *rc::gen::inRange<std::uint64_t>(0, 3);
    std::uint64_t from =
        relay.next_position() - std::min(back, relay.next_position());
    std::string rest;
    for (; from < count; ++from) rest += EventAt(from);
    rest += "data: [DONE]\n\n";
    relay.DiscardPartial();
    const auto cut =
        std::max(*rc::gen::inRange<std::size_t>(1, rest.size() + 1),
                 std::min(rest.size(), round * 20));
    std::string_view part = rest;
    part = part.substr(0, cut);
    while (!part.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, part.size() + 1);
      const auto events = relay.Feed(part.substr(0, size));
      RC_ASSERT(events.ok());
      out += events.value();
      part.remove_prefix(size);
    }
  }
  RC_ASSERT(out == whole);
}

TEST(CompletionRequest, ReadsWhatRoutingNeeds) {
  const auto parsed = ParseCompletion(
      R"({"stream":true,"messages":[{"role":"system","content":"abc"},
          {"content":[{"type":"text","text":"d"},{"type":"text","text":"e"}],
           "role":"user"}],"max_tokens":7,"model":"m","other":{"x":[1]}})",
      true);
  ASSERT_TRUE(parsed.ok()) << parsed.error().message;
  EXPECT_EQ(parsed.value().model, "m");
  EXPECT_TRUE(parsed.value().is_stream);
  EXPECT_EQ(parsed.value().max_tokens, 7U);
  ASSERT_EQ(parsed.value().messages.size(), 2U);
  EXPECT_EQ(parsed.value().messages[0].content, "abc");
  EXPECT_EQ(parsed.value().messages[1].content, "de");
}

TEST(CompletionRequest, TheEnginesBodyIsTheCallersWithFieldsAdded) {
  const std::string body =
      R"({"model":"m","messages":[{"role":"user","content":"}"}]} )";
  const json out = json::parse(EngineBody(body, {"salt", "w\"1", -3, 9}));
  json expected = json::parse(body);
  expected["cache_salt"] = "salt";
  expected["weights_version"] = "w\"1";
  expected["priority"] = -3;
  expected["resume_from"] = 9;
  EXPECT_EQ(out, expected);
}

// Any bytes give a request or an error with verdict not-run, never a crash.
RC_GTEST_PROP(CompletionRequestProperty, AnyBytesAreJudged, ()) {
  std::string body =
      R"({"model":"m","messages":[{"role":"user","content":"x"}],"s":[[1]]})";
  const auto edits = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
    body[at] = *rc::gen::arbitrary<char>();
  }
  const auto parsed = ParseCompletion(body, *rc::gen::arbitrary<bool>());
  if (parsed.ok()) {
    RC_ASSERT(json::accept(body));
    RC_ASSERT(json::accept(EngineBody(body, {"s", "w", 0, 0})));
  } else {
    RC_ASSERT(parsed.error().verdict == Verdict::kNotRun);
  }
}

TEST(ErrorAnswer, CarriesIdAndVerdict) {
  const net::Response answer =
      ErrorResponse({ErrorId::kOverloaded, "busy\xff", Verdict::kNotRun});
  EXPECT_EQ(answer.result_int(), 503U);
  EXPECT_EQ(net::Header(answer, kVerdictHeader), "not-run");
  EXPECT_EQ(net::Header(answer, "Retry-After"), "1");
  const json body = json::parse(answer.body());
  EXPECT_EQ(body["error"]["id"], 204);
  EXPECT_EQ(body["error"]["code"], "overloaded");
}

TEST(Sha256Hex, MatchesAKnownDigest) {
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace
}  // namespace beryllane::caller
