#include "src/fleet/cache_scope.h"

#include <algorithm>
#include <functional>
#include <set>

#include "beryllane/hash/hash.h"
#include "fmt/format.h"

namespace beryllane::fleet {
namespace {

// The account of the same name in `config`; null if there is none.
const Account* FindAccount(const FleetConfig& config, const Account& account) {
  const auto& accounts = config.accounts;
  const Account* const first = accounts.data();
  const Account* const last = first + accounts.size();
  const std::less<> is_before;
  const bool is_own = !is_before(&account, first) && is_before(&account, last);
  if (is_own) return &account;
  const Account* const found = std::find_if(
      first, last,
      [&](const Account& candidate) { return candidate.name == account.name; });
  return found == last ? nullptr : found;
}

}  // namespace

std::string SharedCacheScope(const FleetConfig& config) {
  std::set<std::string> isolated;
  for (const Account& account : config.accounts) {
    if (account.is_isolated) isolated.insert(account.name);
  }
  if (isolated.empty()) return "";
  // The length keeps apart sets whose names are equal when joined.
  std::string joined;
  for (const std::string& name : isolated) {
    joined += fmt::format("{}:{}", name.size(), name);
  }
  return fmt::format("-{:016x}", HashBytes(joined).low);
}

std::string CacheScopeOf(const FleetConfig* config, const Account* account) {
  if (account == nullptr) return config ? config->shared_cache_scope : "";
  const Account* const current =
      config == nullptr ? account : FindAccount(*config, *account);
  const bool is_isolated = current == nullptr || current->is_isolated;
  if (is_isolated) return "." + account->name;
  return config ? config->shared_cache_scope : "";
}

}  // namespace beryllane::fleet
