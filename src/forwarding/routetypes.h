#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumlift::forwarding {

using base::Tokens;

/// What may be repeated. A stream may be repeated only if its route says that it can be resumed.
enum class RequestKind { Idempotent, NonIdempotent, Streaming };

inline constexpr auto RequestKindNames = std::array{
    base::NamedValue<RequestKind>{RequestKind::Idempotent, "idempotent"},
    base::NamedValue<RequestKind>{RequestKind::NonIdempotent, "non_idempotent"},
    base::NamedValue<RequestKind>{RequestKind::Streaming, "streaming"},
};

/// A target pool and its share of a route's requests, relative to the other pools of the route.
struct WeightedPool {
  std::string m_Pool;
  double m_Weight = 1.0;
};

/// Sends the requests of one host and path prefix to target pools.
struct Route {
  std::string m_Name;
  std::string m_Host;

  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::vector<WeightedPool> m_Pools;

  /// A caller is not kept waiting longer than this.
  std::chrono::milliseconds m_Timeout{30000};

  /// Time in which the first bytes of an answer should reach the caller.
  std::chrono::milliseconds m_Objective{1000};

  /// Rank among the work of a pool; 0 is the most urgent.
  std::int64_t m_Priority = 0;

  /// Targets to which one request may be sent.
  std::int64_t m_MaxAttempts = 1;

  /// Whether callers need no API key.
  bool m_IsPublic = false;

  /// Whether a broken stream may go on at another target after the last event that arrived.
  bool m_IsResumable = false;

  /// Whether a request may be sent again although it may have run.
  [[nodiscard]] auto isRetryable() const -> bool {
    return m_Kind == RequestKind::Idempotent || (m_Kind == RequestKind::Streaming && m_IsResumable);
  }
};

/// What is known of the model engines of a pool.
struct EngineParameters {
  std::int64_t m_Slots = 0;

  /// Prompt and output tokens that fit into one engine's memory.
  Tokens m_MemoryTokens = 0;

  /// Tokens that one event of a stream may hold.
  Tokens m_TokensPerEvent = 1;
};

/// Targets that serve the same requests.
struct TargetPool {
  std::string m_Name;
  std::optional<EngineParameters> m_Engine;
};

/// Bounds on what a caller may send and how long a connection may stay idle.
struct CallerLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = std::uint64_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{3000};
  std::chrono::milliseconds m_IdleTimeout{15000};
};

/// A customer whose API keys open the routes.
struct Workspace {
  std::string m_Name;

  /// Goes before the priority of the route.
  std::optional<std::int64_t> m_Priority;

  /// Tokens that the workspace may use in all; no limit if absent.
  std::optional<Tokens> m_Prepaid;
};

} // namespace geraniumlift::forwarding
