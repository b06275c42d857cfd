#pragma once

#include "fleet/peertable.h"
#include "fleet/relaytracker.h"

namespace geraniumlift::fleet {

/// Settings of a FleetExchange.
struct ExchangeOptions {
  std::string m_Self;
  std::string m_DataCentre;

  /// Largest fleet in which all routers send heartbeats to all others. Above it, the messages of a
  /// router do not grow with the fleet.
  std::size_t m_MaxDirectFleet = 17;

  /// Interval of heartbeats. With older load reports, routers herd onto the same targets.
  std::chrono::milliseconds m_DirectPeriod{200};
  std::chrono::milliseconds m_RelayedPeriod{300};

  /// Time without a heartbeat after which a router counts as silent. It covers several lost
  /// heartbeats; relayed ones pass through two more routers.
  std::chrono::milliseconds m_DirectTimeout{1500};
  std::chrono::milliseconds m_RelayedTimeout{2000};

  /// Encoded size in bytes up to which heartbeats are put into one batch, so that it fits into one
  /// packet.
  std::size_t m_MaxBatchBytes = 1200;

  /// How much longer ago than others of the data centre a router may have reached the store before
  /// it resigns as relay. It covers the interval at which a relay hears from the store.
  std::chrono::milliseconds m_MaxStoreLag{1000};

  RelayOptions m_Relay;
};

/// A message and the routers that are to get it.
struct OutgoingMessage {
  std::vector<std::string> m_Routers;
  FleetMessage m_Message;
};

/// Keeps the peer table up to date by messages between routers. In a small fleet every router
/// sends its heartbeat to all others. In a large one it sends it to the relay of its data centre,
/// which answers with a digest of the whole fleet; the relays of the data centres send each other
/// the heartbeats that they got. An ordinary router then sends and receives one message per period,
/// whatever the size of the fleet. Does no input or output itself.
class FleetExchange {
public:
  FleetExchange(ExchangeOptions Options, PeerTable &Peers);

  /// Starts a period: decides on this router's role and returns the messages to send.
  auto advance(Heartbeat Own, base::SteadyTime Now) -> std::vector<OutgoingMessage>;

  /// What a received message led to.
  struct ReceiveResult {
    /// Routers that were unknown or silent, or have restarted or changed their leaving state.
    std::vector<Heartbeat> m_ChangedRouters;
    std::optional<OutgoingMessage> m_Answer;
  };

  /// Applies a message of another router.
  auto receive(const FleetMessage &Message, base::SteadyTime Now) -> ReceiveResult;

  /// Routers to which this one reported in the current period; empty unless it is a member.
  [[nodiscard]] auto currentRelays() const -> const std::vector<std::string> & {
    return m_CurrentRelays;
  }

  /// The routers to which this one passes on what concerns the whole fleet: all others in a small
  /// fleet; in a large one a member's relay, and a relay's members and the relays of the other data
  /// centres. Messages that relays pass on reach every router.
  [[nodiscard]] auto neighbours() const -> std::vector<std::string>;

  /// Time until the next call of advance().
  [[nodiscard]] auto period() const -> std::chrono::milliseconds;

private:
  auto updateCandidates() -> void;
  auto setRole(FleetRole Role, base::SteadyTime Now) -> void;
  auto tracker(const std::string &DataCentre) -> RelayTracker &;

  /// Adds batches of the heartbeats to the outgoing messages.
  auto addBatches(std::vector<RelayedHeartbeat> Heartbeats, const std::vector<std::string> &To,
                  std::vector<OutgoingMessage> &Out) const -> void;
  auto onHeartbeat(const Heartbeat &Message, base::SteadyTime Now) -> ReceiveResult;

  /// Whether this router must not relay: it is stopping, or others of its data centre still reached
  /// the store when it no longer did. If the store is away for all, nobody resigns.
  [[nodiscard]] auto isResigning(const Heartbeat &Own, base::SteadyTime Now) const -> bool;
  auto recordStoreAge(std::uint32_t AgeMs, base::SteadyTime Now) -> void;
  auto onBatch(const HeartbeatBatch &Message, base::SteadyTime Now) -> ReceiveResult;
  auto onDigest(const FleetDigest &Message, base::SteadyTime Now) -> ReceiveResult;

  /// Heartbeats of the routers that have asked this one for a digest within the last timeout.
  [[nodiscard]] auto reporterHeartbeats(base::SteadyTime Now) -> std::vector<RelayedHeartbeat>;

  ExchangeOptions m_Options;
  PeerTable &m_Peers;

  /// Trackers of the relays by data centre; that of this router's own is always there.
  std::map<std::string, RelayTracker> m_Trackers;
  std::optional<std::uint64_t> m_CandidatesVersion;

  /// Last heartbeat of each router that has asked this one for a digest, with its time.
  std::map<std::string, std::pair<Heartbeat, base::SteadyTime>> m_Reporters;

  /// This router's heartbeat of the current period.
  Heartbeat m_Own;
  bool m_IsResigning = false;

  /// Latest time at which another router of the data centre is known to have reached the store.
  std::optional<base::SteadyTime> m_OthersReachedStoreAt;
  std::vector<std::string> m_CurrentRelays;

  /// Relays of other data centres to which this one sent its last batch.
  std::vector<std::string> m_OtherRelays;
  std::uint32_t m_DigestSequence = 0;
};

} // namespace geraniumlift::fleet
