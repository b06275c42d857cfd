#pragma once

#include "forwarding/routetypes.h"

#include <string_view>

namespace geraniumlift::forwarding {

/// Result and latencies of a finished request.
struct RequestOutcome {
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::string_view m_Pool;

  /// "answered", "failed_by_target", "caller_left", "broken_off", "timed_out_midway"
  /// or the code of a refusal.
  std::string_view m_Result;

  /// Time from the arrival of the request to the first byte of the response; valid only if
  /// m_HasFirstByte is set.
  std::chrono::milliseconds m_FirstByte{0};

  /// Time from the arrival of the request to its end.
  std::chrono::milliseconds m_Total{0};
  bool m_HasFirstByte = false;
};

/// Records counts and latencies of requests.
class IForwardingMetrics {
public:
  virtual ~IForwardingMetrics() = default;
  virtual auto onRequestEnded(const RequestOutcome &Outcome) -> void = 0;
  virtual auto onRetry(std::string_view Pool) -> void = 0;
};

} // namespace geraniumlift::forwarding
