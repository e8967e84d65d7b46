// The whole path on the platform's stand-ins: answers whole and unchanged,
// side effects at most once, refusals true.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "src/net/runtime.h"
#include "tests/support/platform_fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

int StatusOf(const Result<net::Response>& answer) {
  return answer.ok() ? static_cast<int>(answer.value().result_int()) : 0;
}

class Platform : public ::testing::Test {
 protected:
  void SetAllDesks(const json& change) const {
    for (int i = 0; i < PlatformFleet::kDesks; ++i) {
      fleet_.ControlDesk(i, change);
    }
  }
  void SetAllRunners(const json& change) const {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet_.ControlRunner(i, change);
    }
  }
  // What the desk that ran a request saw of it.
  json SeenAtDesk(const std::string& id) const {
    for (int i = 0; i < PlatformFleet::kDesks; ++i) {
      const json seen = fleet_.ControlDesk(i, json::object());
      if (seen["runs"].contains(id)) return seen["last"];
    }
    return nullptr;
  }
  void PutConfig(const json& config) const {
    fleet_.Put("keyed.op", "config", config);
  }

  PlatformFleet fleet_;
};

TEST_F(Platform, AnAnswerComesBackUnchanged) {
  const auto answer = fleet_.Send(0, "/book/one?x=1", "r1", {}, "order 7");
  ASSERT_TRUE(answer.ok()) << answer.error().message;
  EXPECT_EQ(answer.value().result_int(), 200U);
  EXPECT_EQ(HeaderOf(answer.value(), "Attempt-Id"), "r1");
  EXPECT_TRUE(HeaderOf(answer.value(), "Response-Seal").starts_with("seal-of"));
  EXPECT_NE(answer.value().body().find("order 7"), std::string::npos);
  const json seen = SeenAtDesk("r1");
  EXPECT_EQ(seen["method"], "POST");
  EXPECT_EQ(seen["path"], "/book/one?x=1");
  EXPECT_EQ(seen["headers"]["Tenant"], "workshop");
  EXPECT_EQ(seen["headers"]["Host"], PlatformFleet::kHost);
  EXPECT_FALSE(seen["headers"].contains("Credential"));
}

TEST_F(Platform, AStreamComesWholeAndItsPromptStaysAtOneRunner) {
  for (int i = 0; i < 4; ++i) {
    const auto answer =
        fleet_.Ask(0, "/advice/x", "stream-" + std::to_string(i));
    ASSERT_TRUE(answer.ok()) << answer.error().message;
    EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
  }
  int used = 0;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    used += fleet_.RunsAtRunner(i) > 0 ? 1 : 0;
  }
  EXPECT_EQ(used, 1);
}

TEST_F(Platform, WhatACallerSetsInTheRoutersHeadersIsDropped) {
  const auto answer = fleet_.Send(0, "/book/x", "r1",
                                  {{"Tenant", "other"},
                                   {"Expect-Version", "9"},
                                   {"Cache-Salt", "stolen"},
                                   {"Kv-From", "10.0.0.1:1/x"},
                                   {"Hold", "h"},
                                   {"Connection", "Attempt-Id, X-Hop"},
                                   {"X-Hop", "1"},
                                   {"X-Kept", "1"}});
  EXPECT_EQ(StatusOf(answer), 200);
  const json headers = SeenAtDesk("r1")["headers"];
  EXPECT_EQ(headers["Tenant"], "workshop");
  EXPECT_EQ(headers["X-Kept"], "1");
  for (const char* name :
       {"Expect-Version", "Cache-Salt", "Kv-From", "Hold", "X-Hop"}) {
    EXPECT_FALSE(headers.contains(name)) << name;
  }
}

TEST_F(Platform, ARunnerLearnsTheRanksOfItsRequests) {
  fleet_.Ask(0, "/advice/x", "r1", {{"Request-Urgency", "0"}});
  int seen = 0;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json runner = fleet_.ControlRunner(i, json::object());
    if (!runner["runs"].contains("r1")) continue;
    ++seen;
    EXPECT_EQ(runner["last"]["headers"]["Request-Urgency"], "1");
  }
  EXPECT_EQ(seen, 1);
}

TEST_F(Platform, ACallWhoseAnswerIsLostIsNotRepeated) {
  SetAllDesks({{"lose_answers", true}});
  const auto answer = fleet_.Send(0, "/book/x", "r1");
  EXPECT_EQ(StatusOf(answer), 502);
  EXPECT_EQ(fleet_.RunsOf("r1"), 1);
}

TEST_F(Platform, AnIdempotentRequestIsRepeatedOnce) {
  SetAllDesks({{"lose_answers", true}});
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/stock/x", "r1")), 502);
  EXPECT_EQ(fleet_.RunsOf("r1"), 2);
}

TEST_F(Platform, ACallThatOneTargetRefusesRunsAtAnother) {
  for (int i = 0; i < PlatformFleet::kDesks; ++i) {
    SetAllDesks({{"refuse", false}});
    fleet_.ControlDesk(i, {{"refuse", true}});
    const std::string id = "r" + std::to_string(i);
    EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", id)), 200);
    EXPECT_EQ(fleet_.RunsOf(id), 1);
  }
}

TEST_F(Platform, ACallThatAllRefuseIsRefusedWithATimeToComeBack) {
  SetAllDesks({{"refuse", true}});
  const auto answer = fleet_.Send(0, "/book/x", "r1");
  EXPECT_EQ(StatusOf(answer), 503);
  EXPECT_NE(HeaderOf(answer.value(), "Retry-After"), "");
  SetAllDesks({{"refuse", false}});
  EXPECT_EQ(fleet_.RunsOf("r1"), 0);
}

TEST_F(Platform, AFailureOfTheTargetIsPassedOn) {
  SetAllDesks({{"fail", true}});
  const auto answer = fleet_.Send(0, "/book/x", "r1");
  EXPECT_EQ(StatusOf(answer), 500);
  EXPECT_NE(HeaderOf(answer.value(), "Response-Seal"), "");
  EXPECT_EQ(fleet_.RunsOf("r1"), 1);
}

TEST_F(Platform, AnAnswerToAnotherRequestIsSkipped) {
  SetAllDesks({{"answer_other", true}});
  const auto answer = fleet_.Send(0, "/book/x", "r1");
  EXPECT_EQ(StatusOf(answer), 200);
  EXPECT_EQ(HeaderOf(answer.value(), "Attempt-Id"), "r1");
  EXPECT_EQ(answer.value().body().find("not yours"), std::string::npos);
  EXPECT_EQ(fleet_.RunsOf("r1"), 1);
}

TEST_F(Platform, ASuccessWithoutTheTargetsSealIsNotPassedOn) {
  SetAllDesks({{"unsealed", true}});
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r1")), 502);
  EXPECT_EQ(fleet_.RunsOf("r1"), 1);
}

TEST_F(Platform, AResumableStreamGoesOnAtAnotherRunner) {
  fleet_.Ask(0, "/advice/x", "first");
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    if (fleet_.RunsAtRunner(i) > 0) fleet_.ControlRunner(i, {{"cut_at", 7}});
  }
  const auto answer = fleet_.Ask(0, "/advice/x", "second");
  ASSERT_TRUE(answer.ok()) << answer.error().message;
  EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
  EXPECT_EQ(fleet_.RunsOf("second"), 2);
  int resumed = 0;
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    const json last = fleet_.ControlRunner(i, json::object())["last"];
    if (!last.is_object()) continue;
    resumed += last["headers"].value("Last-Event-Id", "") == "6" ? 1 : 0;
  }
  EXPECT_EQ(resumed, 1);
}

TEST_F(Platform, ACallersOwnResumeGetsOnlyWhatItLacks) {
  const auto answer =
      fleet_.Ask(0, "/advice/x", "r1", {{"Last-Event-Id", "12"}});
  ASSERT_TRUE(answer.ok()) << answer.error().message;
  EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream(13));
}

TEST_F(Platform, ABrokenStreamNeverLooksComplete) {
  SetAllRunners({{"cut_at", 7}});
  EXPECT_FALSE(fleet_.Ask(0, "/chat/x", "r1").ok());
  EXPECT_EQ(fleet_.RunsOf("r1"), 1);
}

TEST_F(Platform, RoutesAndCredentialsAreChecked) {
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/nowhere/x", "r1")), 404);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r2", {}, "", "wrong")), 401);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r3", {}, "", "")), 401);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/open/x", "r4", {}, "", "")), 200);
  EXPECT_EQ(fleet_.RunsOf("r1") + fleet_.RunsOf("r2") + fleet_.RunsOf("r3"), 0);
}

TEST_F(Platform, ANewConfigurationIsInForceAndAnOlderOneIsIgnored) {
  json config = PlatformFleet::FirstConfig();
  config["version"] = 5;
  config["tenants"][0]["apiKeys"] = json::array({"new-key"});
  PutConfig(config);
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(0, "/book/x", "r", {}, "", "new-key")) == 200;
  }));
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "old")), 401);
  PutConfig(PlatformFleet::FirstConfig());
  config["version"] = 6;
  config["tenants"][0]["apiKeys"] = json::array({"newest-key"});
  PutConfig(config);
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(0, "/book/x", "r", {}, "", "newest-key")) ==
           200;
  }));
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "old")), 401);
}

TEST_F(Platform, WithoutTheStoreCredentialsAreRefusedInTime) {
  fleet_.ControlStore({{"silent", true}});
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r1")), 200);
  EXPECT_TRUE(Eventually([&] { return fleet_.ReadyStatus(0) == 503; }));
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r2")), 503);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/open/x", "r3", {}, "", "")), 200);
  EXPECT_EQ(fleet_.RunsOf("r2"), 0);
  fleet_.ControlStore({{"silent", false}});
  EXPECT_TRUE(fleet_.WaitReady(0));
}

TEST_F(Platform, ARouterThatKnowsNoConfigurationRefusesAsNotRun) {
  fleet_.ControlStore({{"down", true}});
  fleet_.router(0).Kill();
  fleet_.StartRouter(0);
  EXPECT_TRUE(Eventually([&] { return fleet_.ReadyStatus(0) == 503; }));
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r1")), 503);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/nowhere/x", "r2")), 503);
  fleet_.ControlStore({{"down", false}});
  EXPECT_TRUE(fleet_.WaitReady(0));
}

TEST_F(Platform, RecordsOfOtherWritersChangeNothing) {
  fleet_.Put("keyed.servers", "torn", "{\"service\":\"desk\",\"addr");
  fleet_.Put("keyed.servers", "foreign", json{{"service", 7}});
  fleet_.Put("keyed.servers", "odd",
             json{{"service", "desk"},
                  {"address", "127.0.0.1:1"},
                  {"zone", "zone-a"},
                  {"slots", 8},
                  {"state", "resting"}});
  fleet_.Put("keyed.op", "config", "{\"version\":99,");
  fleet_.Put("keyed.op", "config", json{{"version", 100}, {"routes", 3}});
  fleet_.Put("keyed.op", "unknown/matter", "?");
  json config = PlatformFleet::FirstConfig();
  config["version"] = 2;
  config["tenants"][0]["apiKeys"].push_back("second-key");
  PutConfig(config);
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(0, "/book/x", "r", {}, "", "second-key")) ==
           200;
  }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "k" + std::to_string(i))),
              200);
  }
  EXPECT_TRUE(Eventually([&] {
    return fleet_.LogOf(0).find("record-ignored") != std::string::npos;
  }));
}

TEST_F(Platform, AForgottenHistoryIsReadAnew) {
  json config = PlatformFleet::FirstConfig();
  config["version"] = 2;
  config["tenants"][0]["apiKeys"].push_back("second-key");
  fleet_.ControlStore(
      {{"put", {{"topic", "keyed.op"}, {"key", "config"}, {"value", config}}},
       {"forget_history", "keyed.op"}});
  fleet_.ControlStore({{"forget_history", "keyed.servers"}});
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(0, "/book/x", "r", {}, "", "second-key")) ==
           200;
  }));
}

// Two runners read the same prompt.
class PlatformCache : public Platform {
 protected:
  PlatformCache() {
    EXPECT_EQ(StatusOf(fleet_.Ask(0, "/advice/x", "first")), 200);
    first_ = RunnerOf("first");
    fleet_.ControlRunner(first_, {{"refuse", true}});
    EXPECT_EQ(StatusOf(fleet_.Ask(0, "/advice/x", "second")), 200);
    second_ = RunnerOf("second");
    // Three parts were read at each.
    EXPECT_TRUE(EventuallyTold(6));
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      fleet_.ControlRunner(i, {{"refuse", i != first_}});
    }
  }
  int RunnerOf(const std::string& id) const {
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      const json seen = fleet_.ControlRunner(i, json::object());
      if (seen["runs"].contains(id)) return i;
    }
    ADD_FAILURE() << id << " ran nowhere";
    return 0;
  }
  bool EventuallyTold(int changes) const {
    return Eventually([&] {
      return fleet_.Metric(0, "beryllane_cache_changes_total") == changes;
    });
  }
  // Whether a request at the first runner is told to copy from the second.
  bool IsCopied(const std::string& id) const {
    if (StatusOf(fleet_.Ask(0, "/advice/x", id)) != 200) return false;
    const json seen = fleet_.ControlRunner(first_, json::object());
    return seen["runs"].contains(id) &&
           seen["last"]["headers"].value("Kv-Fetch", "") ==
               net::ToString(fleet_.runner_address(second_));
  }

  int first_ = 0;
  int second_ = 0;
};

// A runner that dropped a prompt was taken to hold it, and read it again while
// another one had it.
TEST_F(PlatformCache, ADroppedPromptIsCopiedFromTheRunnerThatHoldsIt) {
  fleet_.ControlRunner(first_, {{"drop_cache", true}});
  EXPECT_TRUE(EventuallyTold(9));
  EXPECT_TRUE(Eventually([&] { return IsCopied("third"); }));
}

TEST_F(PlatformCache, ARunnerThatStartedAgainIsNotTakenToHoldAPrompt) {
  fleet_.ControlRunner(first_, {{"restart_cache", true}});
  int asked = 0;
  EXPECT_TRUE(
      Eventually([&] { return IsCopied("r" + std::to_string(++asked)); }));
}

TEST_F(Platform, ADrainingTargetGetsNoNewRequests) {
  for (int i = 1; i < PlatformFleet::kRunners; ++i) {
    fleet_.ControlRunner(i, {{"state", "draining"}});
  }
  EXPECT_TRUE(Eventually([&] {
    const std::string log = fleet_.LogOf(0);
    return log.find("\"state\":\"draining\",\"target\":\"runner-1\"") !=
               std::string::npos &&
           log.find("\"state\":\"draining\",\"target\":\"runner-2\"") !=
               std::string::npos;
  }));
  const int before = fleet_.RunsAtRunner(1) + fleet_.RunsAtRunner(2);
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(StatusOf(fleet_.Ask(0, "/chat/x", "r" + std::to_string(i))), 200);
  }
  EXPECT_EQ(fleet_.RunsAtRunner(1) + fleet_.RunsAtRunner(2), before);
}

TEST_F(Platform, ARunnerThatRestartsUnderItsIdServesAgain) {
  fleet_.Ask(0, "/advice/x", "first");
  for (int i = 0; i < PlatformFleet::kRunners; ++i) {
    fleet_.runner(i).Kill();
    fleet_.StartRunner(i);
  }
  EXPECT_TRUE(Eventually(
      [&] { return StatusOf(fleet_.Ask(0, "/advice/x", "again")) == 200; }));
}

TEST_F(Platform, AGracefulStopFinishesWhatRuns) {
  SetAllRunners({{"cut_at", -1}});
  auto running = std::async(std::launch::async, [&] {
    constexpr int kRequests = 5;
    std::vector<int> statuses(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      statuses[i] = StatusOf(fleet_.Ask(0, "/chat/x", "r" + std::to_string(i)));
    }
    return statuses;
  });
  EXPECT_TRUE(Eventually([&] { return fleet_.RunsOf("r0") > 0; }));
  fleet_.router(0).Signal(SIGTERM);
  EXPECT_TRUE(Eventually([&] { return fleet_.ReadyStatus(0) == 503; }));
  for (const int status : running.get()) EXPECT_EQ(status, 200);
  EXPECT_EQ(fleet_.router(0).Wait(), 0);
}

// The body is complete only after the router has stopped accepting.
TEST_F(Platform, ARequestThatIsCompleteLateInAGracefulStopIsRefusedAsNotRun) {
  SetAllRunners({{"step_ms", 250}});
  auto running = std::async(std::launch::async,
                            [&] { return fleet_.Ask(0, "/chat/x", "long"); });
  EXPECT_TRUE(Eventually([&] { return fleet_.RunsOf("long") > 0; }));
  net::asio::io_context loop(1);
  net::tcp::socket socket(loop);
  const net::Address& router = fleet_.router_address(0);
  socket.connect({net::asio::ip::make_address(router.ip), router.port});
  const std::string head =
      "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nCredential: "
      "key-of-workshop\r\nAttempt-Id: late\r\nContent-Length: 2\r\n\r\na";
  net::asio::write(socket, net::asio::buffer(head));
  std::this_thread::sleep_for(milliseconds(100));
  fleet_.router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3500));
  net::asio::write(socket, net::asio::buffer("b", 1));
  std::string received;
  net::error_code code;
  net::asio::read(socket, net::asio::dynamic_buffer(received), code);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
  EXPECT_EQ(fleet_.RunsOf("late"), 0);
  EXPECT_EQ(running.get().value().body(), PlatformFleet::WholeStream());
  EXPECT_EQ(fleet_.router(0).Wait(), 0);
}

// A stream that lasts longer than the balancer takes to notice.
TEST_F(Platform, AGracefulStopWaitsForALongStream) {
  SetAllRunners({{"step_ms", 220}});
  auto running = std::async(std::launch::async,
                            [&] { return fleet_.Ask(0, "/chat/x", "long"); });
  EXPECT_TRUE(Eventually([&] { return fleet_.RunsOf("long") > 0; }));
  fleet_.router(0).Signal(SIGTERM);
  const auto answer = running.get();
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().body(), PlatformFleet::WholeStream());
  EXPECT_EQ(fleet_.router(0).Wait(), 0);
}

TEST_F(Platform, RepeatsStayWithinTheBudget) {
  constexpr int kRequests = 60;
  constexpr int kSlack = 10;
  constexpr double kRatio = 0.2;
  std::string settings = fleet_.SettingsOf(0);
  const std::string name = "retryBudgetSlack = ";
  const std::size_t at = settings.find(name) + name.size();
  settings.replace(at, settings.find('\n', at) - at, std::to_string(kSlack));
  fleet_.WriteSettings(0, settings);
  fleet_.router(0).Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] {
    return fleet_.LogOf(0).find("\"event\":\"reloaded\"") != std::string::npos;
  }));
  // The share of the budget is computed anew four times a second.
  std::this_thread::sleep_for(milliseconds(600));
  SetAllDesks({{"fail", true}});
  int runs = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/stock/x", id)), 500);
    runs += fleet_.RunsOf(id);
  }
  EXPECT_GT(runs, kRequests);
  EXPECT_LE(runs, kRequests + kRatio * kRequests + kSlack);
}

TEST_F(Platform, ASettingsFileThatBecameUnreadableIsNotTaken) {
  fleet_.WriteSettings(0, "node = \"router-0\"\nip = ");
  fleet_.router(0).Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] {
    return fleet_.LogOf(0).find("\"event\":\"reloaded\"") != std::string::npos;
  }));
  EXPECT_NE(fleet_.LogOf(0).find("\"ok\":false"), std::string::npos);
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "r1")), 200);
}

TEST_F(Platform, SmuggledAndOversizedInputRunsNothing) {
  const std::string head =
      "POST /book/x HTTP/1.1\r\nHost: " + std::string(PlatformFleet::kHost) +
      "\r\nCredential: " + PlatformFleet::kKey + "\r\nAttempt-Id: ";
  const std::string inner =
      "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: inner\r\n"
      "Credential: key-of-workshop\r\nContent-Length: 0\r\n\r\n";
  const std::string both_framings =
      "s1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  const std::string without_id =
      "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
      "Credential: key-of-workshop\r\nContent-Length: 0\r\n\r\n";
  const std::vector<std::string> inputs{
      head + both_framings + inner,
      head + "s2\r\nTransfer-Encoding: xchunked\r\n\r\n" + inner,
      head + "s3\r\nTransfer-Encoding: chunked, identity\r\n\r\n" + inner,
      head + "s4\r\nContent-Length: 2\r\nContent-Length: 200\r\n\r\n" + inner,
      head + "s5\r\nX-Big: " + std::string(20000, 'x') + "\r\n\r\n",
      head + "s6\r\nContent-Length: 9999999\r\n\r\n",
      without_id};
  for (const std::string& input : inputs) {
    const std::string answer =
        CallRaw(fleet_.router_address(0), input, milliseconds(3000));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 4")) << answer;
  }
  for (const char* id : {"s1", "s2", "s3", "s4", "s5", "s6", "inner"}) {
    EXPECT_EQ(fleet_.RunsOf(id), 0) << id;
  }
  EXPECT_EQ(StatusOf(fleet_.Send(0, "/book/x", "after")), 200);
}

TEST_F(Platform, AChunkedBodyArrivesWhole) {
  const std::string answer = CallRaw(
      fleet_.router_address(0),
      "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nCredential: "
      "key-of-workshop\r\nAttempt-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
      milliseconds(3000));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_EQ(SeenAtDesk("c1")["body"], "abcdefg");
}

TEST_F(Platform, ACallerThatGoesStopsTheRunner) {
  CallRaw(fleet_.router_address(0),
          "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nCredential: "
          "key-of-workshop\r\nAttempt-Id: gone\r\nModel: m1\r\nToken-Usage: "
          "10,20\r\nPrompt-Prefix: a:5,b:5\r\nContent-Length: 0\r\n\r\n",
          milliseconds(40));
  EXPECT_TRUE(Eventually([&] {
    return fleet_.Metric(0, "beryllane_fleet_caller_gone_total") == 1;
  }));
  EXPECT_TRUE(Eventually([&] {
    int running = 0;
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      running += fleet_.ControlRunner(i, json::object()).value("running", 1);
    }
    return running == 0;
  }));
}

// Nothing is written to the caller, so only its close shows that it left.
TEST_F(Platform, ACallerThatGoesBeforeTheFirstEventStopsTheRunner) {
  SetAllRunners({{"step_ms", 600000}});
  CallRaw(fleet_.router_address(0),
          "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nCredential: "
          "key-of-workshop\r\nAttempt-Id: gone\r\nModel: m1\r\nToken-Usage: "
          "10,20\r\nPrompt-Prefix: a:5,b:5\r\nContent-Length: 0\r\n\r\n",
          milliseconds(300));
  EXPECT_TRUE(Eventually([&] {
    return fleet_.Metric(0, "beryllane_fleet_caller_gone_total") == 1;
  }));
  EXPECT_TRUE(Eventually([&] {
    int running = 0;
    for (int i = 0; i < PlatformFleet::kRunners; ++i) {
      running += fleet_.ControlRunner(i, json::object()).value("running", 1);
    }
    return running == 0;
  }));
}

// A router that is late finds the request and the close of its connection.
TEST_F(Platform, ARequestWhoseCallerLeftBeforeItWasReadIsNotSentOn) {
  const auto ask = [&](const std::string& id) {
    CallRaw(fleet_.router_address(0),
            "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\nCredential: "
            "key-of-workshop\r\nAttempt-Id: " +
                id +
                "\r\nModel: m1\r\nToken-Usage: 10,20\r\nPrompt-Prefix: "
                "a:5,b:5\r\nContent-Length: 0\r\n\r\n",
            milliseconds(40));
  };
  fleet_.router(0).Signal(SIGSTOP);
  for (int i = 0; i < 5; ++i) ask("gone-" + std::to_string(i));
  fleet_.router(0).Signal(SIGCONT);
  EXPECT_TRUE(Eventually([&] {
    return fleet_.Metric(0, "beryllane_fleet_caller_gone_total") == 5;
  }));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(fleet_.RunsOf("gone-" + std::to_string(i)), 0);
  }
}

// Routers 0 and 3 share a zone; the one that registered first reads.
class PlatformRelay : public ::testing::Test {
 protected:
  PlatformRelay() {
    constexpr int kMaxSamples = 20;
    for (int i = 0; i < kMaxSamples && follower_ < 0; ++i) {
      const double first = StoreCalls(0);
      const double second = StoreCalls(3);
      std::this_thread::sleep_for(milliseconds(1200));
      if (StoreCalls(0) == first) follower_ = 0;
      if (StoreCalls(3) == second) follower_ = 3;
    }
    EXPECT_GE(follower_, 0);
    reader_ = follower_ == 0 ? 3 : 0;
  }

  double StoreCalls(int router) const {
    return fleet_.Metric(router, "beryllane_store_calls_total");
  }
  void PutKey(int version, const std::string& key) const {
    json config = PlatformFleet::FirstConfig();
    config["version"] = version;
    config["tenants"][0]["apiKeys"] = json::array({key});
    fleet_.Put("keyed.op", "config", config);
  }

  PlatformFleet fleet_{4};
  int follower_ = -1;
  int reader_ = -1;
};

TEST_F(PlatformRelay, OneRouterOfAZoneReadsForTheOthers) {
  PutKey(2, "relayed-key");
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(follower_, "/book/x", "r", {}, "",
                                "relayed-key")) == 200;
  }));
  EXPECT_EQ(StatusOf(fleet_.Send(follower_, "/book/x", "old")), 401);
}

// While the store is away it grows past the offsets that the routers know.
TEST_F(PlatformRelay, AStoreThatReturnsFromAnOlderCopyIsReadAnew) {
  const auto all_have = [&](int version) {
    return Eventually([&] {
      for (int i = 0; i < 4; ++i) {
        if (fleet_.Metric(i, "beryllane_config_version") != version) {
          return false;
        }
      }
      return true;
    });
  };
  json config = PlatformFleet::FirstConfig();
  const auto publish = [&](int version) {
    config["version"] = version;
    fleet_.Put("keyed.op", "config", config);
  };
  fleet_.ControlStore({{"copy", true}});
  publish(4);
  ASSERT_TRUE(all_have(4));
  fleet_.ControlStore({{"down", true}, {"restore", true}});
  publish(5);
  fleet_.Put("keyed.op", "version/m2", json{{"model", "m2"}, {"version", 1}});
  fleet_.Put("keyed.op", "version/m3", json{{"model", "m3"}, {"version", 1}});
  std::this_thread::sleep_for(milliseconds(300));
  fleet_.ControlStore({{"down", false}});
  EXPECT_TRUE(all_have(5));
  fleet_.ControlStore({{"copy", true}});
  publish(6);
  ASSERT_TRUE(all_have(6));
  fleet_.ControlStore({{"restore", true}});
  std::this_thread::sleep_for(milliseconds(1500));
  EXPECT_TRUE(all_have(6));
}

TEST_F(PlatformRelay, ARouterThatStartsReadsItsFirstRecordsFromItsZone) {
  PutKey(2, "relayed-key");
  fleet_.router(follower_).Kill();
  fleet_.StartRouter(follower_);
  ASSERT_TRUE(fleet_.WaitReady(follower_));
  EXPECT_EQ(
      StatusOf(fleet_.Send(follower_, "/book/x", "r", {}, "", "relayed-key")),
      200);
  // One call registers the router and one finds the others.
  EXPECT_EQ(StoreCalls(follower_), 2);
  std::this_thread::sleep_for(milliseconds(3000));
  EXPECT_EQ(StoreCalls(follower_), 2);
}

TEST_F(PlatformRelay, AFollowerReadsItselfWhenItsReaderIsGone) {
  fleet_.router(reader_).Signal(SIGSTOP);
  PutKey(2, "second-key");
  EXPECT_TRUE(Eventually([&] {
    return StatusOf(fleet_.Send(follower_, "/book/x", "r", {}, "",
                                "second-key")) == 200;
  }));
  EXPECT_EQ(fleet_.ReadyStatus(follower_), 200);
  fleet_.router(reader_).Signal(SIGCONT);
}

TEST_F(PlatformRelay, AReaderWithoutTheStoreGivesNoProof) {
  fleet_.ControlStore({{"silent", true}});
  EXPECT_TRUE(Eventually([&] { return fleet_.ReadyStatus(follower_) == 503; }));
  EXPECT_EQ(StatusOf(fleet_.Send(follower_, "/book/x", "r2")), 503);
  EXPECT_EQ(fleet_.RunsOf("r2"), 0);
}

TEST(PlatformReaders, FollowersOfAReaderThatTheStoreTurnsAwayDoNotAskTheStore) {
  PlatformFleet fleet(7);
  // Routers of one zone.
  constexpr std::array<int, 3> kZone{0, 3, 6};
  const auto calls = [&] {
    std::array<double, 3> calls{};
    for (std::size_t i = 0; i < kZone.size(); ++i) {
      calls[i] = fleet.Metric(kZone[i], "beryllane_store_calls_total");
    }
    return calls;
  };
  const auto calling_within = [&](milliseconds time) {
    const auto before = calls();
    std::this_thread::sleep_for(time);
    const auto after = calls();
    std::vector<int> routers;
    for (std::size_t i = 0; i < kZone.size(); ++i) {
      if (after[i] > before[i]) routers.push_back(kZone[i]);
    }
    return routers;
  };
  std::vector<int> readers;
  ASSERT_TRUE(Eventually([&] {
    readers = calling_within(milliseconds(1500));
    return readers.size() == 1;
  }));
  const int reader = readers.front();
  std::string settings = fleet.SettingsOf(reader);
  settings.replace(settings.rfind("address = "), std::string::npos,
                   "address = \"127.0.0.1:1\"\n");
  fleet.WriteSettings(reader, settings);
  fleet.router(reader).Signal(SIGHUP);
  const std::vector<int> calling = calling_within(milliseconds(7000));
  EXPECT_EQ(calling.size(), 2U);
  for (const int router : kZone) EXPECT_EQ(fleet.ReadyStatus(router), 200);
  fleet.WriteSettings(reader, fleet.SettingsOf(reader));
  fleet.router(reader).Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] {
    return calling_within(milliseconds(1500)) == std::vector<int>{reader};
  }));
}

}  // namespace
}  // namespace beryllane::testing
