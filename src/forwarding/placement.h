#pragma once

#include "forwarding/roompolicy.h"
#include "forwarding/targetgate.h"

#include <algorithm>
#include <functional>

namespace geraniumlift::forwarding {

/// Weights of the placement decision.
struct PlacementOptions {
  /// Data centre of this router.
  std::string m_DataCentre;

  /// Added to the forecast of targets in another data centre, in milliseconds.
  double m_OtherDataCentrePenaltyMs = 4.0;

  /// Added to the forecast of a target with a failure rate of 1, in milliseconds; lower rates add
  /// proportionally less.
  double m_FailurePenaltyMs = 400.0;

  /// A permit is requested for a target with a limit only if its forecast is shorter by more than
  /// this, in milliseconds: the request waits for the answer.
  double m_MinPermitGainMs = 8.0;

  /// Targets whose forecasts are not longer than the shortest by more than this, or by more than
  /// this share of it, are equally good: reported loads are older than the difference.
  double m_EqualMs = 3.0;
  double m_EqualShare = 0.1;

  /// Mean age of the loads that other routers report, in milliseconds.
  double m_PeerLoadAgeMs = 500.0;

  /// Targets that a router of a large fleet compares at least, in its own data centre and outside.
  std::size_t m_MinCompared = 3;
};

/// Properties of a request that decide its target.
struct PlacementRequest {
  std::string m_Pool;
  /// nullptr for requests without a prompt.
  const PromptMetadata *m_Prompt = nullptr;

  /// IDs of targets to which the request was sent already.
  std::set<std::string> m_Excluded;

  /// Where the request may be served.
  RequestRegions m_Regions = {};

  /// Parameters of the pool's engines; nullptr if it has none.
  const EngineParameters *m_Engine = nullptr;

  /// Decides among targets that are equally good. Requests differ in it, so that routers with the
  /// same loads in hand do not all choose the same target. If it is 0, the shortest forecast
  /// counts.
  std::uint64_t m_Salt = 0;

  /// What it asks of the target's software version.
  RequestStream m_Stream = {};
};

/// The chosen target and its forecast.
struct PlacementChoice {
  std::string m_TargetId;

  /// Forecast wait for the response, in milliseconds, with the penalties of PlacementOptions.
  double m_ExpectedMs = 0.0;

  /// Forecast time to the first event, in milliseconds, without penalties.
  double m_FirstEventMs = 0.0;

  /// What the forecasts are made from.
  AttemptWork m_Work;

  /// Prompt tokens that the target is expected to have in its cache.
  Tokens m_CachedTokens = 0;
};

/// A target that names a limit and for which this router holds no permit.
struct WantedTarget {
  ratelimits::TargetKey m_Key = 0;
  double m_ExpectedMs = 0.0;
};

/// What placement found.
struct PlacementDecision {
  /// The best target that may get the request now.
  std::optional<PlacementChoice> m_Choice;

  /// The best of the targets that may get it with a permit, if it is better than the choice.
  std::optional<WantedTarget> m_Wanted;

  /// Shortest time until a closed target may open, and what closes that target. Without such a
  /// time, the reason why targets need permits.
  std::optional<std::chrono::milliseconds> m_RetryAfter;
  GateReason m_Reason = GateReason::None;

  /// Room at the targets that may get the request now.
  PoolRoom m_Room;
};

/// Chooses the target with the shortest forecast wait. The forecast covers the load that this and
/// the other routers have put on the target, the prompt tokens that its cache does not hold, and
/// the speed that the target has shown. A target whose memory would not hold the request is chosen
/// only if no other has room.
///
/// Rendezvous hashing assigns each shared prompt part to one target that is assumed to cache it;
/// all routers compute the same target, so requests with the same prompt go there without
/// coordination.
class Placement {
public:
  /// Returns the load that other routers report for a target.
  using PeerLoadSource = std::function<TargetLoad(const TargetRecord &)>;

  Placement(PlacementOptions Options, PeerLoadSource Others)
      : m_Options(std::move(Options)), m_PeerLoad(std::move(Others)) {}

  /// Sets the number of routers that send to the same targets, this one included.
  auto setRouterCount(std::size_t Count) -> void {
    m_RouterCount = std::max<std::size_t>(1, Count);
  }

  /// Only targets that the gate lets requests pass to are chosen.
  [[nodiscard]] auto decide(const TargetTable &Targets, const TargetGate &Gate,
                            const PlacementRequest &Request, base::SteadyTime Now) const
      -> PlacementDecision;

  /// Returns the choice of decide().
  [[nodiscard]] auto choose(const TargetTable &Targets, const TargetGate &Gate,
                            const PlacementRequest &Request, base::SteadyTime Now) const
      -> std::optional<PlacementChoice> {
    return decide(Targets, Gate, Request, Now).m_Choice;
  }

private:
  /// A target that is open, may be open with a permit, or will open again.
  struct Candidate {
    const TargetState *m_Target = nullptr;
    GateDecision m_Gate;

    /// As the other routers report it.
    TargetLoad m_PeerLoad;
  };

  [[nodiscard]] static auto affinityTarget(const PromptPart &Part,
                                           const std::vector<Candidate> &Candidates)
      -> const TargetState *;

  /// Returns the targets that are to be compared: last resorts only if all others are closed. Fills
  /// in why some are closed.
  [[nodiscard]] static auto findCandidates(const TargetTable &Targets, const TargetGate &Gate,
                                           const PlacementRequest &Request, base::SteadyTime Now,
                                           PlacementDecision &Decision) -> std::vector<Candidate>;

  /// A candidate's forecast.
  struct Forecast {
    double m_FirstEventMs = 0.0;
    double m_ExpectedMs = 0.0;
    AttemptWork m_Work;

    /// Whether the target has memory and a place for the request.
    bool m_HasRoom = true;

    /// Whether the target has turned requests away and holds no fewer now.
    bool m_IsFull = false;
  };

  /// A target that may get the request.
  struct RankedTarget {
    const TargetState *m_Target = nullptr;
    Tokens m_CachedTokens = 0;
    Forecast m_Forecast;
  };

  /// What is the same for all candidates of a request.
  struct PoolView {
    SpeedFigures m_Figures;
    double m_MeanHeldTokens = 0.0;

    /// Mean load that other routers report of a target, and how much of a difference from it lasts
    /// from the report until now, 0 to 1. What is over sooner than reports come says nothing of the
    /// single target any more.
    double m_MeanPeerTokens = 0.0;
    double m_MeanPeerRequests = 0.0;
    double m_TokensLast = 1.0;
    double m_RequestsLast = 1.0;

    /// Returns the load that is expected now where a load was reported.
    [[nodiscard]] auto expectedLoad(const TargetLoad &Reported) const -> TargetLoad;
  };

  [[nodiscard]] auto viewPool(const std::vector<Candidate> &Candidates, const TargetTable &Targets,
                              const PlacementRequest &Request, base::SteadyTime Now) const
      -> PoolView;

  [[nodiscard]] auto forecast(const Candidate &Item, const PlacementRequest &Request,
                              Tokens CachedTokens, const PoolView &Pool, base::SteadyTime Now) const
      -> Forecast;

  /// Sums up the room of the targets.
  [[nodiscard]] static auto poolRoom(const std::vector<RankedTarget> &Open,
                                     const TargetTable &Targets, const PlacementRequest &Request,
                                     base::SteadyTime Now) -> PoolRoom;

  /// Returns the targets that this router compares for the request: a random few of each data
  /// centre's, so many that the routers together look at each target about once, and all that are
  /// expected to keep a part of the prompt. Answers the load of many routers that all know the same
  /// old loads: where each compares all targets, all send to the same one until the next report.
  [[nodiscard]] auto compared(std::vector<RankedTarget> Open, const PlacementRequest &Request) const
      -> std::vector<RankedTarget>;

  /// Returns the best target, or one that is as good.
  [[nodiscard]] auto pick(const std::vector<RankedTarget> &Open,
                          const PlacementRequest &Request) const -> const RankedTarget *;

  PlacementOptions m_Options;
  std::size_t m_RouterCount = 1;
  PeerLoadSource m_PeerLoad;
};

} // namespace geraniumlift::forwarding
