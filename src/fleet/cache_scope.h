/// @file
/// Which client accounts share cached prompt parts.
#ifndef BERYLLANE_SRC_FLEET_CACHE_SCOPE_H_
#define BERYLLANE_SRC_FLEET_CACHE_SCOPE_H_

#include <string>

#include "src/fleet/model.h"

namespace beryllane::fleet {

/// Scope in which the accounts that are not isolated share cached prompt parts.
/// It is another one for each set of isolated accounts, so that an account that
/// becomes isolated leaves nothing behind that others can use. It depends on
/// the configuration alone: routers that start later agree on it, and a set
/// that returns finds what is left of its scope. Empty if no account is
/// isolated. @pre none. Thread-safe.
std::string SharedCacheScope(const FleetConfig& config);

/// Scope of a request of `account` under the configuration in force. `account`
/// may belong to an earlier configuration, and is null for a request without
/// one; `config` is null before the first. An account that was removed shares
/// with no other. @pre `config->shared_cache_scope` is set. Thread-safe.
std::string CacheScopeOf(const FleetConfig* config, const Account* account);

}  // namespace beryllane::fleet

#endif  // BERYLLANE_SRC_FLEET_CACHE_SCOPE_H_
