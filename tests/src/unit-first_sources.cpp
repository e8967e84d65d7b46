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
    sources.OnNoRecords(*source, *source == "a" ? 3 : 4);
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

TEST(FirstSources, OfRoutersThatAllStartAgainOnlyTheFirstReadsTheStore) {
  constexpr int kRouters = 50;
  // Each knows the registrations of the others' earlier lives or, where these
  // have registered again, the new ones.
  std::vector<std::string> earlier;
  earlier.reserve(kRouters);
  for (int i = 0; i < kRouters; ++i) earlier.push_back(std::to_string(i));
  for (std::uint64_t rank = 0; rank < kRouters; ++rank) {
    std::vector<std::string> known = earlier;
    std::erase(known, std::to_string(rank));
    FirstSources sources(known, rank);
    bool reads_store = false;
    for (int i = 0; i < 500 && !reads_store; ++i) {
      const auto source = sources.Next();
      reads_store = !source;
      if (source) sources.OnNoRecords(*source, std::stoull(*source));
    }
    EXPECT_EQ(reads_store, rank == 0) << rank;
  }
}

TEST(FirstSources, ARouterThatHasNotRegisteredYetIsNotWaitedFor) {
  FirstSources sources({"a"}, 5);
  sources.OnNoRecords(*sources.Next(), std::nullopt);
  EXPECT_FALSE(sources.Next());
}

}  // namespace
}  // namespace beryllane::fleet
