#include "forwarding/targetdirectory.h"

namespace geraniumlift::forwarding {

auto TargetDirectory::put(const TargetRecord &Record, std::int64_t Revision) -> void {
  auto &Known = m_Revisions[Record.m_Id];
  if (Revision < Known) {
    return;
  }
  Known = Revision;
  m_Lapsed.erase(Record.m_Id);
  const auto *Before = m_Targets.find(Record.m_Id);
  const auto WasThere = Before != nullptr;
  // A target that reported its leaving does not come back in the same life.
  auto Next = Record;
  if (WasThere && Before->record().m_IsLeaving && Before->record().m_Born == Record.m_Born) {
    Next.m_IsLeaving = true;
  }
  if (m_Targets.put(Next)) {
    m_Log.record(base::LogLevel::Info, Next.m_IsLeaving ? "target_leaving" : "target_changed",
                 {{"target", Next.m_Id},
                  {"pool", Next.m_Pool},
                  {"address", Next.m_Address},
                  {"known", WasThere},
                  {"revision", Revision}});
  }
}

auto TargetDirectory::mayReturn(base::SteadyTime Now) const -> bool {
  return !m_IsReachable || (m_RegainedAt && Now - *m_RegainedAt < ReturnTime);
}

auto TargetDirectory::remove(const std::string &Id, std::int64_t Revision, base::SteadyTime Now)
    -> void {
  auto &Known = m_Revisions[Id];
  if (Revision < Known) {
    return;
  }
  Known = Revision;
  const auto *Target = m_Targets.find(Id);
  if (Target == nullptr) {
    return;
  }
  if (mayReturn(Now) && !Target->record().m_IsLeaving) {
    m_Lapsed.try_emplace(Id, m_RegainedAt.value_or(Now) + ReturnTime);
    return;
  }
  m_Targets.remove(Id);
  m_Lapsed.erase(Id);
  m_Log.record(base::LogLevel::Info, "target_gone", {{"target", Id}, {"revision", Revision}});
}

auto TargetDirectory::setStoreReachable(bool IsReachable, base::SteadyTime Now) -> void {
  if (IsReachable && !m_IsReachable) {
    m_RegainedAt = Now;
    for (auto &[Id, Until] : m_Lapsed) {
      Until = Now + ReturnTime;
    }
  }
  m_IsReachable = IsReachable;
}

auto TargetDirectory::keepOnly(const std::set<std::string> &Ids, std::int64_t Revision,
                               base::SteadyTime Now) -> void {
  auto Missing = std::vector<std::string>();
  for (const auto &[Id, State] : m_Targets.all()) {
    if (!Ids.contains(Id)) {
      Missing.push_back(Id);
    }
  }
  for (const auto &Id : Missing) {
    remove(Id, Revision, Now);
  }
}

auto TargetDirectory::sweep(base::SteadyTime Now) -> void {
  if (!m_IsReachable) {
    return;
  }
  for (auto Item = m_Lapsed.begin(); Item != m_Lapsed.end();) {
    if (Item->second > Now) {
      ++Item;
      continue;
    }
    m_Targets.remove(Item->first);
    m_Log.record(base::LogLevel::Info, "target_gone",
                 {{"target", Item->first}, {"reason", "not back after the outage"}});
    Item = m_Lapsed.erase(Item);
  }
}

} // namespace geraniumlift::forwarding
