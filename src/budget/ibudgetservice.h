#pragma once

#include "budget/budgettypes.h"

namespace geraniumlift::budget {

/// Reserves and bills tokens of prepaid budgets. Thread-safe. Callbacks run exactly once, on the
/// scheduler thread of the budget service, and must not block.
class IBudgetService {
public:
  virtual ~IBudgetService() = default;

  /// Reserves the worst-case cost of a request or refuses it. The verdict of a refusal is always
  /// DidNotRun.
  virtual auto reserve(ReserveRequest Request, ReserveCallback Done) -> void = 0;

  /// Settles the tokens that the request used, at most those reserved, and frees the rest. The
  /// callback runs when the end of the answer may be sent to the caller.
  virtual auto bill(ReservationId Reservation, Tokens Used, BillCallback Done) -> void = 0;

  /// Frees a reservation without billing it.
  virtual auto release(ReservationId Reservation) -> void = 0;

  /// Reports that a holder can no longer spend tokens, so that its grants may be reclaimed.
  virtual auto holderGone(base::HolderId Holder) -> void = 0;

  /// Passes the budgets that this router has used to the callback, for operators and for the state
  /// advertised to peers.
  virtual auto views(std::function<void(std::vector<BudgetView>)> Done) -> void = 0;

  /// Stops drawing tokens, waits for bills in flight and returns all grants, then calls Done.
  virtual auto drain(std::function<void()> Done) -> void = 0;
};

} // namespace geraniumlift::budget
