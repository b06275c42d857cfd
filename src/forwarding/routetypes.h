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

/// Kind of the requests of a route; decides which requests may be retried after they may have run.
/// Streams may be retried only if their route is resumable.
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

/// Maps the requests of one host and path prefix to target pools.
struct Route {
  std::string m_Name;
  std::string m_Host;

  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::vector<WeightedPool> m_Pools;

  /// Upper limit of the time from the arrival of a request to the end of its response.
  std::chrono::milliseconds m_Timeout{30000};

  /// Objective for the time to the first byte of the response.
  std::chrono::milliseconds m_Objective{1000};

  /// Priority within the pool; 0 is the most urgent.
  std::int64_t m_Priority = 0;

  /// Maximum number of targets to which one request is sent. Failures to connect do not count.
  std::int64_t m_MaxAttempts = 1;

  /// Regions whose targets may serve the route; all if empty.
  std::vector<std::string> m_AllowedRegions;

  /// Whether callers need no API key.
  bool m_IsPublic = false;

  /// Whether a broken stream may resume at another target after the last event that arrived.
  bool m_IsResumable = false;

  /// Whether the responses are streams that may go on at another target.
  [[nodiscard]] auto isResumableStream() const -> bool {
    return m_Kind == RequestKind::Streaming && m_IsResumable;
  }

  /// Whether a request may be retried although a target may have run it.
  [[nodiscard]] auto isRetryable() const -> bool {
    return m_Kind == RequestKind::Idempotent || isResumableStream();
  }
};

/// Parameters of the model engines of a pool.
struct EngineParameters {
  /// Requests that one engine runs at a time.
  std::int64_t m_Slots = 0;

  /// Prompt and output tokens that fit into one engine's memory.
  Tokens m_MemoryTokens = 0;

  /// Maximum number of tokens in one event of a stream.
  Tokens m_TokensPerEvent = 1;
};

/// A group of targets that serve the same requests.
struct TargetPool {
  std::string m_Name;

  /// Absent for pools of plain services.
  std::optional<EngineParameters> m_Engine;

  /// Requests a second that a cold target of the pool tolerates; 0 if the pool names none.
  double m_ColdPerSecond = 0.0;
};

/// Limits on the size of requests and timeouts of caller connections.
struct CallerLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = std::uint64_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{3000};
  std::chrono::milliseconds m_IdleTimeout{15000};
};

/// A customer whose API keys give access to the routes.
struct Workspace {
  std::string m_Name;

  /// Overrides the priority of the route; 0 is the most urgent.
  std::optional<std::int64_t> m_Priority;

  /// Total number of prepaid tokens; no limit if absent.
  std::optional<Tokens> m_Prepaid;

  /// Regions whose targets may serve the workspace; all if empty.
  std::vector<std::string> m_AllowedRegions = {};
};

} // namespace geraniumlift::forwarding
