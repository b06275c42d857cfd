#pragma once

#include "base/ischeduler.h"
#include "budget/budgetledger.h"
#include "keyvalue/ikeyvaluestore.h"

#include <functional>
#include <map>
#include <memory>

namespace geraniumlift::budget::internal {

/// Drives the ledger of one budget: executes its commands on the key-value service, runs the
/// callbacks of the callers and sends ticks at the requested times. Used on the scheduler thread
/// only.
class LedgerRunner final : public std::enable_shared_from_this<LedgerRunner> {
public:
  LedgerRunner(std::string Budget, const BudgetOptions &Options, std::uint64_t Seed,
               keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
               const base::IClock &Clock);

  auto reserve(ReservationId Id, const ReserveRequest &Request, ReserveCallback Done) -> void;
  auto bill(ReservationId Id, Tokens Used, BillCallback Done) -> void;
  auto release(ReservationId Id) -> void;
  auto holderGone(const base::HolderId &Holder) -> void;
  auto drain(std::function<void()> Done) -> void;
  [[nodiscard]] auto view() const -> BudgetView;

private:
  auto handleEvent(const LedgerEvent &Event) -> void;
  auto onRead(const absl::StatusOr<std::optional<keyvalue::KeyValue>> &Found) -> void;
  auto onWritten(const keyvalue::WriteResult &Result) -> void;

  /// Decodes the value found under the record's key and logs an error if it is not a valid record.
  auto decode(const std::optional<keyvalue::KeyValue> &Found) const -> absl::StatusOr<StoredRecord>;

  auto execute(const ReadCommand &Command) -> void;
  auto execute(const WriteCommand &Command) -> void;
  auto execute(const ReserveAnswer &Answer) -> void;
  auto execute(const BillAnswer &Answer) -> void;
  auto execute(const LostEntryReport &Report) -> void;
  auto execute(const DrainedAnswer &Answer) -> void;

  auto armTimer() -> void;

  std::string m_Budget;
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  BudgetLedger m_Ledger;
  std::map<ReservationId, ReserveCallback> m_ReserveCallbacks;
  std::map<ReservationId, BillCallback> m_BillCallbacks;
  std::vector<std::function<void()>> m_DrainCallbacks;
  std::optional<base::SteadyTime> m_TimerDueAt;
  std::uint64_t m_LatestTimer = 0;
};

} // namespace geraniumlift::budget::internal
