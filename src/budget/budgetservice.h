#pragma once

#include "base/ischeduler.h"
#include "budget/budgetoptions.h"
#include "budget/ibudgetservice.h"
#include "keyvalue/ikeyvaluestore.h"

#include <memory>

namespace geraniumlift::budget {

/// Budget service of one router, with one ledger per budget and the records in the key-value
/// service. Store, scheduler and clock must outlive the service and all its calls to the store.
class BudgetService final : public IBudgetService {
public:
  BudgetService(BudgetOptions Options, keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                const base::IClock &Clock);
  ~BudgetService() override;

  auto reserve(ReserveRequest Request, ReserveCallback Done) -> void override;
  auto bill(ReservationId Reservation, Tokens Used, BillCallback Done) -> void override;
  auto release(ReservationId Reservation) -> void override;
  auto holderGone(base::HolderId Holder) -> void override;
  auto views(std::function<void(std::vector<BudgetView>)> Done) -> void override;
  auto drain(std::function<void()> Done) -> void override;

private:
  struct State;

  /// Runs a function on the scheduler thread, unless the service has been destroyed by then.
  template <typename Function>
  auto runOnSchedulerThread(Function Run) -> void;

  base::IScheduler &m_Scheduler;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::budget
