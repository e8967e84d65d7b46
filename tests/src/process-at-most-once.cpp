// A keyed booking runs at most once, and each refusal that says not-run is
// true, whatever fails on the way.
#include <gtest/gtest.h>
#include <signal.h>

#include <future>
#include <thread>

#include "tests/support/fleet.h"

namespace beryllane::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::uint64_t RunsOf(const Fleet& fleet, const std::string& key) {
  const json report = fleet.ControlService(json::object());
  return report["runs"].value(key, std::uint64_t{0});
}

std::string VerdictOf(const Result<net::Response>& answer) {
  if (!answer.ok()) return "no answer";
  return HeaderOf(answer.value(), "Beryllane-Verdict");
}

TEST(AtMostOnce, AKeySentAtOnceThroughThreeRoutersRunsOnce) {
  Fleet fleet(3, 1);
  for (int round = 0; round < 10; ++round) {
    const std::string key = Fleet::NewKey("once" + std::to_string(round));
    std::vector<std::future<Result<net::Response>>> calls;
    calls.reserve(3);
    for (int i = 0; i < 3; ++i) {
      calls.push_back(std::async(std::launch::async,
                                 [&, i] { return fleet.Book(i, key); }));
    }
    std::set<std::string> bodies;
    for (auto& call : calls) {
      const auto answer = call.get();
      ASSERT_EQ(VerdictOf(answer), "ran");
      bodies.insert(answer.value().body());
    }
    EXPECT_EQ(bodies.size(), 1U);
    EXPECT_EQ(RunsOf(fleet, key), 1U);
  }
}

TEST(AtMostOnce, ARepeatAfterTheRouterWasKilledWhileTheServiceWorked) {
  Fleet fleet(3, 1);
  fleet.ControlService({{"work_ms", 600}});
  const std::string key = Fleet::NewKey("killed");
  auto first = std::async(std::launch::async, [&] {
    return fleet.Book(0, key, "{}", {{"Beryllane-Deadline-Ms", "3000"}});
  });
  EXPECT_TRUE(Eventually([&] { return RunsOf(fleet, key) == 1; }));
  fleet.router(0).Kill();
  EXPECT_EQ(VerdictOf(first.get()), "no answer");
  const auto repeat =
      fleet.Book(1, key, "{}", {{"Beryllane-Deadline-Ms", "2000"}});
  EXPECT_EQ(VerdictOf(repeat), "may-have-run");
  EXPECT_EQ(RunsOf(fleet, key), 1U);
}

TEST(AtMostOnce, ARepeatAfterTheServicesAnswerWasLost) {
  Fleet fleet(3, 1);
  fleet.ControlService({{"lose_answers", 1.0}});
  const std::string key = Fleet::NewKey("lost");
  EXPECT_EQ(VerdictOf(fleet.Book(0, key)), "may-have-run");
  fleet.ControlService({{"lose_answers", 0.0}});
  EXPECT_EQ(VerdictOf(fleet.Book(1, key)), "may-have-run");
  EXPECT_EQ(RunsOf(fleet, key), 1U);
}

TEST(AtMostOnce, LostAnswersOfTheLogLoseNoBooking) {
  Fleet fleet(3, 1);
  fleet.ControlPlatform({{"log", {{"lose_answers", 0.5}}}});
  for (int i = 0; i < 20; ++i) {
    const std::string key = Fleet::NewKey("log" + std::to_string(i));
    const std::string first = VerdictOf(fleet.Book(i % 3, key));
    const std::string second = VerdictOf(fleet.Book((i + 1) % 3, key));
    const std::uint64_t runs = RunsOf(fleet, key);
    EXPECT_LE(runs, 1U);
    if (first == "not-run" && second == "not-run") {
      EXPECT_EQ(runs, 0U);
    }
    EXPECT_TRUE(first == "ran" || second == "ran") << first << second;
  }
}

TEST(AtMostOnce, WithTheLogDownABookingIsRefusedAsNotRunAndRunsLater) {
  Fleet fleet(2, 1);
  fleet.ControlPlatform({{"log", {{"down", true}}}});
  const std::string key = Fleet::NewKey("outage");
  const auto refused =
      fleet.Book(0, key, "{}", {{"Beryllane-Deadline-Ms", "1000"}});
  EXPECT_EQ(VerdictOf(refused), "not-run");
  EXPECT_EQ(RunsOf(fleet, key), 0U);
  const auto completion = fleet.Complete(0, "still served", 2, true);
  ASSERT_TRUE(completion.ok());
  EXPECT_EQ(completion.value().result_int(), 200U);
  fleet.ControlPlatform({{"log", {{"down", false}}}});
  EXPECT_TRUE(
      Eventually([&] { return VerdictOf(fleet.Book(1, key)) == "ran"; }));
  EXPECT_EQ(RunsOf(fleet, key), 1U);
}

TEST(AtMostOnce, AServiceThatIsDownIsReportedAsNotRunAndTheKeyStaysFree) {
  Fleet fleet(2, 1);
  fleet.ControlService({{"refuse", true}});
  const std::string key = Fleet::NewKey("refused");
  EXPECT_EQ(VerdictOf(fleet.Book(0, key)), "not-run");
  EXPECT_EQ(RunsOf(fleet, key), 0U);
  fleet.ControlService({{"refuse", false}});
  EXPECT_TRUE(
      Eventually([&] { return VerdictOf(fleet.Book(1, key)) == "ran"; }));
  EXPECT_EQ(RunsOf(fleet, key), 1U);
}

TEST(AtMostOnce, ARefusalWrittenOnceMoreIsNoProofForALaterCall) {
  Fleet fleet(1, 1);
  fleet.Publish(1, {{"pools", {{"order-desk", {{"checks_keys", true}}}}}},
                "checked");
  EXPECT_TRUE(Eventually(
      [&] { return fleet.StatusOf(0).value("config_version", 0) == 2; }));
  fleet.ControlService({{"repeat_refusal_after_ms", 100}});
  for (int i = 0; i < 4; ++i) {
    const std::string key = Fleet::NewKey("later" + std::to_string(i));
    const std::string verdict = VerdictOf(fleet.Book(0, key));
    EXPECT_TRUE(Eventually([&] { return RunsOf(fleet, key) == 1; }));
    EXPECT_NE(verdict, "not-run");
  }
}

TEST(AtMostOnce, AKeyForAnotherRequestIsRefused) {
  Fleet fleet(2, 1);
  const std::string key = Fleet::NewKey("other");
  EXPECT_EQ(VerdictOf(fleet.Book(0, key, R"({"bag":"m"})")), "ran");
  const auto other = fleet.Book(1, key, R"({"bag":"xl"})");
  ASSERT_TRUE(other.ok());
  EXPECT_EQ(other.value().result_int(), 422U);
  EXPECT_EQ(RunsOf(fleet, key), 1U);
}

TEST(AtMostOnce, FrozenAndKilledPartitionOwnersLeadToNoSecondRun) {
  Fleet fleet(3, 1);
  for (int round = 0; round < 6; ++round) {
    const int victim = 1 + round % 2;
    fleet.router(victim).Signal(SIGSTOP);
    const std::string key = Fleet::NewKey("frozen" + std::to_string(round));
    const std::string first = VerdictOf(
        fleet.Book(0, key, "{}", {{"Beryllane-Deadline-Ms", "4000"}}));
    fleet.router(victim).Signal(SIGCONT);
    const std::string second = VerdictOf(fleet.Book(victim, key));
    const std::uint64_t runs = RunsOf(fleet, key);
    EXPECT_LE(runs, 1U);
    EXPECT_TRUE(first == "ran" || second == "ran") << first << second;
  }
}

TEST(AtMostOnce, AFrozenHolderOfAClaimThatWakesSendsNothingTwice) {
  Fleet fleet(3, 1);
  fleet.ControlPlatform({{"log", {{"append_ms", 300}}}});
  const std::string key = Fleet::NewKey("holder");
  auto first = std::async(std::launch::async, [&] {
    return fleet.Book(0, key, "{}", {{"Beryllane-Deadline-Ms", "2500"}});
  });
  // Freeze it while its claim is on its way to the log.
  std::this_thread::sleep_for(milliseconds(150));
  fleet.router(0).Signal(SIGSTOP);
  const std::string second =
      VerdictOf(fleet.Book(1, key, "{}", {{"Beryllane-Deadline-Ms", "1500"}}));
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.router(0).Signal(SIGCONT);
  const std::string woken = VerdictOf(first.get());
  const std::uint64_t runs = RunsOf(fleet, key);
  EXPECT_LE(runs, 1U) << woken << " " << second;
  if (woken == "not-run" && second == "not-run") {
    EXPECT_EQ(runs, 0U);
  }
}

}  // namespace
}  // namespace beryllane::testing
