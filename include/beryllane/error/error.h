/// @file
/// Numbered errors. docs/errors.md describes each of them.
#ifndef BERYLLANE_ERROR_ERROR_H_
#define BERYLLANE_ERROR_ERROR_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "beryllane/verdict/verdict.h"

namespace beryllane {

/// Stable error numbers. A number is never reused for another error.
enum class ErrorId : int {
  // Ids 100 to 199: the caller's request is at fault.
  kMalformedHttp = 101,
  kHeadTooLarge = 102,
  kBodyTooLarge = 103,
  kSlowSender = 104,
  kMalformedJson = 105,
  kNestingTooDeep = 106,
  kInvalidUtf8 = 107,
  kInvalidField = 108,
  kUnknownModel = 109,
  kUnknownService = 110,
  kUnknownKind = 111,
  kInvalidDeadline = 112,
  kNotAuthenticated = 113,
  kNoSuchPath = 114,
  kMethodNotAllowed = 115,
  kInvalidHeader = 116,
  kKeyRequired = 117,
  kInvalidKey = 118,
  kKeyExpired = 119,
  kKeyReused = 120,
  // Ids 200 to 299: the router cannot serve the request now.
  kNotReady = 201,
  kDraining = 202,
  kNoTarget = 203,
  kOverloaded = 204,
  kDeadlineExceeded = 205,
  kRateLimited = 206,
  kClaimUnavailable = 207,
  kRetryBudgetSpent = 208,
  kPromptQuarantined = 209,
  // Ids 300 to 399: a target failed, or the outcome at a target is not known.
  kTargetUnreachable = 301,
  kTargetFailed = 302,
  kTargetSilent = 303,
  kTargetAnswerInvalid = 304,
  kStreamBroken = 305,
  kOutcomeUnknown = 306,
  kInProgress = 307,
  kTargetWithdrawn = 308,
  // Ids 400 to 499: a platform service, such as the log, failed.
  kLogUnavailable = 401,
  kLogAnswerInvalid = 402,
  kHostListUnavailable = 403,
  // Ids 500 to 599: a change of the configuration was rejected.
  kConfigInvalid = 501,
  kConfigBaseMismatch = 502,
  kConfigUnknownField = 503,
  // Ids 600 to 699: the settings of a process are at fault.
  kSettingInvalid = 601,
  kSettingMissing = 602,
  kSettingUnknown = 603,
  kSettingConflict = 604,
  // Ids 700 to 799: an exchange with a peer failed.
  kPeerUnreachable = 701,
  kPeerMessageInvalid = 702,
  // Ids 800 to 899: a fault of the program itself.
  kInternal = 801,
};

/// An error: its number, a message that says what was received and what was
/// expected, and whether the request that it belongs to may have run.
struct Error {
  ErrorId id = ErrorId::kInvalidField;
  std::string message;
  Verdict verdict = Verdict::kNotRun;
};

/// Returns the stable name of an error, such as `body_too_large`.
///
/// @pre none. Thread-safe. Complexity: constant.
std::string_view Name(ErrorId id);

/// Returns the HTTP status with which an error is reported to a caller.
///
/// @pre none. Thread-safe. Complexity: constant.
int HttpStatus(ErrorId id);

/// A value or an error, for code that suspends between a failure and its
/// handler. Synchronous code uses `boost::leaf::result`, whose error objects
/// live in thread-local storage and cannot cross a suspension point.
template <typename T>
class Result {
 public:
  /// Holds a value. @pre none. Not thread-safe.
  // NOLINTNEXTLINE(google-explicit-constructor): implicit as in std::expected.
  Result(T value) : state_(std::move(value)) {}
  /// Holds an error. @pre none. Not thread-safe.
  // NOLINTNEXTLINE(google-explicit-constructor): implicit as in std::expected.
  Result(Error error) : state_(std::move(error)) {}

  /// Whether a value is held. @pre none. Thread-safe for const use.
  bool ok() const { return std::holds_alternative<T>(state_); }
  /// The value. @pre `ok()`. Thread-safe for const use.
  T& value() { return std::get<T>(state_); }
  /// The value. @pre `ok()`. Thread-safe for const use.
  const T& value() const { return std::get<T>(state_); }
  /// The error. @pre `!ok()`. Thread-safe for const use.
  Error& error() { return std::get<Error>(state_); }
  /// The error. @pre `!ok()`. Thread-safe for const use.
  const Error& error() const { return std::get<Error>(state_); }

 private:
  std::variant<T, Error> state_;
};

/// The value type of a `Result` that carries no data on success.
struct Done {};

}  // namespace beryllane

#endif  // BERYLLANE_ERROR_ERROR_H_
