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

/// Time without a rise of the counter after which a peer is suspected.
inline constexpr auto SuspectAfter = std::chrono::seconds{5};

/// Time without a rise of the counter after which a peer is forgotten.
inline constexpr auto ForgetAfter = std::chrono::seconds{60};

/// Peers to which each round sends a heartbeat.
inline constexpr std::size_t Fanout = 3;

/// Every so many rounds one heartbeat goes to a seed, a suspected or a forgotten peer, so that two
/// parts of the fleet that have forgotten each other meet again.
inline constexpr std::uint64_t ProbeIntervalRounds = 8;

/// A heartbeat is taken in only if the sender's counter in it is at most this much behind the known
/// one, which is 10 s. It keeps the counter bits of digests unambiguous.
inline constexpr std::uint32_t MaxRoundsBehind = 20;

/// Forgotten peers that are remembered by incarnation and counter. 67 restarts or replacements
/// a day fill this in two weeks.
inline constexpr std::size_t MaxForgottenPeers = 1024;

/// Decides what this router believes of its peers, what it tells them and whom it tells. Pure
/// decision code: the time is an argument, the randomness comes from the seed. Not thread-safe.
class PeerTable {
public:
  PeerTable(PeerEntry Self, std::vector<std::string> Seeds, std::uint64_t RandomSeed);

  [[nodiscard]] auto self() const -> const PeerEntry & { return m_Self; }
  auto setGeneration(std::uint64_t Generation) -> void { m_Self.m_Generation = Generation; }
  auto setState(PeerState State) -> void { m_Self.m_State = State; }

  /// Keeps the first budgets that fit into an entry.
  auto setBudgets(const std::vector<AdvertisedBudget> &Budgets) -> void;

  /// Takes in a heartbeat. Returns the peers that announced a generation above the local one and
  /// above their last one. Older news than what is known changes nothing.
  auto merge(const Heartbeat &Received, base::SteadyTime Now) -> std::vector<PeerEntry>;

  /// Begins a round: raises the own counter and forgets silent peers. Returns the peer addresses to
  /// send to.
  auto beginRound(base::SteadyTime Now) -> std::vector<std::string>;

  /// Builds the next heartbeat within the given payload size: the own entry, digests with news, and
  /// the entries that were sent least recently. At most two thirds of the space go to digests.
  auto buildHeartbeat(std::size_t MaxBytes, base::SteadyTime Now) -> Heartbeat;

  [[nodiscard]] auto peers(base::SteadyTime Now) const -> std::vector<PeerView>;

  /// Addresses of routers that are up; see IMembership::entryList.
  [[nodiscard]] auto entryList(std::string_view DataCentre, std::uint64_t Rotation,
                               base::SteadyTime Now) const -> std::vector<EntryAddress>;

private:
  /// One peer. The entry is the newest full one; the counter may be newer, from a digest.
  struct Record {
    PeerEntry m_Entry;
    std::uint32_t m_Counter = 0;
    std::uint32_t m_RouterHash = 0;
    base::SteadyTime m_LastCounterIncrease;

    /// Numbers of the heartbeats that carried this peer last; 0 for never.
    std::uint64_t m_LastEntryHeartbeat = 0;
    std::uint64_t m_LastDigestHeartbeat = 0;
  };

  /// The last sign of life of a forgotten peer. Without it, a replayed heartbeat would bring the
  /// peer back.
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

  /// Whether the sender's own entry is recent. Otherwise the heartbeat may be a replayed one, whose
  /// counter bits mean nothing any more.
  [[nodiscard]] auto isRecent(const Heartbeat &Received) const -> bool;
  static auto raiseCounter(Record &Known, std::uint32_t Counter, base::SteadyTime Now) -> void;

  /// Renews the table of hashes after a change of peers. A hash of two peers names neither.
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

/// Hash that names one incarnation of a router in digests, 24 bits. Among 370 routers, a restarted
/// one shares its hash with another with a probability of 1 in 45,000; it is then suspected more
/// often, until one of the two starts again.
auto routerHash(std::string_view Vm, std::uint64_t Incarnation) -> std::uint32_t;

} // namespace geraniumlift::membership
