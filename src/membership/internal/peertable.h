#pragma once

#include "heartbeat.h"

#include "base/iclock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace geraniumlift::membership {

/// Time without an increase of its counter after which a peer is suspected.
inline constexpr auto SuspectAfter = std::chrono::seconds{5};

/// Time without an increase of its counter after which a peer is removed from the table.
inline constexpr auto ForgetAfter = std::chrono::seconds{60};

/// Number of peers to which each round sends a heartbeat.
inline constexpr std::size_t Fanout = 3;

/// Interval, in rounds, at which one heartbeat goes to a seed, a suspected or a forgotten peer, so
/// that two parts of the fleet that have forgotten each other after a partition reconnect.
inline constexpr std::uint64_t ProbeIntervalRounds = 8;

/// A heartbeat is taken in only if the sender's counter in it is at most this much behind the known
/// one, which is 10 s. It keeps the counter bits of digests unambiguous.
inline constexpr std::uint32_t MaxRoundsBehind = 20;

/// Number of forgotten peers whose last incarnation and counter are kept. 67 restarts or
/// replacements a day reach this limit in two weeks.
inline constexpr std::size_t MaxForgottenPeers = 1024;

/// Keeps the state of all known peers, chooses the peers to send heartbeats to, and builds the
/// heartbeats. It uses no clock and no network: the time is an argument, the randomness comes from
/// the seed. Not thread-safe.
class PeerTable {
public:
  PeerTable(PeerEntry Self, std::vector<std::string> Seeds, std::uint64_t RandomSeed);

  [[nodiscard]] auto self() const -> const PeerEntry & { return m_Self; }
  auto setGeneration(std::uint64_t Generation) -> void { m_Self.m_Generation = Generation; }
  auto setState(PeerState State) -> void { m_Self.m_State = State; }

  /// Keeps the first budgets that fit into an entry.
  auto setBudgets(const std::vector<AdvertisedBudget> &Budgets) -> void;

  /// Merges a received heartbeat. Returns the peers that announced a generation above the local one
  /// and above their last one. Counters and entries older than the known ones change nothing.
  auto merge(const Heartbeat &Received, base::SteadyTime Now) -> std::vector<PeerEntry>;

  /// Begins a round: increments this router's counter and forgets peers that were silent for
  /// ForgetAfter. Returns the peer addresses to send heartbeats to.
  auto beginRound(base::SteadyTime Now) -> std::vector<std::string>;

  /// Builds the next heartbeat within the given payload size: this router's entry, then the digests
  /// and the entries of live peers that were sent least recently. At most two thirds of the space
  /// that the own entry leaves go to digests.
  auto buildHeartbeat(std::size_t MaxBytes, base::SteadyTime Now) -> Heartbeat;

  [[nodiscard]] auto peers(base::SteadyTime Now) const -> std::vector<PeerView>;

  /// Addresses of routers that are up; see IMembership::entryList.
  [[nodiscard]] auto entryList(std::string_view DataCentre, std::uint64_t Rotation,
                               base::SteadyTime Now) const -> std::vector<EntryAddress>;

private:
  /// One peer: its newest full entry, and its counter, which a digest may have increased since.
  struct Record {
    PeerEntry m_Entry;
    std::uint32_t m_Counter = 0;
    std::uint32_t m_RouterHash = 0;
    base::SteadyTime m_LastCounterIncrease;

    /// Numbers of the last heartbeats that carried this peer's entry and digest. 0 if none did, or
    /// if the entry has an important change that should be sent first.
    std::uint64_t m_LastEntryHeartbeat = 0;
    std::uint64_t m_LastDigestHeartbeat = 0;
  };

  /// The last known incarnation and counter of a forgotten peer. Without them, a replayed heartbeat
  /// would add the peer again.
  struct ForgottenPeer {
    std::uint64_t m_Incarnation = 0;
    std::uint32_t m_Counter = 0;
    std::string m_PeerAddress;
    base::SteadyTime m_LastCounterIncrease;
  };

  using Records = std::map<std::string, Record>;

  /// Returns the entry if it announces a generation above the last one of that peer.
  auto mergeEntry(const PeerEntry &Entry, base::SteadyTime Now) -> const PeerEntry *;
  auto mergeDigest(const PeerDigest &Digest, base::SteadyTime Now) -> void;

  /// Whether the sender's own entry is recent. If not, the heartbeat may be a replay, and the
  /// counter bits of its digests can no longer be related to the known counters.
  [[nodiscard]] auto isRecent(const Heartbeat &Received) const -> bool;
  static auto raiseCounter(Record &Known, std::uint32_t Counter, base::SteadyTime Now) -> void;

  /// Rebuilds the map from hashes to peers after a peer was added or removed. A hash that two peers
  /// share maps to neither.
  auto rebuildHashIndex() -> void;
  auto insert(const PeerEntry &Entry, base::SteadyTime Now) -> const PeerEntry *;
  auto forgetPeer(Records::iterator Position) -> void;
  auto addEntries(Heartbeat &Message, std::size_t Space, base::SteadyTime Now) -> void;
  auto addDigests(Heartbeat &Message, std::size_t Space, base::SteadyTime Now) -> void;
  [[nodiscard]] auto liveRecords(base::SteadyTime Now) -> std::vector<Record *>;
  [[nodiscard]] auto probeCandidates(base::SteadyTime Now) const -> std::vector<std::string>;
  auto pickRandom(const std::vector<std::string> &Addresses) -> std::string;

  PeerEntry m_Self;
  std::vector<std::string> m_Seeds;
  std::mt19937_64 m_Random;
  Records m_Records;
  std::unordered_map<std::uint32_t, Record *> m_RecordsByHash;
  std::map<std::string, ForgottenPeer> m_ForgottenPeers;
  std::uint64_t m_Round = 0;
  std::uint64_t m_HeartbeatNumber = 0;
};

/// Returns the 24-bit hash that identifies one incarnation of a router in digests. Among 370
/// routers, a restarted one shares its hash with another with a probability of 1 in 45,000; it is
/// then suspected more often, until one of the two starts again.
auto routerHash(std::string_view Vm, std::uint64_t Incarnation) -> std::uint32_t;

} // namespace geraniumlift::membership
