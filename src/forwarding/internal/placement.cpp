#include "forwarding/placement.h"

#include "base/random.h"
#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>

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

auto Placement::PoolView::expectedLoad(const TargetLoad &Reported) const -> TargetLoad {
  const auto Expect = [](std::int64_t Value, double Mean, double Last) {
    return std::llround(Mean + (static_cast<double>(Value) - Mean) * Last);
  };
  return {Expect(Reported.m_PendingPromptTokens, m_MeanPeerTokens, m_TokensLast),
          Expect(Reported.m_ActiveRequests, m_MeanPeerRequests, m_RequestsLast)};
}

auto Placement::viewPool(const std::vector<Candidate> &Candidates, const TargetTable &Targets,
                         const PlacementRequest &Request, base::SteadyTime Now) const -> PoolView {
  auto View = PoolView();
  View.m_Figures = Targets.poolFigures(Request.m_Pool, Request.m_Prompt != nullptr, Now);
  View.m_MeanHeldTokens = Targets.meanHeldTokens(Request.m_Pool);
  auto Sum = TargetLoad();
  for (const auto &Item : Candidates) {
    Sum += Item.m_PeerLoad;
  }
  const auto Count = static_cast<double>(std::max<std::size_t>(1, Candidates.size()));
  View.m_MeanPeerTokens = static_cast<double>(Sum.m_PendingPromptTokens) / Count;
  View.m_MeanPeerRequests = static_cast<double>(Sum.m_ActiveRequests) / Count;
  // A load that ends after Ms on average is left with this share when its report is in use.
  const auto Last = [this](double Ms) { return Ms / (Ms + m_Options.m_PeerLoadAgeMs); };
  const auto &Figures = View.m_Figures;
  if (Figures.m_MeanFirstEventMs > 0.0) {
    View.m_TokensLast = Last(Figures.m_MeanFirstEventMs);
    View.m_RequestsLast = Last(Figures.m_MeanFirstEventMs + Figures.m_ResponseMs);
  }
  return View;
}

auto Placement::forecast(const Candidate &Item, const PlacementRequest &Request,
                         Tokens CachedTokens, const PoolView &Pool, base::SteadyTime Now) const
    -> Forecast {
  const auto &Target = *Item.m_Target;
  auto Load = Target.ownLoad();
  Load += Pool.expectedLoad(Item.m_PeerLoad);
  auto Result = Forecast();
  Result.m_Work.m_HasPrompt = Request.m_Prompt != nullptr;
  Result.m_Work.m_Slots = Request.m_Engine == nullptr ? 0 : Request.m_Engine->m_Slots;
  Result.m_Work.m_Ahead.m_ActiveRequests = Load.m_ActiveRequests;
  if (Request.m_Prompt != nullptr) {
    Result.m_Work.m_Ahead.m_PromptTokens =
        Load.m_PendingPromptTokens + Request.m_Prompt->m_PromptTokens - CachedTokens;
  }
  const auto Figures = Target.speed().figures(Pool.m_Figures, Now);
  Result.m_FirstEventMs = Figures.firstEventMs(Result.m_Work.m_Ahead, Result.m_Work.m_Slots);
  Result.m_ExpectedMs = Result.m_FirstEventMs + Target.failureRate() * m_Options.m_FailurePenaltyMs;
  if (Target.record().m_DataCentre != m_Options.m_DataCentre) {
    Result.m_ExpectedMs += m_Options.m_OtherDataCentrePenaltyMs;
  }
  const auto FullAt = Target.speed().fullAt(Now);
  Result.m_IsFull = FullAt && Load.m_ActiveRequests >= *FullAt;
  Result.m_HasRoom = !Result.m_IsFull;
  if (Request.m_Engine != nullptr && Request.m_Engine->m_MemoryTokens > 0 &&
      Request.m_Prompt != nullptr) {
    const auto Held = static_cast<double>(Target.heldTokens() + Request.m_Prompt->worstCase()) +
                      static_cast<double>(Item.m_PeerLoad.m_ActiveRequests) * Pool.m_MeanHeldTokens;
    Result.m_HasRoom &= Held <= static_cast<double>(Request.m_Engine->m_MemoryTokens);
  }
  return Result;
}

auto Placement::poolRoom(const std::vector<RankedTarget> &Open, const TargetTable &Targets,
                         const PlacementRequest &Request, base::SteadyTime Now) -> PoolRoom {
  auto Room = PoolRoom();
  const auto &Speed = Targets.poolSpeed(Request.m_Pool);
  Room.m_Answers = Speed.samples();
  Room.m_Age = Speed.age(Now);
  Room.m_IsFull = !Open.empty();
  auto Active = std::int64_t{0};
  auto Slots = std::int64_t{0};
  for (const auto &Item : Open) {
    Room.m_IsFull &= Item.m_Forecast.m_IsFull;
    Active += Item.m_Forecast.m_Work.m_Ahead.m_ActiveRequests;
    Slots += Item.m_Forecast.m_Work.m_Slots;
  }
  Room.m_TakenShare = Slots == 0 ? 0.0 : static_cast<double>(Active) / static_cast<double>(Slots);
  return Room;
}

auto Placement::compared(std::vector<RankedTarget> Open, const PlacementRequest &Request) const
    -> std::vector<RankedTarget> {
  if (m_RouterCount == 1 || Request.m_Salt == 0) {
    return Open;
  }
  auto Random = base::RandomEngine(Request.m_Salt);
  const auto Sample = [this, &Random](auto Begin, auto End) {
    const auto Size = static_cast<std::size_t>(End - Begin);
    const auto Count = std::min(Size, std::max(m_Options.m_MinCompared, Size / m_RouterCount));
    for (std::size_t Index = 0; Index < Count; ++Index) {
      std::swap(*(Begin + static_cast<std::ptrdiff_t>(Index)),
                *(Begin + static_cast<std::ptrdiff_t>(Index + Random() % (Size - Index))));
    }
    return Begin + static_cast<std::ptrdiff_t>(Count);
  };
  const auto Kept = std::partition(
      Open.begin(), Open.end(), [](const RankedTarget &Item) { return Item.m_CachedTokens > 0; });
  // Targets without room are compared only if there are no others.
  const auto WithRoom = std::partition(
      Kept, Open.end(), [](const RankedTarget &Item) { return Item.m_Forecast.m_HasRoom; });
  const auto End = WithRoom == Kept ? Open.end() : WithRoom;
  const auto Own = std::partition(Kept, End, [this](const RankedTarget &Item) {
    return Item.m_Target->record().m_DataCentre == m_Options.m_DataCentre;
  });
  const auto OwnEnd = Sample(Kept, Own);
  const auto OtherEnd = Sample(Own, End);
  auto Chosen = std::vector<RankedTarget>(Open.begin(), OwnEnd);
  Chosen.insert(Chosen.end(), Own, OtherEnd);
  return Chosen;
}

auto Placement::pick(const std::vector<RankedTarget> &Open, const PlacementRequest &Request) const
    -> const RankedTarget * {
  const auto IsBetter = [](const RankedTarget &Left, const RankedTarget &Right) {
    const auto &LeftItem = Left.m_Forecast;
    const auto &RightItem = Right.m_Forecast;
    return LeftItem.m_HasRoom != RightItem.m_HasRoom
               ? LeftItem.m_HasRoom
               : LeftItem.m_ExpectedMs < RightItem.m_ExpectedMs;
  };
  const auto Best = std::min_element(Open.begin(), Open.end(), IsBetter);
  if (Best == Open.end() || Request.m_Salt == 0) {
    return Best == Open.end() ? nullptr : &*Best;
  }
  const auto Limit =
      Best->m_Forecast.m_ExpectedMs +
      std::max(m_Options.m_EqualMs, m_Options.m_EqualShare * Best->m_Forecast.m_ExpectedMs);
  // Equally good targets cost the same where they are in the same data centre and keep as much of
  // the prompt.
  const auto IsEqual = [&Best, Limit](const RankedTarget &Item) {
    return Item.m_Forecast.m_HasRoom == Best->m_Forecast.m_HasRoom &&
           Item.m_CachedTokens >= Best->m_CachedTokens && Item.m_Forecast.m_ExpectedMs <= Limit &&
           Item.m_Target->record().m_DataCentre == Best->m_Target->record().m_DataCentre;
  };
  const auto Count = static_cast<std::uint64_t>(std::count_if(Open.begin(), Open.end(), IsEqual));
  auto Skipped = Request.m_Salt % Count;
  for (const auto &Item : Open) {
    if (IsEqual(Item) && Skipped-- == 0) {
      return &Item;
    }
  }
  return &*Best;
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
    if (Gate.checkVersion(Target->record(), Request.m_Stream).m_Access == GateAccess::Closed) {
      continue;
    }
    const auto Checked = Gate.checkTarget(*Target, Request.m_Regions, Now);
    if (Checked.m_Access == GateAccess::Closed && !Checked.m_RetryAfter) {
      continue;
    }
    (Checked.m_IsLastResort ? LastResorts : Preferred).push_back({Target, Checked, TargetLoad()});
  }
  auto Candidates = std::move(Preferred);
  const auto IsClosed = [](const Candidate &Item) {
    return Item.m_Gate.m_Access == GateAccess::Closed;
  };
  if (std::all_of(Candidates.begin(), Candidates.end(), IsClosed)) {
    Candidates.insert(Candidates.end(), LastResorts.begin(), LastResorts.end());
  }
  for (const auto &[Target, Checked, PeerLoad] : Candidates) {
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
  auto Candidates = findCandidates(Targets, Gate, Request, Now, Decision);
  for (auto &Item : Candidates) {
    Item.m_PeerLoad = m_PeerLoad(Item.m_Target->record());
  }
  const auto *Shared = lastSharedPart(Request.m_Prompt);
  const auto *AffinityTarget =
      Shared == nullptr || Candidates.empty() ? nullptr : affinityTarget(*Shared, Candidates);
  const auto Pool = viewPool(Candidates, Targets, Request, Now);
  auto Open = std::vector<RankedTarget>();
  Open.reserve(Candidates.size());
  for (const auto &Candidate : Candidates) {
    const auto *Target = Candidate.m_Target;
    const auto &Checked = Candidate.m_Gate;
    if (Checked.m_Access == GateAccess::Closed) {
      continue;
    }
    auto CachedTokens =
        Request.m_Prompt == nullptr ? 0 : Target->cachedTokens(*Request.m_Prompt, Now);
    if (Target == AffinityTarget) {
      CachedTokens = std::max(CachedTokens, sharedTokens(*Request.m_Prompt));
    }
    const auto Item = forecast(Candidate, Request, CachedTokens, Pool, Now);
    if (Checked.m_Access == GateAccess::NeedsPermit) {
      if (!Decision.m_Wanted || Item.m_ExpectedMs < Decision.m_Wanted->m_ExpectedMs) {
        Decision.m_Wanted = WantedTarget{Target->limitKey(), Item.m_ExpectedMs};
      }
    } else {
      Open.push_back({Target, CachedTokens, Item});
    }
  }
  Decision.m_Room = poolRoom(Open, Targets, Request, Now);
  const auto Compared = compared(std::move(Open), Request);
  if (const auto *Picked = pick(Compared, Request)) {
    const auto &Item = Picked->m_Forecast;
    Decision.m_Choice = PlacementChoice{Picked->m_Target->record().m_Id, Item.m_ExpectedMs,
                                        Item.m_FirstEventMs, Item.m_Work, Picked->m_CachedTokens};
  }
  if (Decision.m_Choice && Decision.m_Wanted &&
      Decision.m_Wanted->m_ExpectedMs + m_Options.m_MinPermitGainMs >=
          Decision.m_Choice->m_ExpectedMs) {
    Decision.m_Wanted.reset();
  }
  return Decision;
}

} // namespace geraniumlift::forwarding
