#pragma once

#include "base/iclock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::standin {

/// A key's value as the store holds it.
struct StoredValue {
  std::string m_Value;
  std::int64_t m_CreateRevision = 0;
  std::int64_t m_ModRevision = 0;

  /// Number of writes since the key was created.
  std::int64_t m_Version = 0;

  /// Lease that the key belongs to, 0 for none.
  std::int64_t m_Lease = 0;
};

/// A value together with its key.
struct StoredEntry {
  std::string m_Key;
  StoredValue m_Value;
};

/// Keys with revisions and leases, in memory. Not thread-safe.
class RevisionStore {
public:
  /// The revision of the last finished write; an empty store is at 1, as in etcd.
  [[nodiscard]] auto revision() const -> std::int64_t { return m_Revision; }

  /// The value of a key, nothing if it does not exist.
  [[nodiscard]] auto find(const std::string &Key) const -> std::optional<StoredValue>;

  /// Entries with Key <= key < End, in key order. An empty End means the one key, "\0" all keys
  /// from Key on. A stale read gives the value that each key had before its last write.
  [[nodiscard]] auto range(const std::string &Key, const std::string &End, bool Stale) const
      -> std::vector<StoredEntry>;

  /// Begins a group of writes that share one revision. Without a write, the revision stays.
  auto beginWrites() -> void;

  /// Sets a key.
  auto put(const std::string &Key, std::string Value, std::int64_t Lease) -> void;

  /// Removes the entries that range() gives; returns their number.
  auto erase(const std::string &Key, const std::string &End) -> std::int64_t;

  [[nodiscard]] auto hasLease(std::int64_t Lease) const -> bool { return m_Leases.contains(Lease); }

  /// Opens a lease and returns its number.
  auto grantLease(std::chrono::seconds TimeToLive, base::SteadyTime Now) -> std::int64_t;

  /// Renews a lease; returns its time to live, or 0 s if it has ended.
  auto keepAlive(std::int64_t Lease, base::SteadyTime Now) -> std::chrono::seconds;

  /// Ends a lease and removes its keys; false if there is no such lease.
  auto revokeLease(std::int64_t Lease) -> bool;

  /// Revokes all leases whose time is over.
  auto expireLeases(base::SteadyTime Now) -> void;

private:
  /// Current and previous value; nothing where the key did not exist.
  struct Slot {
    std::optional<StoredValue> m_Current;
    std::optional<StoredValue> m_Previous;
  };

  struct Lease {
    std::chrono::seconds m_TimeToLive;
    base::SteadyTime m_Deadline;
  };

  /// The revision for the next write of the group.
  auto writeRevision() -> std::int64_t;

  std::map<std::string, Slot> m_Slots;
  std::map<std::int64_t, Lease> m_Leases;
  std::int64_t m_Revision = 1;
  std::int64_t m_LastLease = 0;
  bool m_GroupHasWrite = false;
};

} // namespace geraniumlift::standin
