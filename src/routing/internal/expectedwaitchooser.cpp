#include "routing/internal/expectedwaitchooser.h"

#include "routing/internal/drawtwo.h"

#include <algorithm>

namespace geraniumlift::routing {

namespace {

/// Extra time to a target in another data centre, both ways (design, section 1).
constexpr auto FarSeconds = 0.003;

/// Cost of a fully used target beside an empty one. It spreads work over free slots; being small,
/// it gives way to waits and to slowness.
constexpr auto OccupancySeconds = 0.2;

/// A target may attract requests by its prefixes while its load is at most this much above the mean
/// of the pool, in requests per slot.
constexpr auto PrefixLoadMargin = 0.15;

/// Prompt tokens that an engine is assumed to read in a second, to value a cached prefix.
constexpr auto PromptTokensPerSecond = 5000.0;

/// Part of the prompt that a cached prefix is assumed to cover.
constexpr auto PrefixShareOfPrompt = 0.5;

} // namespace

ExpectedWaitChooser::ExpectedWaitChooser(ChooserSettings Settings)
    : m_Settings(std::move(Settings)) {}

auto ExpectedWaitChooser::choose(const std::vector<const TargetView *> &Candidates,
                                 const ChoiceRequest &Request, base::SteadyTime Now,
                                 base::RandomEngine &Random) -> std::size_t {
  auto Own = 0.0;
  for (const auto *View : Candidates) {
    Own += static_cast<double>(View->outstanding());
  }
  // Without a fresh report the other routers are assumed to load the target as this one loads the
  // pool on average.
  const auto Expected = Own / static_cast<double>(Candidates.size()) *
                        static_cast<double>(m_Settings.m_ExpectedRouters - 1);
  auto Loads = std::vector<Load>();
  auto MeanPerSlot = 0.0;
  for (const auto *View : Candidates) {
    Loads.push_back(loadOf(*View, Expected, Now));
    MeanPerSlot += Loads.back().m_PerSlot / static_cast<double>(Candidates.size());
  }
  const auto CostAt = [&](std::size_t Place) {
    return costOf(*Candidates[Place], Loads[Place], Request);
  };
  const auto [First, Second] = drawTwo(Candidates.size(), Random);
  auto Best = CostAt(Second) < CostAt(First) ? Second : First;
  for (auto Place = std::size_t{0}; Place < Candidates.size(); ++Place) {
    const auto Attracts = Candidates[Place]->mayHavePrefix(Request.m_PrefixHash) &&
                          Loads[Place].m_PerSlot <= MeanPerSlot + PrefixLoadMargin;
    if (Attracts && CostAt(Place) < CostAt(Best)) {
      Best = Place;
    }
  }
  return Best;
}

auto ExpectedWaitChooser::loadOf(const TargetView &View, double Expected,
                                 base::SteadyTime Now) const -> Load {
  const auto Requests =
      static_cast<double>(View.outstanding()) + View.othersOutstanding(Expected, Now);
  const auto Slots = static_cast<double>(std::max<std::int64_t>(1, View.info().m_Slots));
  return {Requests, Requests / Slots};
}

auto ExpectedWaitChooser::costOf(const TargetView &View, const Load &Load,
                                 const ChoiceRequest &Request) const -> double {
  const auto Own = static_cast<double>(View.outstanding());
  const auto MeanRun = Own > 0.0 ? View.outstandingSeconds() / Own : Request.m_RunSeconds;
  const auto Slots = static_cast<double>(std::max<std::int64_t>(1, View.info().m_Slots));
  const auto Excess = std::max(0.0, Load.m_Requests - Slots + 1.0);
  auto Cost = Excess * MeanRun * View.slowness() / Slots;
  Cost += Request.m_RunSeconds * (View.slowness() - 1.0);
  Cost += OccupancySeconds * std::min(1.0, Load.m_PerSlot);
  if (View.info().m_DataCentre != m_Settings.m_DataCentre) {
    Cost += FarSeconds;
  }
  if (View.mayHavePrefix(Request.m_PrefixHash)) {
    Cost -=
        PrefixShareOfPrompt * static_cast<double>(Request.m_PromptTokens) / PromptTokensPerSecond;
  }
  return Cost;
}

} // namespace geraniumlift::routing
