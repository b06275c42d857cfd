#pragma once

#include "base/ischeduler.h"
#include "claims/iclaimservice.h"
#include "keyvalue/ikeyvaluestore.h"

#include <memory>

namespace geraniumlift::claims {

/// Settings of the claim service of one router.
struct ClaimOptions {
  /// Identity of this router process.
  base::HolderId m_Owner;

  /// Time to live of a claim's lease. A claim made late in the sharing interval expires
  /// correspondingly earlier after it was made.
  std::chrono::seconds m_LeaseTimeToLive{std::chrono::hours{24}};

  /// Claims made within this interval share a lease, to limit the number of leases.
  std::chrono::seconds m_LeaseSharingInterval{std::chrono::hours{1}};

  /// A claim is refused if no lease could be obtained within this time and nothing was written.
  std::chrono::milliseconds m_LeaseTimeout{1000};

  /// Removal of a claim is retried for this long.
  std::chrono::milliseconds m_RemovalTimeout{5000};
};

/// Keeps claims in the key-value service. A retry that finds a claim of this router's own request
/// in flight gets ClaimedElsewhere with this router as the owner. Store, scheduler and clock must
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
