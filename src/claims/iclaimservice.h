#pragma once

#include "claims/claimtypes.h"

namespace geraniumlift::claims {

/// Makes sure that a non-idempotent request runs at most once. Thread-safe; callbacks run exactly
/// once on the service's scheduler thread and must not block.
class IClaimService {
public:
  virtual ~IClaimService() = default;

  /// Claims the request, or returns the result of an earlier attempt. A refusal with the code
  /// ClaimUnavailable has the verdict DidNotRun: no router sent the request under this claim.
  virtual auto claim(ClaimRequest Request, ClaimCallback Done) -> void = 0;

  /// Stores the response in the claim. Calls back with true once it is stored, or with false if
  /// that is not confirmed by the deadline or the claim now belongs to another attempt.
  virtual auto complete(ClaimTicket Ticket, StoredResponse Answer, base::SteadyTime Deadline,
                        std::function<void(bool)> Done) -> void = 0;

  /// Removes the claim of a request that provably did not run.
  virtual auto abandon(ClaimTicket Ticket, std::function<void()> Done) -> void = 0;
};

} // namespace geraniumlift::claims
