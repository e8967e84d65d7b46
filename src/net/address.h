/// @file
/// Addresses as IP number and port; names are not resolved.
#ifndef BERYLLANE_SRC_NET_ADDRESS_H_
#define BERYLLANE_SRC_NET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beryllane::net {

/// An IP number and a TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`; other text gives `nullopt`. @pre
/// none. Thread-safe.
std::optional<Address> ParseAddress(std::string_view text);

/// The inverse of `ParseAddress`. @pre none. Thread-safe.
std::string ToString(const Address& address);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_ADDRESS_H_
