#include "forwarding/placement.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace geraniumlift::forwarding {

namespace {

/// The last part that other requests share; nothing if the prompt has no shared part.
auto lastSharedPart(const PromptFigures *Prompt) -> const PromptPart * {
  if (Prompt == nullptr || Prompt->m_Parts.size() < 2) {
    return nullptr;
  }
  return &Prompt->m_Parts[Prompt->m_Parts.size() - 2];
}

auto sharedTokens(const PromptFigures &Prompt) -> Tokens {
  auto Sum = Tokens{0};
  for (std::size_t Index = 0; Index + 1 < Prompt.m_Parts.size(); ++Index) {
    Sum += Prompt.m_Parts[Index].m_Tokens;
  }
  return std::min(Sum, Prompt.m_PromptTokens);
}

auto homeOf(const PromptPart &Part, const std::vector<const TargetState *> &Candidates)
    -> const TargetState * {
  return *std::max_element(Candidates.begin(), Candidates.end(),
                           [&Part](const TargetState *Left, const TargetState *Right) {
                             return base::rendezvousRank(Part.m_Id, Left->record().m_Id) <
                                    base::rendezvousRank(Part.m_Id, Right->record().m_Id);
                           });
}

} // namespace

auto Placement::expectedMs(const TargetState &Target, const PlacementRequest &Request,
                           Tokens Kept) const -> double {
  auto Load = Target.ownLoad();
  Load += m_Others(Target.record());
  auto Ms = Target.failureShare() * m_Options.m_MsForFailures;
  if (Target.record().m_DataCentre != m_Options.m_DataCentre) {
    Ms += m_Options.m_MsForOtherDataCentre;
  }
  const auto Active = static_cast<double>(Load.m_Active);
  if (Request.m_Prompt == nullptr) {
    return Ms + Active * m_Options.m_MsPerActiveCall;
  }
  const auto ToRead = Load.m_WaitingTokens + Request.m_Prompt->m_PromptTokens - Kept;
  return Ms + static_cast<double>(ToRead) / m_Options.m_PromptTokensPerMs +
         Active * m_Options.m_MsPerActiveStream;
}

auto Placement::choose(const TargetTable &Targets, const PlacementRequest &Request,
                       base::SteadyTime Now) const -> std::optional<PlacementChoice> {
  auto Candidates = std::vector<const TargetState *>();
  auto Resting = std::vector<const TargetState *>();
  for (const auto *Target : Targets.serving(Request.m_Pool)) {
    if (!Request.m_Excluded.contains(Target->record().m_Id)) {
      (Target->isResting(Now) ? Resting : Candidates).push_back(Target);
    }
  }
  if (Candidates.empty()) {
    Candidates = std::move(Resting);
  }
  if (Candidates.empty()) {
    return std::nullopt;
  }
  const auto *Shared = lastSharedPart(Request.m_Prompt);
  const auto *Home = Shared == nullptr ? nullptr : homeOf(*Shared, Candidates);
  auto Best = std::optional<PlacementChoice>();
  for (const auto *Target : Candidates) {
    auto Kept = Request.m_Prompt == nullptr ? 0 : Target->keptTokens(*Request.m_Prompt, Now);
    if (Target == Home) {
      Kept = std::max(Kept, sharedTokens(*Request.m_Prompt));
    }
    const auto Ms = expectedMs(*Target, Request, Kept);
    if (!Best || Ms < Best->m_ExpectedMs) {
      Best = PlacementChoice{Target->record().m_Id, Ms, Kept};
    }
  }
  return Best;
}

} // namespace geraniumlift::forwarding
