#pragma once

#include "budget/budgettypes.h"

namespace geraniumlift::budget {

/// Reserves and bills tokens against prepaid budgets. Thread-safe; callbacks run on the budget
/// service's scheduler thread, exactly once, and must not block.
class IBudgetService {
public:
  virtual ~IBudgetService() = default;

  /// Reserves the worst case of a request, or refuses it. A refusal is always DidNotRun.
  virtual auto reserve(ReserveRequest Request, ReserveCallback Done) -> void = 0;

  /// Settles what the request used, at most what was reserved, and frees the rest. The callback
  /// runs when the end of the answer may be released to the caller.
  virtual auto bill(ReservationId Reservation, Tokens Used, BillCallback Done) -> void = 0;

  /// Frees a reservation without a bill.
  virtual auto release(ReservationId Reservation) -> void = 0;

  /// Tells that a holder cannot spend any more, so that its grants may be reclaimed.
  virtual auto holderGone(base::HolderId Holder) -> void = 0;

  /// The budgets that this router has used, for operators and for what it advertises to peers.
  virtual auto views(std::function<void(std::vector<BudgetView>)> Done) -> void = 0;

  /// Stops drawing, waits for bills in flight and returns all grants; then calls back.
  virtual auto drain(std::function<void()> Done) -> void = 0;
};

} // namespace geraniumlift::budget
