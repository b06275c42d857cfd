#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "budget/ibudgetservice.h"
#include "configuration/configurationservice.h"
#include "gateway/ipeerdirectory.h"
#include "membership/membershiptypes.h"
#include "settings/settingstypes.h"

#include <absl/status/status.h>
#include <memory>
#include <vector>

namespace geraniumlift::daemon {

/// Modules that the peer network uses. All references must outlive it.
struct PeerNetworkDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  configuration::ConfigurationService &m_Configuration;
  budget::IBudgetService &m_Budgets;
};

/// A router process that is not suspected to have failed, and when it was last known to be live.
struct LiveRouter {
  base::HolderId m_Holder;
  base::SteadyTime m_LastHeard;
};

/// Status of a router as shown to operators.
struct RouterStatus {
  base::HolderId m_Holder;
  std::string m_DataCentre;

  /// "self", "suspected" or the name of the announced membership::PeerState.
  std::string m_State;

  std::string m_Url;
  configuration::Generation m_Generation = 0;
};

/// Connects membership to the other modules: provides the entry list and the peers with allowance
/// to the gateway, and configuration snapshots from peers to the configuration service.
class PeerNetwork final : public gateway::IPeerDirectory {
public:
  PeerNetwork(const settings::Settings &Settings, base::HolderId Self,
              PeerNetworkDependencies Dependencies);
  ~PeerNetwork() override;

  /// Binds the address for peers and starts to exchange heartbeats.
  auto start() -> absl::Status;

  /// Announces to the peers that this router is draining.
  auto setDraining() -> void;

  [[nodiscard]] auto entryList() const -> std::vector<gateway::EntryAddress> override;
  [[nodiscard]] auto find(const base::HolderId &Holder) const
      -> std::optional<gateway::PeerAddress> override;
  [[nodiscard]] auto findWithAllowance(const std::string &Budget, base::Tokens Tokens) const
      -> std::vector<gateway::PeerAddress> override;

  /// This router and all peers that are not suspected. The time of each is the time of the call.
  [[nodiscard]] auto liveRouters() const -> std::vector<LiveRouter>;

  /// Counters of the traffic with peers, including rejected datagrams and frames.
  [[nodiscard]] auto traffic() const -> membership::TrafficCounts;

  /// Status of all known routers; this one comes first.
  [[nodiscard]] auto routerStatuses() const -> std::vector<RouterStatus>;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::daemon
