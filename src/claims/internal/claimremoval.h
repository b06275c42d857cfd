#pragma once

#include "claims/internal/claimoperation.h"

namespace geraniumlift::claims::internal {

/// Removes the claim of a request that did not run.
class ClaimRemoval final : public ClaimOperation {
public:
  ClaimRemoval(ClaimRecord Record, std::int64_t Revision, base::SteadyTime Deadline)
      : ClaimOperation(std::move(Record), Deadline), m_Revision(Revision) {}

  auto start() -> ClaimCommand override { return EraseClaim{m_Revision}; }

  auto onWriteConfirmed(std::int64_t /*Revision*/) -> ClaimCommand override {
    return FinishOperation{};
  }

  auto onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand override {
    const auto IsLeft = Found && isOwn(*Found) && Found->m_Record.m_State == ClaimState::Claimed;
    return IsLeft ? ClaimCommand(EraseClaim{Found->m_Revision}) : FinishOperation{};
  }

  auto onDeadline() -> ClaimCommand override { return FinishOperation{}; }

private:
  std::int64_t m_Revision;
};

} // namespace geraniumlift::claims::internal
