#pragma once

#include "admission/dispatcheroptions.h"
#include "routing/targetview.h"

#include <memory>
#include <optional>

namespace geraniumlift::admission {

/// What the last report of a target says about the time when it was measured.
struct ReportedLoad {
  /// Requests of all routers on the target.
  double m_Total = 0.0;

  /// Requests of this router on the target.
  double m_OwnAtReport = 0.0;

  /// Random number between 0 and 1, new with each report, for rounding that is right on average.
  double m_Dither = 0.0;
};

/// What a limit decides on.
struct LimitQuery {
  std::int64_t m_Slots = 0;

  /// Requests of this router on the target.
  double m_Own = 0.0;

  /// Whether the request is expected to be short.
  bool m_Short = false;

  /// Routers that share the target, seen from this one's part of the load.
  double m_ActiveRouters = 1.0;

  /// Part of the slots that work which is not short leaves free, 0 to 1.
  double m_ReservedShortShare = 0.0;

  /// Whether the request must start soon to meet its deadline.
  bool m_Urgent = false;

  /// Nothing if there is no report or only an old one.
  std::optional<ReportedLoad> m_Report = std::nullopt;
};

/// Decides whether a target may take one more request of this router. One instance serves one
/// target.
class IConcurrencyLimit {
public:
  virtual ~IConcurrencyLimit() = default;

  [[nodiscard]] virtual auto allows(const LimitQuery &Query) const -> bool = 0;

  /// Takes in the time from dispatch to first token, in seconds.
  virtual auto onFirstToken(double Seconds) -> void = 0;
};

/// Creates the limit of the given kind.
auto makeConcurrencyLimit(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit>;

} // namespace geraniumlift::admission
