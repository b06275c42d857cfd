#pragma once

#include "base/ieventlog.h"
#include "forwarding/targettable.h"

namespace geraniumlift::forwarding {

/// Synchronises the target table with the registrations in the store. A registration that expired
/// while the store was unreachable does not prove that the target is gone, so such targets are kept
/// for a grace period.
class TargetDirectory {
public:
  /// Grace period after an outage of the store. Targets renew registrations that expired during the
  /// outage within about two seconds of its end.
  static constexpr auto ReregistrationTimeout = std::chrono::milliseconds(2200);

  TargetDirectory(TargetTable &Targets, base::IEventLog &Log) : m_Targets(Targets), m_Log(Log) {}

  /// Applies a registration as of a store revision. Revisions older than the last one applied for
  /// the target are ignored.
  auto put(const TargetRecord &Record, std::int64_t Revision, base::SteadyTime Now = {}) -> void;

  /// Marks a target for removal because its registration was deleted or has become unreadable.
  /// Takes effect with applyRemovals().
  auto remove(const std::string &Id, std::int64_t Revision) -> void;

  /// Applies the removals since the last call. Targets are kept for the grace period if the store
  /// was unreachable long enough for registrations to expire and a large part of the pool
  /// disappeared at once. A single missing target has left, even if this router alone had lost the
  /// store.
  auto applyRemovals(base::SteadyTime Now) -> void;

  /// Records whether the store is reachable.
  auto setStoreReachable(bool IsReachable, base::SteadyTime Now) -> void;

  /// Marks all targets but these for removal, after a complete listing of the registrations.
  auto keepOnly(const std::set<std::string> &Ids, std::int64_t Revision) -> void;

  /// Removes targets that were not registered again within their grace period.
  auto removeExpired(base::SteadyTime Now) -> void;

private:
  /// Shortest outage of the store in which registrations can expire: slightly less than three
  /// heartbeats of a target.
  static constexpr auto MinLapseOutage = std::chrono::milliseconds(2500);

  /// An outage is assumed if more than one target and at least 1/MinLapsedDivisor of a pool
  /// disappear.
  static constexpr auto MinLapsedDivisor = 3;

  [[nodiscard]] auto mayReregister(base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto looksLikeOutage(const std::string &Pool) const -> bool;

  TargetTable &m_Targets;
  base::IEventLog &m_Log;

  /// Last applied store revision by target ID.
  std::map<std::string, std::int64_t> m_Revisions;

  /// End of the grace period of targets without registration.
  std::map<std::string, base::SteadyTime> m_Lapsed;

  /// IDs of targets that the next applyRemovals() decides on.
  std::set<std::string> m_PendingRemovals;
  bool m_IsStoreReachable = false;
  std::optional<base::SteadyTime> m_StoreLostAt;
  std::optional<base::SteadyTime> m_StoreRegainedAt;
};

} // namespace geraniumlift::forwarding
