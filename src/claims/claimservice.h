#pragma once

#include "base/ischeduler.h"
#include "claims/iclaimservice.h"
#include "keyvalue/ikeyvaluestore.h"

#include <memory>

namespace geraniumlift::claims {

/// Settings of the claim service of one router.
struct ClaimOptions {
  /// This life of this router.
  base::HolderId m_Owner;

  /// Life of a claim's lease. A claim made late in the shared interval lives that much shorter.
  std::chrono::seconds m_LeaseTimeToLive{std::chrono::hours{24}};

  /// Claims made within this time share a lease, so that leases stay few.
  std::chrono::seconds m_LeaseSharingInterval{std::chrono::hours{1}};

  /// A claim is refused when no lease could be had for this long, as nothing was written yet.
  std::chrono::milliseconds m_LeaseTimeout{1000};

  /// Removing a claim is tried for this long.
  std::chrono::milliseconds m_RemovalTimeout{5000};
};

/// Claims over the key-value service. A retry that finds a claim of this router's own request in
/// flight gets ClaimedElsewhere with this router as the owner. Store, scheduler and clock must
/// outlive the service and all calls it made to the store.
class ClaimService final : public IClaimService {
public:
  ClaimService(ClaimOptions Options, keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
               const base::IClock &Clock);
  ~ClaimService() override;

  auto claim(ClaimRequest Request, ClaimCallback Done) -> void override;
  auto complete(ClaimTicket Ticket, StoredResponse Answer, base::SteadyTime Deadline,
                std::function<void(bool)> Done) -> void override;
  auto abandon(ClaimTicket Ticket, std::function<void()> Done) -> void override;

private:
  struct State;

  base::IScheduler &m_Scheduler;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::claims
