#pragma once

#include "base/itimers.h"
#include "base/nametable.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/targettable.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace geraniumlift::transport {

/// A router that carries a connection to a target.
struct TunnelRouter {
  std::string m_Name;
  std::string m_Ip;
  std::uint16_t m_Port = 0;
};

/// What became of a request for a tunnel. Refused: the other router cannot carry the connection.
enum class TunnelResult { Opened, Refused, TimedOut };

inline constexpr auto TunnelResultNames = std::array{
    base::NamedValue<TunnelResult>{TunnelResult::Opened, "opened"},
    base::NamedValue<TunnelResult>{TunnelResult::Refused, "refused"},
    base::NamedValue<TunnelResult>{TunnelResult::TimedOut, "timed_out"},
};

/// Decides how a connector reaches targets, and learns how that went.
class ITargetPath {
public:
  virtual ~ITargetPath() = default;

  /// Returns the router that is to carry the next connection; nothing for a direct one.
  virtual auto chooseTunnel() -> std::optional<TunnelRouter> = 0;

  /// Records how connecting to a target directly ended, and after which time. Returns whether this
  /// router reaches hardly any target, so that a failure tells nothing of this one.
  virtual auto onDirectConnect(const std::string &TargetId, bool IsConnected,
                               std::chrono::milliseconds Time) -> bool = 0;

  /// Time after which connecting directly counts as failed, though it may still succeed.
  [[nodiscard]] virtual auto slowConnectTime() const -> std::chrono::milliseconds = 0;

  /// Whether this router reaches hardly any target.
  [[nodiscard]] virtual auto isCutOff() const -> bool = 0;

  /// Records whether another router carried a connection, or at least answered.
  virtual auto onTunnelEnded(const std::string &Router, TunnelResult Result) -> void = 0;
};

/// Sends each request on a new connection. A reused connection may have gone silent or may carry
/// the response to an earlier request. A new one is known to reach the target before the request is
/// written, so that a failure to connect proves that the request did not run. While this router
/// cannot reach targets itself, another one carries the connection.
class TargetConnector final : public forwarding::ITargetConnector {
public:
  TargetConnector(boost::asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                  std::chrono::milliseconds ConnectTimeout)
      : m_Loop(Loop), m_Timers(Timers), m_Clock(Clock), m_ConnectTimeout(ConnectTimeout) {}

  /// Sets what decides on the way to targets; without it all connections are direct.
  auto setPath(ITargetPath &Path) -> void { m_Path = &Path; }

  auto send(const forwarding::TargetRecord &Target, std::string Head,
            std::shared_ptr<const std::string> Body, bool IsHeadMethod,
            std::chrono::milliseconds TimeLeft, forwarding::ITargetEventHandler &Events)
      -> std::unique_ptr<forwarding::ITargetAttempt> override;

private:
  boost::asio::io_context &m_Loop;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  std::chrono::milliseconds m_ConnectTimeout;
  ITargetPath *m_Path = nullptr;
};

} // namespace geraniumlift::transport
