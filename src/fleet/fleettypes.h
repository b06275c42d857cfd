#pragma once

#include "forwarding/targettable.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumlift::fleet {

/// One router as its record in the store describes it.
struct RouterRecord {
  std::string m_Name;
  std::string m_DataCentre;

  /// Where callers connect, as IP:PORT.
  std::string m_CallerAddress;

  /// Where other routers send datagrams.
  std::string m_PeerAddress;
  std::uint16_t m_PeerPort = 0;

  auto operator==(const RouterRecord &) const -> bool = default;
};

/// A router's load on one target.
struct ReportedLoad {
  /// Hash of the target's ID.
  std::uint32_t m_TargetHash = 0;
  std::uint32_t m_PendingPromptTokens = 0;
  std::uint16_t m_ActiveRequests = 0;
};

/// Tokens of a budget that a router can pass on.
struct ReportedBudget {
  /// Hash of the budget's name, or of that of its part.
  std::uint32_t m_BudgetHash = 0;

  /// No more than fit into 32 bits are told.
  std::uint32_t m_Available = 0;
};

/// What a router tells the others several times a second.
struct Heartbeat {
  std::string m_Router;

  /// Start of the process in milliseconds since 1970.
  std::uint64_t m_Incarnation = 0;
  std::uint32_t m_Sequence = 0;
  bool m_IsLeaving = false;

  /// Targets without load are left out.
  std::vector<ReportedLoad> m_Loads;
  std::vector<ReportedBudget> m_Budgets;
};

/// Prefix of the routers' records in the store.
inline constexpr std::string_view RouterPrefix = "geraniumlift/router/";

auto encodeRouter(const RouterRecord &Record) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeRouter(std::string_view Text) -> absl::StatusOr<RouterRecord>;

auto encodeHeartbeat(const Heartbeat &Message) -> std::string;

/// InvalidArgument if the bytes are no heartbeat. Accepts any input.
auto decodeHeartbeat(std::string_view Bytes) -> absl::StatusOr<Heartbeat>;

/// The short form of the name of a target or budget in heartbeats.
auto hashName(std::string_view Name) -> std::uint32_t;

} // namespace geraniumlift::fleet
