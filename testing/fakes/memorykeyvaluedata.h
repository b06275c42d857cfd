#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <map>
#include <set>

namespace geraniumlift::fakes {

/// What the fake key-value service stores, shared by the clients of all routers.
struct MemoryKeyValueData {
  std::map<std::string, keyvalue::KeyValue> m_Keys;
  std::map<std::string, keyvalue::LeaseId> m_LeaseOfKey;
  std::set<keyvalue::LeaseId> m_Leases;
  std::int64_t m_Revision = 0;
  keyvalue::LeaseId m_LastLease = 0;
  std::int64_t m_Reads = 0;
  std::int64_t m_Writes = 0;
  std::int64_t m_Conflicts = 0;

  /// Applies a write if the revision is as expected; an empty value erases the key.
  auto apply(const keyvalue::CompareAndSwap &Request, bool Erase) -> keyvalue::WriteResult {
    ++m_Writes;
    const auto Found = m_Keys.find(Request.m_Key);
    const auto Current = Found == m_Keys.end() ? std::nullopt : std::optional(Found->second);
    const auto HasLease = !Request.m_Lease || m_Leases.contains(*Request.m_Lease);
    if ((Current ? Current->m_ModRevision : 0) != Request.m_ExpectedModRevision || !HasLease) {
      ++m_Conflicts;
      return {.m_Outcome = keyvalue::WriteOutcome::Conflict, .m_Current = Current};
    }
    ++m_Revision;
    if (Erase) {
      m_Keys.erase(Request.m_Key);
    } else {
      const auto Created = Current ? Current->m_CreateRevision : m_Revision;
      m_Keys[Request.m_Key] = {Request.m_Key, Request.m_Value, Created, m_Revision};
    }
    return {.m_Outcome = keyvalue::WriteOutcome::Applied, .m_ModRevision = m_Revision};
  }
};

} // namespace geraniumlift::fakes
