// The whole path through separate processes: completions, services,
// configuration, drain.
#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <thread>

#include "tests/support/fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;

std::string LongPrompt(const std::string& name) {
  std::string text;
  for (int i = 0; i < 600; ++i) text += name + std::to_string(i) + " ";
  return text;
}

TEST(Path, SecondRequestOnAPrefixHitsTheCacheThroughAnotherRouter) {
  Fleet fleet(3, 3);
  const auto first = fleet.Complete(0, LongPrompt("a"), 4, true);
  ASSERT_TRUE(first.ok()) << first.error().message;
  EXPECT_EQ(first.value().result_int(), 200U);
  EXPECT_EQ(HeaderOf(first.value(), "Beryllane-Cached-Tokens"), "0");
  const auto second = fleet.Complete(1, LongPrompt("a"), 4, true);
  ASSERT_TRUE(second.ok());
  EXPECT_EQ(HeaderOf(second.value(), "Beryllane-Target"),
            HeaderOf(first.value(), "Beryllane-Target"));
  EXPECT_GT(std::stoi(HeaderOf(second.value(), "Beryllane-Cached-Tokens")),
            500);
  EXPECT_EQ(StreamText(first.value().body()),
            StreamText(second.value().body()));
}

TEST(Path, PlainAndStreamedAnswersCarryTheSameText) {
  Fleet fleet(1, 1);
  const auto streamed = fleet.Complete(0, "short", 6, true);
  const auto plain = fleet.Complete(0, "short", 6, false);
  ASSERT_TRUE(streamed.ok() && plain.ok());
  const json body = json::parse(plain.value().body());
  EXPECT_EQ(body["choices"][0]["message"]["content"],
            StreamText(streamed.value().body()));
  EXPECT_EQ(HeaderOf(plain.value(), "Beryllane-Verdict"), "ran");
}

TEST(Path, AChangeOfConfigurationReachesEveryRouter) {
  Fleet fleet(2, 1);
  fleet.Publish(1, {{"request_kinds", {{"chat", {{"worth", 3}}}}}}, "second");
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(Eventually(
        [&] { return fleet.StatusOf(i).value("config_version", 0) == 2; }));
  }
  // A change against an old base loses, at every router.
  fleet.Publish(1, {{"request_kinds", {{"chat", {{"worth", 4}}}}}}, "late");
  fleet.Publish(2, {{"request_kinds", {{"chat", {{"worth", 5}}}}}}, "third");
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(Eventually(
        [&] { return fleet.StatusOf(i).value("config_version", 0) == 3; }));
  }
}

TEST(Path, ARestartedRouterTakesItsStateFromPeersWhileTheLogIsDown) {
  Fleet fleet(3, 1);
  fleet.ControlPlatform({{"log", {{"down", true}}}, {"host_list_down", true}});
  fleet.router(1).Kill();
  fleet.StartRouter(1);
  EXPECT_TRUE(fleet.WaitReady(1));
  const auto answer = fleet.Complete(1, "after restart", 3, true);
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value().result_int(), 200U);
}

TEST(Path, WithoutLogAndPeersARouterSaysWhyItIsNotReady) {
  Fleet fleet(1, 1);
  fleet.ControlPlatform({{"log", {{"down", true}}}});
  fleet.router(0).Kill();
  fleet.StartRouter(0);
  std::string reason;
  EXPECT_TRUE(Eventually([&] {
    const auto answer =
        Call(fleet.router_address(0), net::http::verb::get, "/readyz");
    if (!answer.ok() || answer.value().result_int() != 503) return false;
    reason = json::parse(answer.value().body())["reason"];
    return true;
  }));
  EXPECT_NE(reason.find("no configuration yet"), std::string::npos) << reason;
  const auto refused = fleet.Complete(0, "too early", 3, true);
  ASSERT_TRUE(refused.ok());
  EXPECT_EQ(refused.value().result_int(), 503U);
  EXPECT_EQ(HeaderOf(refused.value(), "Beryllane-Verdict"), "not-run");
  fleet.ControlPlatform({{"log", {{"down", false}}}});
  EXPECT_TRUE(fleet.WaitReady(0));
}

TEST(Path, ALeavingRunnerGetsNoNewWork) {
  Fleet fleet(1, 2);
  const auto before = fleet.Complete(0, LongPrompt("b"), 2, true);
  ASSERT_TRUE(before.ok());
  const std::string home = HeaderOf(before.value(), "Beryllane-Target");
  const int index = home.back() - '0';
  fleet.PutHost(home, fleet.EngineHost(index, "leaving"));
  EXPECT_TRUE(Eventually([&] {
    const auto answer = fleet.Complete(0, LongPrompt("b"), 2, true);
    return answer.ok() && HeaderOf(answer.value(), "Beryllane-Target") != home;
  }));
  for (int i = 0; i < 5; ++i) {
    const auto answer = fleet.Complete(0, LongPrompt("b"), 2, true);
    ASSERT_TRUE(answer.ok());
    EXPECT_NE(HeaderOf(answer.value(), "Beryllane-Target"), home);
  }
}

TEST(Path, AGracefulStopCutsNoRequest) {
  Fleet fleet(2, 2, {"--max_running", "256", "--step_us", "10000"});
  fleet.ControlService({{"work_ms", 500}});
  constexpr int kStreams = 100;
  constexpr int kBookings = 50;
  std::vector<std::future<bool>> results;
  results.reserve(kStreams + kBookings);
  for (int i = 0; i < kStreams; ++i) {
    results.push_back(std::async(std::launch::async, [&fleet, i] {
      const auto answer = fleet.Complete(0, "s" + std::to_string(i), 300, true);
      return answer.ok() &&
             answer.value().body().find("[DONE]") != std::string::npos;
    }));
  }
  for (int i = 0; i < kBookings; ++i) {
    results.push_back(std::async(std::launch::async, [&fleet, i] {
      const auto answer =
          fleet.Book(0, Fleet::NewKey("stop" + std::to_string(i)));
      return answer.ok() && answer.value().result_int() == 200;
    }));
  }
  EXPECT_TRUE(Eventually([&] {
    return fleet.Metric(0, "beryllane_exchanges_running") >=
           kStreams + kBookings;
  }));
  fleet.router(0).Signal(SIGTERM);
  int whole = 0;
  for (auto& result : results) whole += result.get() ? 1 : 0;
  EXPECT_EQ(whole, kStreams + kBookings);
  EXPECT_EQ(fleet.router(0).Wait(), 0);
}

}  // namespace
}  // namespace beryllane::testing
