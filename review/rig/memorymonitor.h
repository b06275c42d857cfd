#pragma once

#include "rig.h"

#include <map>

namespace geraniumlift::review {

/// Ends router processes that exceed their memory, as the platform does, and starts them again.
class MemoryMonitor {
public:
  MemoryMonitor(Deployment &Fleet, Record &Log) : m_Fleet(Fleet), m_Log(Log) {}

  /// Checks all routers. To be called every few milliseconds.
  auto check() -> void;

  /// How many processes were ended.
  [[nodiscard]] auto kills() const -> int { return m_Kills; }

private:
  auto checkRouter(RouterVm &Router) -> void;

  Deployment &m_Fleet;
  Record &m_Log;
  std::map<std::string, std::int64_t> m_LastLogged;
  std::map<std::string, std::chrono::steady_clock::time_point> m_DownSince;
  int m_Kills = 0;
};

} // namespace geraniumlift::review
