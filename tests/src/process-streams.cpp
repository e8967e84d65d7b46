// A stream is whole and in order, or ends with a clear error.
#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <random>
#include <thread>

#include "tests/support/fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kTokens = 160;

json FastFailover() { return {{"defaults", {{"progress_timeout_ms", 400}}}}; }

int IndexOf(const std::string& target) { return target.back() - '0'; }

class Streams : public ::testing::Test {
 protected:
  Streams() : fleet_(2, 3, {"--step_us", "5000"}) {
    fleet_.Publish(1, FastFailover(), "failover");
    for (int i = 0; i < 2; ++i) {
      EXPECT_TRUE(Eventually(
          [&] { return fleet_.StatusOf(i).value("config_version", 0) == 2; }));
    }
    const auto answer = fleet_.Complete(0, "prompt", kTokens, true);
    EXPECT_TRUE(answer.ok());
    undisturbed_ = StreamText(answer.value().body());
    home_ = IndexOf(HeaderOf(answer.value(), "Beryllane-Target"));
  }

  // Waits until the home engine is in the middle of a stream.
  void WaitForStream() const {
    EXPECT_TRUE(Eventually([&] {
      return fleet_.ControlEngine(home_, json::object()).value("decoding", 0) >
             0;
    }));
  }

  void ExpectWhole(const Result<net::Response>& answer) const {
    ASSERT_TRUE(answer.ok()) << answer.error().message;
    EXPECT_EQ(StreamText(answer.value().body()), undisturbed_);
    EXPECT_NE(answer.value().body().find("[DONE]"), std::string::npos);
  }

  Fleet fleet_;
  std::string undisturbed_;
  int home_ = 0;
};

TEST_F(Streams, AResetAtEachPositionIsHidden) {
  std::mt19937 random(7);
  for (int round = 0; round < 6; ++round) {
    const int position = 1 + static_cast<int>(random() % (kTokens - 1));
    fleet_.ControlEngine(home_, {{"reset_at", position}});
    ExpectWhole(fleet_.Complete(round % 2, "prompt", kTokens, true));
  }
  EXPECT_GT(fleet_.Metric(0, "beryllane_stream_resumes_total"), 0);
}

TEST_F(Streams, AnEngineThatGoesSilentIsLeft) {
  auto call = std::async(std::launch::async, [&] {
    return fleet_.Complete(0, "prompt", kTokens, true);
  });
  WaitForStream();
  fleet_.ControlEngine(home_, {{"silent", true}});
  ExpectWhole(call.get());
}

TEST_F(Streams, AKilledEngineIsReplaced) {
  auto call = std::async(std::launch::async, [&] {
    return fleet_.Complete(0, "prompt", kTokens, true);
  });
  WaitForStream();
  fleet_.engine(home_).Kill();
  ExpectWhole(call.get());
}

TEST_F(Streams, AFrozenEngineIsReplaced) {
  auto call = std::async(std::launch::async, [&] {
    return fleet_.Complete(0, "prompt", kTokens, true);
  });
  WaitForStream();
  fleet_.engine(home_).Signal(SIGSTOP);
  ExpectWhole(call.get());
  fleet_.engine(home_).Signal(SIGCONT);
}

TEST_F(Streams, ACrashThatComesBackEmptyIsNotTrustedForItsCache) {
  fleet_.ControlEngine(home_, {{"crash", true}});
  const auto answer = fleet_.Complete(0, "prompt", kTokens, true);
  ExpectWhole(answer);
  EXPECT_EQ(HeaderOf(answer.value(), "Beryllane-Cached-Tokens"), "0");
}

TEST_F(Streams, AnswersOfAnotherRequestAreDropped) {
  fleet_.ControlEngine(home_, {{"cross_answers", true}});
  ExpectWhole(fleet_.Complete(0, "prompt", kTokens, true));
  EXPECT_GT(fleet_.Metric(0, "beryllane_crossed_answers_total"), 0);
}

TEST_F(Streams, WithEveryEngineBrokenTheStreamEndsWithAnError) {
  for (int i = 0; i < 3; ++i) {
    fleet_.ControlEngine(i, {{"reset_at", 5}});
  }
  const auto answer = fleet_.Complete(0, "prompt", kTokens, true);
  ASSERT_TRUE(answer.ok());
  const std::string& body = answer.value().body();
  EXPECT_NE(body.find("event: error"), std::string::npos) << body;
  EXPECT_EQ(body.find("[DONE]"), std::string::npos);
  EXPECT_TRUE(undisturbed_.starts_with(StreamText(body)));
}

TEST_F(Streams, AResumptionThatIsNoStreamIsNotRelayed) {
  for (const int status : {200, 302, 404, 500}) {
    for (const char* text : {"", "a failure", "a failure\n\n"}) {
      const json resume{{"status", status}, {"body", text}};
      for (int i = 0; i < 3; ++i) {
        fleet_.ControlEngine(i, {{"reset_at", 5}, {"resume_answer", resume}});
      }
      const auto answer = fleet_.Complete(0, "prompt", kTokens, true);
      ASSERT_TRUE(answer.ok()) << resume << answer.error().message;
      const std::string& body = answer.value().body();
      EXPECT_NE(body.find("event: error"), std::string::npos) << body;
      EXPECT_EQ(body.find("a failure"), std::string::npos) << body;
      EXPECT_EQ(body.find("[DONE]"), std::string::npos) << body;
      EXPECT_TRUE(undisturbed_.starts_with(StreamText(body))) << body;
    }
  }
  EXPECT_GT(fleet_.Metric(0, "beryllane_stream_resumes_total"), 0);
}

TEST_F(Streams, ACallerThatGoesCancelsItsWorkOnTheEngine) {
  const std::string body =
      R"({"model":"bead-7b","stream":true,"max_tokens":100000,)"
      R"("messages":[{"role":"user","content":"long"}]})";
  const std::string bytes =
      "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer " +
      std::string(Fleet::kKey) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  CallRaw(fleet_.router_address(0), bytes, milliseconds(300));
  EXPECT_TRUE(Eventually([&] {
    for (int i = 0; i < 3; ++i) {
      if (fleet_.ControlEngine(i, json::object()).value("cancelled", 0) > 0) {
        return true;
      }
    }
    return false;
  }));
}

}  // namespace
}  // namespace beryllane::testing
