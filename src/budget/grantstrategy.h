#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::budget {

using base::Tokens;

/// Ways to size grants. The names are used in the settings.
enum class GrantStrategy {
  /// Draws exactly what each request needs. The naive baseline.
  PerRequest,
  /// Each router holds an equal share of what is left.
  EvenSplit,
  /// The first router to draw takes all that is free.
  FirstCome,
  /// Holds an even share while that lasts long at the current spend rate. Nearer to the end of the
  /// budget, holds the forecast demand over a horizon, limited to a fraction of the share.
  Forecast,
};

inline constexpr auto GrantStrategyNames = std::array{
    base::NamedValue<GrantStrategy>{GrantStrategy::PerRequest, "per_request"},
    base::NamedValue<GrantStrategy>{GrantStrategy::EvenSplit, "even_split"},
    base::NamedValue<GrantStrategy>{GrantStrategy::FirstCome, "first_come"},
    base::NamedValue<GrantStrategy>{GrantStrategy::Forecast, "forecast"},
};

/// Inputs from which a strategy sizes the allowance to hold in reserve.
struct GrantDemand {
  /// Tokens of the budget that no router has settled.
  Tokens m_Unsettled = 0;

  /// Tokens that may be drawn now plus this router's allowance.
  Tokens m_Available = 0;

  /// Smoothed spend rate of this router, in tokens per second.
  double m_SpendRate = 0;

  /// Smoothed rate at which this router reserves worst cases, in tokens per second.
  double m_ReserveRate = 0;

  /// Time of demand that the allowance is to cover.
  std::chrono::milliseconds m_Horizon{0};
  /// Routers that may draw on the budget at the same time; at least 1.
  std::int64_t m_ExpectedRouters = 1;
};

/// Sizes the allowance that a router holds beyond its reservations.
class IGrantStrategy {
public:
  virtual ~IGrantStrategy() = default;

  /// Tokens to hold beyond what is reserved; at most what is available.
  [[nodiscard]] virtual auto targetAllowance(const GrantDemand &Demand) const -> Tokens = 0;
};

/// Returns the implementation of a strategy; it lives as long as the program.
auto grantStrategy(GrantStrategy Strategy) -> const IGrantStrategy &;

} // namespace geraniumlift::budget
