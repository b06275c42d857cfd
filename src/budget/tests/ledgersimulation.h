#pragma once

#include "budget/budgetledger.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>

namespace geraniumlift::budget::tests {

enum class StepKind {
  Reserve,
  Bill,
  Release,
  TopUp,
  FinishCall,
  DeliverLateWrite,
  Advance,
  TogglePause,
  TogglePartition,
  Kill,
  Reclaim,
  Drain,
  Count,
};

/// One step of a schedule. The numbers are random and reduced to the range that the step needs.
struct ScheduleStep {
  StepKind m_Kind = StepKind::Advance;
  unsigned m_Router = 0;
  unsigned m_Amount = 0;
  unsigned m_Choice = 0;
};

inline auto showValue(const ScheduleStep &Step, std::ostream &Out) -> void {
  Out << static_cast<int>(Step.m_Kind) << ":" << Step.m_Router << ":" << Step.m_Amount << ":"
      << Step.m_Choice;
}

/// Conditions that a simulation adds to the faults that it always has.
struct SimulationOptions {
  /// Requests come with idempotency keys and are retried at other routers.
  bool m_UsesIdempotencyKeys = false;

  /// Entries of live holders are reclaimed too. Their bills in flight are lost, but the record must
  /// keep its invariants and no request may be charged twice.
  bool m_ReclaimsLiveHolders = false;
};

/// Simulates several routers that share one record, with all faults that affect budgets: lost and
/// delayed calls, partitions, paused and killed routers. The invariants are checked after each
/// step.
template <typename Ledger>
class LedgerSimulation {
public:
  LedgerSimulation(const std::vector<Ledger> &Ledgers, SimulationOptions Options)
      : m_Options(Options) {
    m_Record.m_ToppedUp = 80;
    for (const auto &Each : Ledgers) {
      m_Nodes.push_back({Each, holder(m_Nodes.size())});
    }
    recordUnsettledTokens();
  }

  static auto holder(std::size_t Index) -> base::HolderId {
    return {"vm-" + std::to_string(Index), 1};
  }

  auto run(const std::vector<ScheduleStep> &Schedule) -> void {
    for (const auto &Step : Schedule) {
      apply(Step);
      check();
    }
  }

  /// Ends all faults, finishes all requests and drains the live routers; then every bill that was
  /// not lost with a router must be in the record exactly once.
  auto finish() -> void {
    for (auto &Node : m_Nodes) {
      Node.m_IsPartitioned = false;
      resume(Node);
      while (!Node.m_Reservations.empty()) {
        bill(Node, 0, 1);
      }
      send(Node, DrainEvent{});
    }
    for (int Round = 0; Round < 200; ++Round) {
      for (auto &Node : m_Nodes) {
        finishCall(Node, 0);
      }
      advance(std::chrono::milliseconds{500});
      check();
    }
    auto MayHaveLostBills = m_Options.m_ReclaimsLiveHolders;
    for (auto &Node : m_Nodes) {
      MayHaveLostBills = MayHaveLostBills || !Node.m_IsAlive;
      RC_ASSERT(!Node.m_IsAlive || Node.m_IsDrained);
      RC_ASSERT(!Node.m_IsAlive || Node.m_UnansweredBills.empty());
      RC_ASSERT(!Node.m_IsAlive || findHolder(m_Record, Node.m_Holder) == nullptr);
    }
    RC_ASSERT(MayHaveLostBills || totalSettled() == totalOfLargestAttempts(m_SubmittedBills));
  }

private:
  struct Request {
    std::string m_Key;
    Tokens m_WorstCase = 0;
    std::size_t m_ArrivalIndex = 0;
  };

  struct Node {
    Ledger m_Ledger;
    base::HolderId m_Holder;
    bool m_IsAlive = true;
    bool m_IsPaused = false;
    bool m_IsPartitioned = false;
    bool m_IsDrained = false;
    std::optional<LedgerCommand> m_CallInFlight = {};
    std::vector<LedgerEvent> m_QueuedEvents = {};
    std::map<ReservationId, Request> m_WaitingRequests = {};
    std::map<ReservationId, Request> m_Reservations = {};

    /// Request key and used tokens of each bill that is not answered yet.
    std::map<ReservationId, std::pair<std::string, Tokens>> m_UnansweredBills = {};
    Tokens m_SubmittedTokens = 0;
  };

  /// Used tokens of each attempt, by request key.
  using Bills = std::map<std::string, std::vector<Tokens>>;

  auto now() const -> LedgerTime {
    return {m_Now, m_Now.time_since_epoch() / std::chrono::seconds{1}};
  }

  auto apply(const ScheduleStep &Step) -> void {
    auto &Node = m_Nodes[Step.m_Router % m_Nodes.size()];
    switch (Step.m_Kind) {
    case StepKind::Reserve:
      return reserve(Node, Step);
    case StepKind::Bill:
      return bill(Node, Step.m_Choice, Step.m_Amount);
    case StepKind::Release:
      return release(Node, Step.m_Choice);
    case StepKind::TopUp:
      m_Record.m_ToppedUp += Step.m_Amount % 100;
      return recordWrite();
    case StepKind::FinishCall:
      return finishCall(Node, Step.m_Choice % 5);
    case StepKind::DeliverLateWrite:
      return deliverLateWrite(Step.m_Choice);
    case StepKind::Advance:
      return advance(std::chrono::milliseconds{1 + Step.m_Amount % 3000});
    case StepKind::TogglePause:
      return Node.m_IsPaused ? resume(Node) : void(Node.m_IsPaused = true);
    case StepKind::TogglePartition:
      Node.m_IsPartitioned = !Node.m_IsPartitioned;
      return;
    case StepKind::Kill:
      return Step.m_Choice % 4 == 0 ? kill(Node) : void();
    case StepKind::Reclaim:
      return reclaim(Node, Step.m_Choice);
    case StepKind::Drain:
      return Step.m_Choice % 4 == 0 ? send(Node, DrainEvent{}) : void();
    case StepKind::Count:
      return;
    }
  }

  auto reserve(Node &Target, const ScheduleStep &Step) -> void {
    if (!Target.m_IsAlive) {
      return;
    }
    const auto Id = ++m_LastId;
    const auto IsKeyed = m_Options.m_UsesIdempotencyKeys && Step.m_Choice % 3 != 0;
    const auto Key =
        IsKeyed ? "key-" + std::to_string(Step.m_Choice % 5) : "id-" + std::to_string(Id);
    const auto WorstCase = static_cast<Tokens>(1 + Step.m_Amount % 60);
    Target.m_WaitingRequests[Id] = {Key, WorstCase, m_UnsettledByRevision.size() - 1};
    send(Target, ReserveEvent{Id, IsKeyed ? Key : "", WorstCase, m_Now + std::chrono::seconds{5}});
  }

  auto bill(Node &Target, unsigned Choice, unsigned Amount) -> void {
    if (Target.m_Reservations.empty() || Target.m_IsPaused || !Target.m_IsAlive) {
      return Target.m_IsAlive ? void() : Target.m_Reservations.clear();
    }
    const auto Found =
        std::next(Target.m_Reservations.begin(), Choice % Target.m_Reservations.size());
    const auto [Id, Reserved] = *Found;
    const auto Used = static_cast<Tokens>(Amount % (Reserved.m_WorstCase + 1));
    Target.m_Reservations.erase(Found);
    Target.m_UnansweredBills[Id] = {Reserved.m_Key, Used};
    Target.m_SubmittedTokens += Used;
    m_SubmittedBills[Reserved.m_Key].push_back(Used);
    send(Target, BillEvent{Id, Used});
  }

  auto release(Node &Target, unsigned Choice) -> void {
    if (!Target.m_Reservations.empty() && !Target.m_IsPaused && Target.m_IsAlive) {
      const auto Found =
          std::next(Target.m_Reservations.begin(), Choice % Target.m_Reservations.size());
      const auto Id = Found->first;
      Target.m_Reservations.erase(Found);
      send(Target, ReleaseEvent{Id});
    }
  }

  /// Ends the call in flight. CallResult is 0 or 1 for success, 2 for a lost answer, 3 for a lost
  /// write and 4 for a write that is delayed until after the caller has given up.
  auto finishCall(Node &Target, unsigned CallResult) -> void {
    if (!Target.m_CallInFlight) {
      return;
    }
    const auto Command = *std::exchange(Target.m_CallInFlight, std::nullopt);
    const auto *const Write = std::get_if<WriteCommand>(&Command);
    if (Write == nullptr) {
      const auto Lost = Target.m_IsPartitioned || CallResult >= 2;
      return send(Target, Lost ? LedgerEvent(ReadFailedEvent{})
                               : LedgerEvent(RecordReadEvent{{m_Revision, m_Record}}));
    }
    if (Target.m_IsPartitioned || CallResult == 3) {
      return send(Target, WriteUnknownEvent{});
    }
    if (CallResult == 4) {
      m_LateWrites.push_back(*Write);
      return send(Target, WriteUnknownEvent{});
    }
    const auto Landed = compareAndSwap(*Write);
    if (CallResult == 2) {
      return send(Target, WriteUnknownEvent{});
    }
    send(Target, Landed ? LedgerEvent(WriteLandedEvent{m_Revision})
                        : LedgerEvent(WriteConflictEvent{{m_Revision, m_Record}}));
  }

  auto deliverLateWrite(unsigned Choice) -> void {
    if (!m_LateWrites.empty()) {
      const auto At = std::next(m_LateWrites.begin(), Choice % m_LateWrites.size());
      compareAndSwap(*At);
      m_LateWrites.erase(At);
    }
  }

  auto compareAndSwap(const WriteCommand &Write) -> bool {
    if (Write.m_ExpectedRevision != m_Revision) {
      return false;
    }
    m_Record = Write.m_Record;
    recordWrite();
    return true;
  }

  auto recordWrite() -> void {
    ++m_Revision;
    recordUnsettledTokens();
  }

  auto recordUnsettledTokens() -> void {
    m_UnsettledByRevision.push_back(unsettledTokens(m_Record));
  }

  auto advance(std::chrono::milliseconds Step) -> void {
    m_Now += Step;
    for (auto &Node : m_Nodes) {
      if (!Node.m_IsPaused) {
        send(Node, TickEvent{});
      }
    }
  }

  auto resume(Node &Target) -> void {
    Target.m_IsPaused = false;
    for (const auto &Event : std::exchange(Target.m_QueuedEvents, {})) {
      send(Target, Event);
    }
  }

  auto kill(Node &Target) -> void {
    Target.m_IsAlive = false;
    if (Target.m_CallInFlight && std::holds_alternative<WriteCommand>(*Target.m_CallInFlight)) {
      m_LateWrites.push_back(std::get<WriteCommand>(*Target.m_CallInFlight));
    }
    Target.m_CallInFlight.reset();
  }

  auto reclaim(Node &Reporter, unsigned Choice) -> void {
    const auto &Reclaimed = m_Nodes[Choice % m_Nodes.size()];
    if (!Reclaimed.m_IsAlive || m_Options.m_ReclaimsLiveHolders) {
      send(Reporter, HolderGoneEvent{Reclaimed.m_Holder});
    }
  }

  auto send(Node &Target, const LedgerEvent &Event) -> void {
    if (Target.m_IsPaused && Target.m_IsAlive) {
      Target.m_QueuedEvents.push_back(Event);
      return;
    }
    if (!Target.m_IsAlive) {
      return;
    }
    for (const auto &Command : Target.m_Ledger.handle(Event, now())) {
      std::visit([&](const auto &Typed) { execute(Target, Typed); }, Command);
    }
  }

  template <typename CallCommand>
  auto execute(Node &Target, const CallCommand &Command) -> void {
    RC_ASSERT(!Target.m_CallInFlight.has_value());
    Target.m_CallInFlight = Command;
  }

  auto execute(Node &Target, const ReserveAnswer &Answer) -> void {
    const auto Found = Target.m_WaitingRequests.find(Answer.m_Reservation);
    RC_ASSERT(Found != Target.m_WaitingRequests.end());
    const auto Requested = Found->second;
    Target.m_WaitingRequests.erase(Found);
    if (!Answer.m_Refusal) {
      Target.m_Reservations[Answer.m_Reservation] = Requested;
    } else if (Answer.m_Refusal->m_Code == base::RefusalCode::BudgetExhausted) {
      // A ledger that writes for every request would have refused it at the lowest of these values.
      const auto Since =
          m_UnsettledByRevision.begin() + static_cast<std::ptrdiff_t>(Requested.m_ArrivalIndex);
      RC_ASSERT(*std::min_element(Since, m_UnsettledByRevision.end()) < Requested.m_WorstCase);
    }
  }

  auto execute(Node &Target, const BillAnswer &Answer) -> void {
    const auto Found = Target.m_UnansweredBills.find(Answer.m_Reservation);
    RC_ASSERT(Found != Target.m_UnansweredBills.end());
    if (Answer.m_Outcome != BillOutcome::Pending) {
      m_AnsweredBills[Found->second.first].push_back(Found->second.second);
    }
    Target.m_UnansweredBills.erase(Found);
  }

  auto execute(Node & /*Target*/, const LostEntryReport & /*Report*/) -> void {
    RC_ASSERT(m_Options.m_ReclaimsLiveHolders);
  }

  auto execute(Node &Target, const DrainedAnswer & /*Answer*/) -> void {
    Target.m_IsDrained = true;
  }

  auto totalSettled() const -> Tokens { return m_Record.m_ToppedUp - unsettledTokens(m_Record); }

  /// Total cost if each request is charged for its largest attempt.
  static auto totalOfLargestAttempts(const Bills &Charged) -> Tokens {
    Tokens Total = 0;
    for (const auto &[Key, Attempts] : Charged) {
      Total += *std::max_element(Attempts.begin(), Attempts.end());
    }
    return Total;
  }

  auto check() const -> void {
    const auto Status = checkRecord(m_Record);
    RC_ASSERT(Status.ok());
    RC_ASSERT(totalSettled() <= totalOfLargestAttempts(m_SubmittedBills));
    RC_ASSERT(totalSettled() >= totalOfLargestAttempts(m_AnsweredBills));
    for (const auto &Node : m_Nodes) {
      if (Node.m_IsAlive && !m_Options.m_UsesIdempotencyKeys && !m_Options.m_ReclaimsLiveHolders) {
        checkGrantCoversSpending(Node);
      }
    }
  }

  /// Checks that the record's grant covers all tokens that a router reserved and billed, and that
  /// bills that are not settled in the record are still pending in the router.
  auto checkGrantCoversSpending(const Node &Live) const -> void {
    Tokens Spent = Live.m_SubmittedTokens;
    for (const auto &[Id, Reserved] : Live.m_Reservations) {
      Spent += Reserved.m_WorstCase;
    }
    const auto *const Entry = findHolder(m_Record, Live.m_Holder);
    if (Entry == nullptr) {
      RC_ASSERT(Live.m_IsDrained || Spent == 0 || Live.m_Ledger.hasUnresolvedWrite());
      return;
    }
    RC_ASSERT(Spent <= Entry->m_Granted);
    if (!Live.m_Ledger.hasUnresolvedWrite() && !Live.m_IsPaused) {
      RC_ASSERT(Entry->m_Settled + Live.m_Ledger.pendingTokens() == Live.m_SubmittedTokens);
    }
  }

  SimulationOptions m_Options;
  base::SteadyTime m_Now{std::chrono::hours{1}};
  BudgetRecord m_Record;
  std::int64_t m_Revision = 1;

  /// Unsettled tokens at each revision, oldest first.
  std::vector<Tokens> m_UnsettledByRevision;
  std::vector<Node> m_Nodes;
  std::vector<WriteCommand> m_LateWrites;
  Bills m_SubmittedBills;
  Bills m_AnsweredBills;
  ReservationId m_LastId = 0;
};

} // namespace geraniumlift::budget::tests

namespace rc {

template <>
struct Arbitrary<geraniumlift::budget::tests::ScheduleStep> {
  static auto arbitrary() -> Gen<geraniumlift::budget::tests::ScheduleStep> {
    using geraniumlift::budget::tests::ScheduleStep;
    using geraniumlift::budget::tests::StepKind;
    // Steps that make progress are drawn more often than faults.
    const auto Kind = gen::weightedOneOf<StepKind>(
        {{5, gen::just(StepKind::Reserve)},
         {4, gen::just(StepKind::Bill)},
         {8, gen::just(StepKind::FinishCall)},
         {5, gen::just(StepKind::Advance)},
         {1, gen::just(StepKind::TopUp)},
         {6, gen::map(gen::inRange(0, static_cast<int>(StepKind::Count)),
                      [](int Value) { return static_cast<StepKind>(Value); })}});
    return gen::construct<ScheduleStep>(Kind, gen::inRange(0U, 4U), gen::inRange(0U, 6000U),
                                        gen::inRange(0U, 60U));
  }
};

} // namespace rc
