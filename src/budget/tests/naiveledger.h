#pragma once

#include "budget/ledgertypes.h"

#include <map>
#include <utility>
#include <vector>

namespace geraniumlift::budget::tests {

enum class NaiveFault { RepeatUnknownWrite, ReclaimAfterSilence };

/// A simple ledger with one of two deliberate faults: it repeats a write whose answer was lost, or
/// it reclaims the grant of a holder that has not written for a while. The properties of the
/// simulation must detect both.
class NaiveLedger {
public:
  NaiveLedger(base::HolderId Holder, NaiveFault Fault)
      : m_Holder(std::move(Holder)), m_Fault(Fault) {}

  auto handle(const LedgerEvent &Event, LedgerTime Now) -> std::vector<LedgerCommand> {
    m_Commands.clear();
    std::visit([&](const auto &Typed) { on(Typed, Now); }, Event);
    const auto HasWork = !m_Waiters.empty() || !m_Bills.empty();
    if (!m_IsBusy && HasWork) {
      m_IsBusy = true;
      m_Commands.emplace_back(ReadCommand{});
    }
    return m_Commands;
  }

  [[nodiscard]] auto pendingTokens() const -> Tokens { return m_PendingTokens; }
  [[nodiscard]] auto hasUnresolvedWrite() const -> bool { return m_IsBusy; }

private:
  template <typename Other>
  auto on(const Other & /*Event*/, LedgerTime /*Now*/) -> void {}

  auto on(const ReserveEvent &Event, LedgerTime /*Now*/) -> void { m_Waiters.push_back(Event); }

  auto on(const BillEvent &Event, LedgerTime /*Now*/) -> void {
    m_Bills.push_back(Event);
    m_PendingTokens += Event.m_Used;
  }

  auto on(const ReadFailedEvent & /*Event*/, LedgerTime /*Now*/) -> void { m_IsBusy = false; }

  auto on(const WriteConflictEvent &Event, LedgerTime Now) -> void {
    on(RecordReadEvent{Event.m_Current}, Now);
  }

  auto on(const WriteUnknownEvent & /*Event*/, LedgerTime /*Now*/) -> void {
    m_IsBusy = false;
    m_HasUnknownWrite = m_Fault != NaiveFault::RepeatUnknownWrite;
  }

  auto on(const RecordReadEvent &Event, LedgerTime Now) -> void {
    auto Record = *Event.m_Stored.m_Record;
    const auto *const KnownEntry = findHolder(Record, m_Holder);
    if (std::exchange(m_HasUnknownWrite, false) && KnownEntry != nullptr &&
        KnownEntry->m_Sequence == m_Sequence) {
      return on(WriteLandedEvent{}, Now);
    }
    if (m_Fault == NaiveFault::ReclaimAfterSilence) {
      reclaimSilentHolders(Record, Now);
    }
    auto Own =
        KnownEntry == nullptr ? HolderEntry{.m_Holder = m_Holder} : *findHolder(Record, m_Holder);
    m_WaitersInWrite = m_Waiters;
    m_BillsInWrite = m_Bills;
    auto Free = freeTokens(Record);
    std::erase_if(m_WaitersInWrite, [&](const ReserveEvent &Waiter) {
      Free -= Waiter.m_WorstCase;
      return Free < 0;
    });
    for (const auto &Waiter : m_WaitersInWrite) {
      Own.m_Granted += Waiter.m_WorstCase;
    }
    for (const auto &Bill : m_BillsInWrite) {
      Own.m_Settled += Bill.m_Used;
    }
    Own.m_Granted = std::max(Own.m_Granted, Own.m_Settled);
    Own.m_Sequence = ++m_Sequence;
    std::erase_if(Record.m_Holders, [&](const auto &Entry) { return Entry.m_Holder == m_Holder; });
    Record.m_Holders.push_back(Own);
    m_Commands.emplace_back(WriteCommand{Event.m_Stored.m_Revision, Record});
  }

  auto on(const WriteLandedEvent & /*Event*/, LedgerTime /*Now*/) -> void {
    m_IsBusy = false;
    for (const auto &Waiter : m_WaitersInWrite) {
      m_Commands.emplace_back(ReserveAnswer{Waiter.m_Reservation, std::nullopt});
    }
    for (const auto &Bill : m_BillsInWrite) {
      m_Commands.emplace_back(BillAnswer{Bill.m_Reservation, BillOutcome::Settled});
      m_PendingTokens -= Bill.m_Used;
    }
    m_Bills.erase(m_Bills.begin(),
                  m_Bills.begin() + static_cast<std::ptrdiff_t>(m_BillsInWrite.size()));
    std::erase_if(m_Waiters, [&](const ReserveEvent &Waiter) {
      return std::any_of(
          m_WaitersInWrite.begin(), m_WaitersInWrite.end(),
          [&](const ReserveEvent &Served) { return Served.m_Reservation == Waiter.m_Reservation; });
    });
  }

  auto reclaimSilentHolders(BudgetRecord &Record, LedgerTime Now) -> void {
    constexpr auto SilenceLimit = std::chrono::seconds{5};
    std::erase_if(Record.m_Holders, [&](const HolderEntry &Entry) {
      auto &[Sequence, Since] = m_LastSequences[Entry.m_Holder];
      if (Sequence != Entry.m_Sequence) {
        Sequence = Entry.m_Sequence;
        Since = Now.m_Steady;
      }
      const auto IsSilent = Entry.m_Holder != m_Holder && Now.m_Steady - Since > SilenceLimit;
      Record.m_RetiredSettled += IsSilent ? Entry.m_Settled : 0;
      return IsSilent;
    });
  }

  base::HolderId m_Holder;
  NaiveFault m_Fault;
  bool m_IsBusy = false;
  bool m_HasUnknownWrite = false;
  std::uint64_t m_Sequence = 0;
  Tokens m_PendingTokens = 0;
  std::vector<LedgerCommand> m_Commands;
  std::vector<ReserveEvent> m_Waiters;
  std::vector<ReserveEvent> m_WaitersInWrite;
  std::vector<BillEvent> m_Bills;
  std::vector<BillEvent> m_BillsInWrite;
  std::map<base::HolderId, std::pair<std::uint64_t, base::SteadyTime>> m_LastSequences;
};

} // namespace geraniumlift::budget::tests
