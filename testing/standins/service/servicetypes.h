#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace geraniumlift::standins {

/// A change of faults; fields that are not set stay as they are.
struct ServiceControl {
  std::optional<std::uint64_t> m_DelayMs;

  /// The next connections, as many as given, are closed before anything is read from them.
  std::optional<std::uint64_t> m_DieBeforeRead;

  /// The next requests, as many as given, are executed and get no answer.
  std::optional<std::uint64_t> m_DieAfterRun;

  /// Connections that are open now send nothing any more; new ones work.
  bool m_SilenceOpenConnections = false;
  std::optional<bool> m_Refuse;
  std::optional<bool> m_Leaving;
};

/// What to do with a request that has been read.
enum class ServiceAction { Answer, Refuse, RefuseLeaving, CloseWithoutAnswer };

/// Executions since the start of the process. Requests without a key are counted in all only.
struct ServiceCounts {
  std::map<std::string, std::uint64_t> m_ByKey;
  std::uint64_t m_Total = 0;
};

} // namespace geraniumlift::standins
