/// @file
/// HTTP messages as Beast models them.
#ifndef BERYLLANE_SRC_NET_HTTP_TYPES_H_
#define BERYLLANE_SRC_NET_HTTP_TYPES_H_

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>
#include <string>
#include <string_view>

namespace beryllane::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline constexpr unsigned kHttp11 = 11;

/// Builds a request. @pre `target` starts with `/`. Thread-safe.
inline Request MakeRequest(http::verb method, std::string_view target,
                           std::string body = "",
                           std::string_view content_type = "") {
  Request request(method, beast::string_view(target.data(), target.size()),
                  kHttp11);
  if (!content_type.empty()) {
    request.set(http::field::content_type, std::string(content_type));
  }
  request.body() = std::move(body);
  return request;
}

/// Builds a response. @pre none. Thread-safe.
inline Response MakeResponse(int status, std::string body,
                             std::string_view content_type) {
  Response response(static_cast<http::status>(status), kHttp11);
  response.set(http::field::content_type, std::string(content_type));
  response.body() = std::move(body);
  return response;
}

/// Copies the status code, which need not have a name in `http::status`, and
/// the reason phrase. @pre `from` was parsed. Thread-safe.
inline void CopyStatus(const http::response_header<>& from,
                       http::response_header<>& to) {
  to.result(from.result_int());
  to.reason(from.reason());
}

/// A header's value, empty where absent; the view lives as long as `message`.
/// @pre none. Thread-safe.
template <typename Message>
std::string_view Header(const Message& message, std::string_view name) {
  const auto it = message.find(beast::string_view(name.data(), name.size()));
  if (it == message.end()) return {};
  return {it->value().data(), it->value().size()};
}

/// The request's path and query. The view lives as long as `request`. @pre
/// none. Thread-safe.
inline std::string_view Target(const Request& request) {
  return {request.target().data(), request.target().size()};
}

}  // namespace beryllane::net

#endif  // BERYLLANE_SRC_NET_HTTP_TYPES_H_
