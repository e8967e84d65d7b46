/// @file
/// Error responses to callers: JSON in the format of the OpenAI API, and a
/// verdict header.
#ifndef BERYLLANE_SRC_CALLER_ERROR_RESPONSE_H_
#define BERYLLANE_SRC_CALLER_ERROR_RESPONSE_H_

#include <string>

#include "beryllane/error/error.h"
#include "src/net/http_types.h"

namespace beryllane::caller {

inline constexpr const char* kVerdictHeader = "Beryllane-Verdict";
inline constexpr const char* kRequestIdHeader = "Beryllane-Request-Id";
inline constexpr const char* kDeadlineHeader = "Beryllane-Deadline-Ms";
inline constexpr const char* kKindHeader = "Beryllane-Kind";
inline constexpr const char* kTargetHeader = "Beryllane-Target";
inline constexpr const char* kCachedTokensHeader = "Beryllane-Cached-Tokens";
inline constexpr const char* kKeyHeader = "Idempotency-Key";

/// The JSON body of an error response. @pre none. Thread-safe.
std::string ErrorBody(const Error& error);

/// A complete error response. Has `Retry-After` if the request did not run and
/// may succeed later. @pre none. Thread-safe.
net::Response ErrorResponse(const Error& error);

/// A server-sent event that reports an error at the end of a stream that has
/// already started. @pre none. Thread-safe.
std::string ErrorEvent(const Error& error);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_ERROR_RESPONSE_H_
