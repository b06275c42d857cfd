#pragma once

#include "budget/itransferlink.h"
#include "fleet/fleettypes.h"

#include <map>
#include <set>

namespace geraniumlift::fleet {

/// Timeouts and limits of the peer table.
struct PeerOptions {
  /// Name of this router.
  std::string m_Self;

  /// A router without a heartbeat for this long is not listed to callers, and its load does not
  /// count. The timeout covers seven heartbeats, so that a few lost datagrams do not hide a router.
  std::chrono::milliseconds m_HeartbeatTimeout{1500};

  /// A router without a heartbeat for this long no longer counts as one that uses budgets.
  std::chrono::milliseconds m_BudgetRouterTimeout{30000};

  /// Maximum number of addresses in one list for callers.
  std::size_t m_MaxAddresses = 64;
};

/// The other routers: their records, whether they are alive, and their load on the targets.
class PeerTable {
public:
  explicit PeerTable(PeerOptions Options) : m_Options(std::move(Options)) {}

  /// Sets the time without a heartbeat after which a router is not alive. Larger fleets send
  /// heartbeats less often and need a longer one.
  auto setHeartbeatTimeout(std::chrono::milliseconds Limit) -> void {
    m_Options.m_HeartbeatTimeout = Limit;
  }

  /// Adds a router or replaces its record.
  auto put(const RouterRecord &Record, base::SteadyTime Now) -> void;

  /// Removes a router whose record was deleted.
  auto remove(const std::string &Name) -> void;

  /// Applies a heartbeat; older ones than the last of a router that is alive are ignored. Returns
  /// whether the router was unknown, not alive, or has restarted or changed its leaving state.
  auto recordHeartbeat(const Heartbeat &Message, base::SteadyTime Now) -> bool;

  /// Returns the sum of the loads that other alive routers report for a target.
  [[nodiscard]] auto peerLoad(std::string_view TargetId, base::SteadyTime Now) const
      -> forwarding::TargetLoad;

  /// Returns the tokens of a budget that other routers offer to transfer, the largest offer first.
  /// Only routers that are alive and not leaving are included.
  [[nodiscard]] auto budgetOffers(std::string_view Budget, base::SteadyTime Now) const
      -> std::vector<budget::RouterOffer>;

  /// Returns the names of the other routers that are alive and not leaving.
  [[nodiscard]] auto alivePeers(base::SteadyTime Now) const -> std::set<std::string>;

  /// Returns the record of a router, or nullptr if it has none.
  [[nodiscard]] auto findRecord(const std::string &Router) const -> const RouterRecord *;

  /// Returns the records of all other routers, alive or not; they receive this router's heartbeats.
  [[nodiscard]] auto otherRouters() const -> std::vector<RouterRecord>;

  /// Returns the number of routers that may use budgets, this one included.
  [[nodiscard]] auto countBudgetRouters(base::SteadyTime Now) const -> std::int64_t;

  /// Returns the addresses that callers may use: those of the routers that are alive and not
  /// leaving, and this router's own unless it is leaving. If more than half of the other routers
  /// are silent, this router is probably isolated itself, and their addresses are included.
  [[nodiscard]] auto callerAddresses(bool IsSelfLeaving, base::SteadyTime Now) const
      -> std::vector<std::string>;

private:
  /// A router, with or without a record, and its last heartbeat.
  struct Peer {
    RouterRecord m_Record;
    bool m_HasRecord = false;

    /// When the record was added or last changed.
    base::SteadyTime m_RecordChangedAt;
    base::SteadyTime m_HeartbeatAt;
    bool m_HasHeartbeat = false;
    bool m_IsLeaving = false;
    std::uint64_t m_Incarnation = 0;
    std::uint32_t m_Sequence = 0;

    /// Loads by hash of the target's ID.
    std::map<std::uint32_t, ReportedLoad> m_Loads;

    /// Tokens on offer by hash of the budget's name.
    std::map<std::uint32_t, std::uint32_t> m_Budgets;
  };

  /// Time of the last heartbeat or of the last change of the record, whichever is later.
  [[nodiscard]] static auto lastSeen(const Peer &Item) -> base::SteadyTime;
  [[nodiscard]] auto isAlive(const Peer &Item, base::SteadyTime Now) const -> bool;

  /// Whether the router is not this one, has a record, is alive and is not leaving.
  [[nodiscard]] auto isAlivePeer(const std::string &Name, const Peer &Item,
                                 base::SteadyTime Now) const -> bool;

  PeerOptions m_Options;
  std::map<std::string, Peer> m_Peers;
};

} // namespace geraniumlift::fleet
