#include "gateway/internal/refusalresponse.h"

#include <cpprest/json.h>

namespace geraniumlift::gateway {

namespace {

struct RefusalStatus {
  base::RefusalCode m_Code;
  std::int64_t m_Status;
};

constexpr auto RefusalStatuses = std::array{
    RefusalStatus{base::RefusalCode::BadRequest, 400},
    RefusalStatus{base::RefusalCode::BodyTooLarge, 413},
    RefusalStatus{base::RefusalCode::UnknownKey, 401},
    RefusalStatus{base::RefusalCode::UnknownModel, 404},
    RefusalStatus{base::RefusalCode::UnknownService, 404},
    RefusalStatus{base::RefusalCode::BudgetExhausted, 402},
    RefusalStatus{base::RefusalCode::BudgetUnavailable, 503},
    RefusalStatus{base::RefusalCode::DeadlineUnreachable, 429},
    RefusalStatus{base::RefusalCode::QueueFull, 429},
    RefusalStatus{base::RefusalCode::NoTarget, 503},
    RefusalStatus{base::RefusalCode::TargetFailed, 502},
    RefusalStatus{base::RefusalCode::IdempotencyKeyRequired, 400},
    RefusalStatus{base::RefusalCode::IdempotencyKeyReused, 409},
    RefusalStatus{base::RefusalCode::OutcomeUnknown, 409},
    RefusalStatus{base::RefusalCode::ClaimUnavailable, 503},
    RefusalStatus{base::RefusalCode::Draining, 503},
    RefusalStatus{base::RefusalCode::Internal, 500},
};

auto statusOf(base::RefusalCode Code) -> std::int64_t {
  for (const auto &Row : RefusalStatuses) {
    if (Row.m_Code == Code) {
      return Row.m_Status;
    }
  }
  return 500;
}

auto problemOf(const base::Refusal &Refusal, const std::string &Workspace,
               const base::RequestId &RequestId) -> web::json::value {
  const auto Code = std::string(base::nameOf(base::RefusalCodeNames, Refusal.m_Code));
  const auto Verdict = std::string(base::nameOf(base::VerdictNames, Refusal.m_Verdict));
  auto Problem = web::json::value::object();
  Problem["type"] = web::json::value("about:blank");
  Problem["title"] = web::json::value(Code);
  Problem["status"] = web::json::value(statusOf(Refusal.m_Code));
  Problem["code"] = web::json::value(Code);
  Problem["detail"] = web::json::value(Refusal.m_Detail);
  Problem["workspace"] = web::json::value(Workspace);
  Problem["request_id"] = web::json::value(RequestId);
  Problem["verdict"] = web::json::value(Verdict);
  return Problem;
}

} // namespace

auto refusalResponse(const base::Refusal &Refusal, const std::string &Workspace,
                     const base::RequestId &RequestId) -> CallerResponse {
  auto Answer = CallerResponse{statusOf(Refusal.m_Code),
                               "application/problem+json",
                               problemOf(Refusal, Workspace, RequestId).serialize(),
                               {}};
  if (Refusal.m_RetryAfter) {
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(*Refusal.m_RetryAfter);
    Answer.m_Headers.emplace("Retry-After", std::to_string(Seconds.count()));
  }
  return Answer;
}

auto refusalEvent(const base::Refusal &Refusal, const std::string &Workspace,
                  const base::RequestId &RequestId) -> std::string {
  auto Event = web::json::value::object();
  Event["error"] = problemOf(Refusal, Workspace, RequestId);
  return "data: " + Event.serialize() + "\n\n";
}

} // namespace geraniumlift::gateway
