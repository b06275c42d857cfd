#include "geraniumliftd/peernetwork.h"

#include "base/log.h"
#include "membership/gossipmembership.h"

#include <algorithm>
#include <atomic>

namespace geraniumlift::daemon {

namespace {

/// Interval at which the other modules receive the list of peers, and the peers this router's
/// generation and budgets.
constexpr auto ExchangeInterval = std::chrono::milliseconds{500};

} // namespace

class PeerNetwork::Implementation : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(const settings::Settings &Settings, base::HolderId Self,
                 PeerNetworkDependencies Dependencies)
      : m_Settings(Settings), m_Self(std::move(Self)), m_Dependencies(Dependencies) {}

  auto start() -> absl::Status {
    auto Started = membership::GossipMembership::start(membershipOptions());
    if (!Started.ok()) {
      return Started.status();
    }
    m_Membership = std::move(*Started);
    m_Membership->setSnapshotProvider(
        [&Configuration = m_Dependencies.m_Configuration] { return Configuration.serialize(); });
    m_Membership->onHigherGeneration([Weak = weak_from_this()](const membership::PeerEntry &Peer) {
      if (const auto Self = Weak.lock()) {
        Self->fetchSnapshot(Peer);
      }
    });
    exchangeState();
    return absl::OkStatus();
  }

  auto membership() -> membership::IMembership & { return *m_Membership; }

  [[nodiscard]] auto settings() const -> const settings::Settings & { return m_Settings; }
  [[nodiscard]] auto self() const -> const base::HolderId & { return m_Self; }
  [[nodiscard]] auto dependencies() const -> const PeerNetworkDependencies & {
    return m_Dependencies;
  }

private:
  [[nodiscard]] auto membershipOptions() const -> membership::MembershipOptions {
    auto Options = membership::MembershipOptions();
    Options.m_Vm = m_Self.m_Vm;
    Options.m_Incarnation = m_Self.m_Incarnation;
    Options.m_DataCentre = m_Settings.m_DataCentre;
    Options.m_CallerUrl = m_Settings.m_CallersAdvertise;
    Options.m_PeerAddress = m_Settings.m_PeersListen;
    Options.m_Seeds = m_Settings.m_PeersSeeds;
    Options.m_PeerKey = m_Settings.m_PeersKey;
    return Options;
  }

  /// Passes state between membership and the other modules, and repeats this every
  /// ExchangeInterval.
  auto exchangeState() -> void {
    updatePollers();
    m_Membership->setLocalGeneration(m_Dependencies.m_Configuration.current()->m_Generation);
    m_Dependencies.m_Budgets.views(
        [Weak = weak_from_this()](const std::vector<budget::BudgetView> &Views) {
          if (const auto Self = Weak.lock()) {
            Self->advertise(Views);
          }
        });
    m_Dependencies.m_Scheduler.after(ExchangeInterval, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->exchangeState();
      }
    });
  }

  /// Reports the live peers of this data centre to the configuration service.
  auto updatePollers() -> void {
    auto Pollers = std::vector<configuration::PeerPollActivity>();
    for (const auto &Peer : m_Membership->peers()) {
      if (!Peer.m_Suspected && Peer.m_Entry.m_DataCentre == m_Settings.m_DataCentre) {
        Pollers.push_back({Peer.m_Entry.m_Vm, m_Dependencies.m_Clock.steadyNow()});
      }
    }
    m_Dependencies.m_Configuration.updatePeers(std::move(Pollers));
  }

  /// Advertises the budgets with allowance, largest first, since peers forward requests to the
  /// router with the largest allowance.
  auto advertise(const std::vector<budget::BudgetView> &Views) -> void {
    auto Budgets = std::vector<membership::AdvertisedBudget>();
    for (const auto &View : Views) {
      if (View.m_Allowance > 0) {
        Budgets.push_back({View.m_Budget, View.m_Allowance});
      }
    }
    std::sort(Budgets.begin(), Budgets.end(), [](const auto &Left, const auto &Right) {
      return Left.m_Allowance > Right.m_Allowance;
    });
    m_Membership->setLocalBudgets(std::move(Budgets));
  }

  /// Fetches a newer snapshot from the peer that announced it. Does nothing while another fetch is
  /// in progress.
  auto fetchSnapshot(const membership::PeerEntry &Peer) -> void {
    if (m_Fetching.exchange(true)) {
      return;
    }
    m_Membership->fetchSnapshot(
        Peer.m_PeerAddress, [Weak = weak_from_this()](const absl::StatusOr<std::string> &Bytes) {
          if (const auto Self = Weak.lock()) {
            Self->onSnapshot(Bytes);
          }
        });
  }

  auto onSnapshot(const absl::StatusOr<std::string> &Bytes) -> void {
    m_Fetching = false;
    const auto Status =
        Bytes.ok() ? m_Dependencies.m_Configuration.adoptSerialized(*Bytes) : Bytes.status();
    if (!Status.ok()) {
      base::logEvent(base::LogLevel::Warning, "snapshot_fetch_failed",
                     {{"detail", std::string(Status.message())}});
    }
  }

  settings::Settings m_Settings;
  base::HolderId m_Self;
  PeerNetworkDependencies m_Dependencies;
  std::atomic<bool> m_Fetching{false};
  std::unique_ptr<membership::GossipMembership> m_Membership;
};

PeerNetwork::PeerNetwork(const settings::Settings &Settings, base::HolderId Self,
                         PeerNetworkDependencies Dependencies)
    : m_Implementation(std::make_shared<Implementation>(Settings, std::move(Self), Dependencies)) {}

PeerNetwork::~PeerNetwork() = default;

auto PeerNetwork::start() -> absl::Status { return m_Implementation->start(); }

auto PeerNetwork::setDraining() -> void {
  m_Implementation->membership().setLocalState(membership::PeerState::Draining);
}

auto PeerNetwork::entryList() const -> std::vector<gateway::EntryAddress> {
  auto Addresses = std::vector<gateway::EntryAddress>();
  const auto &DataCentre = m_Implementation->settings().m_DataCentre;
  for (const auto &Entry : m_Implementation->membership().entryList(DataCentre)) {
    Addresses.push_back({Entry.m_Url, Entry.m_DataCentre});
  }
  return Addresses;
}

auto PeerNetwork::find(const base::HolderId &Holder) const -> std::optional<gateway::PeerAddress> {
  for (const auto &Peer : m_Implementation->membership().peers()) {
    if (!Peer.m_Suspected && Peer.m_Entry.m_Vm == Holder.m_Vm &&
        Peer.m_Entry.m_Incarnation == Holder.m_Incarnation) {
      return gateway::PeerAddress{Holder, Peer.m_Entry.m_CallerUrl};
    }
  }
  return std::nullopt;
}

auto PeerNetwork::findWithAllowance(const std::string &Budget, base::Tokens Tokens) const
    -> std::vector<gateway::PeerAddress> {
  auto Found = std::vector<std::pair<base::Tokens, gateway::PeerAddress>>();
  for (const auto &Peer : m_Implementation->membership().peers()) {
    for (const auto &Advertised : Peer.m_Entry.m_Budgets) {
      if (!Peer.m_Suspected && Advertised.m_Name == Budget && Advertised.m_Allowance >= Tokens) {
        Found.push_back(
            {Advertised.m_Allowance,
             {{Peer.m_Entry.m_Vm, Peer.m_Entry.m_Incarnation}, Peer.m_Entry.m_CallerUrl}});
      }
    }
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const auto &Left, const auto &Right) { return Left.first > Right.first; });
  auto Peers = std::vector<gateway::PeerAddress>();
  for (auto &Row : Found) {
    Peers.push_back(std::move(Row.second));
  }
  return Peers;
}

auto PeerNetwork::liveRouters() const -> std::vector<LiveRouter> {
  auto Routers = std::vector<LiveRouter>();
  const auto Now = m_Implementation->dependencies().m_Clock.steadyNow();
  for (const auto &Peer : m_Implementation->membership().peers()) {
    if (!Peer.m_Suspected) {
      Routers.push_back({{Peer.m_Entry.m_Vm, Peer.m_Entry.m_Incarnation}, Now});
    }
  }
  Routers.push_back({m_Implementation->self(), Now});
  return Routers;
}

auto PeerNetwork::traffic() const -> membership::TrafficCounts {
  return m_Implementation->membership().traffic();
}

auto PeerNetwork::routerStatuses() const -> std::vector<RouterStatus> {
  const auto &Settings = m_Implementation->settings();
  const auto Generation = m_Implementation->dependencies().m_Configuration.current()->m_Generation;
  auto Rows = std::vector<RouterStatus>{{m_Implementation->self(), Settings.m_DataCentre, "self",
                                         Settings.m_CallersAdvertise, Generation}};
  for (const auto &Peer : m_Implementation->membership().peers()) {
    const auto State = Peer.m_Suspected
                           ? std::string_view("suspected")
                           : base::nameOf(membership::PeerStateNames, Peer.m_Entry.m_State);
    Rows.push_back({{Peer.m_Entry.m_Vm, Peer.m_Entry.m_Incarnation},
                    Peer.m_Entry.m_DataCentre,
                    std::string(State),
                    Peer.m_Entry.m_CallerUrl,
                    Peer.m_Entry.m_Generation});
  }
  return Rows;
}

} // namespace geraniumlift::daemon
