#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"

#include <functional>
#include <string>

namespace geraniumlift::budget {

/// Outcome of a reservation. Exhausted is given only if the record in the store shows that the
/// remaining tokens do not cover the request.
enum class ReservationOutcome { Granted, Exhausted, Unavailable };

/// Result of a reservation.
struct Reservation {
  ReservationOutcome m_Outcome = ReservationOutcome::Unavailable;

  /// Identifies the part of the budget that the tokens came from; passed to settle().
  std::string m_Source;
};

/// Reserves tokens of budgets before requests are sent, and settles the tokens used.
class IBudgetReserver {
public:
  virtual ~IBudgetReserver() = default;

  /// Reserves tokens. Done runs exactly once, possibly before reserve() returns, and not after the
  /// deadline.
  virtual auto reserve(const std::string &Budget, base::Tokens WorstCase, base::SteadyTime Deadline,
                       std::function<void(Reservation)> Done) -> void = 0;

  /// Ends a granted reservation: settles the tokens used and frees the rest.
  virtual auto settle(const std::string &Source, base::Tokens WorstCase, base::Tokens Used)
      -> void = 0;
};

} // namespace geraniumlift::budget
