#include "geraniumliftd/peernetwork.h"

namespace geraniumlift::daemon {

class PeerNetwork::Implementation {
public:
  Implementation(const settings::Settings &Settings, base::HolderId Self,
                 PeerNetworkDependencies Dependencies)
      : m_Settings(Settings), m_Self(std::move(Self)), m_Services(Dependencies) {}

  settings::Settings m_Settings;
  base::HolderId m_Self;
  PeerNetworkDependencies m_Services;
};

PeerNetwork::PeerNetwork(const settings::Settings &Settings, base::HolderId Self,
                         PeerNetworkDependencies Dependencies)
    : m_Implementation(std::make_shared<Implementation>(Settings, std::move(Self), Dependencies)) {}

PeerNetwork::~PeerNetwork() = default;

auto PeerNetwork::start() -> absl::Status { return absl::OkStatus(); }

auto PeerNetwork::setDraining() -> void {}

auto PeerNetwork::entryList() const -> std::vector<gateway::EntryAddress> {
  return {
      {m_Implementation->m_Settings.m_CallersAdvertise, m_Implementation->m_Settings.m_DataCentre}};
}

auto PeerNetwork::find(const base::HolderId &) const -> std::optional<gateway::PeerAddress> {
  return std::nullopt;
}

auto PeerNetwork::withAllowance(const std::string &, base::Tokens) const
    -> std::vector<gateway::PeerAddress> {
  return {};
}

auto PeerNetwork::heardRouters() const -> std::vector<HeardRouter> { return {}; }

auto PeerNetwork::rows() const -> std::vector<RouterRow> { return {}; }

} // namespace geraniumlift::daemon
