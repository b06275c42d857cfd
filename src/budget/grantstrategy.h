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
  /// An even share while that lasts long at the forecast demand; nearer to the end the forecast
  /// demand over a horizon, bounded by a part of the share.
  Forecast,
};

inline constexpr auto GrantStrategyNames = std::array{
    base::NamedValue<GrantStrategy>{GrantStrategy::PerRequest, "per_request"},
    base::NamedValue<GrantStrategy>{GrantStrategy::EvenSplit, "even_split"},
    base::NamedValue<GrantStrategy>{GrantStrategy::FirstCome, "first_come"},
    base::NamedValue<GrantStrategy>{GrantStrategy::Forecast, "forecast"},
};

/// What a strategy knows when it sizes the allowance to hold in reserve.
struct GrantDemand {
  /// Tokens of the budget that no holder has settled.
  Tokens m_Unsettled = 0;

  /// Tokens that may be drawn now, and this router's allowance.
  Tokens m_Available = 0;

  /// Smoothed spend of this router in tokens a second.
  double m_SpendRate = 0;

  /// Smoothed worst cases reserved at this router in tokens a second.
  double m_ReserveRate = 0;

  std::chrono::milliseconds m_Horizon{0};
  std::int64_t m_ExpectedRouters = 1;
};

/// Sizes the allowance that a router holds beyond its reservations.
class IGrantStrategy {
public:
  virtual ~IGrantStrategy() = default;

  /// Tokens to hold beyond what is reserved; at most what is available.
  [[nodiscard]] virtual auto targetAllowance(const GrantDemand &Demand) const -> Tokens = 0;
};

/// The strategy object of an enumerator; it lives as long as the program.
auto grantStrategy(GrantStrategy Strategy) -> const IGrantStrategy &;

} // namespace geraniumlift::budget
