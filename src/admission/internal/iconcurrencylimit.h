#pragma once

#include "admission/dispatcheroptions.h"
#include "routing/targetview.h"

#include <memory>
#include <optional>

namespace geraniumlift::admission {

/// Load of a target at the time when its last report was measured.
struct ReportedLoad {
  /// Requests of all routers on the target.
  double m_Total = 0.0;

  /// Requests of this router on the target.
  double m_OwnAtReport = 0.0;

  /// Random number between 0 and 1, drawn with each report, for randomised rounding, which is right
  /// on average.
  double m_Dither = 0.0;
};

/// State of a target and properties of a request on which a limit decides.
struct LimitQuery {
  std::int64_t m_Slots = 0;

  /// Requests of this router on the target.
  double m_Own = 0.0;

  /// Whether the request is expected to be short.
  bool m_Short = false;

  /// Estimated number of routers that share the target, from this router's share of the load.
  double m_ActiveRouters = 1.0;

  /// Share of the slots that is kept free of requests that are not short, 0 to 1.
  double m_ReservedShortShare = 0.0;

  /// Whether the request must start soon to meet its deadline.
  bool m_Urgent = false;

  /// Empty if there is no report or only an old one.
  std::optional<ReportedLoad> m_Report = std::nullopt;
};

/// Decides whether a target may take one more request of this router. One instance serves one
/// target.
class IConcurrencyLimit {
public:
  virtual ~IConcurrencyLimit() = default;

  [[nodiscard]] virtual auto allows(const LimitQuery &Query) const -> bool = 0;

  /// Records the time from dispatch to first token, in seconds.
  virtual auto onFirstToken(double Seconds) -> void = 0;
};

/// Creates a limit with the strategy that the options select.
auto makeConcurrencyLimit(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit>;

} // namespace geraniumlift::admission
