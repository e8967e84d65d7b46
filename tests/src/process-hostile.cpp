// Broken and hostile input: each has a limit, a clear error and the verdict
// not-run, and the router goes on.
#include <gtest/gtest.h>

#include "tests/support/fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class Hostile : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet_ = std::make_unique<Fleet>(
        1, 1, std::vector<std::string>{},
        std::vector<std::string>{"--head_timeout_ms", "400",
                                 "--body_timeout_ms", "400", "--max_body_bytes",
                                 "100000"});
  }
  static void TearDownTestSuite() { fleet_.reset(); }

  // Sends a body and expects a refusal with this error and status.
  static void ExpectRefusal(const std::string& body, const std::string& code,
                            unsigned status, Headers headers = {}) {
    headers.emplace_back("Authorization", std::string("Bearer ") + Fleet::kKey);
    const auto answer = Call(fleet_->router_address(0), net::http::verb::post,
                             "/v1/chat/completions", body, headers);
    ASSERT_TRUE(answer.ok()) << answer.error().message;
    ExpectError(answer.value().body(), code);
    EXPECT_EQ(answer.value().result_int(), status);
    EXPECT_EQ(HeaderOf(answer.value(), "Beryllane-Verdict"), "not-run");
  }
  static void ExpectError(const std::string& body, const std::string& code) {
    const json parsed = json::parse(body, nullptr, false);
    ASSERT_TRUE(parsed.is_object()) << body;
    EXPECT_EQ(parsed["error"]["code"], code) << body;
  }
  static void ExpectRawRefusal(const std::string& bytes,
                               const std::string& status,
                               const std::string& code) {
    const std::string answer =
        CallRaw(fleet_->router_address(0), bytes, milliseconds(3000));
    EXPECT_NE(answer.find("HTTP/1.1 " + status), std::string::npos) << answer;
    EXPECT_NE(answer.find(code), std::string::npos) << answer;
    EXPECT_NE(answer.find("Beryllane-Verdict: not-run"), std::string::npos)
        << answer;
  }
  void TearDown() override {
    const auto answer = fleet_->Complete(0, "still alive", 2, true);
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer.value().result_int(), 200U);
  }

  static std::unique_ptr<Fleet> fleet_;
};

std::unique_ptr<Fleet> Hostile::fleet_;

constexpr const char* kGood =
    R"({"model":"bead-7b","messages":[{"role":"user","content":"x"}]})";

TEST_F(Hostile, MalformedJson) {
  ExpectRefusal("{\"model\":", "malformed_json", 400);
  ExpectRefusal("", "malformed_json", 400);
  ExpectRefusal(std::string(kGood) + "x", "malformed_json", 400);
}

TEST_F(Hostile, DeepNesting) {
  ExpectRefusal(R"({"model":"bead-7b","x":)" + std::string(40000, '['),
                "nesting_too_deep", 400);
}

TEST_F(Hostile, InvalidUtf8) {
  ExpectRefusal(
      "{\"model\":\"bead-7b\",\"messages\":[{\"role\":\"user\",\"content\":"
      "\"\xff\xfe\"}]}",
      "invalid_utf8", 400);
}

TEST_F(Hostile, WrongTypesAndReservedFields) {
  ExpectRefusal("[1]", "invalid_field", 400);
  ExpectRefusal("7", "invalid_field", 400);
  ExpectRefusal(R"({"model":7,"messages":[]})", "invalid_field", 400);
  ExpectRefusal(R"({"model":"bead-7b","messages":["x"]})", "invalid_field",
                400);
  ExpectRefusal(R"({"model":"bead-7b","messages":[],"max_tokens":-1})",
                "invalid_field", 400);
  ExpectRefusal(R"({"cache_salt":"other","model":"bead-7b","messages":[]})",
                "invalid_field", 400);
}

TEST_F(Hostile, UnknownNames) {
  ExpectRefusal(
      R"({"model":"none","messages":[{"role":"user","content":"x"}]})",
      "unknown_model", 404);
  ExpectRefusal(kGood, "unknown_kind", 400, {{"Beryllane-Kind", "none"}});
  const auto answer =
      Call(fleet_->router_address(0), net::http::verb::post,
           "/v1/chat/completions", kGood, {{"Authorization", "Bearer wrong"}});
  ASSERT_TRUE(answer.ok());
  ExpectError(answer.value().body(), "not_authenticated");
  const auto path =
      Call(fleet_->router_address(0), net::http::verb::get, "/none");
  ASSERT_TRUE(path.ok());
  ExpectError(path.value().body(), "no_such_path");
}

TEST_F(Hostile, AbsurdDeadlines) {
  for (const char* text : {"0", "-5", "99999999999999999999", "soon", "1e3"}) {
    ExpectRefusal(kGood, "invalid_deadline", 400,
                  {{"Beryllane-Deadline-Ms", text}});
  }
}

TEST_F(Hostile, AMissingDeadlineUsesTheDefault) {
  const auto answer = fleet_->Complete(0, "no deadline", 2, false);
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 200U);
}

TEST_F(Hostile, OversizedBody) {
  ExpectRefusal(std::string(200000, ' '), "body_too_large", 413);
}

TEST_F(Hostile, OversizedHead) {
  ExpectRawRefusal("GET /" + std::string(40000, 'a') + " HTTP/1.1\r\n\r\n",
                   "431", "head_too_large");
}

TEST_F(Hostile, MalformedHttp) {
  ExpectRawRefusal("GARBAGE\r\n\r\n", "400", "malformed_http");
  ExpectRawRefusal("GET / HTTP/1.1\r\nBad Header: x\r\n\r\n", "400",
                   "malformed_http");
}

TEST_F(Hostile, SlowSenders) {
  ExpectRawRefusal("GET / HTT", "408", "slow_sender");
  ExpectRawRefusal(
      "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
      "408", "slow_sender");
}

TEST_F(Hostile, PathsThatTargetsMayReadDifferently) {
  for (const char* target :
       {"/services/order-desk/../refills", "/services/order-desk/%2e%2e/x",
        "/services/order-desk//refills", "/services/none/x",
        "/services/order-desk/none", "/services/order-desk"}) {
    const auto answer =
        Call(fleet_->router_address(0), net::http::verb::post, target, "{}",
             {{"Authorization", std::string("Bearer ") + Fleet::kKey}});
    ASSERT_TRUE(answer.ok());
    EXPECT_GE(answer.value().result_int(), 400U) << target;
    EXPECT_EQ(HeaderOf(answer.value(), "Beryllane-Verdict"), "not-run");
  }
}

TEST_F(Hostile, HeadersOfTheCallerDoNotReachTargets) {
  const std::string bytes =
      std::string("POST /services/order-desk/refills HTTP/1.1\r\n") +
      "Authorization: Bearer " + Fleet::kKey + "\r\n" +
      "Idempotency-Key: " + Fleet::NewKey("inject") +
      "\r\n X-Folded: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
  const std::string answer =
      CallRaw(fleet_->router_address(0), bytes, milliseconds(3000));
  EXPECT_NE(answer.find("HTTP/1.1 "), std::string::npos);
  const json runs = fleet_->ControlService(json::object())["runs"];
  for (const auto& [key, count] : runs.items()) {
    EXPECT_EQ(key.find('\n'), std::string::npos);
    EXPECT_EQ(key.find('\r'), std::string::npos);
  }
}

TEST_F(Hostile, KeysOfBookingsAreChecked) {
  const auto call = [&](const Headers& headers) {
    Headers all = headers;
    all.emplace_back("Authorization", std::string("Bearer ") + Fleet::kKey);
    return Call(fleet_->router_address(0), net::http::verb::post,
                "/services/order-desk/refills", "{}", all);
  };
  ExpectError(call({}).value().body(), "key_required");
  ExpectError(call({{"Idempotency-Key", "abc"}}).value().body(), "invalid_key");
  ExpectError(call({{"Idempotency-Key", "1000000000000-old"}}).value().body(),
              "key_expired");
}

}  // namespace
}  // namespace beryllane::testing
