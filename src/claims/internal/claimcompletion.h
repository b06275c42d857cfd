#pragma once

#include "claims/internal/claimoperation.h"

namespace geraniumlift::claims::internal {

/// Stores the response to a request in its claim.
class ClaimCompletion final : public ClaimOperation {
public:
  ClaimCompletion(ClaimRecord Done, std::int64_t Revision, base::SteadyTime Deadline)
      : ClaimOperation(std::move(Done), Deadline), m_Revision(Revision) {}

  auto start() -> ClaimCommand override { return WriteClaim{m_Revision, record()}; }

  auto onWriteConfirmed(std::int64_t /*Revision*/) -> ClaimCommand override {
    return FinishOperation{.m_IsStored = true};
  }

  auto onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand override {
    if (!Found) {
      // The claim no longer exists; writing it again still prevents a retry from running.
      return WriteClaim{0, record()};
    }
    if (!isOwn(*Found)) {
      return FinishOperation{.m_IsStored = false};
    }
    if (Found->m_Record.m_State == ClaimState::Done) {
      return FinishOperation{.m_IsStored = true};
    }
    return WriteClaim{Found->m_Revision, record()};
  }

  auto onDeadline() -> ClaimCommand override { return FinishOperation{.m_IsStored = false}; }

private:
  std::int64_t m_Revision;
};

} // namespace geraniumlift::claims::internal
