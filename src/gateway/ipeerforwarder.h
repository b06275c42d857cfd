#pragma once

#include "gateway/icallerexchange.h"

#include <chrono>
#include <functional>
#include <memory>

namespace geraniumlift::gateway {

/// Forwards a caller's request to another router and returns that router's response to the caller.
class IPeerForwarder {
public:
  virtual ~IPeerForwarder() = default;

  /// Sends the request to the peer once. The callback runs once, on any thread, when the response
  /// has been passed to the caller or the attempt has failed.
  virtual auto forward(std::shared_ptr<ICallerExchange> Exchange, const PeerAddress &Peer,
                       std::string TraceParent, std::chrono::milliseconds Remaining,
                       std::function<void(ForwardOutcome)> Done) -> void = 0;

  /// Whether a request carries a valid proof that another router forwarded it.
  [[nodiscard]] virtual auto isForwarded(const CallerRequest &Request) const -> bool = 0;
};

} // namespace geraniumlift::gateway
