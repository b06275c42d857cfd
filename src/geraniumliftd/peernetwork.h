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

/// What the peer network works with. All references outlive it.
struct PeerNetworkDependencies {
  const base::IClock &m_Clock;
  base::IScheduler &m_Scheduler;
  configuration::ConfigurationService &m_Configuration;
  budget::IBudgetService &m_Budgets;
};

/// Another router process and when it was heard last.
struct LiveRouter {
  base::HolderId m_Holder;
  base::SteadyTime m_LastHeard;
};

/// A router as operators see it.
struct RouterStatus {
  base::HolderId m_Holder;
  std::string m_DataCentre;
  std::string m_State;
  std::string m_Url;
  configuration::Generation m_Generation = 0;
};

/// Connects membership with the other modules: entry list, peers with allowance, snapshots from
/// peers.
class PeerNetwork final : public gateway::IPeerDirectory {
public:
  PeerNetwork(const settings::Settings &Settings, base::HolderId Self,
              PeerNetworkDependencies Dependencies);
  ~PeerNetwork() override;

  /// Binds the peers' address and begins to exchange heartbeats.
  auto start() -> absl::Status;

  /// Tells the peers that this router is leaving.
  auto setDraining() -> void;

  [[nodiscard]] auto entryList() const -> std::vector<gateway::EntryAddress> override;
  [[nodiscard]] auto find(const base::HolderId &Holder) const
      -> std::optional<gateway::PeerAddress> override;
  [[nodiscard]] auto withAllowance(const std::string &Budget, base::Tokens Tokens) const
      -> std::vector<gateway::PeerAddress> override;

  /// All routers of which a heartbeat was heard, live or not.
  [[nodiscard]] auto liveRouters() const -> std::vector<LiveRouter>;

  [[nodiscard]] auto traffic() const -> membership::TrafficCounts;

  /// All known routers including this one, for operators.
  [[nodiscard]] auto routerStatuses() const -> std::vector<RouterStatus>;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::daemon
