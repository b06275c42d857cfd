#include "claims/internal/operationrunner.h"

#include "base/log.h"

namespace geraniumlift::claims::internal {

OperationRunner::OperationRunner(std::string Key, std::unique_ptr<ClaimOperation> Operation,
                                 base::SteadyTime LeaseDeadline, std::shared_ptr<LeaseCache> Leases,
                                 keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                                 const base::IClock &Clock, Callback Done)
    : m_Key(std::move(Key)), m_Operation(std::move(Operation)), m_LeaseDeadline(LeaseDeadline),
      m_Leases(std::move(Leases)), m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock),
      m_Done(std::move(Done)) {}

auto OperationRunner::start() -> void { execute(m_Operation->start()); }

auto OperationRunner::execute(ClaimCommand Command) -> void {
  std::visit([this](const auto &Typed) { executeCommand(Typed); }, Command);
}

template <typename Result>
auto OperationRunner::onSchedulerThread(auto(OperationRunner::*Member)(const Result &)->void)
    -> std::function<void(Result)> {
  return [Self = shared_from_this(), Member](Result Value) {
    Self->m_Scheduler.post([Self, Member, Value = std::move(Value)] {
      if (Self->m_Done) {
        ((*Self).*Member)(Value);
      }
    });
  };
}

auto OperationRunner::executeCommand(const WriteClaim &Command) -> void {
  m_Leases->get([Self = shared_from_this(), Command](std::optional<keyvalue::LeaseId> Lease) {
    if (Lease) {
      Self->write(Command, *Lease);
    } else {
      Self->onNoLease(Command);
    }
  });
}

auto OperationRunner::write(const WriteClaim &Command, keyvalue::LeaseId Lease) -> void {
  m_HasWritten = true;
  m_Store.compareAndSwap({.m_Key = m_Key,
                          .m_ExpectedModRevision = Command.m_ExpectedRevision,
                          .m_Value = encodeClaim(Command.m_Record),
                          .m_Lease = Lease},
                         onSchedulerThread(&OperationRunner::onWritten));
}

auto OperationRunner::onNoLease(const WriteClaim &Command) -> void {
  constexpr auto Pause = std::chrono::milliseconds{100};
  const auto Now = m_Clock.steadyNow();
  if (Now >= m_Operation->deadline() || (!m_HasWritten && Now >= m_LeaseDeadline)) {
    return execute(m_Operation->onDeadline());
  }
  m_Scheduler.after(Pause, [Self = shared_from_this(), Command] { Self->executeCommand(Command); });
}

auto OperationRunner::executeCommand(const EraseClaim &Command) -> void {
  m_Store.compareAndErase(m_Key, Command.m_ExpectedRevision,
                          onSchedulerThread(&OperationRunner::onWritten));
}

auto OperationRunner::executeCommand(const ReadClaim & /*Command*/) -> void {
  m_Store.read(m_Key, onSchedulerThread(&OperationRunner::onRead));
}

auto OperationRunner::executeCommand(const WaitForRetry &Command) -> void {
  m_Scheduler.after(Command.m_Delay, [Self = shared_from_this()] {
    Self->execute(Self->m_Operation->onRetry(Self->m_Clock.steadyNow()));
  });
}

auto OperationRunner::executeCommand(const FinishOperation &Command) -> void {
  std::exchange(m_Done, nullptr)(Command);
}

auto OperationRunner::onWritten(const keyvalue::WriteResult &Result) -> void {
  if (Result.m_Outcome == keyvalue::WriteOutcome::Applied) {
    return execute(m_Operation->onWriteConfirmed(Result.m_ModRevision));
  }
  if (Result.m_Outcome == keyvalue::WriteOutcome::Conflict && Result.m_Current) {
    return onFound(Result.m_Current);
  }
  if (Result.m_Outcome == keyvalue::WriteOutcome::Conflict || absl::IsNotFound(Result.m_Status)) {
    // A conflict on a key that does not exist is caused by an expired lease or by a claim that was
    // removed. The delay before the retry prevents a busy loop in both cases.
    m_Leases->forget();
  }
  execute(m_Operation->onUnknown(m_Clock.steadyNow()));
}

auto OperationRunner::onRead(const absl::StatusOr<std::optional<keyvalue::KeyValue>> &Found)
    -> void {
  if (Found.ok()) {
    return onFound(*Found);
  }
  execute(m_Operation->onUnknown(m_Clock.steadyNow()));
}

auto OperationRunner::onFound(const std::optional<keyvalue::KeyValue> &Found) -> void {
  if (!Found) {
    return execute(m_Operation->onFound(std::nullopt));
  }
  auto Record = decodeClaim(Found->m_Value);
  if (!Record.ok()) {
    base::logEvent(base::LogLevel::Error, "claim_unusable",
                   {{"key", m_Key}, {"error", std::string(Record.status().message())}});
    return execute(m_Operation->onUnknown(m_Clock.steadyNow()));
  }
  execute(m_Operation->onFound(StoredClaim{Found->m_ModRevision, std::move(*Record)}));
}

} // namespace geraniumlift::claims::internal
