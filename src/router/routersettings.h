#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace geraniumlift::router {

/// An address to listen on or to call. A port of 0 means that it is not given.
struct SocketAddress {
  std::string m_Ip;
  std::uint16_t m_Port = 0;
};

/// Settings of one router. Every time has its unit in the file's key.
struct RouterSettings {
  /// Name of this VM; stays the same over restarts.
  std::string m_Vm;
  std::string m_DataCentre;

  /// Where callers connect.
  SocketAddress m_Callers;

  /// Where the platform asks whether the router is ready; also serves the metrics.
  SocketAddress m_Readiness;

  /// Where callers ask which router to use.
  SocketAddress m_Directory;

  /// Where other routers send datagrams.
  SocketAddress m_Peers;
  SocketAddress m_Store;

  /// Memory that the process may use, in megabytes.
  std::int64_t m_MemoryMb = 110;
  std::int64_t m_MaxDescriptors = 1024;

  /// From the signal to stop until the process is killed.
  std::chrono::milliseconds m_StopTime{8000};

  /// Longest time for which callers keep the answer of the directory.
  std::chrono::milliseconds m_DirectoryTimeToLive{2000};

  /// Within this time of its acceptance a configuration, or a target's leaving, is in force.
  std::chrono::milliseconds m_ChangeTime{2000};

  /// Repeated sends that the fleet may make: share of the requests of a window, and beyond it.
  double m_RetryShare = 0.2;
  double m_RetrySlack = 50.0;
};

/// Reads settings from TOML text. InvalidArgument names the first missing or wrong key.
auto readRouterSettings(const std::string &Text) -> absl::StatusOr<RouterSettings>;

} // namespace geraniumlift::router
