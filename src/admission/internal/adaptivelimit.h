#pragma once

#include "admission/internal/iconcurrencylimit.h"

namespace geraniumlift::admission {

/// Bounds the target's queue although the routers do not see each other: this router keeps
/// what it had on the target at the time of the last report, plus its part of the slots that were
/// free then. The slots counted on adapt: they grow while the time to first token stays near its
/// minimum, and shrink otherwise. Work that is not short counts on fewer slots, so
/// that it gives way to short work.
class AdaptiveLimit final : public IConcurrencyLimit {
public:
  explicit AdaptiveLimit(const DispatcherOptions & /*Options*/) {}

  [[nodiscard]] auto allows(const LimitQuery &Query) const -> bool override;
  auto onFirstToken(double Seconds) -> void override;

private:
  auto ownLimit(const LimitQuery &Query, double Slots) const -> double;

  /// Part of the target's slots that is used.
  double m_UsableShare = 1.0;

  /// Shortest time to first token, in seconds; it rises slowly, so that a target that became slower
  /// for good is judged by its new minimum.
  double m_MinFirstTokenSeconds = 0.0;
};

} // namespace geraniumlift::admission
