#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>

#include "beryllane/claim/claim_partition.h"
#include "beryllane/invariant/invariant.h"

namespace beryllane::claim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A log in memory that holds calls back until the test lets them finish, and
// can lose answers or fail calls.
class FakeLog : public LogStream {
 public:
  enum class Fate { kAnswer, kLoseAnswer, kFail };

  explicit FakeLog(std::vector<configlog::LogRecord>& records)
      : records_(records) {}

  void Append(std::string data, AppendHandler done) override {
    calls_.emplace_back([this, data = std::move(data),
                         done = std::move(done)](Fate fate) {
      if (fate != Fate::kFail) {
        records_.push_back({records_.size(), RuntimeClock::WallNow(), data});
      }
      if (fate == Fate::kAnswer) {
        done(AppendAck{records_.back().offset, records_.back().time});
      } else {
        done(Error{ErrorId::kLogUnavailable, "fake", Verdict::kMayHaveRun});
      }
    });
  }
  void Read(std::uint64_t from, ReadHandler done) override {
    calls_.emplace_back([this, from, done = std::move(done)](Fate fate) {
      if (fate != Fate::kAnswer) {
        done(Error{ErrorId::kLogUnavailable, "fake", Verdict::kNotRun});
        return;
      }
      LogPage page;
      page.end = records_.size();
      for (std::uint64_t i = from; i < records_.size(); ++i) {
        page.records.push_back(records_[i]);
      }
      done(std::move(page));
    });
  }
  // Finishes the oldest outstanding call; false if there is none.
  bool Finish(Fate fate = Fate::kAnswer) {
    if (calls_.empty()) return false;
    auto call = std::move(calls_.front());
    calls_.pop_front();
    call(fate);
    return true;
  }
  void FinishAll() {
    while (Finish()) {
    }
  }

 private:
  std::vector<configlog::LogRecord>& records_;
  std::deque<std::function<void(Fate)>> calls_;
};

class ClaimPartitionTest : public ::testing::Test {
 protected:
  ClaimPartitionTest() {
    RuntimeClock::Pause();
    invariant::SetFatal(true);
  }
  ~ClaimPartitionTest() override { RuntimeClock::Resume(); }

  static ClaimEntry NewClaim(std::uint64_t key, std::uint64_t id) {
    const WallTime now = RuntimeClock::WallNow();
    return {{0, key}, {0, id}, {0, 1}, now, now + seconds(30)};
  }
  static RuntimeClock::time_point In(milliseconds d) {
    return RuntimeClock::now() + d;
  }
  ClaimPartition::Handler Into(std::optional<ClaimAnswer>& slot) {
    return [&slot](ClaimAnswer answer) { slot = std::move(answer); };
  }

  std::vector<configlog::LogRecord> records_;
  FakeLog log_{records_};
  ClaimPartition partition_{log_, {}};
};

TEST_F(ClaimPartitionTest, AnswersOnlyAfterTheReplayAndItsOwnRecord) {
  std::optional<ClaimAnswer> answer;
  partition_.Claim(NewClaim(1, 10), In(seconds(1)), Into(answer));
  EXPECT_FALSE(answer.has_value());
  log_.Finish();  // The replay.
  EXPECT_FALSE(answer.has_value());
  log_.Finish();  // The append.
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, ClaimStatus::kWon);
}

TEST_F(ClaimPartitionTest, ALostAppendAnswerIsSettledByReading) {
  std::optional<ClaimAnswer> answer;
  log_.FinishAll();
  partition_.Claim(NewClaim(1, 10), In(seconds(1)), Into(answer));
  log_.Finish(FakeLog::Fate::kLoseAnswer);
  EXPECT_FALSE(answer.has_value());
  RuntimeClock::Advance(milliseconds(60));
  partition_.Tick();
  log_.FinishAll();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, ClaimStatus::kWon);
  EXPECT_EQ(records_.size(), 1U);
}

TEST_F(ClaimPartitionTest, AFailedAppendIsRepeatedUnderTheSameId) {
  std::optional<ClaimAnswer> answer;
  log_.FinishAll();
  partition_.Claim(NewClaim(1, 10), In(seconds(1)), Into(answer));
  log_.Finish(FakeLog::Fate::kFail);
  RuntimeClock::Advance(milliseconds(60));
  partition_.Tick();
  log_.FinishAll();
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, ClaimStatus::kWon);
}

TEST_F(ClaimPartitionTest, TwoInstancesThatServeOnePartitionGrantOnce) {
  FakeLog other_log(records_);
  ClaimPartition other(other_log, {});
  log_.FinishAll();
  other_log.FinishAll();
  std::optional<ClaimAnswer> first;
  std::optional<ClaimAnswer> second;
  partition_.Claim(NewClaim(1, 10), In(seconds(1)), Into(first));
  other.Claim(NewClaim(1, 11), In(seconds(1)), Into(second));
  log_.FinishAll();
  other_log.FinishAll();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->status, ClaimStatus::kWon);
  EXPECT_FALSE(second.has_value());  // It waits for the winner's outcome.
  partition_.RecordOutcome({{0, 1}, {0, 10}, 200, "text/plain", "done"});
  log_.FinishAll();
  other.Tick();
  other_log.FinishAll();
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->status, ClaimStatus::kAnswered);
  EXPECT_EQ(second->outcome->body, "done");
}

TEST_F(ClaimPartitionTest, AnExpiredClaimIsWithdrawnAndItsKeyStaysFree) {
  std::optional<ClaimAnswer> first;
  log_.FinishAll();
  partition_.Claim(NewClaim(1, 10), In(milliseconds(100)), Into(first));
  RuntimeClock::Advance(milliseconds(200));
  partition_.Tick();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->status, ClaimStatus::kUnavailable);
  // The append lands after the answer, then the withdrawal.
  log_.FinishAll();
  std::optional<ClaimAnswer> second;
  partition_.Claim(NewClaim(1, 11), In(seconds(1)), Into(second));
  log_.FinishAll();
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->status, ClaimStatus::kWon);
}

TEST_F(ClaimPartitionTest, AWinnerThatDiedLeavesAnUnknownOutcome) {
  std::optional<ClaimAnswer> first;
  log_.FinishAll();
  partition_.Claim(NewClaim(1, 10), In(seconds(1)), Into(first));
  log_.FinishAll();
  RuntimeClock::Advance(seconds(31));
  std::optional<ClaimAnswer> second;
  partition_.Claim(NewClaim(1, 11), In(seconds(1)), Into(second));
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->status, ClaimStatus::kUnknownOutcome);
}

TEST_F(ClaimPartitionTest, ManyClaimsShareAnAppend) {
  log_.FinishAll();
  std::vector<std::optional<ClaimAnswer>> answers(100);
  for (std::uint64_t i = 0; i < answers.size(); ++i) {
    partition_.Claim(NewClaim(i, 1000 + i), In(seconds(1)), Into(answers[i]));
  }
  log_.FinishAll();
  for (const auto& answer : answers) {
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, ClaimStatus::kWon);
  }
  EXPECT_LE(partition_.stats().appends, 2U);
}

// Two instances, any order of answers, losses and failures, attempts that are
// given up and claimed again elsewhere under a new id: at most one attempt of
// a key is ever told that it won and not withdrawn before it could send.
RC_GTEST_PROP(ClaimPartitionProperty, AtMostOneAttemptIsGranted, ()) {
  RuntimeClock::Pause();
  std::vector<configlog::LogRecord> records;
  FakeLog logs[2] = {FakeLog(records), FakeLog(records)};
  ClaimPartition partitions[2] = {{logs[0], {}}, {logs[1], {}}};
  std::map<std::uint64_t, std::vector<std::uint64_t>> granted;
  std::uint64_t next_id = 1;
  const auto steps = *rc::gen::inRange(5, 80);
  for (int step = 0; step < steps; ++step) {
    const int who = *rc::gen::inRange(0, 2);
    const int what = *rc::gen::inRange(0, 10);
    if (what < 3) {
      const auto key = *rc::gen::inRange<std::uint64_t>(1, 3);
      const std::uint64_t id = next_id++;
      const WallTime now = RuntimeClock::WallNow();
      const bool gives_up = *rc::gen::inRange(0, 3) == 0;
      partitions[who].Claim(
          {{0, key}, {0, id}, {0, 1}, now, now + seconds(30)},
          RuntimeClock::now() + milliseconds(500),
          [&granted, key, id, gives_up](const ClaimAnswer& answer) {
            // A holder that gave up never sends, whatever it is told.
            if (answer.status == ClaimStatus::kWon && !gives_up) {
              granted[key].push_back(id);
            }
          });
      if (gives_up) partitions[1 - who].Withdraw({0, key}, {0, id});
    } else if (what < 8) {
      const int fate = *rc::gen::inRange(0, 4);
      logs[who].Finish(fate == 0   ? FakeLog::Fate::kLoseAnswer
                       : fate == 1 ? FakeLog::Fate::kFail
                                   : FakeLog::Fate::kAnswer);
    } else {
      RuntimeClock::Advance(milliseconds(70));
      partitions[who].Tick();
    }
  }
  for (int round = 0; round < 20; ++round) {
    RuntimeClock::Advance(milliseconds(60));
    for (int i = 0; i < 2; ++i) {
      partitions[i].Tick();
      logs[i].FinishAll();
    }
  }
  for (const auto& [key, ids] : granted) RC_ASSERT(ids.size() <= 1U);
  RuntimeClock::Resume();
}

}  // namespace
}  // namespace beryllane::claim
