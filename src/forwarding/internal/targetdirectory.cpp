#include "forwarding/targetdirectory.h"

namespace geraniumlift::forwarding {

auto TargetDirectory::put(const TargetRecord &Record, std::int64_t Revision, base::SteadyTime Now)
    -> void {
  auto &LastRevision = m_Revisions[Record.m_Id];
  if (Revision < LastRevision) {
    return;
  }
  LastRevision = Revision;
  m_Lapsed.erase(Record.m_Id);
  m_PendingRemovals.erase(Record.m_Id);
  const auto *Before = m_Targets.find(Record.m_Id);
  const auto WasKnown = Before != nullptr;
  // Once a target has reported that it is leaving, only a new process can serve under its ID again.
  auto Next = Record;
  if (WasKnown && Before->record().m_IsLeaving &&
      Before->record().m_Incarnation == Record.m_Incarnation) {
    Next.m_IsLeaving = true;
  }
  if (m_Targets.put(Next, Now)) {
    m_Log.record(base::LogLevel::Info, Next.m_IsLeaving ? "target_leaving" : "target_changed",
                 {{"target", Next.m_Id},
                  {"pool", Next.m_Pool},
                  {"address", Next.m_Address},
                  {"known", WasKnown},
                  {"revision", Revision}});
  }
}

auto TargetDirectory::mayReregister(base::SteadyTime Now) const -> bool {
  return m_StoreLostAt && m_StoreRegainedAt &&
         *m_StoreRegainedAt - *m_StoreLostAt >= MinLapseOutage &&
         Now - *m_StoreRegainedAt < ReregistrationTimeout;
}

auto TargetDirectory::looksLikeOutage(const std::string &Pool) const -> bool {
  auto Lapsed = std::size_t{0};
  auto All = std::size_t{0};
  for (const auto &[Id, State] : m_Targets.all()) {
    if (State.record().m_Pool != Pool || State.record().m_IsLeaving) {
      continue;
    }
    ++All;
    Lapsed += m_PendingRemovals.contains(Id) || m_Lapsed.contains(Id) ? 1U : 0U;
  }
  return Lapsed > 1 && Lapsed * MinLapsedDivisor >= All;
}

auto TargetDirectory::remove(const std::string &Id, std::int64_t Revision) -> void {
  auto &LastRevision = m_Revisions[Id];
  if (Revision < LastRevision) {
    return;
  }
  LastRevision = Revision;
  if (m_Targets.find(Id) != nullptr) {
    m_PendingRemovals.insert(Id);
  }
}

auto TargetDirectory::applyRemovals(base::SteadyTime Now) -> void {
  auto Expired = std::vector<std::string>();
  auto Lapsed = std::vector<std::string>();
  for (const auto &Id : m_PendingRemovals) {
    const auto *Target = m_Targets.find(Id);
    if (Target == nullptr) {
      continue;
    }
    const auto MayReturn = mayReregister(Now) && !Target->record().m_IsLeaving &&
                           looksLikeOutage(Target->record().m_Pool);
    (MayReturn ? Lapsed : Expired).push_back(Id);
  }
  m_PendingRemovals.clear();
  for (const auto &Id : Lapsed) {
    m_Lapsed.try_emplace(Id, *m_StoreRegainedAt + ReregistrationTimeout);
  }
  for (const auto &Id : Expired) {
    m_Targets.remove(Id);
    m_Lapsed.erase(Id);
    m_Log.record(base::LogLevel::Info, "target_gone",
                 {{"target", Id}, {"revision", m_Revisions[Id]}});
  }
}

auto TargetDirectory::setStoreReachable(bool IsReachable, base::SteadyTime Now) -> void {
  if (IsReachable && !m_IsStoreReachable) {
    m_StoreRegainedAt = Now;
  }
  if (!IsReachable && m_IsStoreReachable) {
    m_StoreLostAt = Now;
  }
  m_IsStoreReachable = IsReachable;
}

auto TargetDirectory::keepOnly(const std::set<std::string> &Ids, std::int64_t Revision) -> void {
  for (const auto &[Id, State] : m_Targets.all()) {
    if (!Ids.contains(Id)) {
      remove(Id, Revision);
    }
  }
}

auto TargetDirectory::removeExpired(base::SteadyTime Now) -> void {
  for (auto Item = m_Lapsed.begin(); Item != m_Lapsed.end();) {
    if (Item->second > Now) {
      ++Item;
      continue;
    }
    m_Targets.remove(Item->first);
    m_Log.record(
        base::LogLevel::Info, "target_gone",
        {{"target", Item->first}, {"reason", "not registered again after the store outage"}});
    Item = m_Lapsed.erase(Item);
  }
}

} // namespace geraniumlift::forwarding
