// Tests of the scopes in which client accounts share cached prompt parts.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "src/fleet/cache_scope.h"
#include "src/fleet/fleet.h"
#include "src/fleet/placement.h"

namespace beryllane::fleet {
namespace {

constexpr int kAccounts = 4;

std::string NameOf(int account) { return "t" + std::to_string(account); }

// A configuration in which the accounts of `isolated` are isolated.
FleetConfig ConfigWith(const std::set<int>& isolated, std::uint64_t version) {
  FleetConfig config;
  config.version = version;
  for (int i = 0; i < kAccounts; ++i) {
    config.accounts.push_back({NameOf(i), {}, {}, isolated.contains(i)});
  }
  return config;
}

std::string ScopeUnder(const FleetConfig& config, const Account* account) {
  Fleet fleet;
  EXPECT_TRUE(fleet.SetConfig(config));
  return CacheScopeOf(fleet.config().get(), account);
}

TEST(CacheScope, SaltsSeparateVersionsAndIsolatedAccounts) {
  const FleetConfig config = ConfigWith({2}, 1);
  const std::string shared = ScopeUnder(config, nullptr);
  const std::string open = ScopeUnder(config, &config.accounts[1]);
  const std::string isolated = ScopeUnder(config, &config.accounts[2]);
  EXPECT_EQ(CacheSalt(3, open), CacheSalt(3, shared));
  EXPECT_NE(CacheSalt(3, open), CacheSalt(4, open));
  EXPECT_NE(CacheSalt(3, isolated), CacheSalt(3, open));
  EXPECT_NE(CacheSalt(3, isolated), CacheSalt(4, isolated));
}

// An account that became isolated shared what it had cached before.
RC_GTEST_PROP(CacheScope, NoRequestUsesPartsAcrossAnIsolation,
              (const std::vector<std::set<std::uint8_t>>& changes)) {
  Fleet fleet;
  // Accounts that cached parts, by scope.
  std::map<std::string, std::set<int>> makers;
  std::uint64_t version = 0;
  for (const auto& change : changes) {
    std::set<int> isolated;
    for (const std::uint8_t account : change) {
      isolated.insert(account % kAccounts);
    }
    RC_ASSERT(fleet.SetConfig(ConfigWith(isolated, ++version)));
    for (int user = 0; user < kAccounts; ++user) {
      const Account& account = fleet.config()->accounts[user];
      auto& known = makers[CacheScopeOf(fleet.config().get(), &account)];
      for (const int maker : known) {
        const bool is_walled = maker != user && (isolated.contains(maker) ||
                                                 isolated.contains(user));
        RC_ASSERT(!is_walled);
      }
      known.insert(user);
    }
  }
}

TEST(CacheScope, AccountsThatAreNotIsolatedShare) {
  const FleetConfig config = ConfigWith({3}, 1);
  EXPECT_EQ(ScopeUnder(config, &config.accounts[0]),
            ScopeUnder(config, &config.accounts[1]));
}

TEST(CacheScope, ASetOfIsolatedAccountsThatReturnsHasItsScopeAgain) {
  const auto shared = [](const std::set<int>& isolated) {
    return ScopeUnder(ConfigWith(isolated, 1), nullptr);
  };
  EXPECT_EQ(shared({}), "");
  EXPECT_EQ(shared({1, 2}), shared({2, 1}));
  EXPECT_NE(shared({1}), shared({2}));
  EXPECT_NE(shared({1}), shared({1, 2}));
}

TEST(CacheScope, NamesThatJoinToTheSameTextAreDifferentSets) {
  FleetConfig two;
  two.accounts = {{"a", {}, {}, true}, {"b", {}, {}, true}};
  FleetConfig one;
  one.accounts = {{"ab", {}, {}, true}};
  EXPECT_NE(SharedCacheScope(two), SharedCacheScope(one));
}

// A request keeps the configuration that admitted it for all its attempts.
TEST(CacheScope, AnAttemptOfAnEarlierRequestFollowsTheNewestConfiguration) {
  Fleet fleet;
  ASSERT_TRUE(fleet.SetConfig(ConfigWith({}, 1)));
  const auto admitted = fleet.config();
  ASSERT_TRUE(fleet.SetConfig(ConfigWith({0}, 2)));
  const FleetConfig* config = fleet.config().get();
  EXPECT_EQ(CacheScopeOf(config, &admitted->accounts[0]),
            CacheScopeOf(config, &config->accounts[0]));
  EXPECT_EQ(CacheScopeOf(config, &admitted->accounts[1]),
            CacheScopeOf(config, &config->accounts[1]));
}

TEST(CacheScope, AnAccountThatWasRemovedSharesWithNoOther) {
  Fleet fleet;
  const FleetConfig config = ConfigWith({}, 1);
  const Account removed{"removed", {}, {}, false};
  ASSERT_TRUE(fleet.SetConfig(config));
  EXPECT_NE(CacheScopeOf(fleet.config().get(), &removed),
            CacheScopeOf(fleet.config().get(), nullptr));
}

}  // namespace
}  // namespace beryllane::fleet
