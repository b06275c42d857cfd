#pragma once

#include "base/verdict.h"

#include <chrono>
#include <optional>
#include <string>

namespace geraniumlift::base {

/// Reasons to refuse a request. The names are part of the API for callers and must not change.
enum class RefusalCode {
  BadRequest,
  BodyTooLarge,
  UnknownKey,
  UnknownModel,
  UnknownService,
  BudgetExhausted,
  BudgetUnavailable,
  DeadlineUnreachable,
  QueueFull,
  NoTarget,
  TargetFailed,
  IdempotencyKeyRequired,
  IdempotencyKeyReused,
  OutcomeUnknown,
  ClaimUnavailable,
  Draining,
  Internal,
};

inline constexpr auto RefusalCodeNames = std::array{
    NamedValue<RefusalCode>{RefusalCode::BadRequest, "bad_request"},
    NamedValue<RefusalCode>{RefusalCode::BodyTooLarge, "body_too_large"},
    NamedValue<RefusalCode>{RefusalCode::UnknownKey, "unknown_key"},
    NamedValue<RefusalCode>{RefusalCode::UnknownModel, "unknown_model"},
    NamedValue<RefusalCode>{RefusalCode::UnknownService, "unknown_service"},
    NamedValue<RefusalCode>{RefusalCode::BudgetExhausted, "budget_exhausted"},
    NamedValue<RefusalCode>{RefusalCode::BudgetUnavailable, "budget_unavailable"},
    NamedValue<RefusalCode>{RefusalCode::DeadlineUnreachable, "deadline_unreachable"},
    NamedValue<RefusalCode>{RefusalCode::QueueFull, "queue_full"},
    NamedValue<RefusalCode>{RefusalCode::NoTarget, "no_target"},
    NamedValue<RefusalCode>{RefusalCode::TargetFailed, "target_failed"},
    NamedValue<RefusalCode>{RefusalCode::IdempotencyKeyRequired, "idempotency_key_required"},
    NamedValue<RefusalCode>{RefusalCode::IdempotencyKeyReused, "idempotency_key_reused"},
    NamedValue<RefusalCode>{RefusalCode::OutcomeUnknown, "outcome_unknown"},
    NamedValue<RefusalCode>{RefusalCode::ClaimUnavailable, "claim_unavailable"},
    NamedValue<RefusalCode>{RefusalCode::Draining, "draining"},
    NamedValue<RefusalCode>{RefusalCode::Internal, "internal"},
};

/// A refusal as the caller receives it.
struct Refusal {
  RefusalCode m_Code = RefusalCode::Internal;
  Verdict m_Verdict = Verdict::DidNotRun;

  /// Human-readable explanation for the caller.
  std::string m_Detail;

  /// Set if a later retry may succeed; sent as Retry-After, rounded up to whole seconds.
  std::optional<std::chrono::milliseconds> m_RetryAfter = std::nullopt;
};

} // namespace geraniumlift::base
