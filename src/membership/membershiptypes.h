#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumlift::membership {

/// Whether a router takes new callers.
enum class PeerState : std::uint8_t { Up, Draining };

inline constexpr auto PeerStateNames = std::array{
    base::NamedValue<PeerState>{PeerState::Up, "up"},
    base::NamedValue<PeerState>{PeerState::Draining, "draining"},
};

/// Allowance that a router holds and may spend for requests forwarded to it.
struct AdvertisedBudget {
  std::string m_Name;
  base::Tokens m_Allowance = 0;

  auto operator==(const AdvertisedBudget &) const -> bool = default;
};

/// What a router announces about itself. The heartbeat counter increases by one in each heartbeat
/// round of an incarnation.
struct PeerEntry {
  std::string m_Vm;
  std::uint64_t m_Incarnation = 0;
  std::uint32_t m_Counter = 0;

  /// Value of the counter when the router wrote the fields below. Other routers pass the entry on
  /// with newer counters but the same version.
  std::uint32_t m_Version = 0;
  PeerState m_State = PeerState::Up;
  std::string m_DataCentre;

  /// Base URL for callers, such as http://10.0.0.1:8080.
  std::string m_CallerUrl;

  /// Address for peers, UDP and TCP, such as 10.0.0.1:7000.
  std::string m_PeerAddress;

  /// Generation of the configuration that is in force on that router.
  std::uint64_t m_Generation = 0;
  std::vector<AdvertisedBudget> m_Budgets;

  auto operator==(const PeerEntry &) const -> bool = default;
};

/// A peer as this router sees it. A peer is suspected when its counter has not increased for
/// SuspectAfter (5 s).
struct PeerView {
  PeerEntry m_Entry;
  bool m_Suspected = false;
};

/// Base URL of a router to which callers may send requests.
struct EntryAddress {
  std::string m_Url;
  std::string m_DataCentre;
};

/// Traffic between peers since the start, as payload bytes of UDP and TCP.
struct TrafficCounts {
  std::int64_t m_DatagramsSent = 0;
  std::int64_t m_DatagramsReceived = 0;
  std::int64_t m_BytesSent = 0;
  std::int64_t m_BytesReceived = 0;

  /// Datagrams and frames that failed authentication.
  std::int64_t m_Unauthenticated = 0;

  /// Authenticated datagrams and frames that could not be decoded.
  std::int64_t m_Malformed = 0;
};

// Limits on what an entry may hold, in bytes, so that a router's own entry always fits into a
// heartbeat beside entries of others.
inline constexpr std::size_t MaxNameBytes = 64;
inline constexpr std::size_t MaxUrlBytes = 128;
inline constexpr std::size_t MaxAdvertisedBudgets = 16;
inline constexpr std::size_t MaxAdvertisedBytes = 400;

} // namespace geraniumlift::membership
