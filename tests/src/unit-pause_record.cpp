// The pauses that answers ask for, applied to the target that gave them.
#include <gtest/gtest.h>

#include "src/fleet/pause_record.h"

namespace beryllane::fleet {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

class PauseRecordTest : public ::testing::Test {
 protected:
  PauseRecordTest() { RuntimeClock::Pause(); }
  ~PauseRecordTest() override { RuntimeClock::Resume(); }

  void Answer(const char* retry_after) {
    net::Response response = net::MakeResponse(503, "", "text/plain");
    response.set(net::http::field::retry_after, retry_after);
    RecordPause(fleet_, runner_, platform::DecodeAnswer(response.base()),
                {"request", "r"});
  }
  std::chrono::nanoseconds TimeToPlace() const {
    return runner_.gate->pause().TimeToPlace(RuntimeClock::now());
  }

  Fleet fleet_;
  Runner runner_;
};

TEST_F(PauseRecordTest, TheTargetThatAnsweredIsPaused) {
  Answer("2.5");
  EXPECT_EQ(TimeToPlace(), std::chrono::milliseconds(2500));
  EXPECT_EQ(fleet_.pause_counts().pauses, 1U);
}

TEST_F(PauseRecordTest, AnswersThatNameOneEndAreOnePause) {
  Answer("2.5");
  RuntimeClock::Advance(std::chrono::milliseconds(20));
  Answer("2.5");
  EXPECT_EQ(TimeToPlace(), std::chrono::milliseconds(2500));
  EXPECT_EQ(fleet_.pause_counts().pauses, 1U);
}

TEST_F(PauseRecordTest, NonsenseIsCountedAndNotObeyed) {
  for (const char* text : {"-1", "soon", "Fri, 04 Dec 2026 23:59:59 GMT"}) {
    Answer(text);
  }
  EXPECT_EQ(TimeToPlace(), seconds(0));
  EXPECT_EQ(fleet_.pause_counts().invalid, 3U);
  Answer("3600");
  EXPECT_LT(TimeToPlace(), hours(1));
  EXPECT_EQ(TimeToPlace(), TargetPause::kMaxPause);
}

TEST_F(PauseRecordTest, TheEndIsTakenOnce) {
  Answer("1");
  EXPECT_FALSE(runner_.gate->pause().TakeEnd(RuntimeClock::now()));
  RuntimeClock::Advance(seconds(1));
  EXPECT_TRUE(runner_.gate->pause().TakeEnd(RuntimeClock::now()));
  EXPECT_FALSE(runner_.gate->pause().TakeEnd(RuntimeClock::now()));
}

}  // namespace
}  // namespace beryllane::fleet
