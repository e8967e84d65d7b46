#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "beryllane/claim/claim_table.h"

namespace beryllane::claim {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

WallTime At(seconds t) { return WallTime(t); }

ClaimEntry ClaimOf(std::uint64_t key, std::uint64_t id,
                   seconds issued = seconds(0)) {
  return {{0, key}, {0, id}, {0, 1}, At(issued), At(issued + seconds(30))};
}

TEST(ClaimTable, TheFirstClaimOfAKeyWins) {
  ClaimTable table({});
  table.Apply(0, At(seconds(1)), {ClaimOf(1, 10), ClaimOf(1, 11)});
  table.Apply(1, At(seconds(1)), {ClaimOf(1, 12)});
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 10)), ClaimDecision::kWon);
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 11)), ClaimDecision::kLost);
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 12)), ClaimDecision::kLost);
  EXPECT_EQ(table.Find({0, 1})->claim.id, (Hash128{0, 10}));
}

TEST(ClaimTable, AWithdrawnClaimFreesItsKeyEvenWhenItLandsLater) {
  ClaimTable table({});
  table.Apply(0, At(seconds(1)), {WithdrawalEntry{{0, 1}, {0, 10}}});
  table.Apply(1, At(seconds(1)), {ClaimOf(1, 10), ClaimOf(1, 11)});
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 10)), ClaimDecision::kWithdrawn);
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 11)), ClaimDecision::kWon);
}

TEST(ClaimTable, AClaimWithAnOutcomeCannotBeWithdrawn) {
  ClaimTable table({});
  OutcomeEntry outcome{{0, 1}, {0, 10}, 200, "text/plain", "done"};
  table.Apply(0, At(seconds(1)), {ClaimOf(1, 10), outcome});
  table.Apply(1, At(seconds(1)),
              {WithdrawalEntry{{0, 1}, {0, 10}}, ClaimOf(1, 11)});
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 11)), ClaimDecision::kLost);
  EXPECT_EQ(table.Find({0, 1})->outcome->body, "done");
}

TEST(ClaimTable, AKeyThatIsTooOldOrFromTheFutureNeverWins) {
  ClaimBounds bounds;
  bounds.max_age = seconds(100);
  bounds.max_skew = seconds(10);
  ClaimTable table(bounds);
  table.Apply(0, At(seconds(200)),
              {ClaimOf(1, 10, seconds(99)), ClaimOf(2, 11, seconds(100)),
               ClaimOf(3, 12, seconds(210)), ClaimOf(4, 13, seconds(211))});
  EXPECT_EQ(table.DecisionOf(ClaimOf(1, 10)), ClaimDecision::kExpired);
  EXPECT_EQ(table.DecisionOf(ClaimOf(2, 11)), ClaimDecision::kWon);
  EXPECT_EQ(table.DecisionOf(ClaimOf(3, 12)), ClaimDecision::kWon);
  EXPECT_EQ(table.DecisionOf(ClaimOf(4, 13)), ClaimDecision::kExpired);
}

TEST(ClaimTable, ARepeatAfterRetentionNeverWins) {
  ClaimBounds bounds;
  bounds.max_age = seconds(100);
  bounds.max_skew = seconds(10);
  const seconds retention(120);
  // The first claim is logged as early as the bounds allow.
  const seconds issued(1000);
  const seconds first_logged = issued - seconds(10);
  ClaimTable reader(bounds);
  reader.SetLogStart(5);  // The first claim was truncated.
  const seconds repeat_logged = first_logged + retention;
  reader.Apply(5, At(repeat_logged + seconds(1)), {ClaimOf(1, 20, issued)});
  EXPECT_EQ(reader.DecisionOf(ClaimOf(1, 20)), ClaimDecision::kExpired);
}

TEST(ClaimTable, ForgetsOldKeys) {
  ClaimTable table({});
  table.Apply(0, At(seconds(1)), {ClaimOf(1, 10)});
  table.Apply(1, At(seconds(50)), {ClaimOf(2, 11, seconds(50))});
  table.DropBefore(At(seconds(40)));
  EXPECT_EQ(table.Find({0, 1}), nullptr);
  EXPECT_NE(table.Find({0, 2}), nullptr);
  EXPECT_EQ(table.size(), 1U);
}

TEST(ClaimRecord, BatchesSurviveTheirEncoding) {
  OutcomeEntry outcome{{3, 4}, {5, 6}, 201, "application/json", "{\"a\":1}"};
  ClaimEntry claim{
      {1ULL << 63, 2}, {3, 4}, {5, 6}, At(seconds(7)), At(seconds(8))};
  const auto decoded = DecodeBatch(
      EncodeBatch({claim, WithdrawalEntry{{1, 2}, {3, 4}}, outcome}));
  ASSERT_TRUE(decoded.has_value());
  ASSERT_EQ(decoded->size(), 3U);
  EXPECT_EQ(std::get<ClaimEntry>((*decoded)[0]).key, claim.key);
  EXPECT_EQ(std::get<ClaimEntry>((*decoded)[0]).expires, claim.expires);
  EXPECT_EQ(std::get<WithdrawalEntry>((*decoded)[1]).id, (Hash128{3, 4}));
  EXPECT_EQ(std::get<OutcomeEntry>((*decoded)[2]).body, outcome.body);
  EXPECT_FALSE(DecodeBatch("garbage").has_value());
}

TEST(ClaimRecord, ReadsIssueTimesFromKeys) {
  EXPECT_EQ(KeyIssueTime("1796363215242-order"),
            WallTime(milliseconds(1796363215242)));
  // 0x0190a1b2c3d4 milliseconds.
  EXPECT_EQ(KeyIssueTime("0190a1b2-c3d4-7e5f-8a6b-0123456789ab"),
            WallTime(milliseconds(0x0190a1b2c3d4)));
  EXPECT_EQ(KeyIssueTime("0190a1b2-c3d4-4e5f-8a6b-0123456789ab"), std::nullopt);
  EXPECT_EQ(KeyIssueTime("order-1"), std::nullopt);
  EXPECT_EQ(KeyIssueTime(""), std::nullopt);
}

// Two readers that start at different times, one after truncation within the
// retention, agree; and a key has at most one winner that is not withdrawn.
RC_GTEST_PROP(ClaimTableProperty, AKeyHasOneWinnerAtEveryReader, ()) {
  const auto count = *rc::gen::inRange(1, 30);
  std::vector<std::vector<Entry>> batches;
  std::uint64_t next_id = 1;
  std::vector<ClaimEntry> claims;
  for (int i = 0; i < count; ++i) {
    std::vector<Entry> batch;
    const auto size = *rc::gen::inRange(1, 4);
    for (int j = 0; j < size; ++j) {
      const int what = *rc::gen::inRange(0, 6);
      if (what < 4 || claims.empty()) {
        claims.push_back(
            ClaimOf(*rc::gen::inRange<std::uint64_t>(1, 4), next_id++));
        batch.emplace_back(claims.back());
      } else {
        const ClaimEntry& old =
            claims[*rc::gen::inRange<std::size_t>(0, claims.size())];
        if (what == 4) {
          batch.emplace_back(old);  // A repeated append.
        } else {
          batch.emplace_back(WithdrawalEntry{old.key, old.id});
        }
      }
    }
    batches.push_back(batch);
  }
  ClaimTable a({});
  ClaimTable b({});
  std::map<std::uint64_t, std::set<std::uint64_t>> held;
  for (std::size_t i = 0; i < batches.size(); ++i) {
    const WallTime logged = At(seconds(i));
    a.Apply(i, logged, batches[i]);
    b.Apply(i, logged, batches[i]);
    if (*rc::gen::inRange(0, 3) == 0) b.Apply(i, logged, batches[i]);
  }
  for (const ClaimEntry& claim : claims) {
    RC_ASSERT(a.DecisionOf(claim) == b.DecisionOf(claim));
    if (a.DecisionOf(claim) == ClaimDecision::kWon) {
      const WinningClaim* winner = a.Find(claim.key);
      RC_ASSERT(winner != nullptr);
      RC_ASSERT(winner->claim.id == claim.id);
      RC_ASSERT(held[claim.key.low].insert(claim.id.low).second);
    }
  }
  for (const auto& [key, ids] : held) RC_ASSERT(ids.size() == 1U);
}

}  // namespace
}  // namespace beryllane::claim
