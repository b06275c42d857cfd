#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"

#include <functional>
#include <string>

namespace geraniumlift::budget {

/// Result of a reservation. Exhausted is given only where the store's record shows that what is
/// left does not cover the request.
enum class ReservationOutcome { Granted, Exhausted, Unavailable };

/// Answer to a reservation.
struct Reservation {
  ReservationOutcome m_Outcome = ReservationOutcome::Unavailable;

  /// Names the part of the budget from which the tokens came; for settling.
  std::string m_Source;
};

/// Reserves tokens of budgets before requests are sent.
class IBudgetReserver {
public:
  virtual ~IBudgetReserver() = default;

  /// Reserves tokens. The callback runs once, at once or later, but not after the deadline.
  virtual auto reserve(const std::string &Budget, base::Tokens WorstCase, base::SteadyTime Deadline,
                       std::function<void(Reservation)> Done) -> void = 0;

  /// Ends a granted reservation with what was used of it.
  virtual auto settle(const std::string &Source, base::Tokens WorstCase, base::Tokens Used)
      -> void = 0;
};

} // namespace geraniumlift::budget
