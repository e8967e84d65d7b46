/// @file
/// Messages by which routers lease units of an account's allowance.
#ifndef BERYLLANE_SRC_ALLOWANCE_LEASE_MESSAGES_H_
#define BERYLLANE_SRC_ALLOWANCE_LEASE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "beryllane/limit/allowance.h"

namespace beryllane::allowance {

/// A router's request to the owner of an account's ledger.
struct LeaseCall {
  std::string account;
  std::uint64_t borrower = 0;
  LeaseRequest request;
  /// The limit that the borrower knows, and the version of its configuration.
  AllowanceLimit limit;
  std::uint64_t config_version = 0;
};

/// The owner's reply.
struct LeaseReply {
  enum class Kind {
    kGranted,
    /// The allowance is used up.
    kExhausted,
    /// The router that was asked does not own the ledger.
    kNotOwner,
  };
  Kind kind = Kind::kNotOwner;
  LeaseGrant grant;
};

/// Encodes a message. @pre none. Thread-safe.
std::string Encode(const LeaseCall& call);
std::string Encode(const LeaseReply& reply);
/// Decodes a message; `nullopt` if it is malformed or another message. @pre
/// none. Thread-safe.
std::optional<LeaseCall> DecodeLeaseCall(const std::string& message);
std::optional<LeaseReply> DecodeLeaseReply(const std::string& message);

}  // namespace beryllane::allowance

#endif  // BERYLLANE_SRC_ALLOWANCE_LEASE_MESSAGES_H_
