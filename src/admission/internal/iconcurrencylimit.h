#pragma once

#include "admission/dispatcheroptions.h"
#include "routing/targetview.h"

#include <memory>

namespace geraniumlift::admission {

/// What a limit decides on.
struct LimitQuery {
  std::int64_t m_Slots = 0;

  /// Requests of this router on the target.
  double m_Own = 0.0;

  /// Estimated requests of the other routers on the target.
  double m_Others = 0.0;

  /// Whether the request is expected to be short.
  bool m_Short = false;
};

/// Decides whether a target may take one more request of this router. One instance serves one
/// target.
class IConcurrencyLimit {
public:
  virtual ~IConcurrencyLimit() = default;

  [[nodiscard]] virtual auto allows(const LimitQuery &Query) const -> bool = 0;
};

/// Creates the limit of the given kind.
auto makeConcurrencyLimit(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit>;

} // namespace geraniumlift::admission
