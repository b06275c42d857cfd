#pragma once

#include "base/iclock.h"
#include "gateway/ipeerforwarder.h"

#include <string>

namespace geraniumlift::gateway {

/// Forwards over HTTP to the address on which the peer serves callers. A header with an HMAC under
/// the peer key proves to the peer that a router sent the request, so that it is not forwarded
/// again.
class HttpPeerForwarder final : public IPeerForwarder {
public:
  HttpPeerForwarder(std::string PeerKey, const base::IClock &Clock);

  auto forward(std::shared_ptr<ICallerExchange> Exchange, const PeerAddress &Peer,
               std::string TraceParent, std::chrono::milliseconds Remaining,
               std::function<void(ForwardOutcome)> Done) -> void override;

  [[nodiscard]] auto isForwarded(const CallerRequest &Request) const -> bool override;

private:
  std::string m_PeerKey;
  const base::IClock &m_Clock;
};

} // namespace geraniumlift::gateway
