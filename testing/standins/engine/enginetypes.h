#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::standins {

/// Settings from the command line.
struct EngineOptions {
  /// Requests that generate side by side; others wait in order of arrival.
  std::uint64_t m_Slots = 8;
  std::chrono::milliseconds m_TimeToFirstToken{50};
  std::chrono::milliseconds m_TimeBetweenTokens{10};

  /// Age of the state that the load report shows.
  std::chrono::milliseconds m_LoadLag{0};

  /// Whether an order with a fencing number below the highest one seen is refused.
  bool m_ChecksFencing = true;
  std::vector<std::string> m_Models;
};

/// A change of faults and timings; fields that are not set stay as they are.
struct EngineControl {
  std::optional<std::int64_t> m_TimeToFirstTokenMs;
  std::optional<std::int64_t> m_TimeBetweenTokensMs;
  std::optional<double> m_SlowFactor;

  /// Connections that are open now send nothing any more; new ones work.
  bool m_SilenceOpenConnections = false;

  /// Each connection is closed after this many events; 0 ends the fault.
  std::optional<std::uint64_t> m_CutAfterEvents;

  /// Every event sent carries another request's ID.
  std::optional<bool> m_Crossed;

  /// Only the next events sent, as many as given, carry another request's ID.
  std::optional<std::uint64_t> m_CrossedEvents;
  std::optional<bool> m_Refuse;
  std::optional<bool> m_Leaving;
};

/// A completion to generate.
struct EngineRequest {
  std::string m_Id;
  std::uint64_t m_MaxTokens = 256;

  /// Tokens to generate; derived from a hash of the ID if not set.
  std::optional<std::uint64_t> m_WantedTokens;
  std::uint64_t m_PromptTokens = 1;
};

/// What becomes of a submitted request.
enum class Admission { Accepted, Refused, Leaving };

struct EngineLoadReport {
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  std::chrono::milliseconds m_Age{0};
  bool m_Leaving = false;
};

/// Executions since the start of the process.
struct EngineCounts {
  std::map<std::string, std::uint64_t> m_ById;
  std::uint64_t m_Total = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Resumed = 0;
};

/// The last order that was accepted.
struct OrderState {
  std::int64_t m_Fencing = 0;

  /// The "order" field as JSON text.
  std::string m_Order = "null";
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Refused = 0;
};

} // namespace geraniumlift::standins
