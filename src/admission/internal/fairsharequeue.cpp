#include "admission/internal/fairsharequeue.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::admission {

namespace {

/// Number of dispatched tokens over which the weight of earlier ones decays. Guaranteed shares are
/// kept over about this many tokens. One router dispatches about a thousand tokens a second, so
/// that a class waits for its share for a few seconds at most.
constexpr auto ShareWindowTokens = 5000.0;

/// Number of workspaces per class from which on those without waiting requests are removed, with
/// their virtual times.
constexpr auto FlowPruneThreshold = std::size_t{4096};

} // namespace

auto FairShareQueue::Backlog::add(const QueueEntry &Entry) -> void {
  m_AllSeconds += Entry.m_RunSeconds;
  m_ShortSeconds += Entry.m_Short ? Entry.m_RunSeconds : 0.0;
}

auto FairShareQueue::Backlog::remove(const QueueEntry &Entry) -> void {
  m_AllSeconds = std::max(0.0, m_AllSeconds - Entry.m_RunSeconds);
  m_ShortSeconds = std::max(0.0, m_ShortSeconds - (Entry.m_Short ? Entry.m_RunSeconds : 0.0));
}

auto FairShareQueue::push(QueueEntry Entry) -> void {
  auto &Class = m_Classes[Entry.m_PriorityClass];
  Class.m_Level = Entry.m_PriorityLevel;
  Class.m_GuaranteedShare = Entry.m_ClassGuaranteedShare;
  if (Class.m_Flows.size() >= FlowPruneThreshold) {
    std::erase_if(Class.m_Flows, [](const auto &Each) {
      return Each.second.m_ShortEntries.empty() && Each.second.m_LongEntries.empty();
    });
  }
  auto &Flow = Class.m_Flows[Entry.m_Workspace];
  Flow.m_Weight = std::max(1e-6, Entry.m_WorkspaceWeight);
  if (Flow.m_ShortEntries.empty() && Flow.m_LongEntries.empty()) {
    // A workspace accumulates no share while it has no waiting requests.
    Flow.m_VirtualStart = std::max(Flow.m_VirtualStart, Class.m_VirtualTime);
  }
  Flow.m_Backlog.add(Entry);
  Class.m_Backlog.add(Entry);
  m_Locations[Entry.m_Id] = {Entry.m_PriorityClass, Entry.m_Workspace, m_NextSequence,
                             Entry.m_Short};
  auto &Entries = Entry.m_Short ? Flow.m_ShortEntries : Flow.m_LongEntries;
  Entries.emplace(m_NextSequence, std::move(Entry));
  ++m_NextSequence;
}

auto FairShareQueue::peek(EntryFilter Filter) -> std::optional<WorkId> {
  const auto Total = totalTokens();
  const Flow *Best = nullptr;
  auto BestIsBelowShare = false;
  auto BestLevel = std::int64_t{0};
  for (const auto &[Name, Class] : m_Classes) {
    const auto *Candidate = earliestFlow(Class, Filter);
    if (Candidate == nullptr) {
      continue;
    }
    const auto IsBelowShare = Class.m_Tokens < Class.m_GuaranteedShare * Total;
    const auto IsBetter = Best == nullptr || (IsBelowShare && !BestIsBelowShare) ||
                          (IsBelowShare == BestIsBelowShare && Class.m_Level < BestLevel);
    if (IsBetter) {
      Best = Candidate;
      BestIsBelowShare = IsBelowShare;
      BestLevel = Class.m_Level;
    }
  }
  return Best == nullptr ? std::nullopt : std::optional(firstEntry(*Best, Filter)->second.m_Id);
}

auto FairShareQueue::removeAndCharge(WorkId Id) -> void {
  const auto Found = m_Locations.find(Id);
  if (Found == m_Locations.end()) {
    return;
  }
  const auto Location = Found->second;
  const auto Entry = extractEntry(Location);
  auto &Class = m_Classes[Location.m_Class];
  chargeTokens(Class, Class.m_Flows[Location.m_Workspace], Entry);
  m_Locations.erase(Id);
}

auto FairShareQueue::remove(WorkId Id) -> void {
  const auto Found = m_Locations.find(Id);
  if (Found != m_Locations.end()) {
    extractEntry(Found->second);
    m_Locations.erase(Found);
  }
}

auto FairShareQueue::slotSecondsAhead(const QueueEntry &Entry) const -> double {
  const auto OwnClass = m_Classes.find(Entry.m_PriorityClass);
  auto Ahead = 0.0;
  auto OthersGuaranteedShare = 0.0;
  for (const auto &[Name, Class] : m_Classes) {
    if (Name == Entry.m_PriorityClass) {
      continue;
    }
    if (Class.m_Level < Entry.m_PriorityLevel) {
      Ahead += Class.m_Backlog.slotSecondsAheadOf(Entry);
    } else if (Class.m_Backlog.slotSecondsAheadOf(Entry) > 0.0) {
      OthersGuaranteedShare += Class.m_GuaranteedShare;
    }
  }
  if (OwnClass == m_Classes.end()) {
    return Ahead;
  }
  const auto &Flows = OwnClass->second.m_Flows;
  const auto OwnFlow = Flows.find(Entry.m_Workspace);
  const auto OwnSeconds =
      OwnFlow == Flows.end() ? 0.0 : OwnFlow->second.m_Backlog.slotSecondsAheadOf(Entry);
  const auto OwnSecondsPerWeight =
      (OwnSeconds + Entry.m_RunSeconds) / std::max(1e-6, Entry.m_WorkspaceWeight);
  for (const auto &[Name, Flow] : Flows) {
    const auto Waiting = Flow.m_Backlog.slotSecondsAheadOf(Entry);
    Ahead += Name == Entry.m_Workspace ? Waiting
                                       : std::min(Waiting, OwnSecondsPerWeight * Flow.m_Weight);
  }
  return Ahead / std::max(0.1, 1.0 - OthersGuaranteedShare);
}

auto FairShareQueue::firstEntry(const Flow &Flow, EntryFilter Filter)
    -> const std::pair<const std::uint64_t, QueueEntry> * {
  const auto *Short = Flow.m_ShortEntries.empty() ? nullptr : &*Flow.m_ShortEntries.begin();
  if (Filter == EntryFilter::ShortOnly || Flow.m_LongEntries.empty()) {
    return Short;
  }
  const auto *Long = &*Flow.m_LongEntries.begin();
  return Short != nullptr && Short->first < Long->first ? Short : Long;
}

auto FairShareQueue::earliestFlow(const PriorityClass &Class, EntryFilter Filter) -> const Flow * {
  const Flow *Earliest = nullptr;
  for (const auto &[Name, Flow] : Class.m_Flows) {
    if (firstEntry(Flow, Filter) != nullptr &&
        (Earliest == nullptr || Flow.m_VirtualStart < Earliest->m_VirtualStart)) {
      Earliest = &Flow;
    }
  }
  return Earliest;
}

auto FairShareQueue::totalTokens() const -> double {
  auto Total = 0.0;
  for (const auto &[Name, Class] : m_Classes) {
    Total += Class.m_Tokens;
  }
  return Total;
}

auto FairShareQueue::chargeTokens(PriorityClass &Class, Flow &Flow, const QueueEntry &Entry)
    -> void {
  Class.m_VirtualTime = std::max(Class.m_VirtualTime, Flow.m_VirtualStart);
  Flow.m_VirtualStart += Entry.m_CostTokens / Flow.m_Weight;
  const auto Decay = std::exp(-Entry.m_CostTokens / ShareWindowTokens);
  for (auto &[Name, Each] : m_Classes) {
    Each.m_Tokens *= Decay;
  }
  Class.m_Tokens += Entry.m_CostTokens;
}

auto FairShareQueue::extractEntry(const Location &Location) -> QueueEntry {
  auto &Class = m_Classes[Location.m_Class];
  auto &Flow = Class.m_Flows[Location.m_Workspace];
  auto &Entries = Location.m_Short ? Flow.m_ShortEntries : Flow.m_LongEntries;
  auto Entry = std::move(Entries.extract(Location.m_Sequence).mapped());
  Flow.m_Backlog.remove(Entry);
  Class.m_Backlog.remove(Entry);
  return Entry;
}

} // namespace geraniumlift::admission
