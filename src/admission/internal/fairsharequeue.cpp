#include "admission/internal/fairsharequeue.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::admission {

namespace {

/// Tokens over which the guaranteed shares are kept. One router dispatches about a thousand tokens
/// a second, so that a class waits for its share for a few seconds at most.
constexpr auto ShareWindowTokens = 5000.0;

/// Workspaces without work whose virtual time is kept, per class.
constexpr auto KeptFlows = std::size_t{4096};

} // namespace

auto FairShareQueue::Backlog::add(const QueueEntry &Entry) -> void {
  m_All += Entry.m_RunSeconds;
  m_Short += Entry.m_Short ? Entry.m_RunSeconds : 0.0;
}

auto FairShareQueue::Backlog::remove(const QueueEntry &Entry) -> void {
  m_All = std::max(0.0, m_All - Entry.m_RunSeconds);
  m_Short = std::max(0.0, m_Short - (Entry.m_Short ? Entry.m_RunSeconds : 0.0));
}

auto FairShareQueue::push(QueueEntry Entry) -> void {
  auto &Group = m_Groups[Entry.m_PriorityClass];
  Group.m_Level = Entry.m_PriorityLevel;
  Group.m_GuaranteedShare = Entry.m_ClassGuaranteedShare;
  if (Group.m_Flows.size() >= KeptFlows) {
    std::erase_if(Group.m_Flows, [](const auto &Each) {
      return Each.second.m_Short.empty() && Each.second.m_Long.empty();
    });
  }
  auto &Flow = Group.m_Flows[Entry.m_Workspace];
  Flow.m_Weight = std::max(1e-6, Entry.m_WorkspaceWeight);
  if (Flow.m_Short.empty() && Flow.m_Long.empty()) {
    // An idle workspace saves up no share.
    Flow.m_VirtualStart = std::max(Flow.m_VirtualStart, Group.m_VirtualTime);
  }
  Flow.m_Backlog.add(Entry);
  Group.m_Backlog.add(Entry);
  m_Places[Entry.m_Id] = {Entry.m_PriorityClass, Entry.m_Workspace, m_NextOrder, Entry.m_Short};
  auto &Lane = Entry.m_Short ? Flow.m_Short : Flow.m_Long;
  Lane.emplace(m_NextOrder, std::move(Entry));
  ++m_NextOrder;
}

auto FairShareQueue::next(Lane Lane) -> std::optional<WorkId> {
  const auto Total = totalTokens();
  const Flow *Best = nullptr;
  auto BestBehind = false;
  auto BestLevel = std::int64_t{0};
  for (const auto &[Name, Group] : m_Groups) {
    const auto *Candidate = earliestFlow(Group, Lane);
    if (Candidate == nullptr) {
      continue;
    }
    const auto Behind = Group.m_Tokens < Group.m_GuaranteedShare * Total;
    const auto Better = Best == nullptr || (Behind && !BestBehind) ||
                        (Behind == BestBehind && Group.m_Level < BestLevel);
    if (Better) {
      Best = Candidate;
      BestBehind = Behind;
      BestLevel = Group.m_Level;
    }
  }
  return Best == nullptr ? std::nullopt : std::optional(firstOf(*Best, Lane)->second.m_Id);
}

auto FairShareQueue::take(WorkId Id) -> void {
  const auto Found = m_Places.find(Id);
  if (Found == m_Places.end()) {
    return;
  }
  const auto Place = Found->second;
  const auto Entry = extract(Place);
  auto &Group = m_Groups[Place.m_Class];
  charge(Group, Group.m_Flows[Place.m_Workspace], Entry);
  m_Places.erase(Id);
}

auto FairShareQueue::drop(WorkId Id) -> void {
  const auto Found = m_Places.find(Id);
  if (Found != m_Places.end()) {
    extract(Found->second);
    m_Places.erase(Found);
  }
}

auto FairShareQueue::secondsAhead(const QueueEntry &Entry) const -> double {
  const auto Own = m_Groups.find(Entry.m_PriorityClass);
  auto Ahead = 0.0;
  auto OthersShare = 0.0;
  for (const auto &[Name, Group] : m_Groups) {
    if (Name == Entry.m_PriorityClass) {
      continue;
    }
    if (Group.m_Level < Entry.m_PriorityLevel) {
      Ahead += Group.m_Backlog.aheadOf(Entry);
    } else if (Group.m_Backlog.aheadOf(Entry) > 0.0) {
      OthersShare += Group.m_GuaranteedShare;
    }
  }
  if (Own == m_Groups.end()) {
    return Ahead;
  }
  const auto &Flows = Own->second.m_Flows;
  const auto OwnFlow = Flows.find(Entry.m_Workspace);
  const auto OwnSeconds = OwnFlow == Flows.end() ? 0.0 : OwnFlow->second.m_Backlog.aheadOf(Entry);
  const auto PerWeight =
      (OwnSeconds + Entry.m_RunSeconds) / std::max(1e-6, Entry.m_WorkspaceWeight);
  for (const auto &[Name, Flow] : Flows) {
    const auto Waiting = Flow.m_Backlog.aheadOf(Entry);
    Ahead += Name == Entry.m_Workspace ? Waiting : std::min(Waiting, PerWeight * Flow.m_Weight);
  }
  return Ahead / std::max(0.1, 1.0 - OthersShare);
}

auto FairShareQueue::firstOf(const Flow &Flow, Lane Lane)
    -> const std::pair<const std::uint64_t, QueueEntry> * {
  const auto *Short = Flow.m_Short.empty() ? nullptr : &*Flow.m_Short.begin();
  if (Lane == Lane::ShortOnly || Flow.m_Long.empty()) {
    return Short;
  }
  const auto *Long = &*Flow.m_Long.begin();
  return Short != nullptr && Short->first < Long->first ? Short : Long;
}

auto FairShareQueue::earliestFlow(const PriorityGroup &Group, Lane Lane) -> const Flow * {
  const Flow *Earliest = nullptr;
  for (const auto &[Name, Flow] : Group.m_Flows) {
    if (firstOf(Flow, Lane) != nullptr &&
        (Earliest == nullptr || Flow.m_VirtualStart < Earliest->m_VirtualStart)) {
      Earliest = &Flow;
    }
  }
  return Earliest;
}

auto FairShareQueue::totalTokens() const -> double {
  auto Total = 0.0;
  for (const auto &[Name, Group] : m_Groups) {
    Total += Group.m_Tokens;
  }
  return Total;
}

auto FairShareQueue::charge(PriorityGroup &Group, Flow &Flow, const QueueEntry &Entry) -> void {
  Group.m_VirtualTime = std::max(Group.m_VirtualTime, Flow.m_VirtualStart);
  Flow.m_VirtualStart += Entry.m_CostTokens / Flow.m_Weight;
  const auto Decay = std::exp(-Entry.m_CostTokens / ShareWindowTokens);
  for (auto &[Name, Each] : m_Groups) {
    Each.m_Tokens *= Decay;
  }
  Group.m_Tokens += Entry.m_CostTokens;
}

auto FairShareQueue::extract(const Place &Place) -> QueueEntry {
  auto &Group = m_Groups[Place.m_Class];
  auto &Flow = Group.m_Flows[Place.m_Workspace];
  auto &Lane = Place.m_Short ? Flow.m_Short : Flow.m_Long;
  auto Entry = std::move(Lane.extract(Place.m_Order).mapped());
  Flow.m_Backlog.remove(Entry);
  Group.m_Backlog.remove(Entry);
  return Entry;
}

} // namespace geraniumlift::admission
