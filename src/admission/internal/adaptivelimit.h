#pragma once

#include "admission/internal/iconcurrencylimit.h"

namespace geraniumlift::admission {

/// Bounds the queue of a target that several routers use without knowing each other's requests.
/// This router keeps as many requests on the target as it had at the time of the last report, plus
/// its share of the slots that were free then. The number of usable slots adapts: it grows while
/// the time to first token stays near its minimum, and shrinks otherwise. Requests that are not
/// short may use fewer slots, which leaves some to short ones.
class AdaptiveLimit final : public IConcurrencyLimit {
public:
  explicit AdaptiveLimit(const DispatcherOptions & /*Options*/) {}

  [[nodiscard]] auto allows(const LimitQuery &Query) const -> bool override;
  auto onFirstToken(double Seconds) -> void override;

private:
  auto ownLimit(const LimitQuery &Query, double Slots) const -> double;

  /// Share of the target's slots that is usable, 0 to 1.
  double m_UsableShare = 1.0;

  /// Minimum time to first token, in seconds; 0 before the first one. It rises slowly, so that a
  /// target that became permanently slower is compared with its new minimum.
  double m_MinFirstTokenSeconds = 0.0;
};

} // namespace geraniumlift::admission
