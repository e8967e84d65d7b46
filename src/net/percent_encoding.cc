#include "src/net/percent_encoding.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>

namespace beryllane::net {

std::string PercentEncode(std::string_view text) {
  return boost::urls::encode({text.data(), text.size()},
                             boost::urls::unreserved_chars);
}

std::string PercentDecode(std::string_view text) {
  constexpr std::size_t kDigits = 2;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  while (!text.empty()) {
    const std::string_view digits = text.substr(1, kDigits);
    unsigned char byte = 0;
    const char* const end = digits.data() + digits.size();
    const bool is_encoded =
        text.front() == '%' && digits.size() == kDigits &&
        std::from_chars(digits.data(), end, byte, kHexadecimal).ptr == end;
    decoded += is_encoded ? static_cast<char>(byte) : text.front();
    text.remove_prefix(is_encoded ? 1 + kDigits : 1);
  }
  return decoded;
}

}  // namespace beryllane::net
