#pragma once

#include "admission/internal/iconcurrencylimit.h"

namespace geraniumlift::admission {

/// Keeps at most as many requests of this router on a target as the target has slots, regardless of
/// the other routers.
class FixedLimit final : public IConcurrencyLimit {
public:
  explicit FixedLimit(const DispatcherOptions & /*Options*/) {}

  [[nodiscard]] auto allows(const LimitQuery &Query) const -> bool override {
    return Query.m_Own < static_cast<double>(Query.m_Slots);
  }

  auto onFirstToken(double /*Seconds*/) -> void override {}
};

} // namespace geraniumlift::admission
