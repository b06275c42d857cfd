#include "forwarding/placement.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace geraniumlift::forwarding {

namespace {

/// Returns the last part that other requests may share, or nullptr if the prompt has no shared
/// part.
auto lastSharedPart(const PromptMetadata *Prompt) -> const PromptPart * {
  if (Prompt == nullptr || Prompt->m_Parts.size() < 2) {
    return nullptr;
  }
  return &Prompt->m_Parts[Prompt->m_Parts.size() - 2];
}

auto sharedTokens(const PromptMetadata &Prompt) -> Tokens {
  auto Sum = Tokens{0};
  for (std::size_t Index = 0; Index + 1 < Prompt.m_Parts.size(); ++Index) {
    Sum += Prompt.m_Parts[Index].m_Tokens;
  }
  return std::min(Sum, Prompt.m_PromptTokens);
}

/// Returns the candidate that all routers expect to have the part in its cache, by rendezvous
/// hashing.
auto affinityTarget(const PromptPart &Part, const std::vector<const TargetState *> &Candidates)
    -> const TargetState * {
  return *std::max_element(Candidates.begin(), Candidates.end(),
                           [&Part](const TargetState *Left, const TargetState *Right) {
                             return base::rendezvousRank(Part.m_Id, Left->record().m_Id) <
                                    base::rendezvousRank(Part.m_Id, Right->record().m_Id);
                           });
}

} // namespace

auto Placement::expectedMs(const TargetState &Target, const PlacementRequest &Request,
                           Tokens CachedTokens) const -> double {
  auto Load = Target.ownLoad();
  Load += m_PeerLoad(Target.record());
  auto Ms = Target.failureRate() * m_Options.m_FailurePenaltyMs;
  if (Target.record().m_DataCentre != m_Options.m_DataCentre) {
    Ms += m_Options.m_OtherDataCentrePenaltyMs;
  }
  const auto Active = static_cast<double>(Load.m_ActiveRequests);
  if (Request.m_Prompt == nullptr) {
    return Ms + Active * m_Options.m_MsPerActiveCall;
  }
  const auto UncachedTokens =
      Load.m_PendingPromptTokens + Request.m_Prompt->m_PromptTokens - CachedTokens;
  return Ms + static_cast<double>(UncachedTokens) / m_Options.m_PromptTokensPerMs +
         Active * m_Options.m_MsPerActiveStream;
}

auto Placement::decide(const TargetTable &Targets, const PlacementRequest &Request,
                       base::SteadyTime Now) const -> PlacementDecision {
  auto Candidates = std::vector<const TargetState *>();
  auto Ejected = std::vector<const TargetState *>();
  for (const auto *Target : Targets.availableTargets(Request.m_Pool)) {
    if (!Request.m_Excluded.contains(Target->record().m_Id)) {
      (Target->isEjected(Now) ? Ejected : Candidates).push_back(Target);
    }
  }
  if (Candidates.empty()) {
    Candidates = std::move(Ejected);
  }
  auto Decision = PlacementDecision();
  if (Candidates.empty()) {
    return Decision;
  }
  const auto *Shared = lastSharedPart(Request.m_Prompt);
  const auto *AffinityTarget = Shared == nullptr ? nullptr : affinityTarget(*Shared, Candidates);
  for (const auto *Target : Candidates) {
    const auto MaySend =
        Request.m_Limits == nullptr || Request.m_Limits->maySend(Target->limitKey());
    if (!MaySend) {
      Decision.m_IsLimited = true;
      if (const auto RetryAfter = Request.m_Limits->retryAfter(Target->limitKey())) {
        Decision.m_RetryAfter = std::min(Decision.m_RetryAfter.value_or(*RetryAfter), *RetryAfter);
        continue;
      }
    }
    auto CachedTokens =
        Request.m_Prompt == nullptr ? 0 : Target->cachedTokens(*Request.m_Prompt, Now);
    if (Target == AffinityTarget) {
      CachedTokens = std::max(CachedTokens, sharedTokens(*Request.m_Prompt));
    }
    const auto Ms = expectedMs(*Target, Request, CachedTokens);
    if (!MaySend) {
      if (!Decision.m_Wanted || Ms < Decision.m_Wanted->m_ExpectedMs) {
        Decision.m_Wanted = WantedTarget{Target->limitKey(), Ms};
      }
    } else if (!Decision.m_Choice || Ms < Decision.m_Choice->m_ExpectedMs) {
      Decision.m_Choice = PlacementChoice{Target->record().m_Id, Ms, CachedTokens};
    }
  }
  if (Decision.m_Choice && Decision.m_Wanted &&
      Decision.m_Wanted->m_ExpectedMs + m_Options.m_MinPermitGainMs >=
          Decision.m_Choice->m_ExpectedMs) {
    Decision.m_Wanted.reset();
  }
  return Decision;
}

} // namespace geraniumlift::forwarding
