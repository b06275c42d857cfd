#pragma once

#include "base/nametable.h"
#include "forwarding/targettable.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace geraniumlift::fleet {

/// A router's record in the store.
struct RouterRecord {
  std::string m_Name;
  std::string m_DataCentre;

  /// Address for callers, as IP:PORT.
  std::string m_CallerAddress;

  /// IP address and UDP port for datagrams of other routers.
  std::string m_PeerAddress;
  std::uint16_t m_PeerPort = 0;

  /// Processor cores that the VM may use; 0 if unknown. VMs with more of them relay first.
  double m_Cores = 0.0;

  /// Data rate of the VM's link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0.0;

  auto operator==(const RouterRecord &) const -> bool = default;
};

/// A router's load on one target.
struct ReportedLoad {
  /// hashName() of the target's ID.
  std::uint32_t m_TargetHash = 0;

  /// See forwarding::TargetLoad.
  std::uint32_t m_PendingPromptTokens = 0;
  std::uint16_t m_ActiveRequests = 0;
};

/// Tokens of a budget that a router can transfer to another one.
struct ReportedBudget {
  /// hashName() of the name of the budget or of the budget part.
  std::uint32_t m_BudgetHash = 0;

  /// Number of tokens; larger numbers are reported as the largest 32-bit value.
  std::uint32_t m_Available = 0;
};

/// State of one router. In a small fleet each router sends it to all others several times a second,
/// in a large one to the relay of its data centre.
struct Heartbeat {
  std::string m_Router;

  /// Start of the process in milliseconds since 1970.
  std::uint64_t m_Incarnation = 0;

  /// Increases with each heartbeat of one incarnation.
  std::uint32_t m_Sequence = 0;
  bool m_IsLeaving = false;

  /// Loads of the targets that have any.
  std::vector<ReportedLoad> m_Loads;
  std::vector<ReportedBudget> m_Budgets;

  /// Whether the receiver is to answer with a digest.
  bool m_WantsDigest = false;

  /// Milliseconds since the store last answered this router. For a relay, since it last confirmed
  /// all records that the relay passes on.
  std::uint32_t m_StoreAgeMs = 0;

  /// Whether the router is past its capacity. See OverloadDetector.
  bool m_IsOverloaded = false;

  /// Whether the router reaches no target itself. See forwarding::TargetReach.
  bool m_IsCutOff = false;
};

/// A heartbeat that another router passes on.
struct RelayedHeartbeat {
  Heartbeat m_Heartbeat;

  /// Milliseconds since the passing router received it.
  std::uint32_t m_AgeMs = 0;
};

/// Heartbeats that a relay passes on to the relays of other data centres, or that a router which is
/// not a relay passes on to its relay for those that report to it.
struct HeartbeatBatch {
  std::string m_Relay;

  /// Whether the relay is stopping or has lost the store, so that its readers must choose another
  /// one.
  bool m_IsResigning = false;
  std::vector<RelayedHeartbeat> m_Heartbeats;
};

/// A relay's answer to a heartbeat: what the router needs to know of the fleet.
struct FleetDigest {
  std::string m_Relay;

  /// Start of the relay's process in milliseconds since 1970.
  std::uint64_t m_Incarnation = 0;

  /// Increases with each digest of one incarnation.
  std::uint32_t m_Sequence = 0;

  /// See HeartbeatBatch.
  bool m_IsResigning = false;

  /// See Heartbeat.
  std::uint32_t m_StoreAgeMs = 0;

  /// hashName() of the routers with a record that are silent, and of those that are leaving.
  std::vector<std::uint32_t> m_Silent;
  std::vector<std::uint32_t> m_Leaving;

  /// Load of all routers but the receiver, summed up by target.
  std::vector<ReportedLoad> m_Loads;

  /// hashName() of the routers that are past their capacity.
  std::vector<std::uint32_t> m_Overloaded;

  /// hashName() of the routers that reach no target themselves.
  std::vector<std::uint32_t> m_CutOff;
};

using FleetMessage = std::variant<Heartbeat, HeartbeatBatch, FleetDigest>;

/// How a router learns of the others.
enum class FleetRole {
  /// The fleet is small; all routers send heartbeats to all others.
  Direct,
  /// The router collects the heartbeats of its data centre and exchanges them with other relays.
  Relay,
  /// The router reports to a relay and gets digests from it.
  Member,
};

inline constexpr auto FleetRoleNames = std::array{
    base::NamedValue<FleetRole>{FleetRole::Direct, "direct"},
    base::NamedValue<FleetRole>{FleetRole::Relay, "relay"},
    base::NamedValue<FleetRole>{FleetRole::Member, "member"},
};

/// Key prefix of the routers' records in the store.
inline constexpr std::string_view RouterPrefix = "geraniumlift/router/";

auto encodeRouter(const RouterRecord &Record) -> std::string;

/// Returns InvalidArgument if the text is not an encoded record. Safe for untrusted input.
auto decodeRouter(std::string_view Text) -> absl::StatusOr<RouterRecord>;

/// Encodes a message between routers in cereal's portable binary format, behind a byte that tells
/// its kind.
auto encodeMessage(const FleetMessage &Message) -> std::string;

/// Returns InvalidArgument if the bytes are not an encoded message. Safe for untrusted input.
auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<FleetMessage>;

/// Whether the bytes begin like an encoded message.
auto isFleetMessage(std::string_view Bytes) -> bool;

/// Hash that stands for the ID of a target or the name of a budget in heartbeats.
auto hashName(std::string_view Name) -> std::uint32_t;

} // namespace geraniumlift::fleet
