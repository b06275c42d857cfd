#include "claims/internal/claimcreation.h"

namespace geraniumlift::claims::internal {

namespace {

auto refuse(base::RefusalCode Code, base::Verdict Verdict, std::string Detail) -> ClaimCommand {
  return FinishOperation{
      base::Refusal{.m_Code = Code, .m_Verdict = Verdict, .m_Detail = std::move(Detail)}};
}

} // namespace

auto ClaimCreation::start() -> ClaimCommand { return WriteClaim{0, record()}; }

auto ClaimCreation::onWriteConfirmed(std::int64_t Revision) -> ClaimCommand {
  return FinishOperation{ClaimTicket{m_Key, Revision, record().m_RequestHash}};
}

auto ClaimCreation::onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand {
  if (!Found) {
    // The first write may still take effect. The second write names the same attempt, so either one
    // is recognised as this claim.
    return start();
  }
  if (isOwn(*Found)) {
    return onWriteConfirmed(Found->m_Revision);
  }
  if (Found->m_Record.m_RequestHash != record().m_RequestHash) {
    return refuse(base::RefusalCode::IdempotencyKeyReused, base::Verdict::DidNotRun,
                  "The idempotency key was used for another request.");
  }
  if (Found->m_Record.m_State == ClaimState::Done) {
    return FinishOperation{Found->m_Record.m_Response};
  }
  return resolveExistingClaim(*Found);
}

auto ClaimCreation::resolveExistingClaim(const StoredClaim &Found) const -> ClaimCommand {
  const auto State = Found.m_Record.m_Owner == record().m_Owner
                         ? m_Attempts.stateOf(Found.m_Record.m_Attempt)
                         : AttemptState::InFlight;
  switch (State) {
  case AttemptState::InFlight:
    return FinishOperation{ClaimedElsewhere{Found.m_Record.m_Owner}};
  case AttemptState::NotSent:
    // A late write of an attempt that this router abandoned before it sent the request.
    return WriteClaim{Found.m_Revision, record()};
  case AttemptState::MayHaveRun:
    break;
  }
  return refuse(base::RefusalCode::OutcomeUnknown, base::Verdict::MayHaveRun,
                "An earlier attempt was sent and its outcome is not known.");
}

auto ClaimCreation::onDeadline() -> ClaimCommand {
  return refuse(base::RefusalCode::ClaimUnavailable, base::Verdict::DidNotRun,
                "The key-value service did not confirm the claim, so the request was not sent.");
}

} // namespace geraniumlift::claims::internal
