#include "router/internal/targetpath.h"

#include <algorithm>

namespace geraniumlift::router {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

auto TargetPath::chooseTunnel() -> std::optional<transport::TunnelRouter> {
  if (!isCutOff()) {
    return std::nullopt;
  }
  std::erase_if(m_FailedRouters, [this](const auto &Item) { return Item.second <= now(); });
  auto Carriers = m_Peers.carriers(now());
  std::erase_if(Carriers,
                [this](const auto &Item) { return m_FailedRouters.contains(Item.m_Name); });
  const auto OwnEnd = std::partition(Carriers.begin(), Carriers.end(), [this](const auto &Item) {
    return Item.m_DataCentre == m_DataCentre;
  });
  if (OwnEnd != Carriers.begin()) {
    Carriers.erase(OwnEnd, Carriers.end());
  }
  if (Carriers.empty()) {
    return std::nullopt;
  }
  const auto &Chosen = Carriers[m_Random() % Carriers.size()];
  return transport::TunnelRouter{Chosen.m_Name, Chosen.m_PeerAddress, Chosen.m_PeerPort};
}

auto TargetPath::onDirectConnect(const std::string &TargetId, bool IsConnected, milliseconds Time)
    -> bool {
  if (IsConnected) {
    m_Reach.recordConnectTime(Time);
  }
  return onChecked(TargetId, IsConnected);
}

auto TargetPath::onChecked(const std::string &TargetId, bool IsConnected) -> bool {
  const auto Since = m_Reach.cutOffSince();
  const auto IsWholePool = !IsConnected && isLastOfPool(TargetId);
  if (!m_Reach.onConnectEnded(TargetId, IsConnected, now(), IsWholePool)) {
    return isCutOff();
  }
  if (!m_Reach.isCutOff()) {
    m_Log.record(
        base::LogLevel::Warning, "targets_reached_again",
        {{"target", TargetId}, {"after_ms", duration_cast<milliseconds>(now() - *Since).count()}});
    return false;
  }
  m_Log.record(base::LogLevel::Warning, "targets_cut_off",
               {{"failed_targets", m_Reach.failedTargets().size()},
                {"carriers", m_Peers.carriers(now()).size()}});
  for (const auto &[Id, At] : m_Reach.failedTargets()) {
    m_Targets.pardon(Id);
  }
  probe();
  return true;
}

auto TargetPath::isLastOfPool(const std::string &TargetId) const -> bool {
  const auto *Target = m_Targets.find(TargetId);
  if (Target == nullptr) {
    return false;
  }
  const auto &Failures = m_Reach.failedTargets();
  auto Failed = std::size_t{0};
  for (const auto *Other : m_Targets.targetsOf(Target->record().m_Pool)) {
    const auto &Record = Other->record();
    if (Record.m_Id != TargetId && !Record.m_IsLeaving && !Failures.contains(Record.m_Id)) {
      return false;
    }
    Failed += Record.m_IsLeaving ? 0 : 1;
  }
  return Failed > 1;
}

auto TargetPath::onTunnelEnded(const std::string &Router, transport::TunnelResult Result) -> void {
  if (Result == transport::TunnelResult::Opened) {
    m_SlowRouters.clear();
    return;
  }
  m_Log.record(base::LogLevel::Info, "tunnel_failed",
               {{"router", Router}, {"result", nameOf(transport::TunnelResultNames, Result)}});
  m_FailedRouters[Router] = now() + FailedRouterPause;
  if (Result != transport::TunnelResult::TimedOut) {
    return;
  }
  m_SlowRouters.insert(Router);
  if (m_SlowRouters.size() >= MinSlowRouters) {
    m_SlowRouters.clear();
    m_LinkFullUntil = now() + FullLinkTime;
    m_Log.record(base::LogLevel::Warning, "router_link_full", {});
  }
}

auto TargetPath::advance() -> void {
  if (m_Reach.isCutOff()) {
    probe();
  }
}

auto TargetPath::probe() -> void {
  if (!m_Reach.startProbe(now())) {
    return;
  }
  auto Records = std::vector<const forwarding::TargetRecord *>();
  for (const auto &[Id, Target] : m_Targets.all()) {
    if (!Target.record().m_IsLeaving) {
      Records.push_back(&Target.record());
    }
  }
  for (auto Count = 0; Count < ProbedTargets && !Records.empty(); ++Count) {
    const auto Index = m_Random() % Records.size();
    const auto &Record = *Records[Index];
    m_Check.checkListener(Record.m_Address, Record.m_Port,
                          [this, Id = Record.m_Id](bool Listens) { onChecked(Id, Listens); });
    Records.erase(Records.begin() + static_cast<std::ptrdiff_t>(Index));
  }
}

} // namespace geraniumlift::router
