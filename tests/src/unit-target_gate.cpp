// Tests of the decision whether anything may be sent to a target.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

#include "src/fleet/target_gate.h"

namespace beryllane::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kDrainTimeout{2500};

std::string ReadSource(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

class TargetGateTest : public ::testing::Test {
 protected:
  bool MayStart(std::chrono::nanoseconds after) const {
    return gate_.MaySend({SendKind::kLastResort, now_ + after}, now_ + after);
  }

  TargetGate gate_{kDrainTimeout};
  const RuntimeClock::time_point now_ = RuntimeClock::time_point(seconds(100));
};

TEST_F(TargetGateTest, APausedTargetIsSentNothingButOneUrgentOrder) {
  gate_.pause().OnRetryAfter(seconds(2), now_);
  const auto may_send = [&](SendKind kind) {
    return gate_.MaySend({kind, now_}, now_ + milliseconds(1999));
  };
  for (const SendKind kind : kSendKinds) {
    const bool is_allowed =
        kind == SendKind::kUrgentOrder || kind == SendKind::kConnectionCheck;
    EXPECT_EQ(may_send(kind), is_allowed);
  }
  gate_.pause().OnUrgentSent();
  EXPECT_FALSE(may_send(SendKind::kUrgentOrder));
  for (const SendKind kind : kSendKinds) {
    EXPECT_TRUE(gate_.MaySend({kind, now_}, now_ + seconds(2)));
  }
}

TEST_F(TargetGateTest, AnOpenTargetIsSentEverything) {
  EXPECT_TRUE(gate_.IsOpen());
  for (const SendKind kind : kSendKinds) {
    EXPECT_TRUE(gate_.MaySend({kind, now_}, now_));
  }
}

TEST_F(TargetGateTest, ALeavingTargetIsSentOnlyWhatNoOtherTakes) {
  EXPECT_TRUE(gate_.OnLeaving(now_));
  for (const SendKind kind : kSendKinds) {
    const bool is_allowed =
        kind == SendKind::kLastResort || kind == SendKind::kConnectionCheck;
    EXPECT_EQ(gate_.MaySend({kind, now_}, now_), is_allowed);
  }
}

TEST_F(TargetGateTest, ARequestCountsFromItsReceipt) {
  gate_.OnLeaving(now_);
  EXPECT_TRUE(MayStart(milliseconds(2400)));
  EXPECT_FALSE(MayStart(milliseconds(2401)));
  EXPECT_TRUE(gate_.MaySend({SendKind::kLastResort, now_}, now_ + seconds(60)));
}

TEST_F(TargetGateTest, TheFirstAnnouncementCounts) {
  EXPECT_TRUE(gate_.OnLeaving(now_));
  EXPECT_FALSE(gate_.OnLeaving(now_ + seconds(2)));
  EXPECT_FALSE(MayStart(kDrainTimeout));
}

TEST_F(TargetGateTest, AHintBindsOnlyNewPlacements) {
  gate_.OnPeerHint();
  EXPECT_FALSE(gate_.MaySend({SendKind::kRequest, now_}, now_));
  EXPECT_TRUE(MayStart(seconds(60)));
}

TEST_F(TargetGateTest, TheListBoundsTheArrival) {
  gate_.OnListedDraining(now_);
  EXPECT_FALSE(gate_.IsOpen());
  EXPECT_TRUE(MayStart(milliseconds(399)));
  EXPECT_FALSE(
      gate_.MaySend({SendKind::kLastResort, now_}, now_ + milliseconds(400)));
}

TEST_F(TargetGateTest, AReturnToTheListDoesNotUndoAnAnnouncement) {
  gate_.OnUnlisted(now_);
  EXPECT_FALSE(gate_.IsOpen());
  gate_.OnListedAgain();
  EXPECT_TRUE(gate_.IsOpen());
  gate_.OnLeaving(now_);
  gate_.OnUnlisted(now_);
  gate_.OnListedAgain();
  EXPECT_FALSE(gate_.IsOpen());
}

// How often each file of the request path matches a pattern.
std::map<std::string, int> CountMatches(const std::string& pattern) {
  const std::filesystem::path root = BERYLLANE_SOURCE_DIR;
  const std::regex call(pattern);
  std::map<std::string, int> calls;
  for (const char* folder : {"src/fleet", "src/exchange"}) {
    for (const auto& file :
         std::filesystem::directory_iterator(root / folder)) {
      const std::string text = ReadSource(file.path());
      const std::sregex_iterator first(text.begin(), text.end(), call);
      const auto count = std::distance(first, std::sregex_iterator());
      if (count > 0) {
        calls[file.path().filename()] = static_cast<int>(count);
      }
    }
  }
  return calls;
}

// Every call that opens something to a target, and the kinds that it asks for.
TEST(TargetPaths, EachAsksTheGate) {
  const std::filesystem::path root = BERYLLANE_SOURCE_DIR;
  const std::map<std::string, int> expected{{"cache_follower.cc", 1},
                                            {"engine.cc", 1},
                                            {"part_quarantine.cc", 1},
                                            {"weights_rollout.cc", 2}};
  EXPECT_EQ(CountMatches(R"(\bclient_\.(Call|Open)\(|IsConnectionRefused\()"),
            expected);
  const std::multimap<std::string, std::string> askers{
      {"kCachePoll", "cache_follower.cc"},
      {"kOrder", "weights_rollout.cc"},
      {"kUrgentOrder", "weights_rollout.cc"},
      {"kReport", "weights_rollout.cc"},
      {"kCopySource", "placement.cc"},
      {"kLastResort", "fleet.cc"},
      {"kRequest", "runner_protocol.cc"},
      {"kLastResort", "runner_protocol.cc"},
      {"kConnectionCheck", "part_quarantine.cc"}};
  for (const auto& [kind, file] : askers) {
    const std::string text = ReadSource(root / "src/fleet" / file);
    EXPECT_NE(text.find("SendKind::" + kind), std::string::npos)
        << file << " does not ask for " << kind;
  }
}

// A connection check has no answer; requests set their options in the protocol.
TEST(TargetPaths, EachAnswerIsObserved) {
  const std::map<std::string, int> expected{{"cache_follower.cc", 1},
                                            {"runner_protocol.cc", 1},
                                            {"weights_rollout.cc", 2}};
  EXPECT_EQ(CountMatches(R"(fleet_\.WatchAnswers\()"), expected);
}

}  // namespace
}  // namespace beryllane::fleet
