#pragma once

#include "claims/internal/attemptbook.h"
#include "claims/internal/claimoperation.h"

namespace geraniumlift::claims::internal {

/// Makes a claim, or tells what became of an earlier attempt.
class ClaimCreation final : public ClaimOperation {
public:
  ClaimCreation(std::string Key, ClaimRecord Record, base::SteadyTime Deadline,
                const AttemptBook &Book)
      : ClaimOperation(std::move(Record), Deadline), m_Key(std::move(Key)), m_Book(Book) {}

  auto start() -> ClaimCommand override;
  auto onLanded(std::int64_t Revision) -> ClaimCommand override;
  auto onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand override;
  auto onDeadline() -> ClaimCommand override;

private:
  auto judgeClaimed(const StoredClaim &Found) const -> ClaimCommand;

  std::string m_Key;
  const AttemptBook &m_Book;
};

} // namespace geraniumlift::claims::internal
