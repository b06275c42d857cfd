#pragma once

#include <memory>

namespace geraniumlift::testing {

/// Passes TCP connections on to a loopback port until it is cut. It stands in for the network
/// between two processes.
class TcpRelay {
public:
  /// Listens on one port and connects to the other.
  TcpRelay(int ListenPort, int TargetPort);
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  auto operator=(const TcpRelay &) -> TcpRelay & = delete;

  /// After a cut, open connections pass nothing on and stay open, as in a network partition; new
  /// ones are accepted and stay silent too.
  auto cut() -> void;

  /// Lets new connections through again; those from before stay silent.
  auto heal() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::testing
