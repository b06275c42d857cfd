#include "budget/internal/ledgerrunner.h"

#include "base/log.h"

#include <utility>

namespace geraniumlift::budget::internal {

LedgerRunner::LedgerRunner(std::string Budget, const BudgetOptions &Options, std::uint64_t Seed,
                           keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                           const base::IClock &Clock)
    : m_Budget(std::move(Budget)), m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock),
      m_Ledger(Options, Seed) {}

auto LedgerRunner::reserve(ReservationId Id, const ReserveRequest &Request, ReserveCallback Done)
    -> void {
  m_ReserveCallbacks.emplace(Id, std::move(Done));
  const auto Hash =
      Request.m_HasIdempotencyKey ? hashOfRequest(Request.m_RequestId) : std::string();
  handleEvent(
      ReserveEvent{Id, Hash, Request.m_WorstCase, Request.m_Deadline, Request.m_MaxGrantTokens});
}

auto LedgerRunner::bill(ReservationId Id, Tokens Used, BillCallback Done) -> void {
  m_BillCallbacks.emplace(Id, std::move(Done));
  handleEvent(BillEvent{Id, Used});
}

auto LedgerRunner::release(ReservationId Id) -> void { handleEvent(ReleaseEvent{Id}); }

auto LedgerRunner::holderGone(const base::HolderId &Holder) -> void {
  handleEvent(HolderGoneEvent{Holder});
}

auto LedgerRunner::drain(std::function<void()> Done) -> void {
  m_DrainCallbacks.push_back(std::move(Done));
  handleEvent(DrainEvent{});
}

auto LedgerRunner::view() const -> BudgetView {
  auto View = m_Ledger.view();
  View.m_Budget = m_Budget;
  return View;
}

auto LedgerRunner::handleEvent(const LedgerEvent &Event) -> void {
  const auto UnixTime = m_Clock.systemNow().time_since_epoch();
  const auto Now = LedgerTime{m_Clock.steadyNow(),
                              std::chrono::duration_cast<std::chrono::seconds>(UnixTime).count()};
  for (const auto &Command : m_Ledger.handle(Event, Now)) {
    std::visit([this](const auto &Typed) { execute(Typed); }, Command);
  }
  armTimer();
}

auto LedgerRunner::decode(const std::optional<keyvalue::KeyValue> &Found) const
    -> absl::StatusOr<StoredRecord> {
  if (!Found) {
    return StoredRecord();
  }
  auto Record = decodeRecord(Found->m_Value);
  if (!Record.ok()) {
    base::logEvent(base::LogLevel::Error, "budget_record_unusable",
                   {{"budget", m_Budget}, {"error", std::string(Record.status().message())}});
    return Record.status();
  }
  return StoredRecord{Found->m_ModRevision, std::move(*Record)};
}

auto LedgerRunner::onRead(const absl::StatusOr<std::optional<keyvalue::KeyValue>> &Found) -> void {
  auto Stored = Found.ok() ? decode(*Found) : Found.status();
  if (Stored.ok()) {
    handleEvent(RecordReadEvent{std::move(*Stored)});
  } else {
    handleEvent(ReadFailedEvent{});
  }
}

auto LedgerRunner::onWritten(const keyvalue::WriteResult &Result) -> void {
  if (Result.m_Outcome == keyvalue::WriteOutcome::Applied) {
    return handleEvent(WriteLandedEvent{Result.m_ModRevision});
  }
  if (Result.m_Outcome == keyvalue::WriteOutcome::Conflict) {
    auto Current = decode(Result.m_Current);
    if (Current.ok()) {
      return handleEvent(WriteConflictEvent{std::move(*Current)});
    }
  }
  handleEvent(WriteUnknownEvent{});
}

auto LedgerRunner::execute(const ReadCommand & /*Command*/) -> void {
  auto Done = [Weak = weak_from_this(), &Scheduler = m_Scheduler](auto Found) {
    Scheduler.post([Weak, Found = std::move(Found)] {
      if (const auto Self = Weak.lock()) {
        Self->onRead(Found);
      }
    });
  };
  m_Store.read(keyOfBudget(m_Budget), std::move(Done));
}

auto LedgerRunner::execute(const WriteCommand &Command) -> void {
  auto Done = [Weak = weak_from_this(), &Scheduler = m_Scheduler](keyvalue::WriteResult Result) {
    Scheduler.post([Weak, Result = std::move(Result)] {
      if (const auto Self = Weak.lock()) {
        Self->onWritten(Result);
      }
    });
  };
  m_Store.compareAndSwap({.m_Key = keyOfBudget(m_Budget),
                          .m_ExpectedModRevision = Command.m_ExpectedRevision,
                          .m_Value = encodeRecord(Command.m_Record)},
                         std::move(Done));
}

auto LedgerRunner::execute(const ReserveAnswer &Answer) -> void {
  auto Entry = m_ReserveCallbacks.extract(Answer.m_Reservation);
  if (Entry.empty()) {
    return;
  }
  if (Answer.m_Refusal) {
    Entry.mapped()(*Answer.m_Refusal);
  } else {
    Entry.mapped()(Answer.m_Reservation);
  }
}

auto LedgerRunner::execute(const BillAnswer &Answer) -> void {
  auto Entry = m_BillCallbacks.extract(Answer.m_Reservation);
  if (!Entry.empty()) {
    Entry.mapped()(Answer.m_Outcome);
  }
}

auto LedgerRunner::execute(const LostEntryReport &Report) -> void {
  base::logEvent(base::LogLevel::Error,
                 Report.m_HolderIdReused ? "budget_holder_id_reused" : "budget_grant_lost",
                 {{"budget", m_Budget}, {"tokens_not_billed", Report.m_Tokens}});
}

auto LedgerRunner::execute(const DrainedAnswer & /*Answer*/) -> void {
  for (const auto &Done : std::exchange(m_DrainCallbacks, {})) {
    Done();
  }
}

auto LedgerRunner::armTimer() -> void {
  const auto NextTick = m_Ledger.nextTick();
  if (!NextTick || (m_TimerDueAt && *m_TimerDueAt <= *NextTick)) {
    return;
  }
  m_TimerDueAt = NextTick;
  const auto Delay = std::chrono::ceil<std::chrono::milliseconds>(*NextTick - m_Clock.steadyNow());
  const auto Number = ++m_LatestTimer;
  m_Scheduler.after(std::max(Delay, std::chrono::milliseconds{1}),
                    [Weak = weak_from_this(), Number] {
                      const auto Self = Weak.lock();
                      if (Self && Self->m_LatestTimer == Number) {
                        Self->m_TimerDueAt.reset();
                        Self->handleEvent(TickEvent{});
                      }
                    });
}

} // namespace geraniumlift::budget::internal
