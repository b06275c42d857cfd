#pragma once

#include "base/nametable.h"
#include "forwarding/targettable.h"
#include "forwarding/uplinkguard.h"
#include "quarantine/ipromptquarantine.h"
#include "ratelimits/itargetlimits.h"
#include "streamversions/istreamversions.h"

#include <functional>

namespace geraniumlift::forwarding {

/// Why this router may not send a request to a target, or only as a last resort.
enum class GateReason {
  None,
  /// The target's registration says that it is leaving.
  Leaving,
  /// The target has said in a response that it is leaving.
  SaidLeaving,
  /// The target has asked for a pause.
  Paused,
  /// The target is ejected after failures.
  Ejected,
  /// The target has just started or recovered and gets no more requests until it answers, or other
  /// routers are to send first.
  Pacing,
  /// The target names a limit, and this router holds no permit.
  Limited,
  /// The target is cold, and this router holds no permit.
  Cold,
  /// The target's data centre is evacuated.
  Evacuated,
  /// The target is outside the regions of the request.
  OutsideRegions,
  /// The target runs another software version than the stream that the request continues.
  OtherVersion,
  /// Streams may not begin on the target's software version yet.
  NewVersion,
  /// This router reaches hardly any target.
  Unreachable,
};

inline constexpr auto GateReasonNames = std::array{
    base::NamedValue<GateReason>{GateReason::None, "none"},
    base::NamedValue<GateReason>{GateReason::Leaving, "leaving"},
    base::NamedValue<GateReason>{GateReason::SaidLeaving, "said_leaving"},
    base::NamedValue<GateReason>{GateReason::Paused, "paused"},
    base::NamedValue<GateReason>{GateReason::Ejected, "ejected"},
    base::NamedValue<GateReason>{GateReason::Pacing, "pacing"},
    base::NamedValue<GateReason>{GateReason::Limited, "limited"},
    base::NamedValue<GateReason>{GateReason::Cold, "cold"},
    base::NamedValue<GateReason>{GateReason::Evacuated, "evacuated"},
    base::NamedValue<GateReason>{GateReason::OutsideRegions, "outside_regions"},
    base::NamedValue<GateReason>{GateReason::OtherVersion, "other_version"},
    base::NamedValue<GateReason>{GateReason::NewVersion, "new_version"},
    base::NamedValue<GateReason>{GateReason::Unreachable, "unreachable"},
};

/// How far a target is open to requests.
enum class GateAccess {
  Open,
  /// A request may be sent with a permit, which can be asked for.
  NeedsPermit,
  Closed,
};

/// Answer to the question whether a request may be sent to a target now.
struct GateDecision {
  GateAccess m_Access = GateAccess::Open;

  /// Whether the target is to be used only if no other one takes the request.
  bool m_IsLastResort = false;

  /// What keeps requests away; None if the target is open and no last resort.
  GateReason m_Reason = GateReason::None;

  /// Time until the answer may change; nothing if only an event can change it.
  std::optional<std::chrono::milliseconds> m_RetryAfter;
};

/// Times of a TargetGate.
struct GateOptions {
  /// A target that has said that it is leaving may be used for this long if no other target takes
  /// the request.
  std::chrono::milliseconds m_LeavingGrace{1000};

  /// Region of each data centre.
  std::map<std::string, std::string> m_Regions;

  /// Name of this router, for its place among the routers that begin to send to a target.
  std::string m_Router;
};

/// Regions in which a request may be served: those of its route and of its workspace. An empty list
/// allows all.
struct RequestRegions {
  const std::vector<std::string> *m_Route = nullptr;
  const std::vector<std::string> *m_Workspace = nullptr;

  /// Whether both lists allow the region.
  [[nodiscard]] auto allows(const std::string &Region) const -> bool;
};

/// What a request asks of its target's software version.
struct RequestStream {
  /// Whether the response is a stream that may be taken up at another target.
  bool m_IsResumable = false;

  /// The version that began the stream which the request continues; nothing for a new one.
  std::optional<std::string> m_Version = std::nullopt;
};

/// Decides whether this router may send to a target now, and if not, why and until when. All ways
/// to a target ask it: first attempts, retries and resumed streams. Does no input or output.
class TargetGate {
public:
  TargetGate(GateOptions Options, ratelimits::ITargetLimits &Limits,
             quarantine::IPromptQuarantine &Quarantine)
      : m_Options(std::move(Options)), m_Limits(Limits), m_Quarantine(Quarantine) {}

  /// Decides whether a request of the workspace with these shared prompt parts may be sent to any
  /// target; returns what is in quarantine if not.
  [[nodiscard]] auto checkPrompt(quarantine::WorkspaceHash Workspace,
                                 const std::vector<quarantine::PartHash> &Parts)
      -> std::optional<quarantine::Block> {
    return m_Quarantine.findBlock(Workspace, Parts);
  }

  /// Decides whether this router may send to any target: None or Unreachable.
  [[nodiscard]] auto checkRouter(base::SteadyTime Now) -> GateReason {
    return m_Uplink.mayConnect(Now) ? GateReason::None : GateReason::Unreachable;
  }

  /// Decides on the software version of one target.
  [[nodiscard]] auto checkVersion(const TargetRecord &Target, const RequestStream &Stream) const
      -> GateDecision;

  /// Sets where to learn on which versions streams may begin; without it on all.
  auto setStreamVersions(const streamversions::IStreamVersions &Versions) -> void {
    m_StreamVersions = &Versions;
  }

  /// Decides on requests to one target that may be served in the given regions.
  [[nodiscard]] auto checkTarget(const TargetState &Target, const RequestRegions &Regions,
                                 base::SteadyTime Now) const -> GateDecision;

  /// As above, for requests without regions.
  [[nodiscard]] auto checkTarget(const TargetState &Target, base::SteadyTime Now) const
      -> GateDecision {
    return checkTarget(Target, RequestRegions(), Now);
  }

  /// Sets the data centres whose targets get no requests until they are taken back.
  auto setEvacuated(std::set<std::string> DataCentres) -> void {
    m_Evacuated = std::move(DataCentres);
  }
  [[nodiscard]] auto evacuated() const -> const std::set<std::string> & { return m_Evacuated; }

  /// Sets the number of routers that may send to the same targets, this one included.
  auto setRouterCount(std::int64_t Count) -> void { m_RouterCount = Count; }

  /// Sets where to learn what other routers report to have at a target.
  auto setPeerLoad(std::function<TargetLoad(const TargetRecord &)> Source) -> void {
    m_PeerLoad = std::move(Source);
  }

  /// Records whether connecting to targets succeeds.
  [[nodiscard]] auto uplink() -> UplinkGuard & { return m_Uplink; }

private:
  /// Whether the target's responses close it: after it has said that it is leaving, and during a
  /// pause.
  [[nodiscard]] auto checkStatements(const TargetState &Target, base::SteadyTime Now) const
      -> GateDecision;

  /// Whether the target's pace leaves it to other routers or to earlier requests.
  [[nodiscard]] auto checkPace(const TargetState &Target, base::SteadyTime Now) const
      -> GateDecision;

  GateOptions m_Options;
  std::int64_t m_RouterCount = 1;
  std::function<TargetLoad(const TargetRecord &)> m_PeerLoad = [](const TargetRecord &) {
    return TargetLoad();
  };
  ratelimits::ITargetLimits &m_Limits;
  quarantine::IPromptQuarantine &m_Quarantine;
  const streamversions::IStreamVersions *m_StreamVersions = nullptr;
  std::set<std::string> m_Evacuated;
  UplinkGuard m_Uplink = UplinkGuard(UplinkGuardOptions());
};

} // namespace geraniumlift::forwarding
