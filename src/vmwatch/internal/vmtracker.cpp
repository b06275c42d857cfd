#include "vmwatch/vmtracker.h"

#include <algorithm>

namespace geraniumlift::vmwatch {

VmTracker::VmTracker(VmTrackerOptions Options) : m_Options(std::move(Options)) {}

auto VmTracker::onVmList(const std::vector<keyvalue::VmEntry> &List, base::SteadyTime Now) -> void {
  const auto IsSelf = [&](const keyvalue::VmEntry &Entry) {
    return Entry.m_Name == m_Options.m_OwnVm;
  };
  if (std::none_of(List.begin(), List.end(), IsSelf)) {
    return;
  }
  m_FirstList = m_FirstList.value_or(Now);
  m_LastList = Now;
  for (auto &Item : m_Vms) {
    Item.second.m_Listed = false;
  }
  for (const auto &Entry : List) {
    auto &Record = m_Vms[Entry.m_Name];
    Record.m_Listed = true;
    Record.m_LastListed = Now;
    Record.m_Leaving = Entry.m_State == keyvalue::VmState::Leaving;
  }
}

auto VmTracker::onHeartbeat(const base::HolderId &Router, base::SteadyTime Now) -> void {
  auto &Record = m_Vms[Router.m_Vm];
  Record.m_LastHeard = Now;
  Record.m_HighestIncarnation = std::max(Record.m_HighestIncarnation, Router.m_Incarnation);
}

auto VmTracker::hasEnded(const base::HolderId &Router, base::SteadyTime Now) const -> bool {
  if (!m_FirstList) {
    return false;
  }
  const auto Found = m_Vms.find(Router.m_Vm);
  if (Found == m_Vms.end()) {
    // The VM was never listed or heard: it was absent from the first list up to the last one.
    return *m_LastList - *m_FirstList >= m_Options.m_RemovalDelay;
  }
  const auto &Record = Found->second;
  if (Record.m_HighestIncarnation > Router.m_Incarnation) {
    return true;
  }
  const auto AbsentSince = Record.m_LastListed.value_or(*m_FirstList);
  const auto Absent = !Record.m_Listed && *m_LastList - AbsentSince >= m_Options.m_RemovalDelay;
  const auto Silent = !Record.m_LastHeard || Now - *Record.m_LastHeard >= m_Options.m_RemovalDelay;
  return Absent && Silent;
}

auto VmTracker::isLeaving(const std::string &Vm) const -> bool {
  const auto Found = m_Vms.find(Vm);
  if (Found == m_Vms.end() || !Found->second.m_LastListed) {
    return false;
  }
  return Found->second.m_Leaving || !Found->second.m_Listed;
}

} // namespace geraniumlift::vmwatch
