/// @file
/// Percent-encoding of text that becomes part of a URL (RFC 3986).
#ifndef BERYLLANE_SRC_NET_PERCENT_ENCODING_H_
#define BERYLLANE_SRC_NET_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace beryllane::net {

/// Encodes all bytes but letters, digits and `-._~`, so that the result is one
/// path segment or one value of a query. @pre none. Thread-safe.
std::string PercentEncode(std::string_view text);

/// Decodes `%` and two hexadecimal digits; what is no such sequence stays as it
/// is. @pre none. Thread-safe.
std::string PercentDecode(std::string_view text);

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_PERCENT_ENCODING_H_
