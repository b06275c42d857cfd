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

} // namespace

/// Returns the candidate that all routers expect to have the part in its cache, by rendezvous
/// hashing.
auto Placement::affinityTarget(const PromptPart &Part, const std::vector<Candidate> &Candidates)
    -> const TargetState * {
  const auto Rank = [&Part](const Candidate &Item) {
    return base::rendezvousRank(Part.m_Id, Item.m_Target->record().m_Id);
  };
  return std::max_element(Candidates.begin(), Candidates.end(),
                          [&Rank](const Candidate &Left, const Candidate &Right) {
                            return Rank(Left) < Rank(Right);
                          })
      ->m_Target;
}

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

auto Placement::findCandidates(const TargetTable &Targets, const TargetGate &Gate,
                               const PlacementRequest &Request, base::SteadyTime Now,
                               PlacementDecision &Decision) -> std::vector<Candidate> {
  auto Preferred = std::vector<Candidate>();
  auto LastResorts = std::vector<Candidate>();
  for (const auto *Target : Targets.targetsOf(Request.m_Pool)) {
    if (Request.m_Excluded.contains(Target->record().m_Id)) {
      continue;
    }
    const auto Checked = Gate.checkTarget(*Target, Request.m_Regions, Now);
    if (Checked.m_Access == GateAccess::Closed && !Checked.m_RetryAfter) {
      continue;
    }
    (Checked.m_IsLastResort ? LastResorts : Preferred).push_back({Target, Checked});
  }
  auto Candidates = std::move(Preferred);
  const auto IsClosed = [](const Candidate &Item) {
    return Item.m_Gate.m_Access == GateAccess::Closed;
  };
  if (std::all_of(Candidates.begin(), Candidates.end(), IsClosed)) {
    Candidates.insert(Candidates.end(), LastResorts.begin(), LastResorts.end());
  }
  for (const auto &[Target, Checked] : Candidates) {
    if (Checked.m_Access == GateAccess::NeedsPermit && Decision.m_Reason == GateReason::None) {
      Decision.m_Reason = Checked.m_Reason;
    }
    if (Checked.m_Access == GateAccess::Closed &&
        (!Decision.m_RetryAfter || *Checked.m_RetryAfter < *Decision.m_RetryAfter)) {
      Decision.m_RetryAfter = Checked.m_RetryAfter;
      Decision.m_Reason = Checked.m_Reason;
    }
  }
  return Candidates;
}

auto Placement::decide(const TargetTable &Targets, const TargetGate &Gate,
                       const PlacementRequest &Request, base::SteadyTime Now) const
    -> PlacementDecision {
  auto Decision = PlacementDecision();
  const auto Candidates = findCandidates(Targets, Gate, Request, Now, Decision);
  const auto *Shared = lastSharedPart(Request.m_Prompt);
  const auto *AffinityTarget =
      Shared == nullptr || Candidates.empty() ? nullptr : affinityTarget(*Shared, Candidates);
  for (const auto &[Target, Checked] : Candidates) {
    if (Checked.m_Access == GateAccess::Closed) {
      continue;
    }
    auto CachedTokens =
        Request.m_Prompt == nullptr ? 0 : Target->cachedTokens(*Request.m_Prompt, Now);
    if (Target == AffinityTarget) {
      CachedTokens = std::max(CachedTokens, sharedTokens(*Request.m_Prompt));
    }
    const auto Ms = expectedMs(*Target, Request, CachedTokens);
    if (Checked.m_Access == GateAccess::NeedsPermit) {
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
