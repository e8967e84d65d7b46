/// @file
/// Addresses as IP number and port; names are not resolved.
#ifndef BERYLLANE_SRC_NET_ADDRESS_H_
#define BERYLLANE_SRC_NET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace beryllane::net {

/// An IP number and a TCP port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Address& a, const Address& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator<(const Address& a, const Address& b) {
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
  }
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`; other text gives `nullopt`. @pre
/// none. Thread-safe.
std::optional<Address> ParseAddress(std::string_view text);

/// The inverse of `ParseAddress`. @pre none. Thread-safe.
std::string ToString(const Address& address);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_ADDRESS_H_
