#include "streamversions/versionrecords.h"

#include <algorithm>

namespace geraniumlift::streamversions {

auto VersionRecords::adopt(const VersionRecord &Record) -> bool {
  auto &State = m_Pools[Record.m_Pool];
  if (Record.m_Revision <= State.m_Record.m_Revision) {
    return false;
  }
  State.m_Record = Record;
  State.m_Unconfirmed.clear();
  return true;
}

auto VersionRecords::forget(const std::string &Pool) -> void {
  if (const auto Found = m_Pools.find(Pool); Found != m_Pools.end()) {
    Found->second.m_Record = {Pool, {}, 0};
  }
}

auto VersionRecords::setPresent(const std::map<std::string, std::set<std::string>> &VersionsByPool,
                                base::SteadyTime Now) -> void {
  for (auto &[Pool, State] : m_Pools) {
    State.m_Present.clear();
  }
  for (const auto &[Pool, Versions] : VersionsByPool) {
    auto &State = m_Pools[Pool];
    State.m_Present = Versions;
    for (const auto &Version : Versions) {
      const auto [Last, IsNew] = State.m_LastPresent.try_emplace(Version, Now);
      if (!IsNew && Now - Last->second > m_CloseAfter / 2) {
        State.m_Unconfirmed.insert(Version);
      }
      Last->second = Now;
    }
  }
  // A version that was recorded before this router started counts as present until now.
  for (auto &[Pool, State] : m_Pools) {
    for (const auto &Version : State.m_Record.m_Versions) {
      State.m_LastPresent.try_emplace(Version, Now);
    }
  }
}

auto VersionRecords::names(const std::string &Pool, const std::string &Version) const -> bool {
  const auto Found = m_Pools.find(Pool);
  return Found != m_Pools.end() && Found->second.m_Record.m_Versions.contains(Version) &&
         !Found->second.m_Unconfirmed.contains(Version);
}

auto VersionRecords::onlyVersion(const std::string &Pool) const -> std::optional<std::string> {
  const auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end() || Found->second.m_Record.m_Versions.size() != 1) {
    return std::nullopt;
  }
  return *Found->second.m_Record.m_Versions.begin();
}

auto VersionRecords::isMixed(const std::string &Pool) const -> bool {
  const auto Found = m_Pools.find(Pool);
  return Found != m_Pools.end() && Found->second.m_Record.m_Versions.size() > 1;
}

auto VersionRecords::lacksVersion(const PoolState &State) -> bool {
  return !State.m_Unconfirmed.empty() ||
         !std::includes(State.m_Record.m_Versions.begin(), State.m_Record.m_Versions.end(),
                        State.m_Present.begin(), State.m_Present.end());
}

auto VersionRecords::isOutdated(const PoolState &State, const std::string &Version,
                                base::SteadyTime Now) const -> bool {
  if (State.m_Present.empty() || State.m_Present.contains(Version)) {
    return false;
  }
  const auto Last = State.m_LastPresent.find(Version);
  return Last != State.m_LastPresent.end() && Now - Last->second >= m_CloseAfter;
}

auto VersionRecords::poolsToExtend() const -> std::vector<std::string> {
  auto Pools = std::vector<std::string>();
  for (const auto &[Pool, State] : m_Pools) {
    if (lacksVersion(State)) {
      Pools.push_back(Pool);
    }
  }
  return Pools;
}

auto VersionRecords::poolsToClose(base::SteadyTime Now) const -> std::vector<std::string> {
  auto Pools = std::vector<std::string>();
  for (const auto &[Pool, State] : m_Pools) {
    const auto &Versions = State.m_Record.m_Versions;
    if (std::any_of(Versions.begin(), Versions.end(), [&, &State = State](const auto &Version) {
          return isOutdated(State, Version, Now);
        })) {
      Pools.push_back(Pool);
    }
  }
  return Pools;
}

auto VersionRecords::nextRecord(const std::string &Pool, bool Closes, base::SteadyTime Now) const
    -> VersionRecord {
  const auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end()) {
    return {Pool, {}, 0};
  }
  const auto &State = Found->second;
  auto Record = State.m_Record;
  Record.m_Pool = Pool;
  if (Closes) {
    std::erase_if(Record.m_Versions,
                  [&](const auto &Version) { return isOutdated(State, Version, Now); });
  }
  Record.m_Versions.insert(State.m_Present.begin(), State.m_Present.end());
  return Record;
}

} // namespace geraniumlift::streamversions
