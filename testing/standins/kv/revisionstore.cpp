#include "revisionstore.h"

#include <utility>

namespace geraniumlift::standin {

auto RevisionStore::find(const std::string &Key) const -> std::optional<StoredValue> {
  const auto Found = m_Slots.find(Key);
  return Found == m_Slots.end() ? std::nullopt : Found->second.m_Current;
}

auto RevisionStore::range(const std::string &Key, const std::string &End, bool Stale) const
    -> std::vector<StoredEntry> {
  auto Entries = std::vector<StoredEntry>();
  const auto ToTheEnd = End == std::string(1, '\0');
  const auto First = m_Slots.lower_bound(Key);
  for (auto Slot = First; Slot != m_Slots.end(); ++Slot) {
    const auto Inside = End.empty() ? Slot->first == Key : ToTheEnd || Slot->first < End;
    if (!Inside) {
      break;
    }
    const auto &Value = Stale ? Slot->second.m_Previous : Slot->second.m_Current;
    if (Value) {
      Entries.push_back({Slot->first, *Value});
    }
  }
  return Entries;
}

auto RevisionStore::beginWrites() -> void { m_GroupHasWrite = false; }

auto RevisionStore::writeRevision() -> std::int64_t {
  if (!m_GroupHasWrite) {
    m_GroupHasWrite = true;
    ++m_Revision;
  }
  return m_Revision;
}

auto RevisionStore::put(const std::string &Key, std::string Value, std::int64_t Lease) -> void {
  const auto Revision = writeRevision();
  auto &Slot = m_Slots[Key];
  Slot.m_Previous = Slot.m_Current;
  auto &Current = Slot.m_Current ? *Slot.m_Current : Slot.m_Current.emplace();
  if (Current.m_CreateRevision == 0) {
    Current.m_CreateRevision = Revision;
  }
  Current.m_Value = std::move(Value);
  Current.m_ModRevision = Revision;
  Current.m_Lease = Lease;
  ++Current.m_Version;
}

auto RevisionStore::erase(const std::string &Key, const std::string &End) -> std::int64_t {
  const auto Entries = range(Key, End, false);
  for (const auto &Entry : Entries) {
    writeRevision();
    auto &Slot = m_Slots[Entry.m_Key];
    Slot.m_Previous = std::exchange(Slot.m_Current, std::nullopt);
  }
  return static_cast<std::int64_t>(Entries.size());
}

auto RevisionStore::grantLease(std::chrono::seconds TimeToLive, base::SteadyTime Now)
    -> std::int64_t {
  m_Leases[++m_LastLease] = {TimeToLive, Now + TimeToLive};
  return m_LastLease;
}

auto RevisionStore::keepAlive(std::int64_t Lease, base::SteadyTime Now) -> std::chrono::seconds {
  const auto Found = m_Leases.find(Lease);
  if (Found == m_Leases.end()) {
    return std::chrono::seconds{0};
  }
  Found->second.m_Deadline = Now + Found->second.m_TimeToLive;
  return Found->second.m_TimeToLive;
}

auto RevisionStore::revokeLease(std::int64_t Lease) -> bool {
  if (m_Leases.erase(Lease) == 0) {
    return false;
  }
  beginWrites();
  for (auto &[Key, Slot] : m_Slots) {
    if (Slot.m_Current && Slot.m_Current->m_Lease == Lease) {
      writeRevision();
      Slot.m_Previous = std::exchange(Slot.m_Current, std::nullopt);
    }
  }
  return true;
}

auto RevisionStore::expireLeases(base::SteadyTime Now) -> void {
  auto Expired = std::vector<std::int64_t>();
  for (const auto &[Id, Lease] : m_Leases) {
    if (Lease.m_Deadline <= Now) {
      Expired.push_back(Id);
    }
  }
  for (const auto Id : Expired) {
    revokeLease(Id);
  }
}

} // namespace geraniumlift::standin
