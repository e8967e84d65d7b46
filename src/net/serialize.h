/// @file
/// HTTP messages as the bytes that go over a connection.
#ifndef BERYLLANE_SRC_NET_SERIALIZE_H_
#define BERYLLANE_SRC_NET_SERIALIZE_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/serializer.hpp>
#include <optional>
#include <string>

#include "src/net/http_types.h"

namespace beryllane::net {

/// Serializes a whole message; `nullopt` where it cannot be. @pre its payload
/// is prepared. Thread-safe.
template <bool kIsRequest>
std::optional<std::string> ToWire(
    http::message<kIsRequest, http::string_body>& message) {
  http::serializer<kIsRequest, http::string_body> serializer(message);
  boost::system::error_code code;
  // Most heads are shorter.
  constexpr std::size_t kHeadBytes = 1024;
  std::string wire;
  wire.reserve(message.body().size() + kHeadBytes);
  while (!serializer.is_done() && !code) {
    serializer.next(code, [&](auto& /*next*/, const auto& buffers) {
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer part(*it);
        wire.append(static_cast<const char*>(part.data()), part.size());
      }
      serializer.consume(boost::asio::buffer_size(buffers));
    });
  }
  if (code) return std::nullopt;
  return wire;
}

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_SERIALIZE_H_
