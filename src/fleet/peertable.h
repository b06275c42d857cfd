#pragma once

#include "budget/itransferlink.h"
#include "fleet/addressselector.h"
#include "fleet/fleettypes.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
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
};

/// The other routers: their records, whether they are alive, and their load on the targets. What is
/// known of them comes from their heartbeats, or from a relay's digests if this router is a member.
class PeerTable {
public:
  explicit PeerTable(PeerOptions Options) : m_Options(std::move(Options)) {}

  /// Sets the time without a heartbeat after which a router is not alive. It is longer if
  /// heartbeats are relayed.
  auto setHeartbeatTimeout(std::chrono::milliseconds Limit) -> void {
    m_Options.m_HeartbeatTimeout = Limit;
  }

  /// Changes how this router learns of the others. What was known stays in force until newer
  /// messages replace it.
  auto setRole(FleetRole Role, base::SteadyTime Now) -> void;
  [[nodiscard]] auto role() const -> FleetRole { return m_Role; }

  /// Adds a router or replaces its record.
  auto put(const RouterRecord &Record, base::SteadyTime Now) -> void;

  /// Records whether this router is past its capacity.
  auto setSelfOverloaded(bool IsOverloaded) -> void { m_IsSelfOverloaded = IsOverloaded; }

  /// Returns the records of the other routers that may carry connections to targets for this one:
  /// those that are alive, are not leaving and reach targets, without those past their capacity if
  /// there are others.
  [[nodiscard]] auto carriers(base::SteadyTime Now) const -> std::vector<RouterRecord>;

  /// Removes a router whose record was deleted.
  auto remove(const std::string &Name) -> void;

  /// Applies a heartbeat that was received some time ago; older ones than the last of a router that
  /// is alive are ignored. Returns whether the router was unknown, not alive, or has restarted or
  /// changed its leaving state.
  auto recordHeartbeat(const Heartbeat &Message, base::SteadyTime Now,
                       std::chrono::milliseconds Age = std::chrono::milliseconds(0)) -> bool;

  /// Applies a relay's digest. Ignored unless this router is a member.
  auto applyDigest(const FleetDigest &Message, base::SteadyTime Now) -> void;

  /// Fills in what a digest for the router says of the fleet, this router's heartbeat included.
  auto describeFleetFor(const std::string &Router, const Heartbeat &Own, base::SteadyTime Now,
                        FleetDigest &Into) -> void;

  /// Returns the heartbeats of the alive routers of a data centre, without this one's.
  [[nodiscard]] auto heartbeatsOf(std::string_view DataCentre, base::SteadyTime Now) const
      -> std::vector<RelayedHeartbeat>;

  /// Returns the sum of the loads that other alive routers put on a target.
  auto peerLoad(std::string_view TargetId, base::SteadyTime Now) -> forwarding::TargetLoad;

  /// Returns the tokens of a budget that other routers offer to transfer, the largest offer first.
  /// Only routers that are alive and not leaving are included.
  [[nodiscard]] auto budgetOffers(std::string_view Budget, base::SteadyTime Now) const
      -> std::vector<budget::RouterOffer>;

  /// Returns the names of the other routers that are alive and not leaving.
  [[nodiscard]] auto alivePeers(base::SteadyTime Now) const -> std::set<std::string>;

  /// Whether this router hears, itself or through its relay, more than half of the routers with a
  /// record, itself included. Of several parts of a divided fleet at most one is in contact.
  [[nodiscard]] auto isInContact(base::SteadyTime Now) const -> bool;

  /// Returns the record of a router, or nullptr if it has none.
  [[nodiscard]] auto findRecord(const std::string &Router) const -> const RouterRecord *;

  /// Returns the names of all other routers with a record, alive or not.
  [[nodiscard]] auto otherRouters() const -> std::vector<std::string>;

  /// Number of routers with a record, this one included, and a number that changes with each change
  /// of a record.
  [[nodiscard]] auto recordCount() const -> std::size_t;
  [[nodiscard]] auto recordVersion() const -> std::uint64_t { return m_RecordVersion; }

  /// Returns the names of the routers by data centre in the order in which they are to relay: those
  /// with the most cores first, and among equals in a random order on which all routers agree.
  [[nodiscard]] auto relayCandidates() const -> std::map<std::string, std::vector<std::string>>;

  /// Returns the number of routers that may use budgets, this one included.
  [[nodiscard]] auto countBudgetRouters(base::SteadyTime Now) const -> std::int64_t;

  /// Returns the routers that callers may be told to use: all with a record that are not known to
  /// be leaving, this one included.
  [[nodiscard]] auto addressCandidates(bool IsSelfLeaving, base::SteadyTime Now) const
      -> std::vector<AddressCandidate>;

private:
  /// A router, with or without a record, and its last heartbeat.
  struct Peer {
    RouterRecord m_Record;
    bool m_HasRecord = false;
    std::uint32_t m_NameHash = 0;

    /// When the record was added or last changed, or when this router began to expect heartbeats.
    base::SteadyTime m_ExpectedSince;

    /// The last heartbeat; its router is empty if there was none.
    Heartbeat m_Heartbeat;
    base::SteadyTime m_HeartbeatAt;

    /// Whether the loads of the heartbeat are part of m_LoadSums.
    bool m_IsLoadCounted = false;
  };

  [[nodiscard]] static auto hasHeartbeat(const Peer &Item) -> bool {
    return !Item.m_Heartbeat.m_Router.empty();
  }

  /// Time of the last heartbeat or since when one is expected, whichever is later.
  [[nodiscard]] static auto lastSeen(const Peer &Item) -> base::SteadyTime;
  [[nodiscard]] auto isAlive(const Peer &Item, base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto isLeaving(const Peer &Item) const -> bool;

  /// Whether another router has lately said that it is past its capacity.
  [[nodiscard]] auto isOverloaded(const Peer &Item, base::SteadyTime Now) const -> bool;

  /// Whether another router has lately said that it reaches no target.
  [[nodiscard]] auto isCutOff(const Peer &Item, base::SteadyTime Now) const -> bool;

  /// Whether the router is not this one, has a record, is alive and is not leaving.
  [[nodiscard]] auto isAlivePeer(const std::string &Name, const Peer &Item,
                                 base::SteadyTime Now) const -> bool;
  auto peer(const std::string &Name) -> Peer &;

  /// Adds the loads of the router's heartbeat to the sums, or takes them out.
  auto countLoad(Peer &Item, bool IsCounted) -> void;

  /// Takes the loads of routers that have fallen silent out of the sums.
  auto dropSilentLoads(base::SteadyTime Now) -> void;

  PeerOptions m_Options;
  FleetRole m_Role = FleetRole::Direct;
  bool m_IsSelfOverloaded = false;
  std::map<std::string, Peer> m_Peers;
  std::uint64_t m_RecordVersion = 0;

  /// Sums over the heartbeats by hash of the target's ID.
  absl::flat_hash_map<std::uint32_t, forwarding::TargetLoad> m_LoadSums;

  /// No router whose load is counted falls silent before this time.
  base::SteadyTime m_NextLoadExpiry;

  /// What the last digest said; hashes of the routers' names and of the targets' IDs.
  absl::flat_hash_set<std::uint32_t> m_SilentHashes;
  absl::flat_hash_set<std::uint32_t> m_LeavingHashes;
  absl::flat_hash_set<std::uint32_t> m_OverloadedHashes;
  absl::flat_hash_set<std::uint32_t> m_CutOffHashes;
  absl::flat_hash_map<std::uint32_t, forwarding::TargetLoad> m_DigestLoads;
  base::SteadyTime m_DigestAt;
  std::string m_DigestRelay;
  std::uint64_t m_DigestIncarnation = 0;
  std::uint32_t m_DigestSequence = 0;
};

} // namespace geraniumlift::fleet
