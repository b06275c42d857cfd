#pragma once

#include "claims/internal/attempthistory.h"
#include "claims/internal/claimoperation.h"

namespace geraniumlift::claims::internal {

/// Creates a claim, or returns the result of an earlier attempt.
class ClaimCreation final : public ClaimOperation {
public:
  ClaimCreation(std::string Key, ClaimRecord Record, base::SteadyTime Deadline,
                const AttemptHistory &Attempts)
      : ClaimOperation(std::move(Record), Deadline), m_Key(std::move(Key)), m_Attempts(Attempts) {}

  auto start() -> ClaimCommand override;
  auto onWriteConfirmed(std::int64_t Revision) -> ClaimCommand override;
  auto onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand override;
  auto onDeadline() -> ClaimCommand override;

private:
  auto resolveExistingClaim(const StoredClaim &Found) const -> ClaimCommand;

  std::string m_Key;
  const AttemptHistory &m_Attempts;
};

} // namespace geraniumlift::claims::internal
