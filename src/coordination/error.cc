#include "beryllane/error/error.h"

#include <array>

namespace beryllane {
namespace {

struct ErrorInfo {
  ErrorId id;
  std::string_view name;
  int status;
};

constexpr std::array kErrorTable{
    ErrorInfo{ErrorId::kMalformedHttp, "malformed_http", 400},
    ErrorInfo{ErrorId::kHeadTooLarge, "head_too_large", 431},
    ErrorInfo{ErrorId::kBodyTooLarge, "body_too_large", 413},
    ErrorInfo{ErrorId::kSlowSender, "slow_sender", 408},
    ErrorInfo{ErrorId::kMalformedJson, "malformed_json", 400},
    ErrorInfo{ErrorId::kNestingTooDeep, "nesting_too_deep", 400},
    ErrorInfo{ErrorId::kInvalidUtf8, "invalid_utf8", 400},
    ErrorInfo{ErrorId::kInvalidField, "invalid_field", 400},
    ErrorInfo{ErrorId::kUnknownModel, "unknown_model", 404},
    ErrorInfo{ErrorId::kUnknownService, "unknown_service", 404},
    ErrorInfo{ErrorId::kUnknownKind, "unknown_kind", 400},
    ErrorInfo{ErrorId::kInvalidDeadline, "invalid_deadline", 400},
    ErrorInfo{ErrorId::kNotAuthenticated, "not_authenticated", 401},
    ErrorInfo{ErrorId::kNoSuchPath, "no_such_path", 404},
    ErrorInfo{ErrorId::kMethodNotAllowed, "method_not_allowed", 405},
    ErrorInfo{ErrorId::kInvalidHeader, "invalid_header", 400},
    ErrorInfo{ErrorId::kKeyRequired, "key_required", 400},
    ErrorInfo{ErrorId::kInvalidKey, "invalid_key", 400},
    ErrorInfo{ErrorId::kKeyExpired, "key_expired", 409},
    ErrorInfo{ErrorId::kKeyReused, "key_reused", 422},
    ErrorInfo{ErrorId::kNotReady, "not_ready", 503},
    ErrorInfo{ErrorId::kDraining, "draining", 503},
    ErrorInfo{ErrorId::kNoTarget, "no_target", 503},
    ErrorInfo{ErrorId::kOverloaded, "overloaded", 503},
    ErrorInfo{ErrorId::kDeadlineExceeded, "deadline_exceeded", 504},
    ErrorInfo{ErrorId::kRateLimited, "rate_limited", 429},
    ErrorInfo{ErrorId::kClaimUnavailable, "claim_unavailable", 503},
    ErrorInfo{ErrorId::kRetryBudgetSpent, "retry_budget_spent", 503},
    ErrorInfo{ErrorId::kPromptQuarantined, "prompt_quarantined", 503},
    ErrorInfo{ErrorId::kTargetUnreachable, "target_unreachable", 502},
    ErrorInfo{ErrorId::kTargetFailed, "target_failed", 502},
    ErrorInfo{ErrorId::kTargetSilent, "target_silent", 504},
    ErrorInfo{ErrorId::kTargetAnswerInvalid, "target_answer_invalid", 502},
    ErrorInfo{ErrorId::kStreamBroken, "stream_broken", 502},
    ErrorInfo{ErrorId::kOutcomeUnknown, "outcome_unknown", 409},
    ErrorInfo{ErrorId::kInProgress, "in_progress", 409},
    ErrorInfo{ErrorId::kTargetWithdrawn, "target_withdrawn", 503},
    ErrorInfo{ErrorId::kLogUnavailable, "log_unavailable", 503},
    ErrorInfo{ErrorId::kLogAnswerInvalid, "log_answer_invalid", 502},
    ErrorInfo{ErrorId::kHostListUnavailable, "host_list_unavailable", 503},
    ErrorInfo{ErrorId::kConfigInvalid, "config_invalid", 422},
    ErrorInfo{ErrorId::kConfigBaseMismatch, "config_base_mismatch", 409},
    ErrorInfo{ErrorId::kConfigUnknownField, "config_unknown_field", 422},
    ErrorInfo{ErrorId::kSettingInvalid, "setting_invalid", 500},
    ErrorInfo{ErrorId::kSettingMissing, "setting_missing", 500},
    ErrorInfo{ErrorId::kSettingUnknown, "setting_unknown", 500},
    ErrorInfo{ErrorId::kSettingConflict, "setting_conflict", 500},
    ErrorInfo{ErrorId::kPeerUnreachable, "peer_unreachable", 503},
    ErrorInfo{ErrorId::kPeerMessageInvalid, "peer_message_invalid", 502},
    ErrorInfo{ErrorId::kInternal, "internal", 500},
};

const ErrorInfo* Find(ErrorId id) {
  for (const ErrorInfo& info : kErrorTable) {
    if (info.id == id) return &info;
  }
  return nullptr;
}

}  // namespace

std::string_view Name(ErrorId id) {
  const ErrorInfo* info = Find(id);
  return info == nullptr ? "unknown" : info->name;
}

int HttpStatus(ErrorId id) {
  const ErrorInfo* info = Find(id);
  return info == nullptr ? 500 : info->status;
}

}  // namespace beryllane
