#pragma once

#include "budget/itransferlink.h"
#include "fleet/fleettypes.h"

#include <map>
#include <set>

namespace geraniumlift::fleet {

/// Limits of what is believed of other routers.
struct PeerOptions {
  /// This router.
  std::string m_Self;

  /// A router that was not heard for this long is not told to callers, and its load does not count.
  /// Seven heartbeats fit in, so that lost datagrams alone do not hide a router.
  std::chrono::milliseconds m_HeartbeatTimeout{1500};

  /// A router that was not heard for this long does not count as one that draws on budgets.
  std::chrono::milliseconds m_BudgetRouterTimeout{30000};

  /// Addresses in one answer to callers.
  std::size_t m_MaxAddresses = 64;
};

/// The other routers: their records, whether they are alive, and their load on the targets.
class PeerTable {
public:
  explicit PeerTable(PeerOptions Options) : m_Options(std::move(Options)) {}

  /// Sets how long a router may be silent; larger fleets send heartbeats less often.
  auto setHeartbeatTimeout(std::chrono::milliseconds Limit) -> void {
    m_Options.m_HeartbeatTimeout = Limit;
  }

  /// Adds a router or replaces its record.
  auto put(const RouterRecord &Record, base::SteadyTime Now) -> void;

  /// Removes a router whose record is gone.
  auto remove(const std::string &Name) -> void;

  /// Takes a heartbeat. Returns whether the router was silent, leaving or unknown before.
  auto recordHeartbeat(const Heartbeat &Message, base::SteadyTime Now) -> bool;

  /// Load that the other routers have reported lately for a target.
  [[nodiscard]] auto peerLoad(std::string_view TargetId, base::SteadyTime Now) const
      -> forwarding::TargetLoad;

  /// What the other routers have reported lately that they can pass on of a budget, the largest
  /// offer first.
  [[nodiscard]] auto budgetOffers(std::string_view Budget, base::SteadyTime Now) const
      -> std::vector<budget::RouterOffer>;

  /// The other routers that are alive and not leaving.
  [[nodiscard]] auto alivePeers(base::SteadyTime Now) const -> std::set<std::string>;

  /// The record of a router, if it is known.
  [[nodiscard]] auto findRecord(const std::string &Router) const -> const RouterRecord *;

  /// The other routers, to send heartbeats to.
  [[nodiscard]] auto otherRouters() const -> std::vector<RouterRecord>;

  /// Routers that may draw on budgets, this one included.
  [[nodiscard]] auto countBudgetRouters(base::SteadyTime Now) const -> std::int64_t;

  /// Addresses for callers: those of routers that are alive and not leaving,
  /// with this router's own unless it is leaving. A router that hears less than half of the others
  /// is more likely cut off itself than the last one alive, and tells all addresses.
  [[nodiscard]] auto callerAddresses(bool IsSelfLeaving, base::SteadyTime Now) const
      -> std::vector<std::string>;

private:
  struct Peer {
    RouterRecord m_Record;
    bool m_HasRecord = false;
    base::SteadyTime m_RecordChangedAt;
    base::SteadyTime m_HeartbeatAt;
    bool m_HasHeartbeat = false;
    bool m_IsLeaving = false;
    std::uint64_t m_Incarnation = 0;
    std::uint32_t m_Sequence = 0;
    std::map<std::uint32_t, ReportedLoad> m_Loads;
    std::map<std::uint32_t, std::uint32_t> m_Budgets;
  };

  /// When the router gave its last sign of life.
  [[nodiscard]] static auto lastSeen(const Peer &Item) -> base::SteadyTime;
  [[nodiscard]] auto isAlive(const Peer &Item, base::SteadyTime Now) const -> bool;

  /// Whether the router is another one that is alive and not leaving.
  [[nodiscard]] auto isAlivePeer(const std::string &Name, const Peer &Item,
                                 base::SteadyTime Now) const -> bool;

  PeerOptions m_Options;
  std::map<std::string, Peer> m_Peers;
};

} // namespace geraniumlift::fleet
