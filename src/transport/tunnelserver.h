#pragma once

#include "base/itimers.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace geraniumlift::transport {

/// Address of a target's process.
struct TunnelTarget {
  std::string m_Ip;
  std::uint16_t m_Port = 0;
};

/// Limits and timeouts of a TunnelServer.
struct TunnelOptions {
  /// Tunnels at a time; more are refused. Each takes about 32 KB of memory.
  std::size_t m_MaxTunnels = 128;

  /// Timeout for connecting to the target. The router that asks waits somewhat longer.
  std::chrono::milliseconds m_ConnectTimeout{250};

  /// Time within which the request for a tunnel must arrive.
  std::chrono::milliseconds m_RequestTimeout{1000};

  /// A tunnel is closed this long after the time that its request was given, and this long after
  /// the target has ended if the other router stays.
  std::chrono::milliseconds m_Grace{2000};
};

struct TunnelServerState;

/// Carries connections of other routers to targets, for routers that reach no target themselves.
/// The other router asks with an HTTP request for a target that is registered; from then on its
/// bytes go to the target as they are, and the target's come back in chunks, so that the end of the
/// target's connection differs from that of this process.
class TunnelServer {
public:
  /// Returns the address of a process, or nothing if it is not registered.
  using Resolver =
      std::function<std::optional<TunnelTarget>(const std::string &Id, std::int64_t Incarnation)>;

  /// Called with the result of connecting to a target.
  using ConnectObserver = std::function<void(const std::string &Id, bool IsConnected)>;

  TunnelServer(boost::asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
               TunnelOptions Options, Resolver Resolve, ConnectObserver OnConnectEnded);
  ~TunnelServer();
  TunnelServer(const TunnelServer &) = delete;
  auto operator=(const TunnelServer &) -> TunnelServer & = delete;

  /// Returns Unavailable if the address cannot be used.
  auto listen(const std::string &Address, std::uint16_t Port) -> absl::Status;

  /// Tunnels that are open or being opened.
  [[nodiscard]] auto tunnels() const -> std::size_t;

  /// Tunnels that were opened since the start.
  [[nodiscard]] auto openedTunnels() const -> std::uint64_t;

private:
  std::shared_ptr<TunnelServerState> m_State;
};

/// Formats the request for a tunnel to a process that is to serve for the given time at most.
auto formatTunnelRequest(const std::string &TargetId, std::int64_t Incarnation,
                         std::chrono::milliseconds TimeLeft) -> std::string;

} // namespace geraniumlift::transport
