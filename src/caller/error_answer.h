/// @file
/// Errors as callers see them: OpenAI-shaped JSON and a verdict header.
#ifndef BERYLLANE_SRC_CALLER_ERROR_ANSWER_H_
#define BERYLLANE_SRC_CALLER_ERROR_ANSWER_H_

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

/// The body of an error answer. @pre none. Thread-safe.
std::string ErrorBody(const Error& error);

/// An error answer with its status and headers. @pre none. Thread-safe.
net::Response ErrorResponse(const Error& error);

/// An error as the last event of a stream that already started. @pre none.
/// Thread-safe.
std::string ErrorEvent(const Error& error);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_ERROR_ANSWER_H_
