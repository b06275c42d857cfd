#pragma once

#include "gateway/icallerexchange.h"

#include <chrono>
#include <functional>
#include <memory>

namespace geraniumlift::gateway {

/// Passes a caller's request on to another router and that router's answer back to the caller.
class IPeerForwarder {
public:
  virtual ~IPeerForwarder() = default;

  /// Forwards once. The callback runs once, on any thread, when the answer is through or has
  /// failed.
  virtual auto forward(std::shared_ptr<ICallerExchange> Exchange, const PeerAddress &Peer,
                       std::string TraceParent, std::chrono::milliseconds Remaining,
                       std::function<void(ForwardOutcome)> Done) -> void = 0;

  /// Whether a request carries a valid proof that another router forwarded it.
  [[nodiscard]] virtual auto isForwarded(const CallerRequest &Request) const -> bool = 0;
};

} // namespace geraniumlift::gateway
