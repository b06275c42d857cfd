#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace geraniumlift::budget {

using base::Tokens;

/// One budget as the store holds it. What was granted and not returned never exceeds what is
/// prepaid when a grant is made; a router that died owns its grant for good.
struct GrantTotals {
  /// Granted to routers, less what they returned.
  Tokens m_Granted = 0;

  /// Used, as far as routers have told.
  Tokens m_Settled = 0;

  auto operator==(const GrantTotals &) const -> bool = default;
};

/// What one router holds, as the store has it. Every write of a router changes its own record under
/// a condition, so that its writes land one after the other and each can be recognised by its
/// number.
struct RouterGrants {
  /// Start of the router's process; a newer one takes the record over with nothing granted.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;

  /// Granted to this incarnation in all, less what it returned, for each budget.
  std::map<std::string, Tokens> m_Granted = {};

  /// Used of it, as the budgets' records have been told.
  std::map<std::string, Tokens> m_Settled = {};

  auto operator==(const RouterGrants &) const -> bool = default;
};

/// A value with the revision at which it was read; revision 0 if the key does not exist.
template <typename Value>
struct Versioned {
  Value m_Value;
  std::int64_t m_Revision = 0;
};

/// Why a router changes its grant of a budget, in tokens.
struct GrantChangeReason {
  Tokens m_Change = 0;
  Tokens m_Prepaid = 0;

  /// Held by this router and neither used nor reserved.
  Tokens m_Unused = 0;

  /// What it wants to hold.
  Tokens m_Wanted = 0;

  /// Asked for by requests that wait.
  Tokens m_Waiting = 0;
};

/// One write for several budgets at once: it lands as a whole, and only if all revisions are
/// current.
struct GrantWrite {
  Versioned<RouterGrants> m_RouterGrants;
  std::map<std::string, Versioned<GrantTotals>> m_Totals;

  /// What decided the change of each budget, for the log.
  std::map<std::string, GrantChangeReason> m_Reasons;
};

/// What a router asks of the store next.
enum class GrantCall { None, Read, Write };

/// Settings of the grants of one router.
struct GrantOptions {
  std::uint64_t m_Incarnation = 0;

  /// Names the process in messages to other routers; unlike that of any earlier one on this VM.
  std::uint64_t m_Session = 0;

  /// Demand that a grant covers. Cuts from the store last 7 to 9 s on the users' standard days.
  std::chrono::milliseconds m_Horizon{9000};

  /// The same for the keeper of a part. Demand may rise within a cut, and a kill of one router
  /// strands little of what a large fleet holds.
  std::chrono::milliseconds m_ShardOwnerHorizon{12000};

  /// Part of its even share of the free tokens that a router holds in reserve. At 1, about half of
  /// what nobody has used is held.
  double m_ReserveShare = 0.9;

  /// Time over which demand is averaged.
  std::chrono::milliseconds m_RateWindow{5000};

  /// Grants are refreshed at most this often unless a request waits; each write is priced.
  std::chrono::milliseconds m_WriteInterval{1000};

  /// Refreshing writes of the whole fleet in a second. A write takes about 10 ms there and back,
  /// and two that overlap conflict, so that this owns a quarter of them from conflicts.
  std::int64_t m_FleetWritesPerSecond = 24;

  /// A refill is due when less than this part of the wanted holding is left.
  double m_RefillBelow = 0.7;

  /// A return is due when more than this multiple of the wanted holding is held.
  double m_ReturnAbove = 1.6;

  /// Held of each budget before any demand is known.
  Tokens m_InitialReserve = 15000;

  /// Budgets in one write. The users' store takes 32 entries, conditions and writes together.
  std::size_t m_MaxBudgetsPerWrite = 14;

  /// Up to this size of the fleet a write may touch that many budgets; beyond it, fewer.
  std::size_t m_RoutersForFullWrites = 12;

  /// Seed of the jitter.
  std::uint64_t m_Seed = 1;
};

} // namespace geraniumlift::budget
