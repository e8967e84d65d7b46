#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "beryllane/configlog/config_log.h"
#include "beryllane/configlog/merge_diff.h"

namespace beryllane::configlog {
namespace {

using nlohmann::json;

Validity ValidateSmall(const json& document) {
  return document.contains("bad") ? Validity::kInvalid : Validity::kValid;
}

LogRecord RecordOf(std::uint64_t offset, const Change& change) {
  return {offset, WallTime(std::chrono::milliseconds(offset)), Encode(change)};
}

Change MakeChange(const std::string& id, std::uint64_t base, json patch) {
  return {id, base, "someone", "", std::move(patch)};
}

TEST(ConfigLog, AcceptsAChangeOnItsBaseAndRejectsTheLoserOfARace) {
  ConfigLog log(ValidateSmall);
  log.SetLogStart(0);
  EXPECT_EQ(log.Apply(RecordOf(0, MakeChange("a", 0, {{"x", 1}}))),
            ApplyResult::kAccepted);
  EXPECT_EQ(log.Apply(RecordOf(1, MakeChange("b", 0, {{"x", 2}}))),
            ApplyResult::kBaseMismatch);
  EXPECT_EQ(log.Apply(RecordOf(2, MakeChange("c", 1, {{"y", 3}}))),
            ApplyResult::kAccepted);
  EXPECT_EQ(log.version(), 2U);
  EXPECT_EQ(log.document(), json({{"x", 1}, {"y", 3}}));
}

TEST(ConfigLog, RejectsWhatDoesNotValidateAndSkipsWhatCannotBeRead) {
  ConfigLog log(ValidateSmall);
  log.SetLogStart(0);
  EXPECT_EQ(log.Apply(RecordOf(0, MakeChange("a", 0, {{"bad", 1}}))),
            ApplyResult::kInvalid);
  EXPECT_EQ(log.Apply({1, {}, "garbage"}), ApplyResult::kUnreadable);
  EXPECT_EQ(log.Apply({2, {}, R"({"type":"change","base":"x"})"}),
            ApplyResult::kUnreadable);
  EXPECT_EQ(log.version(), 0U);
  EXPECT_EQ(log.next_offset(), 3U);
}

TEST(ConfigLog, ARepeatedAppendOfAnAcceptedChangeHasNoEffect) {
  ConfigLog log(ValidateSmall);
  log.SetLogStart(0);
  log.Apply(RecordOf(0, MakeChange("a", 0, {{"x", 1}})));
  EXPECT_EQ(log.Apply(RecordOf(1, MakeChange("a", 0, {{"x", 1}}))),
            ApplyResult::kDuplicate);
  EXPECT_EQ(log.version(), 1U);
}

TEST(ConfigLog, AStaleCheckpointDoesNotHideALaterChange) {
  // Offsets 0 to 4 are truncated. The checkpoint at 6 covers up to 5 only, so
  // the change at 5 counts on top of it.
  ConfigLog reader(ValidateSmall);
  reader.SetLogStart(5);
  const Checkpoint stale{7, 5, {{"x", 7}}, "g"};
  EXPECT_EQ(reader.Apply(RecordOf(5, MakeChange("h", 7, {{"x", 8}}))),
            ApplyResult::kPending);
  EXPECT_FALSE(reader.has_state());
  EXPECT_EQ(reader.Apply({6, {}, Encode(stale)}), ApplyResult::kCheckpoint);
  EXPECT_EQ(reader.version(), 8U);
  EXPECT_EQ(reader.document(), json({{"x", 8}}));
}

TEST(ConfigLog, ACheckpointFromBeforeTheGapIsNotEnough) {
  ConfigLog reader(ValidateSmall);
  reader.SetLogStart(5);
  EXPECT_EQ(reader.Apply({5, {}, Encode(Checkpoint{2, 3, {}, "b"})}),
            ApplyResult::kPending);
  EXPECT_FALSE(reader.has_state());
}

TEST(ConfigLog, NeverInstallsAnOlderState) {
  ConfigLog log(ValidateSmall);
  log.SetLogStart(0);
  log.Apply(RecordOf(0, MakeChange("a", 0, {{"x", 1}})));
  log.Apply(RecordOf(1, MakeChange("b", 1, {{"x", 2}})));
  EXPECT_FALSE(log.Install({1, 1, {{"x", 1}}, "a"}));
  EXPECT_EQ(log.version(), 2U);
}

// Any interleaving of operators' races, duplicates, checkpoints, truncation
// and peers' states: one accepted history, monotone at each reader.
RC_GTEST_PROP(ConfigLogProperty, ReadersAgreeWhateverTheySaw, ()) {
  std::vector<LogRecord> records;
  ConfigLog reference(ValidateSmall);
  reference.SetLogStart(0);
  std::map<std::uint64_t, std::uint64_t> version_through;
  const auto count = *rc::gen::inRange<std::size_t>(1, 40);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t offset = records.size();
    const int what = *rc::gen::inRange(0, 10);
    LogRecord record;
    if (what < 6) {
      const auto back = *rc::gen::inRange<std::uint64_t>(0, 2);
      const std::uint64_t base =
          reference.version() - std::min(back, reference.version());
      const json patch{{"v", offset}};
      record = RecordOf(offset,
                        MakeChange("id" + std::to_string(offset), base, patch));
    } else if (what < 7) {
      record = {offset, {}, "garbage"};
    } else if (what < 8 && offset > 0) {
      record = {offset, {}, records[offset - 1].data};
    } else {
      record = {offset, {}, Encode(reference.MakeCheckpoint())};
    }
    records.push_back(record);
    reference.Apply(record);
    version_through[reference.state_end()] = reference.version();
  }
  // A reader that starts anywhere, meets duplicates, and gets states of peers.
  ConfigLog reader(ValidateSmall);
  const auto first = *rc::gen::inRange<std::uint64_t>(0, count);
  reader.SetLogStart(first);
  std::uint64_t seen = 0;
  for (std::uint64_t offset = first; offset < count; ++offset) {
    if (*rc::gen::inRange(0, 4) == 0 && offset > first) {
      reader.Apply(records[*rc::gen::inRange(first, offset)]);
    }
    if (*rc::gen::inRange(0, 6) == 0) {
      ConfigLog peer(ValidateSmall);
      peer.SetLogStart(0);
      const auto until = *rc::gen::inRange<std::uint64_t>(0, count + 1);
      for (std::uint64_t i = 0; i < until; ++i) peer.Apply(records[i]);
      reader.Install(peer.MakeCheckpoint());
    }
    if (offset >= reader.next_offset()) reader.Apply(records[offset]);
    if (!reader.has_state()) continue;
    RC_ASSERT(reader.version() >= seen);
    seen = reader.version();
    if (reader.state_end() > 0) {
      RC_ASSERT(reader.version() == version_through.at(reader.state_end()));
    }
  }
  if (reader.has_state() && reader.state_end() == count) {
    RC_ASSERT(reader.version() == reference.version());
    RC_ASSERT(reader.document() == reference.document());
  }
}

RC_GTEST_PROP(MergeDiffProperty, LeadsFromOneDocumentToTheOther, ()) {
  const auto document = [] {
    json out = json::object();
    for (const char* key : {"a", "b", "c"}) {
      const int what = *rc::gen::inRange(0, 4);
      if (what == 0) out[key] = *rc::gen::inRange(0, 3);
      if (what == 1) out[key] = {{"d", *rc::gen::inRange(0, 3)}};
      if (what == 2) out[key] = json::array({1, 2});
    }
    return out;
  };
  const json from = document();
  const json to = document();
  json patched = from;
  patched.merge_patch(MergeDiff(from, to));
  RC_ASSERT(patched == to);
}

}  // namespace
}  // namespace beryllane::configlog
