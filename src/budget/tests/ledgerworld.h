#pragma once

#include "budget/budgetledger.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>

namespace geraniumlift::budget::tests {

enum class OpKind {
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

/// One step of a schedule. The numbers are reduced to what the step needs.
struct Op {
  OpKind m_Kind = OpKind::Advance;
  unsigned m_Router = 0;
  unsigned m_Amount = 0;
  unsigned m_Choice = 0;
};

inline auto showValue(const Op &Step, std::ostream &Out) -> void {
  Out << static_cast<int>(Step.m_Kind) << ":" << Step.m_Router << ":" << Step.m_Amount << ":"
      << Step.m_Choice;
}

/// What a world adds to the faults that are always there.
struct WorldOptions {
  /// Requests come with idempotency keys and are retried at other routers.
  bool m_WithKeys = false;

  /// Holders that are alive are reclaimed too. Their bills in flight are lost, but the record must
  /// hold its limit and nothing may be charged twice.
  bool m_WithFalseProofs = false;
};

/// Several routers over one record, with every fault of section 1 that touches budgets. Each step
/// checks the properties that must always hold.
template <typename Ledger>
class LedgerWorld {
public:
  LedgerWorld(const std::vector<Ledger> &Ledgers, WorldOptions Options) : m_Options(Options) {
    m_Record.m_ToppedUp = 80;
    for (const auto &Each : Ledgers) {
      m_Nodes.push_back({Each, holder(m_Nodes.size())});
    }
    noteUnsettled();
  }

  static auto holder(std::size_t Index) -> base::HolderId {
    return {"vm-" + std::to_string(Index), 1};
  }

  auto run(const std::vector<Op> &Schedule) -> void {
    for (const auto &Step : Schedule) {
      apply(Step);
      check();
    }
  }

  /// Ends all faults, finishes all requests and drains the live routers; then every bill that was
  /// not lost with a router must be in the record exactly once.
  auto finish() -> void {
    for (auto &Node : m_Nodes) {
      Node.m_Cut = false;
      resume(Node);
      while (!Node.m_Held.empty()) {
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
    auto AnyDead = m_Options.m_WithFalseProofs;
    for (auto &Node : m_Nodes) {
      AnyDead = AnyDead || !Node.m_Alive;
      RC_ASSERT(!Node.m_Alive || Node.m_Drained);
      RC_ASSERT(!Node.m_Alive || Node.m_WaitingBills.empty());
      RC_ASSERT(!Node.m_Alive || findHolder(m_Record, Node.m_Holder) == nullptr);
    }
    RC_ASSERT(AnyDead || totalSettled() == mostCharged(m_Submitted));
  }

private:
  struct Request {
    std::string m_Key;
    Tokens m_WorstCase = 0;
    std::size_t m_ArrivedAt = 0;
  };

  struct Node {
    Ledger m_Ledger;
    base::HolderId m_Holder;
    bool m_Alive = true;
    bool m_Paused = false;
    bool m_Cut = false;
    bool m_Drained = false;
    std::optional<LedgerCommand> m_Call = {};
    std::vector<LedgerEvent> m_Inbox = {};
    std::map<ReservationId, Request> m_Waiting = {};
    std::map<ReservationId, Request> m_Held = {};

    /// Used tokens by request, of bills that are not answered yet.
    std::map<ReservationId, std::pair<std::string, Tokens>> m_WaitingBills = {};
    Tokens m_SubmittedTokens = 0;
  };

  /// Used tokens by request ID, one for each attempt.
  using Bills = std::map<std::string, std::vector<Tokens>>;

  auto now() const -> LedgerTime {
    return {m_Now, m_Now.time_since_epoch() / std::chrono::seconds{1}};
  }

  auto apply(const Op &Step) -> void {
    auto &Node = m_Nodes[Step.m_Router % m_Nodes.size()];
    switch (Step.m_Kind) {
    case OpKind::Reserve:
      return reserve(Node, Step);
    case OpKind::Bill:
      return bill(Node, Step.m_Choice, Step.m_Amount);
    case OpKind::Release:
      return release(Node, Step.m_Choice);
    case OpKind::TopUp:
      m_Record.m_ToppedUp += Step.m_Amount % 100;
      return noteWrite();
    case OpKind::FinishCall:
      return finishCall(Node, Step.m_Choice % 5);
    case OpKind::DeliverLateWrite:
      return deliverLateWrite(Step.m_Choice);
    case OpKind::Advance:
      return advance(std::chrono::milliseconds{1 + Step.m_Amount % 3000});
    case OpKind::TogglePause:
      return Node.m_Paused ? resume(Node) : void(Node.m_Paused = true);
    case OpKind::TogglePartition:
      Node.m_Cut = !Node.m_Cut;
      return;
    case OpKind::Kill:
      return Step.m_Choice % 4 == 0 ? kill(Node) : void();
    case OpKind::Reclaim:
      return reclaim(Node, Step.m_Choice);
    case OpKind::Drain:
      return Step.m_Choice % 4 == 0 ? send(Node, DrainEvent{}) : void();
    case OpKind::Count:
      return;
    }
  }

  auto reserve(Node &Target, const Op &Step) -> void {
    if (!Target.m_Alive) {
      return;
    }
    const auto Id = ++m_LastId;
    const auto IsKeyed = m_Options.m_WithKeys && Step.m_Choice % 3 != 0;
    const auto Key =
        IsKeyed ? "key-" + std::to_string(Step.m_Choice % 5) : "id-" + std::to_string(Id);
    const auto WorstCase = static_cast<Tokens>(1 + Step.m_Amount % 60);
    Target.m_Waiting[Id] = {Key, WorstCase, m_Unsettled.size() - 1};
    send(Target, ReserveEvent{Id, IsKeyed ? Key : "", WorstCase, m_Now + std::chrono::seconds{5}});
  }

  auto bill(Node &Target, unsigned Choice, unsigned Amount) -> void {
    if (Target.m_Held.empty() || Target.m_Paused || !Target.m_Alive) {
      return Target.m_Alive ? void() : Target.m_Held.clear();
    }
    const auto Found = std::next(Target.m_Held.begin(), Choice % Target.m_Held.size());
    const auto [Id, Held] = *Found;
    const auto Used = static_cast<Tokens>(Amount % (Held.m_WorstCase + 1));
    Target.m_Held.erase(Found);
    Target.m_WaitingBills[Id] = {Held.m_Key, Used};
    Target.m_SubmittedTokens += Used;
    m_Submitted[Held.m_Key].push_back(Used);
    send(Target, BillEvent{Id, Used});
  }

  auto release(Node &Target, unsigned Choice) -> void {
    if (!Target.m_Held.empty() && !Target.m_Paused && Target.m_Alive) {
      const auto Found = std::next(Target.m_Held.begin(), Choice % Target.m_Held.size());
      const auto Id = Found->first;
      Target.m_Held.erase(Found);
      send(Target, ReleaseEvent{Id});
    }
  }

  /// Ends the call in flight: 0 and 1 normally, 2 with the answer lost, 3 with the write lost, 4
  /// with the write delayed until after the answer was given up.
  auto finishCall(Node &Target, unsigned How) -> void {
    if (!Target.m_Call) {
      return;
    }
    const auto Command = *std::exchange(Target.m_Call, std::nullopt);
    const auto *const Write = std::get_if<WriteCommand>(&Command);
    if (Write == nullptr) {
      const auto Lost = Target.m_Cut || How >= 2;
      return send(Target, Lost ? LedgerEvent(ReadFailedEvent{})
                               : LedgerEvent(RecordReadEvent{{m_Revision, m_Record}}));
    }
    if (Target.m_Cut || How == 3) {
      return send(Target, WriteUnknownEvent{});
    }
    if (How == 4) {
      m_LateWrites.push_back(*Write);
      return send(Target, WriteUnknownEvent{});
    }
    const auto Landed = compareAndSwap(*Write);
    if (How == 2) {
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
    noteWrite();
    return true;
  }

  auto noteWrite() -> void {
    ++m_Revision;
    noteUnsettled();
  }

  auto noteUnsettled() -> void { m_Unsettled.push_back(unsettledTokens(m_Record)); }

  auto advance(std::chrono::milliseconds Step) -> void {
    m_Now += Step;
    for (auto &Node : m_Nodes) {
      if (!Node.m_Paused) {
        send(Node, TickEvent{});
      }
    }
  }

  auto resume(Node &Target) -> void {
    Target.m_Paused = false;
    for (const auto &Event : std::exchange(Target.m_Inbox, {})) {
      send(Target, Event);
    }
  }

  auto kill(Node &Target) -> void {
    Target.m_Alive = false;
    if (Target.m_Call && std::holds_alternative<WriteCommand>(*Target.m_Call)) {
      m_LateWrites.push_back(std::get<WriteCommand>(*Target.m_Call));
    }
    Target.m_Call.reset();
  }

  auto reclaim(Node &Witness, unsigned Choice) -> void {
    const auto &Dead = m_Nodes[Choice % m_Nodes.size()];
    if (!Dead.m_Alive || m_Options.m_WithFalseProofs) {
      send(Witness, HolderGoneEvent{Dead.m_Holder});
    }
  }

  auto send(Node &Target, const LedgerEvent &Event) -> void {
    if (Target.m_Paused && Target.m_Alive) {
      Target.m_Inbox.push_back(Event);
      return;
    }
    if (!Target.m_Alive) {
      return;
    }
    for (const auto &Command : Target.m_Ledger.handle(Event, now())) {
      std::visit([&](const auto &Typed) { execute(Target, Typed); }, Command);
    }
  }

  template <typename CallCommand>
  auto execute(Node &Target, const CallCommand &Command) -> void {
    RC_ASSERT(!Target.m_Call.has_value());
    Target.m_Call = Command;
  }

  auto execute(Node &Target, const ReserveAnswer &Answer) -> void {
    const auto Found = Target.m_Waiting.find(Answer.m_Reservation);
    RC_ASSERT(Found != Target.m_Waiting.end());
    const auto Asked = Found->second;
    Target.m_Waiting.erase(Found);
    if (!Answer.m_Refusal) {
      Target.m_Held[Answer.m_Reservation] = Asked;
    } else if (Answer.m_Refusal->m_Code == base::RefusalCode::BudgetExhausted) {
      // A ledger that writes for every request would have refused at the lowest of these points.
      const auto Since = m_Unsettled.begin() + static_cast<std::ptrdiff_t>(Asked.m_ArrivedAt);
      RC_ASSERT(*std::min_element(Since, m_Unsettled.end()) < Asked.m_WorstCase);
    }
  }

  auto execute(Node &Target, const BillAnswer &Answer) -> void {
    const auto Found = Target.m_WaitingBills.find(Answer.m_Reservation);
    RC_ASSERT(Found != Target.m_WaitingBills.end());
    if (Answer.m_Outcome != BillOutcome::Pending) {
      m_Answered[Found->second.first].push_back(Found->second.second);
    }
    Target.m_WaitingBills.erase(Found);
  }

  auto execute(Node & /*Target*/, const LostEntryReport & /*Report*/) -> void {
    RC_ASSERT(m_Options.m_WithFalseProofs);
  }

  auto execute(Node &Target, const DrainedAnswer & /*Answer*/) -> void { Target.m_Drained = true; }

  auto totalSettled() const -> Tokens { return m_Record.m_ToppedUp - unsettledTokens(m_Record); }

  /// What the requests cost if each is charged for its largest attempt.
  static auto mostCharged(const Bills &Charged) -> Tokens {
    Tokens Total = 0;
    for (const auto &[Key, Attempts] : Charged) {
      Total += *std::max_element(Attempts.begin(), Attempts.end());
    }
    return Total;
  }

  auto check() const -> void {
    const auto Status = checkRecord(m_Record);
    RC_ASSERT(Status.ok());
    RC_ASSERT(totalSettled() <= mostCharged(m_Submitted));
    RC_ASSERT(totalSettled() >= mostCharged(m_Answered));
    for (const auto &Node : m_Nodes) {
      if (Node.m_Alive && !m_Options.m_WithKeys && !m_Options.m_WithFalseProofs) {
        checkBacking(Node);
      }
    }
  }

  /// What a router reserved and billed is covered by its grant in the record, and what is not
  /// settled there is still pending in the router.
  auto checkBacking(const Node &Live) const -> void {
    Tokens Spent = Live.m_SubmittedTokens;
    for (const auto &[Id, Held] : Live.m_Held) {
      Spent += Held.m_WorstCase;
    }
    const auto *const Entry = findHolder(m_Record, Live.m_Holder);
    if (Entry == nullptr) {
      RC_ASSERT(Live.m_Drained || Spent == 0 || Live.m_Ledger.hasUnresolvedWrite());
      return;
    }
    RC_ASSERT(Spent <= Entry->m_Granted);
    if (!Live.m_Ledger.hasUnresolvedWrite() && !Live.m_Paused) {
      RC_ASSERT(Entry->m_Settled + Live.m_Ledger.pendingTokens() == Live.m_SubmittedTokens);
    }
  }

  WorldOptions m_Options;
  base::SteadyTime m_Now{std::chrono::hours{1}};
  BudgetRecord m_Record;
  std::int64_t m_Revision = 1;

  /// Unsettled tokens at each revision, oldest first.
  std::vector<Tokens> m_Unsettled;
  std::vector<Node> m_Nodes;
  std::vector<WriteCommand> m_LateWrites;
  Bills m_Submitted;
  Bills m_Answered;
  ReservationId m_LastId = 0;
};

} // namespace geraniumlift::budget::tests

namespace rc {

template <>
struct Arbitrary<geraniumlift::budget::tests::Op> {
  static auto arbitrary() -> Gen<geraniumlift::budget::tests::Op> {
    using geraniumlift::budget::tests::Op;
    using geraniumlift::budget::tests::OpKind;
    // Steps that make progress are drawn more often than faults.
    const auto Kind = gen::weightedOneOf<OpKind>(
        {{5, gen::just(OpKind::Reserve)},
         {4, gen::just(OpKind::Bill)},
         {8, gen::just(OpKind::FinishCall)},
         {5, gen::just(OpKind::Advance)},
         {1, gen::just(OpKind::TopUp)},
         {6, gen::map(gen::inRange(0, static_cast<int>(OpKind::Count)),
                      [](int Value) { return static_cast<OpKind>(Value); })}});
    return gen::construct<Op>(Kind, gen::inRange(0U, 4U), gen::inRange(0U, 6000U),
                              gen::inRange(0U, 60U));
  }
};

} // namespace rc
