#pragma once

#include "forwarding/targettable.h"

#include <functional>

namespace geraniumlift::forwarding {

/// What placing weighs.
struct PlacementOptions {
  std::string m_DataCentre;

  /// Prompt tokens that an engine reads in a millisecond, for the forecast of a wait. Both pages of
  /// the deployments' engines give about 40.
  double m_PromptTokensPerMs = 40.0;

  /// Time that each running request adds to the work of a new one at an engine, in milliseconds.
  double m_MsPerActiveStream = 1.5;

  /// Time that each running request adds at a plain service, in milliseconds.
  double m_MsPerActiveCall = 15.0;

  /// What crossing to another data centre costs, in milliseconds of wait.
  double m_OtherDataCentrePenaltyMs = 4.0;

  /// What a failure share of 1 costs, in milliseconds of wait.
  double m_FailurePenaltyMs = 400.0;
};

/// A request to be placed.
struct PlacementRequest {
  std::string m_Pool;
  const PromptMetadata *m_Prompt = nullptr;

  /// Targets that had the request already.
  std::set<std::string> m_Excluded;
};

/// The chosen target.
struct PlacementChoice {
  std::string m_TargetId;

  /// Forecast of the time until the target answers, in milliseconds.
  double m_ExpectedMs = 0.0;

  /// Prompt tokens that the target is believed to keep.
  Tokens m_CachedTokens = 0;
};

/// Chooses the target with the shortest forecast wait: work that waits there, of this router and of
/// the others, and the part of the prompt that the target does not keep. For each shared prompt one
/// target, the same for all routers, is taken to keep it, so that requests with one prompt meet
/// without messages between the routers.
class Placement {
public:
  /// Load that other routers report for a target.
  using PeerLoadSource = std::function<TargetLoad(const TargetRecord &)>;

  Placement(PlacementOptions Options, PeerLoadSource Others)
      : m_Options(std::move(Options)), m_PeerLoad(std::move(Others)) {}

  /// Returns nothing if no target of the pool takes requests. Targets that rest after failures are
  /// used only if there is no other.
  [[nodiscard]] auto choose(const TargetTable &Targets, const PlacementRequest &Request,
                            base::SteadyTime Now) const -> std::optional<PlacementChoice>;

private:
  [[nodiscard]] auto expectedMs(const TargetState &Target, const PlacementRequest &Request,
                                Tokens CachedTokens) const -> double;

  PlacementOptions m_Options;
  PeerLoadSource m_PeerLoad;
};

} // namespace geraniumlift::forwarding
