#include "beryllane/error/error.h"

#include <array>

namespace beryllane {
namespace {

struct Entry {
  ErrorId id;
  std::string_view name;
  int status;
};

constexpr std::array kEntries{
    Entry{ErrorId::kMalformedHttp, "malformed_http", 400},
    Entry{ErrorId::kHeadTooLarge, "head_too_large", 431},
    Entry{ErrorId::kBodyTooLarge, "body_too_large", 413},
    Entry{ErrorId::kSlowSender, "slow_sender", 408},
    Entry{ErrorId::kMalformedJson, "malformed_json", 400},
    Entry{ErrorId::kNestingTooDeep, "nesting_too_deep", 400},
    Entry{ErrorId::kInvalidUtf8, "invalid_utf8", 400},
    Entry{ErrorId::kInvalidField, "invalid_field", 400},
    Entry{ErrorId::kUnknownModel, "unknown_model", 404},
    Entry{ErrorId::kUnknownService, "unknown_service", 404},
    Entry{ErrorId::kUnknownKind, "unknown_kind", 400},
    Entry{ErrorId::kInvalidDeadline, "invalid_deadline", 400},
    Entry{ErrorId::kNotAuthenticated, "not_authenticated", 401},
    Entry{ErrorId::kNoSuchPath, "no_such_path", 404},
    Entry{ErrorId::kMethodNotAllowed, "method_not_allowed", 405},
    Entry{ErrorId::kInvalidHeader, "invalid_header", 400},
    Entry{ErrorId::kKeyRequired, "key_required", 400},
    Entry{ErrorId::kInvalidKey, "invalid_key", 400},
    Entry{ErrorId::kKeyExpired, "key_expired", 409},
    Entry{ErrorId::kKeyReusedForOtherRequest, "key_reused", 422},
    Entry{ErrorId::kNotReady, "not_ready", 503},
    Entry{ErrorId::kDraining, "draining", 503},
    Entry{ErrorId::kNoTarget, "no_target", 503},
    Entry{ErrorId::kOverloaded, "overloaded", 503},
    Entry{ErrorId::kDeadlineExceeded, "deadline_exceeded", 504},
    Entry{ErrorId::kRateLimited, "rate_limited", 429},
    Entry{ErrorId::kClaimUnavailable, "claim_unavailable", 503},
    Entry{ErrorId::kRetryBudgetSpent, "retry_budget_spent", 503},
    Entry{ErrorId::kTargetUnreachable, "target_unreachable", 502},
    Entry{ErrorId::kTargetFailed, "target_failed", 502},
    Entry{ErrorId::kTargetSilent, "target_silent", 504},
    Entry{ErrorId::kTargetAnswerInvalid, "target_answer_invalid", 502},
    Entry{ErrorId::kStreamBroken, "stream_broken", 502},
    Entry{ErrorId::kOutcomeUnknown, "outcome_unknown", 409},
    Entry{ErrorId::kInProgressElsewhere, "in_progress", 409},
    Entry{ErrorId::kLogUnavailable, "log_unavailable", 503},
    Entry{ErrorId::kLogAnswerInvalid, "log_answer_invalid", 502},
    Entry{ErrorId::kHostListUnavailable, "host_list_unavailable", 503},
    Entry{ErrorId::kConfigInvalid, "config_invalid", 422},
    Entry{ErrorId::kConfigBaseMismatch, "config_base_mismatch", 409},
    Entry{ErrorId::kConfigUnknownField, "config_unknown_field", 422},
    Entry{ErrorId::kSettingInvalid, "setting_invalid", 500},
    Entry{ErrorId::kSettingMissing, "setting_missing", 500},
    Entry{ErrorId::kSettingUnknown, "setting_unknown", 500},
    Entry{ErrorId::kSettingConflict, "setting_conflict", 500},
    Entry{ErrorId::kPeerUnreachable, "peer_unreachable", 503},
    Entry{ErrorId::kPeerMessageInvalid, "peer_message_invalid", 502},
};

const Entry* Find(ErrorId id) {
  for (const Entry& entry : kEntries) {
    if (entry.id == id) return &entry;
  }
  return nullptr;
}

}  // namespace

std::string_view Name(ErrorId id) {
  const Entry* entry = Find(id);
  return entry == nullptr ? "unknown" : entry->name;
}

int HttpStatus(ErrorId id) {
  const Entry* entry = Find(id);
  return entry == nullptr ? 500 : entry->status;
}

}  // namespace beryllane
