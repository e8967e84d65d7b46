/// @file
/// Parsing of completion requests from callers, and the bodies sent to engines.
#ifndef BERYLLANE_SRC_CALLER_COMPLETION_REQUEST_H_
#define BERYLLANE_SRC_CALLER_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "beryllane/error/error.h"

namespace beryllane::caller {

/// One message of a prompt.
struct Message {
  std::string role;
  std::string content;
};

/// The parts of a completion request that routing needs.
struct CompletionRequest {
  std::string model;
  std::vector<Message> messages;
  bool is_stream = false;
  std::uint64_t max_tokens = 0;
};

/// Fields that the router adds to a request before sending it to an engine.
struct EngineFields {
  std::string_view cache_salt;
  std::string_view weights_version;
  int priority = 0;
  std::uint64_t resume_from = 0;
};

/// Parses a request body. Limits the nesting depth, requires UTF-8, and rejects
/// the fields of `EngineFields`, which only the router may set. @pre none.
/// Thread-safe. Complexity: linear.
Result<CompletionRequest> ParseCompletion(const std::string& body,
                                          bool is_chat);

/// Returns the body for an engine: the caller's body with `fields` appended.
/// @pre `body` was parsed by `ParseCompletion`. Thread-safe.
std::string EngineBody(const std::string& body, const EngineFields& fields);

}  // namespace beryllane::caller

#endif  // BERYLLANE_SRC_CALLER_COMPLETION_REQUEST_H_
