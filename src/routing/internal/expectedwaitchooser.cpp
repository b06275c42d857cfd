#include "routing/internal/expectedwaitchooser.h"

#include "routing/internal/drawtwoindices.h"

#include <algorithm>

namespace geraniumlift::routing {

namespace {

/// Additional round-trip time to a target in another data centre, in seconds (section 1 of the
/// design).
constexpr auto CrossDataCentreSeconds = 0.003;

/// Additional cost, in seconds, of a fully used target compared with an empty one. It spreads
/// requests over free slots, and is small so that expected waits and slowness outweigh it.
constexpr auto OccupancySeconds = 0.2;

/// A target is preferred for a cached prefix only while its load exceeds the mean of the pool by at
/// most this much, in requests per slot.
constexpr auto PrefixLoadMargin = 0.15;

/// Prompt tokens that an engine is assumed to process per second. Converts the tokens saved by a
/// cached prefix to seconds.
constexpr auto PromptTokensPerSecond = 5000.0;

/// Share of the prompt that a cached prefix is assumed to cover.
constexpr auto CachedShareOfPrompt = 0.5;

} // namespace

ExpectedWaitChooser::ExpectedWaitChooser(ChooserSettings Settings)
    : m_Settings(std::move(Settings)) {}

auto ExpectedWaitChooser::choose(const std::vector<const TargetView *> &Candidates,
                                 const RequestTraits &Request, base::SteadyTime Now,
                                 base::RandomEngine &Random) -> std::size_t {
  auto OwnOutstanding = 0.0;
  for (const auto *View : Candidates) {
    OwnOutstanding += static_cast<double>(View->outstanding());
  }
  // Where reports are missing or old, each of the other routers is assumed to load a target as this
  // one loads the pool's targets on average.
  const auto ExpectedOthers = OwnOutstanding / static_cast<double>(Candidates.size()) *
                              static_cast<double>(m_Settings.m_ExpectedRouters - 1);
  auto Loads = std::vector<Load>();
  auto MeanPerSlot = 0.0;
  for (const auto *View : Candidates) {
    Loads.push_back(estimateLoad(*View, ExpectedOthers, Now));
    MeanPerSlot += Loads.back().m_PerSlot / static_cast<double>(Candidates.size());
  }
  const auto CostAt = [&](std::size_t Index) {
    return estimateCost(*Candidates[Index], Loads[Index], Request);
  };
  const auto [First, Second] = drawTwoIndices(Candidates.size(), Random);
  auto Best = CostAt(Second) < CostAt(First) ? Second : First;
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    const auto IsPrefixCandidate = Candidates[Index]->mayHavePrefix(Request.m_PrefixHash) &&
                                   Loads[Index].m_PerSlot <= MeanPerSlot + PrefixLoadMargin;
    if (IsPrefixCandidate && CostAt(Index) < CostAt(Best)) {
      Best = Index;
    }
  }
  return Best;
}

auto ExpectedWaitChooser::estimateLoad(const TargetView &View, double ExpectedOthers,
                                       base::SteadyTime Now) const -> Load {
  const auto Requests =
      static_cast<double>(View.outstanding()) + View.othersOutstanding(ExpectedOthers, Now);
  const auto Slots = static_cast<double>(std::max<std::int64_t>(1, View.info().m_Slots));
  return {Requests, Requests / Slots};
}

auto ExpectedWaitChooser::estimateCost(const TargetView &View, const Load &Load,
                                       const RequestTraits &Request) const -> double {
  const auto OwnOutstanding = static_cast<double>(View.outstanding());
  const auto MeanRunSeconds =
      OwnOutstanding > 0.0 ? View.outstandingSeconds() / OwnOutstanding : Request.m_RunSeconds;
  const auto Slots = static_cast<double>(std::max<std::int64_t>(1, View.info().m_Slots));
  const auto Excess = std::max(0.0, Load.m_Requests - Slots + 1.0);
  auto Cost = Excess * MeanRunSeconds * View.slowness() / Slots;
  Cost += Request.m_RunSeconds * (View.slowness() - 1.0);
  Cost += OccupancySeconds * std::min(1.0, Load.m_PerSlot);
  if (View.info().m_DataCentre != m_Settings.m_DataCentre) {
    Cost += CrossDataCentreSeconds;
  }
  if (View.mayHavePrefix(Request.m_PrefixHash)) {
    Cost -=
        CachedShareOfPrompt * static_cast<double>(Request.m_PromptTokens) / PromptTokensPerSecond;
  }
  return Cost;
}

} // namespace geraniumlift::routing
