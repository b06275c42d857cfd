#pragma once

#include "base/ieventlog.h"
#include "base/random.h"
#include "fleet/peertable.h"
#include "forwarding/targetreach.h"
#include "quarantine/ipromptquarantine.h"
#include "transport/targetconnector.h"

#include <set>

namespace geraniumlift::router {

/// Decides whether this router connects to targets itself or has another one carry its connections,
/// because it is cut off from all targets while the other routers are not. Until the cut ends it
/// tries some targets at intervals.
class TargetPath final : public transport::ITargetPath {
public:
  TargetPath(std::string DataCentre, std::uint64_t Seed, const fleet::PeerTable &Peers,
             forwarding::TargetTable &Targets, quarantine::IListenerCheck &Check,
             const base::IClock &Clock, base::IEventLog &Log)
      : m_DataCentre(std::move(DataCentre)), m_Random(Seed), m_Peers(Peers), m_Targets(Targets),
        m_Check(Check), m_Clock(Clock), m_Log(Log) {}

  auto chooseTunnel() -> std::optional<transport::TunnelRouter> override;
  auto onDirectConnect(const std::string &TargetId, bool IsConnected,
                       std::chrono::milliseconds Time) -> bool override;
  [[nodiscard]] auto slowConnectTime() const -> std::chrono::milliseconds override {
    return m_Reach.slowConnectTime();
  }

  /// Records that a target was found to listen, or not to, in another way than by a request.
  auto onChecked(const std::string &TargetId, bool IsReached) -> bool;
  [[nodiscard]] auto isCutOff() const -> bool override {
    return m_Reach.isCutOff() && !isLinkFull();
  }
  auto onTunnelEnded(const std::string &Router, transport::TunnelResult Result) -> void override;

  /// Tries targets if that is due. To be called several times a second.
  auto advance() -> void;

private:
  /// Time for which a router that did not carry a connection is not asked again.
  static constexpr auto FailedRouterPause = std::chrono::milliseconds(1000);

  /// Targets that are tried at a time.
  static constexpr auto ProbedTargets = 2;

  /// Routers that must be too slow to carry a connection, with none in between that does, for this
  /// router's own link to count as full, and for how long it then does.
  static constexpr auto MinSlowRouters = std::size_t{2};
  static constexpr auto FullLinkTime = std::chrono::milliseconds(2000);

  /// Whether this router's link is too full to reach other routers either, so that tunnels do not
  /// help.
  [[nodiscard]] auto isLinkFull() const -> bool { return now() < m_LinkFullUntil; }

  /// Whether all targets of the target's pool, and more than one, have failed if this one has.
  [[nodiscard]] auto isLastOfPool(const std::string &TargetId) const -> bool;

  auto probe() -> void;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  std::string m_DataCentre;
  base::RandomEngine m_Random;
  const fleet::PeerTable &m_Peers;
  forwarding::TargetTable &m_Targets;
  quarantine::IListenerCheck &m_Check;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  forwarding::TargetReach m_Reach = forwarding::TargetReach(forwarding::TargetReachOptions());

  /// Until when a router is not asked, by name.
  std::map<std::string, base::SteadyTime> m_FailedRouters;

  /// Routers that were too slow since the last that carried a connection.
  std::set<std::string> m_SlowRouters;
  base::SteadyTime m_LinkFullUntil;
};

} // namespace geraniumlift::router
