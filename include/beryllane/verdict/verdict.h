/// @file
/// The verdict on whether a request may have run, sent with each outcome.
#ifndef BERYLLANE_VERDICT_VERDICT_H_
#define BERYLLANE_VERDICT_VERDICT_H_

#include <optional>
#include <string_view>

namespace beryllane {

/// Whether the side effects of a request may have taken place.
enum class Verdict {
  /// No byte of the request can have reached a target, or the target proved
  /// that it did not execute the request. Retrying is safe.
  kNotRun,
  /// Part of the request was sent, and nothing proves whether it ran.
  kMayHaveRun,
  /// The target responded.
  kRan,
};

/// The stage that an exchange with a target had reached when it ended.
enum class ExchangeStage {
  /// Resolving, connecting or the TLS handshake; nothing was written.
  kBeforeFirstByte,
  /// At least one byte was handed to the transport.
  kRequestWritten,
  /// The head of the response arrived; the body is incomplete.
  kResponseStarted,
  /// The response is complete.
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

/// Returns the verdict on a request from those on two of its attempts: the
/// greater one, which belongs to the attempt that got further.
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

/// Parses the header value of a verdict; returns `nullopt` for any other text.
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
