// Where routers that start read their first records.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "src/fleet/first_sources.h"

namespace beryllane::fleet {
namespace {

TEST(FirstSources, WithoutAnEarlierRouterTheStoreIsRead) {
  FirstSources sources({}, 5);
  EXPECT_FALSE(sources.Next());
}

TEST(FirstSources, TheEarliestIsAskedAgainWhileItHasNoRecords) {
  FirstSources sources({"a", "b"}, 5);
  for (int i = 0; i < 20; ++i) {
    const auto source = sources.Next();
    ASSERT_TRUE(source);
    sources.OnNoRecords(*source == "a" ? 3 : 4);
  }
}

TEST(FirstSources, RoutersThatDoNotAnswerDelayTheStoreALittle) {
  FirstSources sources({"a", "b", "c", "d"}, 5);
  int asked = 0;
  while (const auto source = sources.Next()) {
    ++asked;
    sources.OnSilence(*source);
  }
  EXPECT_EQ(asked, FirstSources::kMaxSilent);
}

TEST(FirstSources, OfRoutersThatAllStartOnlyTheFirstReadsTheStore) {
  constexpr std::uint64_t kRouters = 50;
  std::vector<std::string> earlier;
  earlier.reserve(kRouters);
  for (std::uint64_t rank = 0; rank < kRouters; ++rank) {
    FirstSources sources(earlier, rank);
    bool reads_store = false;
    for (int i = 0; i < 500 && !reads_store; ++i) {
      const auto source = sources.Next();
      reads_store = !source;
      if (source) sources.OnNoRecords(std::stoull(*source));
    }
    EXPECT_EQ(reads_store, rank == 0) << rank;
    earlier.push_back(std::to_string(rank));
  }
}

TEST(FirstSources, RoutersThatAllStartAgainWaitForNoneThatRegisteredLater) {
  FirstSources sources({"a", "b", "c"}, 5);
  ASSERT_TRUE(sources.Next());
  sources.OnNoRecords(9);
  EXPECT_FALSE(sources.Next());
}

TEST(FirstSources, ARouterThatHasNotRegisteredYetIsNotWaitedFor) {
  FirstSources sources({"a", "b"}, 5);
  ASSERT_TRUE(sources.Next());
  sources.OnNoRecords(std::nullopt);
  EXPECT_FALSE(sources.Next());
}

TEST(FirstSources, OthersAreAskedWhereOneRefuses) {
  FirstSources sources({"a", "b"}, 5);
  const auto refusing = sources.Next();
  sources.OnRefusal(*refusing);
  EXPECT_NE(sources.Next(), refusing);
}

}  // namespace
}  // namespace beryllane::fleet
