#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumlift::budget {

using base::Tokens;

/// Totals of one budget over all routers, as stored. When a grant is made, the granted tokens do
/// not exceed the prepaid ones; the grant of a router that died is never returned.
struct GrantTotals {
  /// Tokens granted to routers, less those that they returned.
  Tokens m_Granted = 0;

  /// Tokens used, as far as routers have reported it.
  Tokens m_Settled = 0;

  auto operator==(const GrantTotals &) const -> bool = default;
};

/// Grants of one router, as stored. Each write of a router changes this record on condition of its
/// revision, so that the writes of a router are applied one after the other; the sequence number
/// identifies each of them.
struct RouterGrants {
  /// Identifies the router's process by its start; a newer process takes the record over with
  /// nothing granted.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;

  /// Tokens of each budget granted to this incarnation in total, less those that it returned.
  std::map<std::string, Tokens> m_Granted = {};

  /// Tokens of each budget that this incarnation has used and the budget's totals already include.
  std::map<std::string, Tokens> m_Settled = {};

  /// End of the last outage of the store that the routers of this VM have seen, in milliseconds
  /// since 1970 by the VM's clock; 0 if there was none. It only sizes the successor's reserve, so
  /// that a clock that jumps does no harm.
  std::int64_t m_LastOutageMs = 0;

  auto operator==(const RouterGrants &) const -> bool = default;
};

/// A value with the revision at which it was read; revision 0 if the key does not exist.
template <typename Value>
struct Versioned {
  Value m_Value;
  std::int64_t m_Revision = 0;
};

/// Values behind a change of a router's grant of one budget, in tokens; for the log only.
struct GrantChangeReason {
  /// Drawn from the store if positive, returned to it if negative.
  Tokens m_Change = 0;
  Tokens m_Prepaid = 0;

  /// Granted to this router or received from others, and neither used nor reserved.
  Tokens m_Unused = 0;

  /// What this router wants to hold beyond its reservations.
  Tokens m_Wanted = 0;

  /// Total worst case of the requests that wait for a grant.
  Tokens m_Waiting = 0;
};

/// A transaction on the router's record and the totals of several budgets. The store applies it as
/// a whole, and only if all revisions are current.
struct GrantWrite {
  Versioned<RouterGrants> m_RouterGrants;
  std::map<std::string, Versioned<GrantTotals>> m_TotalsByBudget;

  /// Reasons for the change of each budget, for the log.
  std::map<std::string, GrantChangeReason> m_Reasons;
};

/// The next call that a router has to make to the store.
enum class GrantCall { None, Read, Write };

/// Settings of the grants of one router.
struct GrantOptions {
  std::uint64_t m_Incarnation = 0;

  /// Identifies the process in messages to other routers; differs from that of every earlier
  /// process on this VM.
  std::uint64_t m_Session = 0;

  /// Time of demand that a grant covers. On the users' standard days the store is unreachable for 7
  /// to 9 s at a time.
  std::chrono::milliseconds m_Horizon{9000};

  /// The same for the owner of a shard. It is longer, as demand may rise while the store is
  /// unreachable, and a kill of one router strands little of what a large fleet holds.
  std::chrono::milliseconds m_ShardOwnerHorizon{12000};

  /// Fraction of its even share of the free tokens that a router holds in reserve: of an untouched
  /// budget, and of one of which no more than m_LowFreeFraction is free; in proportion between
  /// them. What routers hold is lost if they are killed, as nobody can tell how much of it a
  /// process had used. Early in a budget much is left beside it, and a longer outage of the store
  /// can be covered.
  double m_FreshReserveShare = 0.6;
  double m_LowReserveShare = 0.17;
  double m_LowFreeFraction = 0.45;

  /// The same after an outage of the store, which makes another one likelier. At 0.9, a little less
  /// than half of the unused tokens is held.
  double m_ReserveShareAfterOutage = 0.9;

  /// Fraction of a shard's free tokens and of those held ahead that its owner divides among the
  /// routers that ask for a reserve. A cut in which every router is alone is likelier than a kill
  /// of all routers, which strands what they hold. While tokens of killed processes are being
  /// written off, another kill is likelier, and less is held.
  double m_DividedShare = 0.35;
  double m_DividedShareAfterKill = 0.1;
  std::chrono::milliseconds m_KillMemory{10000};

  /// Fraction of the prepaid tokens that must be left for a division, and from which on it is
  /// whole.
  double m_NoDivisionBelow = 0.1;
  double m_FullDivisionAbove = 0.5;

  /// Part of its own reserve that the owner of a divided shard keeps.
  double m_OwnerShare = 0.5;

  /// How long an outage counts, and the shortest one that does.
  std::chrono::milliseconds m_OutageMemory{600000};
  std::chrono::milliseconds m_MinOutage{500};

  /// Time constant of the moving average of demand.
  std::chrono::milliseconds m_RateWindow{5000};

  /// Shortest time between writes that refresh grants while no request waits; the store charges for
  /// each write.
  std::chrono::milliseconds m_WriteInterval{1000};

  /// Limit on refreshing writes of the whole fleet per second. A write takes about 10 ms there and
  /// back, and two that overlap conflict, so that this keeps a quarter of them from conflicts.
  std::int64_t m_FleetWritesPerSecond = 24;

  /// Tokens are drawn when less than this fraction of the desired reserve is left.
  double m_RefillBelow = 0.7;

  /// Tokens are returned when more than this multiple of the desired reserve is held.
  double m_ReturnAbove = 1.6;

  /// Smallest desired reserve in tokens of each budget, also before any demand is known. The
  /// router's share of the free tokens limits it.
  Tokens m_InitialReserve = 15000;

  /// Most budgets in one write. The users' store takes 32 entries in a transaction, conditions and
  /// writes together.
  std::size_t m_MaxBudgetsPerWrite = 14;

  /// Largest number of routers sharing a budget with which a write may include m_MaxBudgetsPerWrite
  /// budgets; with more routers the limit falls in proportion.
  std::size_t m_RoutersForFullWrites = 12;

  /// Seed of the random delays.
  std::uint64_t m_Seed = 1;
};

} // namespace geraniumlift::budget
