#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace geraniumlift::router {

/// An IPv4 address and port to listen on or to connect to. Port 0 means that the address is not
/// set.
struct SocketAddress {
  std::string m_Ip;
  std::uint16_t m_Port = 0;
};

/// Settings of one router. In the settings file the key of each duration ends with its unit.
struct RouterSettings {
  /// Name of this VM. It must stay the same across restarts.
  std::string m_Vm;
  std::string m_DataCentre;

  /// Region of each data centre; empty if there are no regions.
  std::map<std::string, std::string> m_Regions;

  /// Address that accepts callers' requests.
  SocketAddress m_Callers;

  /// Address of the readiness check; it also serves the metrics.
  SocketAddress m_Readiness;

  /// Address of the directory, which tells callers the addresses of the routers.
  SocketAddress m_Directory;

  /// Address that receives the datagrams of other routers.
  SocketAddress m_Peers;
  SocketAddress m_Store;

  /// Processor cores that the process may use; 0 if unknown.
  double m_Cores = 0.0;

  /// Data rate of the VM's link in Mbit/s; 0 if unknown. Without it this router never declares
  /// itself past its capacity.
  double m_LinkMbps = 0.0;

  /// Memory that the process may use, in megabytes.
  std::int64_t m_MemoryMb = 110;

  /// Maximum number of open file descriptors.
  std::int64_t m_MaxDescriptors = 1024;

  /// Time from the stop signal until the platform kills the process.
  std::chrono::milliseconds m_StopTime{8000};

  /// How long callers may cache a response of the directory.
  std::chrono::milliseconds m_DirectoryTimeToLive{2000};

  /// Times within which the draining of a target and an accepted configuration must take effect.
  std::chrono::milliseconds m_DrainTime{2000};
  std::chrono::milliseconds m_ConfigurationTime{2000};

  /// Time after which a router that has lost most of the others takes them for gone.
  std::chrono::milliseconds m_ContactTime{3000};

  /// Whether targets that have started or recovered get requests as they answer.
  bool m_IsPaced = false;

  /// How far all routers together may exceed, in one second, what a cold target tolerates: by a
  /// factor and by a number of requests.
  double m_ColdOverage = 1.5;
  double m_ColdSlack = 5.0;

  /// Retries that the whole fleet may make: a share of the requests in a window, plus a fixed
  /// number.
  double m_RetryShare = 0.2;
  double m_RetrySlack = 50.0;
};

/// Reads settings from TOML text. Returns InvalidArgument, which names the line of a syntax error
/// or the first key that is missing or has an invalid value.
auto readRouterSettings(const std::string &Text) -> absl::StatusOr<RouterSettings>;

} // namespace geraniumlift::router
