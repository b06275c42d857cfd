// Embeds the budget ledger without the daemon: one budget, one holder, the record in memory.

#include "budget/budgetledger.h"

#include <cstdio>
#include <deque>

namespace {

using namespace geraniumlift;

/// Stands in for the store that the embedder has: one record with a revision.
class MemoryRecord {
public:
  explicit MemoryRecord(budget::Tokens ToppedUp) {
    auto Record = budget::BudgetRecord();
    Record.m_ToppedUp = ToppedUp;
    m_Stored = {1, Record};
  }

  auto carryOut(const budget::LedgerCommand &Command) -> std::optional<budget::LedgerEvent> {
    if (std::holds_alternative<budget::ReadCommand>(Command)) {
      return budget::RecordReadEvent{m_Stored};
    }
    if (const auto *Write = std::get_if<budget::WriteCommand>(&Command)) {
      if (Write->m_ExpectedRevision != m_Stored.m_Revision) {
        return budget::WriteConflictEvent{m_Stored};
      }
      m_Stored = {m_Stored.m_Revision + 1, Write->m_Record};
      return budget::WriteLandedEvent{m_Stored.m_Revision};
    }
    return std::nullopt;
  }

private:
  budget::StoredRecord m_Stored;
};

/// Feeds one event and all events that follow from it; returns the answers.
auto run(budget::BudgetLedger &Ledger, MemoryRecord &Record, const budget::LedgerEvent &First,
         budget::LedgerTime Now) -> std::vector<budget::LedgerCommand> {
  auto Events = std::deque<budget::LedgerEvent>{First};
  auto Answers = std::vector<budget::LedgerCommand>();
  while (!Events.empty()) {
    const auto Event = Events.front();
    Events.pop_front();
    for (const auto &Command : Ledger.handle(Event, Now)) {
      if (const auto Next = Record.carryOut(Command)) {
        Events.push_back(*Next);
      } else {
        Answers.push_back(Command);
      }
    }
  }
  return Answers;
}

} // namespace

auto main() -> int {
  auto Options = budget::BudgetOptions();
  Options.m_Holder = {"embedder-1", 1};
  auto Ledger = budget::BudgetLedger(Options, Options.m_Seed);
  auto Record = MemoryRecord(1'000);
  auto Now = budget::LedgerTime{base::SteadyTime{std::chrono::hours{1}}, 0};

  run(Ledger, Record, budget::ReserveEvent{1, "", 300, Now.m_Steady + std::chrono::seconds{30}},
      Now);
  run(Ledger, Record, budget::BillEvent{1, 120}, Now);
  Now.m_Steady += std::chrono::seconds{1};
  run(Ledger, Record, budget::TickEvent{}, Now);

  const auto View = Ledger.view();
  std::printf("topped up %lld, settled %lld, pending %lld\n",
              static_cast<long long>(View.m_ToppedUp), static_cast<long long>(View.m_Settled),
              static_cast<long long>(Ledger.pendingTokens()));
  return View.m_Settled == 120 && Ledger.pendingTokens() == 0 ? 0 : 1;
}
