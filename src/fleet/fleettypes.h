#pragma once

#include "forwarding/targettable.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
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

/// Message that each router sends to the others several times a second.
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
};

/// Key prefix of the routers' records in the store.
inline constexpr std::string_view RouterPrefix = "geraniumlift/router/";

auto encodeRouter(const RouterRecord &Record) -> std::string;

/// Returns InvalidArgument if the text is not an encoded record. Safe for untrusted input.
auto decodeRouter(std::string_view Text) -> absl::StatusOr<RouterRecord>;

auto encodeHeartbeat(const Heartbeat &Message) -> std::string;

/// Returns InvalidArgument if the bytes are not an encoded heartbeat. Safe for untrusted input.
auto decodeHeartbeat(std::string_view Bytes) -> absl::StatusOr<Heartbeat>;

/// Hash that stands for the ID of a target or the name of a budget in heartbeats.
auto hashName(std::string_view Name) -> std::uint32_t;

} // namespace geraniumlift::fleet
