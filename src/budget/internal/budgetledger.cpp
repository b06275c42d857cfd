#include "budget/budgetledger.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::budget {

namespace {

/// A new reservation waits this long even if the key-value service is known not to respond, so that
/// its recovery is noticed.
constexpr auto KnownOutageWait = std::chrono::milliseconds{250};

/// Pause between reads while reservations wait for tokens that other routers hold.
constexpr auto PollInterval = std::chrono::milliseconds{250};

constexpr auto InitialBackoff = std::chrono::milliseconds{50};
constexpr auto MaxBackoff = std::chrono::milliseconds{500};

/// A conflict of a write based on a record read longer ago than this is attributed to the age of
/// the read, not to contention for the record.
constexpr auto MaxFreshRecordAge = std::chrono::milliseconds{20};

/// After a conflict, each write is preceded by a read until this many reads have found no other
/// writer. A conflict wastes a write, and the key-value service handles far fewer writes than
/// reads.
constexpr auto UncontendedReadsAfterConflict = 8;

/// Upper limit of the random pause after a conflict on a freshly read record; it doubles with each
/// consecutive conflict.
constexpr auto InitialConflictPause = std::chrono::milliseconds{4};

/// While a request waits for tokens of other routers, this router keeps unused tokens for at most
/// this long, so that two routers do not each hold what the other needs.
constexpr auto ContendedReturnDelay = std::chrono::milliseconds{500};

/// Longest commit interval under conflicts. Thirty routers that write to one record every 50 ms
/// would exceed the write capacity of the key-value service.
constexpr auto MaxCommitSpacing = std::chrono::milliseconds{1000};

auto refusal(base::RefusalCode Code, std::string Detail,
             std::optional<std::chrono::milliseconds> RetryAfter = std::nullopt) -> base::Refusal {
  return {.m_Code = Code,
          .m_Verdict = base::Verdict::DidNotRun,
          .m_Detail = std::move(Detail),
          .m_RetryAfter = RetryAfter};
}

auto unavailableRefusal(std::string Detail) -> base::Refusal {
  constexpr auto RetryAfter = std::chrono::milliseconds{1000};
  return refusal(base::RefusalCode::BudgetUnavailable, std::move(Detail), RetryAfter);
}

} // namespace

BudgetLedger::BudgetLedger(BudgetOptions Options, std::uint64_t Seed)
    : m_Options(std::move(Options)), m_Strategy(&grantStrategy(m_Options.m_GrantStrategy)),
      m_Random(Seed), m_CommitSpacing(m_Options.m_CommitInterval) {}

auto BudgetLedger::handle(const LedgerEvent &Event, LedgerTime Now) -> std::vector<LedgerCommand> {
  m_NextTick.reset();
  std::visit([&](const auto &Typed) { on(Typed, Now); }, Event);
  serveWaiters(Now);
  issueNextCall(Now);
  answerBillHolds(Now);
  finishDrain();
  return std::exchange(m_Commands, {});
}

auto BudgetLedger::view() const -> BudgetView {
  auto View = BudgetView();
  if (m_LatestRecord.m_Record) {
    const auto &Record = *m_LatestRecord.m_Record;
    View.m_ToppedUp = Record.m_ToppedUp;
    View.m_Settled = Record.m_ToppedUp - unsettledTokens(Record);
    View.m_Outstanding = unsettledTokens(Record) - freeTokens(Record);
    for (const auto &Entry : Record.m_Holders) {
      if (Entry.m_Holder != m_Options.m_Holder) {
        View.m_OtherHolders.push_back(Entry.m_Holder);
      }
    }
  }
  View.m_Allowance = std::max(Tokens{0}, allowance());
  View.m_Reserved = m_Reserved;
  return View;
}

auto BudgetLedger::pendingTokens() const -> Tokens { return m_PendingTokens; }

// Events.

auto BudgetLedger::on(const ReserveEvent &Event, LedgerTime Now) -> void {
  if (m_IsDraining) {
    m_Commands.emplace_back(
        ReserveAnswer{Event.m_Reservation,
                      refusal(base::RefusalCode::Draining, "This router is shutting down.")});
    return;
  }
  m_LastActivity = Now.m_Steady;
  m_MaxGrantTokens = Event.m_MaxGrantTokens;
  const auto WorstCase = std::clamp(Event.m_WorstCase, Tokens{0}, MaxBudgetTokens);
  m_Waiters.push_back({Event.m_Reservation, Event.m_RequestHash, WorstCase, Event.m_Deadline,
                       Now.m_Steady, m_CallsIssued});
}

auto BudgetLedger::on(const BillEvent &Event, LedgerTime Now) -> void {
  const auto Found = m_Reservations.find(Event.m_Reservation);
  if (Found == m_Reservations.end()) {
    // The reservation was dropped when the record lost this holder's entry, so that the bill can no
    // longer be settled.
    m_Commands.emplace_back(BillAnswer{Event.m_Reservation, BillOutcome::Pending});
    return;
  }
  m_LastActivity = Now.m_Steady;
  const auto Used = std::clamp(Event.m_Used, Tokens{0}, Found->second.m_WorstCase);
  m_Reserved -= Found->second.m_WorstCase;
  if (Used == 0) {
    m_Commands.emplace_back(BillAnswer{Event.m_Reservation, BillOutcome::Settled});
  } else {
    m_SpendRate.add(static_cast<double>(Used), Now.m_Steady);
    m_PendingTokens += Used;
    m_Pending.push_back({Event.m_Reservation, Found->second.m_RequestHash, Used, Now.m_Steady});
  }
  m_Reservations.erase(Found);
}

auto BudgetLedger::on(const ReleaseEvent &Event, LedgerTime /*Now*/) -> void {
  const auto Found = m_Reservations.find(Event.m_Reservation);
  if (Found != m_Reservations.end()) {
    m_Reserved -= Found->second.m_WorstCase;
    m_Reservations.erase(Found);
  }
}

auto BudgetLedger::on(const RecordReadEvent &Event, LedgerTime Now) -> void {
  markCallAnswered();
  processStoredRecord(Event.m_Stored, Now);
}

auto BudgetLedger::on(const ReadFailedEvent & /*Event*/, LedgerTime Now) -> void {
  backOffAfterFailure(Now);
}

auto BudgetLedger::on(const WriteLandedEvent &Event, LedgerTime Now) -> void {
  markCallAnswered();
  m_LatestRecordTime = Now.m_Steady;
  m_CommitSpacing = std::max(m_Options.m_CommitInterval, m_CommitSpacing * 9 / 10);
  m_ConsecutiveConflicts = 0;
  auto Landed = std::move(*m_WriteInFlight);
  m_WriteInFlight.reset();
  // The other writes expected the revision that this write replaced, so they can no longer land.
  m_UnresolvedWrites.clear();
  finishBills(Landed);
  setLatestRecord({Event.m_Revision, std::move(Landed.m_Record)});
}

auto BudgetLedger::on(const WriteConflictEvent &Event, LedgerTime Now) -> void {
  markCallAnswered();
  if (m_WasRecordFresh) {
    backOffAfterConflict(Now);
  }
  m_UncontendedReadsLeft = UncontendedReadsAfterConflict;
  markWriteUnresolved();
  processStoredRecord(Event.m_Current, Now);
}

auto BudgetLedger::on(const WriteUnknownEvent & /*Event*/, LedgerTime Now) -> void {
  markWriteUnresolved();
  backOffAfterFailure(Now);
}

auto BudgetLedger::on(const TickEvent & /*Event*/, LedgerTime /*Now*/) -> void {}

auto BudgetLedger::on(const HolderGoneEvent &Event, LedgerTime /*Now*/) -> void {
  if (Event.m_Holder != m_Options.m_Holder) {
    m_GoneHolders.insert(Event.m_Holder);
    updateTotals();
  }
}

auto BudgetLedger::on(const DrainEvent & /*Event*/, LedgerTime /*Now*/) -> void {
  m_IsDraining = true;
  m_IsDrainAnswered = false;
  for (const auto &Request : std::exchange(m_Waiters, {})) {
    m_Commands.emplace_back(
        ReserveAnswer{Request.m_Reservation,
                      refusal(base::RefusalCode::Draining, "This router is shutting down.")});
  }
}

// State of the record.

auto BudgetLedger::markCallAnswered() -> void {
  m_CallInFlight = StoreCall::None;
  m_UnansweredSince.reset();
  m_ConsecutiveFailures = 0;
}

auto BudgetLedger::backOffAfterConflict(LedgerTime Now) -> void {
  const auto MaxSpacing = std::max(MaxCommitSpacing, m_Options.m_CommitInterval);
  m_CommitSpacing = std::min(MaxSpacing, m_CommitSpacing + m_CommitSpacing / 2);
  const auto Window = InitialConflictPause * (1 << std::min(m_ConsecutiveConflicts, 6));
  m_EarliestCall = Now.m_Steady + jitter(std::min(m_CommitSpacing / 2, Window));
  ++m_ConsecutiveConflicts;
}

auto BudgetLedger::backOffAfterFailure(LedgerTime Now) -> void {
  m_CallInFlight = StoreCall::None;
  auto Backoff = InitialBackoff;
  for (int Step = 0; Step < m_ConsecutiveFailures && Backoff < MaxBackoff; ++Step) {
    Backoff *= 2;
  }
  ++m_ConsecutiveFailures;
  Backoff = std::min(Backoff, MaxBackoff);
  m_EarliestCall = Now.m_Steady + Backoff / 2 + jitter(Backoff / 2);
}

auto BudgetLedger::markWriteUnresolved() -> void {
  m_WriteInFlight->m_Record = {};
  m_UnresolvedWrites.push_back(std::move(*m_WriteInFlight));
  m_WriteInFlight.reset();
  m_MustRead = true;
}

auto BudgetLedger::processStoredRecord(const StoredRecord &Stored, LedgerTime Now) -> void {
  if (m_HasLatestRecord && Stored.m_Record && Stored.m_Revision < m_LatestRecord.m_Revision) {
    // The read returned an older revision than the one known, so its content must not be used.
    m_MustRead = true;
    return;
  }
  m_MustRead = false;
  m_LatestRecordTime = Now.m_Steady;
  if (m_HasLatestRecord && Stored.m_Revision == m_LatestRecord.m_Revision) {
    m_LatestRecordCall = m_CallsIssued;
    m_UncontendedReadsLeft = std::max(0, m_UncontendedReadsLeft - 1);
    return;
  }
  resolveWrites(Stored);
  setLatestRecord(Stored);
}

auto BudgetLedger::resolveWrites(const StoredRecord &Stored) -> void {
  const auto *const Entry =
      Stored.m_Record ? findHolder(*Stored.m_Record, m_Options.m_Holder) : nullptr;
  const auto Attempts = std::exchange(m_UnresolvedWrites, {});
  if (Entry == nullptr) {
    const auto IsRemoval = [](const WriteAttempt &Sent) { return Sent.m_RemovesEntry; };
    if (hasEntry() && std::none_of(Attempts.begin(), Attempts.end(), IsRemoval)) {
      handleLostEntry(false);
    }
    return;
  }
  const auto Landed = std::find_if(Attempts.begin(), Attempts.end(), [&](const WriteAttempt &Sent) {
    return Sent.m_Sequence == Entry->m_Sequence;
  });
  if (Landed != Attempts.end()) {
    finishBills(*Landed);
  } else if (!hasEntry() || ownEntry() != *Entry) {
    handleLostEntry(true);
  }
}

auto BudgetLedger::setLatestRecord(StoredRecord Stored) -> void {
  m_LatestRecord = std::move(Stored);
  m_HasLatestRecord = true;
  m_LatestRecordCall = m_CallsIssued;
  updateTotals();
}

auto BudgetLedger::updateTotals() -> void {
  m_FreeTokens = 0;
  m_UnsettledTokens = 0;
  if (!m_LatestRecord.m_Record) {
    return;
  }
  m_FreeTokens = freeTokens(*m_LatestRecord.m_Record);
  m_UnsettledTokens = unsettledTokens(*m_LatestRecord.m_Record);
  for (const auto &Entry : m_LatestRecord.m_Record->m_Holders) {
    m_FreeTokens += m_GoneHolders.contains(Entry.m_Holder) ? Entry.m_Granted - Entry.m_Settled : 0;
  }
}

auto BudgetLedger::finishBills(const WriteAttempt &Landed) -> void {
  auto Outcomes = std::map<ReservationId, BillOutcome>();
  for (const auto &Bill : Landed.m_Bills) {
    Outcomes.emplace(Bill.m_Reservation, Bill.m_Outcome);
  }
  std::erase_if(m_Pending, [&](const internal::PendingBill &Bill) {
    const auto Found = Outcomes.find(Bill.m_Reservation);
    if (Found == Outcomes.end()) {
      return false;
    }
    m_PendingTokens -= Bill.m_Used;
    if (!Bill.m_Answered) {
      m_Commands.emplace_back(BillAnswer{Bill.m_Reservation, Found->second});
    }
    return true;
  });
}

auto BudgetLedger::handleLostEntry(bool HolderIdReused) -> void {
  m_IsClosed = m_IsClosed || HolderIdReused;
  m_Commands.emplace_back(LostEntryReport{m_PendingTokens + m_Reserved, HolderIdReused});
  for (const auto &Bill : std::exchange(m_Pending, {})) {
    if (!Bill.m_Answered) {
      m_Commands.emplace_back(BillAnswer{Bill.m_Reservation, BillOutcome::Pending});
    }
  }
  m_Reservations.clear();
  m_PendingTokens = 0;
  m_Reserved = 0;
}

auto BudgetLedger::ownEntry() const -> HolderEntry {
  const auto *const Entry =
      m_LatestRecord.m_Record ? findHolder(*m_LatestRecord.m_Record, m_Options.m_Holder) : nullptr;
  return Entry == nullptr ? HolderEntry{.m_Holder = m_Options.m_Holder} : *Entry;
}

auto BudgetLedger::hasEntry() const -> bool {
  return m_LatestRecord.m_Record &&
         findHolder(*m_LatestRecord.m_Record, m_Options.m_Holder) != nullptr;
}

// Reservations.

auto BudgetLedger::allowance() const -> Tokens {
  if (m_IsClosed) {
    return 0;
  }
  const auto Own = ownEntry();
  auto Granted =
      m_WriteInFlight ? std::min(Own.m_Granted, m_WriteInFlight->m_Granted) : Own.m_Granted;
  for (const auto &Sent : m_UnresolvedWrites) {
    Granted = std::min(Granted, Sent.m_Granted);
  }
  return Granted - Own.m_Settled - m_PendingTokens - m_Reserved;
}

auto BudgetLedger::isExhausted(const Waiter &Request) const -> bool {
  const auto IsFresh = m_HasLatestRecord && m_LatestRecordCall > Request.m_CallsBefore;
  return IsFresh && (!m_LatestRecord.m_Record || m_UnsettledTokens < Request.m_WorstCase);
}

auto BudgetLedger::unavailableAt(const Waiter &Request) const -> base::SteadyTime {
  if (m_IsClosed) {
    return Request.m_Arrived;
  }
  if (!m_UnansweredSince) {
    return base::SteadyTime::max();
  }
  return std::max(Request.m_Arrived + std::min(KnownOutageWait, m_Options.m_UnavailableAfter),
                  *m_UnansweredSince + m_Options.m_UnavailableAfter);
}

auto BudgetLedger::acceptRequest(const Waiter &Request, LedgerTime Now) -> void {
  m_ReserveRate.add(static_cast<double>(Request.m_WorstCase), Now.m_Steady);
  m_Reserved += Request.m_WorstCase;
  m_Reservations.emplace(Request.m_Reservation,
                         OpenReservation{Request.m_RequestHash, Request.m_WorstCase});
  m_Commands.emplace_back(ReserveAnswer{Request.m_Reservation, std::nullopt});
}

auto BudgetLedger::checkRefusal(const Waiter &Request, LedgerTime Now)
    -> std::optional<base::Refusal> {
  if (isExhausted(Request)) {
    return refusal(base::RefusalCode::BudgetExhausted,
                   "The budget has fewer tokens left than this request may need.");
  }
  if (Request.m_Deadline <= Now.m_Steady) {
    return unavailableRefusal(
        "The tokens left in the budget are held for other requests until the deadline.");
  }
  const auto UnavailableAt = unavailableAt(Request);
  if (UnavailableAt <= Now.m_Steady) {
    return unavailableRefusal("This router holds too few tokens of the budget and cannot get more "
                              "now.");
  }
  requestTick(std::min(Request.m_Deadline, UnavailableAt));
  return std::nullopt;
}

auto BudgetLedger::bypassAt(const Waiter &Request) -> base::SteadyTime {
  return Request.m_Arrived + (Request.m_Deadline - Request.m_Arrived) / 2;
}

auto BudgetLedger::serveWaiters(LedgerTime Now) -> void {
  auto Left = allowance();
  auto Waiting = std::exchange(m_Waiters, {});
  for (auto &Request : Waiting) {
    auto Refusal = std::optional<base::Refusal>();
    const auto IsInTurn = m_Waiters.empty() || isDue(bypassAt(Request), Now);
    if (!IsInTurn || Request.m_WorstCase > Left) {
      Refusal = checkRefusal(Request, Now);
      if (!Refusal) {
        m_Waiters.push_back(std::move(Request));
        continue;
      }
    }
    // Before a request is refused, it may use tokens that the requests before it cannot use.
    if (Request.m_WorstCase <= Left) {
      Left -= Request.m_WorstCase;
      acceptRequest(Request, Now);
    } else {
      m_Commands.emplace_back(ReserveAnswer{Request.m_Reservation, std::move(Refusal)});
    }
  }
}

auto BudgetLedger::answerBillHolds(LedgerTime Now) -> void {
  for (auto &Bill : m_Pending) {
    if (!Bill.m_Answered && isDue(Bill.m_Submitted + m_Options.m_BillHold, Now)) {
      Bill.m_Answered = true;
      m_Commands.emplace_back(BillAnswer{Bill.m_Reservation, BillOutcome::Pending});
    }
  }
}

// Reads and writes of the record.

auto BudgetLedger::issueNextCall(LedgerTime Now) -> void {
  if (m_CallInFlight != StoreCall::None || m_IsClosed) {
    return;
  }
  const auto MayRead = isReadDue(Now);
  const auto MayWrite =
      m_HasLatestRecord && !m_MustRead && m_LatestRecord.m_Record && isWriteDue(Now);
  if (!MayRead && !MayWrite) {
    return;
  }
  if (!isDue(m_EarliestCall, Now)) {
    return;
  }
  const auto IsFresh = Now.m_Steady - m_LatestRecordTime <= MaxFreshRecordAge;
  if (MayWrite && m_UncontendedReadsLeft > 0 && !IsFresh) {
    return issueRead(Now);
  }
  m_WasRecordFresh = IsFresh;
  if (MayWrite && issueWrite(Now)) {
    return;
  }
  if (MayRead) {
    issueRead(Now);
    return;
  }
  requestTick(Now.m_Steady + m_Options.m_IdleReturnTime);
}

auto BudgetLedger::isReadDue(LedgerTime Now) -> bool {
  if (m_MustRead) {
    return true;
  }
  if (m_Waiters.empty() || !m_HasLatestRecord) {
    return !m_Waiters.empty();
  }
  const auto IsUnproven = [&](const Waiter &Request) {
    return m_LatestRecordCall <= Request.m_CallsBefore;
  };
  const auto NeedsProof = std::any_of(m_Waiters.begin(), m_Waiters.end(), IsUnproven);
  return isDue(m_LastCall + (NeedsProof ? m_Options.m_CommitInterval : PollInterval), Now);
}

auto BudgetLedger::isWriteDue(LedgerTime Now) -> bool {
  if (!m_UnresolvedWrites.empty()) {
    // A new write resolves the earlier ones, because all of them expect the same revision.
    return true;
  }
  if (m_IsDraining) {
    return isDrainWriteDue();
  }
  if (!m_Waiters.empty() && coverableDemand(allowance(), m_FreeTokens, Now) > 0) {
    return true;
  }
  if (!m_Pending.empty() && isDue(m_Pending.front().m_Submitted + m_CommitSpacing, Now)) {
    return true;
  }
  const auto Target = targetAllowance(m_FreeTokens + allowance(), Now);
  if (m_FreeTokens > 0 && m_Waiters.empty() && allowance() < Target / 2 &&
      isDue(m_LastCall + m_CommitSpacing, Now)) {
    return true;
  }
  return isSurplusDue(Now);
}

auto BudgetLedger::isSurplusDue(LedgerTime Now) -> bool {
  const auto Have = allowance();
  const auto Target = m_Waiters.empty() ? targetAllowance(m_FreeTokens + Have, Now) : Tokens{0};
  if (Have <= 0) {
    m_SurplusSince.reset();
    return false;
  }
  if (Have <= 2 * Target) {
    m_SurplusSince.reset();
    requestTick(Now.m_Steady + m_Options.m_IdleReturnTime);
    return false;
  }
  if (!m_SurplusSince) {
    // Two routers may each hold what the other waits for. Jitter prevents them from returning their
    // tokens and drawing the other's at the same moment.
    m_SurplusSince = Now.m_Steady + jitter(ContendedReturnDelay);
  }
  return isDue(*m_SurplusSince + surplusReturnDelay(), Now);
}

auto BudgetLedger::surplusReturnDelay() const -> std::chrono::milliseconds {
  return m_Waiters.empty() ? m_Options.m_IdleReturnTime
                           : std::min(ContendedReturnDelay, m_Options.m_IdleReturnTime);
}

auto BudgetLedger::isDrainWriteDue() const -> bool {
  return !m_Pending.empty() || allowance() > 0 || (m_Reservations.empty() && hasEntry());
}

auto BudgetLedger::markCallIssued(StoreCall Kind, LedgerTime Now) -> void {
  m_CallInFlight = Kind;
  ++m_CallsIssued;
  m_LastCall = Now.m_Steady;
  if (!m_UnansweredSince) {
    m_UnansweredSince = Now.m_Steady;
    for (const auto &Request : m_Waiters) {
      requestTick(unavailableAt(Request));
    }
  }
}

auto BudgetLedger::issueRead(LedgerTime Now) -> void {
  markCallIssued(StoreCall::Read, Now);
  m_Commands.emplace_back(ReadCommand{});
}

auto BudgetLedger::issueWrite(LedgerTime Now) -> bool {
  auto Next = composeWrite(Now);
  if (Next.m_Record == *m_LatestRecord.m_Record && m_UnresolvedWrites.empty()) {
    // Bills that leave the record unchanged were charged before; no write is needed.
    finishBills(Next);
    return false;
  }
  assignSequence(Next);
  markCallIssued(StoreCall::Write, Now);
  m_Commands.emplace_back(WriteCommand{m_LatestRecord.m_Revision, Next.m_Record});
  m_WriteInFlight = std::move(Next);
  return true;
}

auto BudgetLedger::composeWrite(LedgerTime Now) -> WriteAttempt {
  auto Next = WriteAttempt();
  Next.m_Record = *m_LatestRecord.m_Record;
  internal::reclaimEntries(Next.m_Record, m_GoneHolders);
  auto Own = ownEntry();
  Own.m_Settled += internal::settleBills(Next.m_Record, m_Pending, Now.m_UnixSeconds, Next.m_Bills);
  sizeGrant(Next.m_Record, Own, Now);
  Next.m_RemovesEntry = m_IsDraining && m_Reservations.empty() && m_Pending.empty();
  auto &Holders = Next.m_Record.m_Holders;
  const auto IsOwn = [&](const HolderEntry &Entry) { return Entry.m_Holder == Own.m_Holder; };
  if (Next.m_RemovesEntry) {
    Next.m_Record.m_RetiredSettled += Own.m_Settled;
    std::erase_if(Holders, IsOwn);
    return Next;
  }
  Next.m_Granted = Own.m_Granted;
  const auto OwnPosition = std::find_if(Holders.begin(), Holders.end(), IsOwn);
  if (OwnPosition != Holders.end()) {
    *OwnPosition = Own;
  } else if (Own.m_Granted > 0) {
    Holders.push_back(Own);
  }
  return Next;
}

auto BudgetLedger::assignSequence(WriteAttempt &Next) -> void {
  Next.m_Sequence = ++m_Sequence;
  for (auto &Entry : Next.m_Record.m_Holders) {
    if (Entry.m_Holder == m_Options.m_Holder) {
      Entry.m_Sequence = Next.m_Sequence;
    }
  }
}

auto BudgetLedger::coverableDemand(Tokens Have, Tokens Free, LedgerTime Now) const -> Tokens {
  Tokens Need = 0;
  auto IsAnyRequestShort = false;
  for (const auto &Request : m_Waiters) {
    // A request is never covered in part: two routers could each hold a part that the other needs.
    const auto Fits = Need + Request.m_WorstCase - Have <= Free;
    const auto IsInTurn = !IsAnyRequestShort || bypassAt(Request) <= Now.m_Steady;
    Need += Fits && IsInTurn ? Request.m_WorstCase : 0;
    IsAnyRequestShort = IsAnyRequestShort || !Fits;
  }
  return Need;
}

auto BudgetLedger::waitingTokens() const -> Tokens {
  Tokens Total = 0;
  for (const auto &Request : m_Waiters) {
    Total = std::min(MaxBudgetTokens, Total + Request.m_WorstCase);
  }
  return Total;
}

auto BudgetLedger::targetAllowance(Tokens Available, LedgerTime Now) const -> Tokens {
  const auto IsIdle =
      m_Reservations.empty() && m_LastActivity + m_Options.m_IdleReturnTime <= Now.m_Steady;
  if (m_IsDraining || IsIdle) {
    return 0;
  }
  const auto Target =
      m_Strategy->targetAllowance({.m_Unsettled = m_UnsettledTokens,
                                   .m_Available = std::max(Tokens{0}, Available),
                                   .m_SpendRate = m_SpendRate.rate(Now.m_Steady),
                                   .m_ReserveRate = m_ReserveRate.rate(Now.m_Steady),
                                   .m_Horizon = m_Options.m_GrantHorizon,
                                   .m_ExpectedRouters = m_Options.m_ExpectedRouters});
  return m_MaxGrantTokens ? std::min(Target, *m_MaxGrantTokens) : Target;
}

auto BudgetLedger::sizeGrant(const BudgetRecord &Record, HolderEntry &Own, LedgerTime Now) -> void {
  const auto Free = freeTokens(Record);
  const auto Have = Own.m_Granted - Own.m_Settled - m_Reserved;
  const auto Need = coverableDemand(Have, Free, Now);
  const auto Spare = Have - Need;
  const auto IsAnyRequestShort = Need < waitingTokens();
  const auto Target = IsAnyRequestShort ? Tokens{0} : targetAllowance(Free + Have, Now);
  if (Spare < 0 || (!IsAnyRequestShort && Spare < Target / 2)) {
    // No spare tokens are drawn while a request waits for other routers to return theirs.
    Own.m_Granted += IsAnyRequestShort ? -Spare : std::min(Free, Target - Spare);
    return;
  }
  const auto IsSurplusOld =
      m_SurplusSince && *m_SurplusSince + surplusReturnDelay() <= Now.m_Steady;
  if (Spare > 2 * Target && (!IsAnyRequestShort || IsSurplusOld)) {
    Own.m_Granted -= Spare - Target;
    m_SurplusSince.reset();
  }
}

// Drain, timing and jitter.

auto BudgetLedger::finishDrain() -> void {
  const auto IsEmpty = m_Reservations.empty() && m_Pending.empty() && !hasUnresolvedWrite();
  if (m_IsDraining && !m_IsDrainAnswered && (m_IsClosed || (IsEmpty && !hasEntry()))) {
    m_IsDrainAnswered = true;
    m_Commands.emplace_back(DrainedAnswer{});
  }
}

auto BudgetLedger::requestTick(base::SteadyTime Time) -> void {
  m_NextTick = m_NextTick ? std::min(*m_NextTick, Time) : Time;
}

auto BudgetLedger::isDue(base::SteadyTime Time, LedgerTime Now) -> bool {
  if (Time <= Now.m_Steady) {
    return true;
  }
  requestTick(Time);
  return false;
}

auto BudgetLedger::jitter(std::chrono::milliseconds Limit) -> std::chrono::microseconds {
  const auto MaxMicroseconds = std::chrono::microseconds(Limit).count();
  auto Distribution =
      std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(MaxMicroseconds, 1));
  return std::chrono::microseconds(Distribution(m_Random));
}

} // namespace geraniumlift::budget
