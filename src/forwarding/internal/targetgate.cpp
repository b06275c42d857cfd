#include "forwarding/targetgate.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <limits>

namespace geraniumlift::forwarding {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

auto RequestRegions::allows(const std::string &Region) const -> bool {
  const auto IsIn = [&Region](const std::vector<std::string> *List) {
    return List == nullptr || List->empty() ||
           std::find(List->begin(), List->end(), Region) != List->end();
  };
  return IsIn(m_Route) && IsIn(m_Workspace);
}

auto TargetGate::checkStatements(const TargetState &Target, base::SteadyTime Now) const
    -> GateDecision {
  const auto &Said = Target.statements();
  if (Said.m_LeavingSince && Now - *Said.m_LeavingSince > m_Options.m_LeavingGrace) {
    return {GateAccess::Closed, false, GateReason::SaidLeaving, std::nullopt};
  }
  if (Now < Said.m_PausedUntil) {
    return {GateAccess::Closed, false, GateReason::Paused,
            std::chrono::ceil<milliseconds>(Said.m_PausedUntil - Now)};
  }
  if (Said.m_LeavingSince) {
    return {GateAccess::Open, true, GateReason::SaidLeaving, std::nullopt};
  }
  return {};
}

auto TargetGate::checkPace(const TargetState &Target, base::SteadyTime Now) const -> GateDecision {
  const auto &Pace = Target.pace();
  if (!Pace.isPaced(m_RouterCount)) {
    return {};
  }
  const auto Rank = base::rendezvousRank(Target.record().m_Id, m_Options.m_Router);
  const auto Fleet = PaceFleet{m_RouterCount,
                               static_cast<double>(Rank) /
                                   static_cast<double>(std::numeric_limits<std::uint64_t>::max()),
                               m_PeerLoad(Target.record()).m_ActiveRequests};
  if (Pace.maySend(Fleet, Now)) {
    return {};
  }
  const auto UntilTurn = Pace.untilTurn(Fleet, Now);
  return {GateAccess::Open, true, GateReason::Pacing,
          UntilTurn.count() > 0 ? std::optional(UntilTurn) : std::nullopt};
}

auto TargetGate::checkVersion(const TargetRecord &Target, const RequestStream &Stream) const
    -> GateDecision {
  if (Stream.m_Version) {
    return Target.m_Version == *Stream.m_Version
               ? GateDecision()
               : GateDecision{GateAccess::Closed, false, GateReason::OtherVersion, std::nullopt};
  }
  if (Stream.m_IsResumable && m_StreamVersions != nullptr &&
      !m_StreamVersions->mayBegin(Target.m_Pool, Target.m_Version)) {
    return {GateAccess::Closed, false, GateReason::NewVersion, std::nullopt};
  }
  return {};
}

auto TargetGate::checkTarget(const TargetState &Target, const RequestRegions &Regions,
                             base::SteadyTime Now) const -> GateDecision {
  const auto &Record = Target.record();
  if (Record.m_IsLeaving) {
    return {GateAccess::Closed, false, GateReason::Leaving, std::nullopt};
  }
  if (m_Evacuated.contains(Record.m_DataCentre)) {
    return {GateAccess::Closed, false, GateReason::Evacuated, std::nullopt};
  }
  const auto Region = m_Options.m_Regions.find(Record.m_DataCentre);
  if (!Regions.allows(Region == m_Options.m_Regions.end() ? std::string() : Region->second)) {
    return {GateAccess::Closed, false, GateReason::OutsideRegions, std::nullopt};
  }
  auto Decision = checkStatements(Target, Now);
  if (Decision.m_Access == GateAccess::Closed) {
    return Decision;
  }
  if (Target.isEjected(Now)) {
    Decision.m_IsLastResort = true;
    Decision.m_Reason = GateReason::Ejected;
    Decision.m_RetryAfter = duration_cast<milliseconds>(Target.ejectedUntil() - Now);
  } else if (!Decision.m_IsLastResort) {
    Decision = checkPace(Target, Now);
  }
  if (!m_Limits.maySend(Target.limitKey())) {
    Decision.m_Reason = m_Limits.isCold(Target.limitKey()) ? GateReason::Cold : GateReason::Limited;
    Decision.m_RetryAfter = m_Limits.retryAfter(Target.limitKey());
    Decision.m_Access = Decision.m_RetryAfter ? GateAccess::Closed : GateAccess::NeedsPermit;
  }
  return Decision;
}

} // namespace geraniumlift::forwarding
