/// @file
/// The verdict that travels with each outcome of a request.
#ifndef BERYLLANE_VERDICT_VERDICT_H_
#define BERYLLANE_VERDICT_VERDICT_H_

#include <optional>
#include <string_view>

namespace beryllane {

/// States whether the side effects of a request may have taken place.
enum class Verdict {
  /// No byte of the request can have reached a target, or the target proved
  /// that it did not execute the request. A repeat is safe.
  kNotRun,
  /// Part of the request was sent and no proof of either outcome arrived.
  kMayHaveRun,
  /// The target answered.
  kRan,
};

/// The stage of an exchange with a target at which a failure was seen.
enum class ExchangeStage {
  /// Resolving, connecting or the TLS handshake; nothing was written.
  kBeforeFirstByte,
  /// At least one byte was handed to the transport.
  kRequestWritten,
  /// The head of the answer arrived, the body is incomplete.
  kResponseStarted,
  /// The answer is complete.
  kResponseComplete,
};

/// Returns the verdict for an exchange that ended at `stage`.
///
/// @pre none. Thread-safe. Complexity: constant.
///
/// Example: `VerdictAt(ExchangeStage::kRequestWritten)` is `kMayHaveRun`.
constexpr Verdict VerdictAt(ExchangeStage stage) {
  switch (stage) {
    case ExchangeStage::kBeforeFirstByte:
      return Verdict::kNotRun;
    case ExchangeStage::kRequestWritten:
      return Verdict::kMayHaveRun;
    case ExchangeStage::kResponseStarted:
    case ExchangeStage::kResponseComplete:
      return Verdict::kRan;
  }
  return Verdict::kMayHaveRun;
}

/// Returns the verdict of two attempts of one request taken together: the
/// attempt that got furthest decides.
///
/// @pre none. Thread-safe. Complexity: constant.
constexpr Verdict Combine(Verdict a, Verdict b) {
  return static_cast<int>(a) > static_cast<int>(b) ? a : b;
}

/// Returns the header value of a verdict: `not-run`, `may-have-run` or `ran`.
///
/// @pre none. Thread-safe. Complexity: constant.
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

/// Parses the header value of a verdict; any other text gives `nullopt`.
///
/// @pre none. Thread-safe. Complexity: constant.
constexpr std::optional<Verdict> ParseVerdict(std::string_view text) {
  if (text == "not-run") return Verdict::kNotRun;
  if (text == "may-have-run") return Verdict::kMayHaveRun;
  if (text == "ran") return Verdict::kRan;
  return std::nullopt;
}

}  // namespace beryllane

#endif  // BERYLLANE_VERDICT_VERDICT_H_
