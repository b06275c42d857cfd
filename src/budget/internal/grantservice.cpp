#include "budget/grantservice.h"

#include "budget/internal/grantcodec.h"

#include <algorithm>

namespace geraniumlift::budget {

namespace {

constexpr auto PoolPrefix = std::string_view("geraniumlift/ledger/pool/");
constexpr auto HolderPrefix = std::string_view("geraniumlift/ledger/holder/");

/// Until this time after the start the other routers register, so that their number is known.
constexpr auto LayoutDelay = std::chrono::milliseconds(2000);

/// Parts of a budget that are drawn on for one request. Each may cost a write.
constexpr auto MaxPartsDrawn = std::size_t{3};

/// Routers that a keeper counts as sharing a part when it bounds its reserve by their even share.
/// With two it holds a little over half of what nobody has used, as all routers of a small fleet do
/// together.
constexpr auto SharersOfKeptPart = std::int64_t{2};

} // namespace

auto keyOfGrantPool(std::string_view Budget) -> std::string {
  return std::string(PoolPrefix).append(Budget);
}

auto keyOfHolder(std::string_view Router) -> std::string {
  return std::string(HolderPrefix).append(Router);
}

GrantService::GrantService(std::string Router, GrantOptions Options,
                           keyvalue::ITransactionStore &Store, ITransferLink &Link,
                           base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log)
    : m_Router(std::move(Router)), m_Store(Store), m_Timers(Timers), m_Clock(Clock), m_Log(Log),
      m_Link(Link), m_Book(Options),
      m_Exchange(m_Router, Options.m_Session, Link, Timers, Clock, Log), m_Alive({m_Router}),
      m_Started(Clock.steadyNow()) {
  m_Exchange.setGrants(
      [this](const std::string &Part, Tokens Amount, base::SteadyTime Deadline,
             std::function<void(Tokens)> Done) {
        withdraw(Part, Amount, Deadline, std::move(Done));
      },
      [this](const std::string &Into, Tokens Amount) { m_Book.receive(Into, Amount); });
}

auto GrantService::withdraw(const std::string &Part, Tokens Amount, base::SteadyTime Deadline,
                            std::function<void(Tokens)> Done) -> void {
  // Without keepers a router counts its demand itself. It is drawn for only if it is cut off.
  if (!hasKeepers() && m_Book.withdraw(Part, Amount)) {
    Done(Amount);
    return;
  }
  m_Book.reserve(Part, Amount, Deadline, m_Clock.steadyNow(),
                 [this, Part, Amount, Done = std::move(Done)](GrantAnswer Answer) {
                   const auto IsGranted = Answer == GrantAnswer::Granted;
                   if (IsGranted) {
                     m_Book.settle(Part, Amount, Amount, m_Clock.steadyNow());
                   }
                   Done(IsGranted ? Amount : 0);
                 });
}

auto GrantService::reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
                           std::function<void(Reservation)> Done) -> void {
  if (!m_Parts) {
    Done({GrantAnswer::Unavailable, {}});
    return;
  }
  auto Item = std::make_shared<Search>();
  Item->m_Parts = m_Parts->namesOf(Budget);
  // After the home, the part with the most free tokens is the likeliest to have enough.
  std::stable_sort(Item->m_Parts.begin() + 1, Item->m_Parts.end(),
                   [this](const auto &Left, const auto &Right) {
                     return m_Book.freeTokens(Left) > m_Book.freeTokens(Right);
                   });
  Item->m_WorstCase = WorstCase;
  Item->m_Deadline = Deadline;
  Item->m_Done = std::move(Done);
  searchOn(Item);
  pump();
}

auto GrantService::keeps(const std::string &Part) const -> bool {
  return !hasKeepers() || BudgetParts::keeperOf(Part, m_Alive) == m_Router;
}

auto GrantService::searchOn(const std::shared_ptr<Search> &Item) -> void {
  const auto &Home = Item->m_Parts.front();
  const auto Now = m_Clock.steadyNow();
  const auto IsFirst = Item->m_Drawn == 0 && !Item->m_HasAsked;
  const auto AsksFirst = IsFirst && !keeps(Home);
  if (AsksFirst && m_Book.reserveNow(Home, Item->m_WorstCase, Now)) {
    Item->m_Done({GrantAnswer::Granted, Home});
    return;
  }
  // A router that keeps the part draws on it first; the others ask its keeper first.
  const auto MayAsk = !Item->m_HasAsked && !Item->m_IsExhausted && (!IsFirst || AsksFirst);
  const auto MayDraw = Item->m_Drawn < std::min(Item->m_Parts.size(), MaxPartsDrawn);
  if (Now >= Item->m_Deadline || (!MayAsk && !MayDraw)) {
    endSearch(Item);
  } else if (MayAsk) {
    Item->m_HasAsked = true;
    askRouters(Item);
  } else {
    draw(Item);
  }
}

auto GrantService::draw(const std::shared_ptr<Search> &Item) -> void {
  const auto Part = Item->m_Parts[Item->m_Drawn++];
  m_Book.reserve(Part, Item->m_WorstCase, Item->m_Deadline, m_Clock.steadyNow(),
                 [this, Item, Part](GrantAnswer Answer) {
                   if (Answer == GrantAnswer::Granted) {
                     Item->m_Done({Answer, Part});
                     return;
                   }
                   auto Left = Tokens{0};
                   for (const auto &Name : Item->m_Parts) {
                     Left += m_Book.unsettledTokens(Name);
                   }
                   Item->m_IsExhausted =
                       Answer == GrantAnswer::Exhausted && Left < Item->m_WorstCase;
                   searchOn(Item);
                 });
}

auto GrantService::candidatesFor(const std::vector<std::string> &Parts, Tokens Amount) const
    -> std::vector<TokenExchange::Candidate> {
  auto Result = std::vector<TokenExchange::Candidate>();
  for (const auto &Part : Parts) {
    const auto Offers = m_Link.offersOf(Part);
    for (const auto &Offer : Offers) {
      if (Offer.m_Available >= Amount) {
        Result.push_back({Offer.m_Router, Part});
      }
    }
    if (!hasKeepers()) {
      continue;
    }
    // A keeper offers nothing before it has seen demand.
    const auto Keeper = BudgetParts::keeperOf(Part, m_Alive);
    const auto HasOffered = std::any_of(Offers.begin(), Offers.end(), [&Keeper](const auto &Offer) {
      return Offer.m_Router == Keeper;
    });
    if (!HasOffered && Keeper != m_Router) {
      Result.push_back({Keeper, Part});
    }
  }
  return Result;
}

auto GrantService::askRouters(const std::shared_ptr<Search> &Item) -> void {
  const auto &Home = Item->m_Parts.front();
  // What is held is reserved meanwhile, so that no other search counts on it.
  const auto Held = std::min(m_Book.spendable(Home), Item->m_WorstCase);
  const auto Missing = Item->m_WorstCase - Held;
  if (m_Book.reserveNow(Home, Held, m_Clock.steadyNow()) && Missing == 0) {
    Item->m_Done({GrantAnswer::Granted, Home});
    return;
  }
  m_Exchange.ask(candidatesFor(Item->m_Parts, Missing), Home, Missing, Item->m_Deadline,
                 [this, Item, Home, Held](Tokens Received) {
                   const auto Now = m_Clock.steadyNow();
                   m_Book.receive(Home, Received);
                   if (Received > 0 && m_Book.reserveNow(Home, Received, Now)) {
                     Item->m_Done({GrantAnswer::Granted, Home});
                     return;
                   }
                   m_Book.settle(Home, Held, 0, Now);
                   searchOn(Item);
                 });
}

auto GrantService::endSearch(const std::shared_ptr<Search> &Item) -> void {
  Item->m_Done({Item->m_IsExhausted ? GrantAnswer::Exhausted : GrantAnswer::Unavailable, {}});
}

auto GrantService::onTransfer(const TransferMessage &Message) -> void {
  m_Exchange.onMessage(Message);
  pump();
}

auto GrantService::settle(const std::string &Source, Tokens WorstCase, Tokens Used) -> void {
  m_Book.settle(Source, WorstCase, Used, m_Clock.steadyNow());
  pump();
}

auto GrantService::setPrepaid(const std::map<std::string, Tokens> &Prepaid) -> void {
  m_Prepaid = Prepaid;
  applyPrepaid();
  pump();
}

auto GrantService::applyPrepaid() -> void {
  // Until the parts are known, the budgets' own names keep the book reading.
  const auto Parts = m_Parts.value_or(BudgetParts(1, m_Router));
  m_Book.setPrepaid(Parts.split(m_Prepaid), m_Clock.steadyNow());
  updateKeepers();
}

auto GrantService::setFleet(std::int64_t Drawing, std::set<std::string> Alive) -> void {
  m_Routers = std::max<std::int64_t>(1, Drawing);
  Alive.insert(m_Router);
  const auto HasChanged = Alive != m_Alive;
  m_Alive = std::move(Alive);
  m_Book.setRouters(hasKeepers() ? SharersOfKeptPart : m_Routers, m_Routers);
  if (HasChanged) {
    updateKeepers();
    pump();
  }
}

auto GrantService::updateKeepers() -> void {
  m_Book.setHasKeepers(hasKeepers());
  auto Foreign = std::set<std::string>();
  if (hasKeepers()) {
    for (const auto &Item : m_Parts->split(m_Prepaid)) {
      if (!keeps(Item.first)) {
        Foreign.insert(Item.first);
      }
    }
  }
  m_Book.setWithoutReserve(std::move(Foreign));
}

auto GrantService::takeLayout(const std::vector<keyvalue::KeyValue> &Items) -> void {
  for (const auto &Item : Items) {
    if (Item.m_Key != LayoutKey || m_Parts) {
      continue;
    }
    const auto Count = internal::decodeLayout(Item.m_Value);
    if (!Count.ok()) {
      m_Log.record(base::LogLevel::Error, "budget_layout_unreadable",
                   {{"reason", std::string(Count.status().message())}});
      continue;
    }
    m_Parts.emplace(*Count, m_Router);
    m_Log.record(base::LogLevel::Info, "budget_layout_known", {{"parts", *Count}});
    applyPrepaid();
    setFleet(m_Routers, m_Alive);
  }
}

auto GrantService::createLayout() -> void {
  if (m_Clock.steadyNow() - m_Started < LayoutDelay) {
    m_Book.onReadFailed(m_Clock.steadyNow());
    pump();
    return;
  }
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({std::string(LayoutKey), keyvalue::AbsentRevision});
  Request.m_Writes.push_back(
      {std::string(LayoutKey), internal::encodeLayout(BudgetParts::countFor(m_Routers))});
  m_Store.transact(std::move(Request), [this](const keyvalue::TransactionResult &Result) {
    m_Log.record(base::LogLevel::Info, "budget_layout_written",
                 {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)}});
    // Whoever wrote it, the next read shows it.
    m_Book.onReadFailed(m_Clock.steadyNow());
    pump();
  });
}

auto GrantService::setStoreReachable(bool IsReachable) -> void {
  m_Book.setStoreReachable(IsReachable);
  pump();
}

auto GrantService::drain() -> void {
  m_Book.drain(m_Clock.steadyNow());
  pump();
}

auto GrantService::pump() -> void {
  if (m_IsPumping) {
    return;
  }
  m_IsPumping = true;
  const auto Now = m_Clock.steadyNow();
  m_Book.expire(Now);
  switch (m_Book.nextCall(Now)) {
  case GrantCall::None:
    break;
  case GrantCall::Read:
    read();
    break;
  case GrantCall::Write:
    write();
    break;
  }
  m_IsPumping = false;
  m_Timers.cancel(std::exchange(m_Timer, 0));
  if (const auto Wake = m_Book.nextWake(Now)) {
    m_Timer = m_Timers.start(*Wake, [this] {
      m_Timer = 0;
      pump();
    });
  }
}

auto GrantService::read() -> void {
  m_Book.onCallIssued();
  m_Store.list(std::string(GrantPrefix), [this](absl::StatusOr<keyvalue::ListResult> Result) {
    const auto Now = m_Clock.steadyNow();
    if (!Result.ok()) {
      m_Log.record(base::LogLevel::Warning, "budget_read_failed",
                   {{"reason", std::string(Result.status().message())}});
      m_Book.onReadFailed(Now);
      pump();
      return;
    }
    takeLayout(Result->m_Items);
    if (!m_Parts) {
      createLayout();
      return;
    }
    const auto Found = decode(Result->m_Items);
    m_Book.onRead(Found.m_Holder, Found.m_Pools, Now);
    pump();
  });
}

auto GrantService::write() -> void {
  const auto Write = m_Book.composeWrite(m_Clock.steadyNow());
  auto Request = keyvalue::Transaction();
  const auto HolderKey = keyOfHolder(m_Router);
  Request.m_Conditions.push_back({HolderKey, Write.m_Holder.m_Revision});
  Request.m_Writes.push_back({HolderKey, internal::encodeHolder(Write.m_Holder.m_Value)});
  for (const auto &[Name, Pool] : Write.m_Pools) {
    const auto Key = keyOfGrantPool(Name);
    Request.m_Conditions.push_back({Key, Pool.m_Revision});
    Request.m_Writes.push_back({Key, internal::encodePool(Pool.m_Value)});
    const auto &Reason = Write.m_Reasons.at(Name);
    m_Log.record(base::LogLevel::Debug, "budget_change",
                 {{"budget", Name},
                  {"sequence", Write.m_Holder.m_Value.m_Sequence},
                  {"change", Reason.m_Change},
                  {"prepaid", Reason.m_Prepaid},
                  {"granted", Pool.m_Value.m_Granted},
                  {"settled", Pool.m_Value.m_Settled},
                  {"unused", Reason.m_Unused},
                  {"wanted", Reason.m_Wanted},
                  {"waiting", Reason.m_Waiting},
                  {"based_on", Pool.m_Revision}});
  }
  m_Store.transact(std::move(Request), [this, Sequence = Write.m_Holder.m_Value.m_Sequence,
                                        Budgets = Write.m_Pools.size()](
                                           const keyvalue::TransactionResult &Result) {
    m_Log.record(Result.m_Outcome == keyvalue::TransactionOutcome::Unknown ? base::LogLevel::Warning
                                                                           : base::LogLevel::Debug,
                 "budget_write",
                 {{"sequence", Sequence},
                  {"budgets", Budgets},
                  {"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)},
                  {"revision", Result.m_Revision}});
    onWritten(Result);
  });
}

auto GrantService::onWritten(const keyvalue::TransactionResult &Result) -> void {
  const auto Now = m_Clock.steadyNow();
  switch (Result.m_Outcome) {
  case keyvalue::TransactionOutcome::Applied:
    m_Book.onLanded(Result.m_Revision, Now);
    break;
  case keyvalue::TransactionOutcome::Conflict: {
    const auto Found = decode(Result.m_Current);
    m_Book.onConflict(Found.m_Holder, Found.m_Pools, Now);
    break;
  }
  case keyvalue::TransactionOutcome::LeaseEnded:
  case keyvalue::TransactionOutcome::NotDone:
    m_Book.onNotDone(Now);
    m_OnCallFailed();
    break;
  case keyvalue::TransactionOutcome::Unknown:
    m_Book.onUnknown(Now);
    m_OnCallFailed();
    break;
  }
  pump();
}

auto GrantService::decodeItem(const keyvalue::KeyValue &Item, Records &Into) -> void {
  auto Name = std::string_view(Item.m_Key);
  if (Name.starts_with(PoolPrefix)) {
    Name.remove_prefix(PoolPrefix.size());
    const auto Pool = internal::decodePool(Item.m_Value);
    if (Pool.ok()) {
      Into.m_Pools[std::string(Name)] = {*Pool, Item.m_ModRevision};
    } else {
      m_Log.record(base::LogLevel::Error, "budget_record_unreadable",
                   {{"key", Item.m_Key}, {"reason", std::string(Pool.status().message())}});
    }
  } else if (Item.m_Key == keyOfHolder(m_Router)) {
    const auto Holder = internal::decodeHolder(Item.m_Value);
    if (Holder.ok()) {
      Into.m_Holder = {*Holder, Item.m_ModRevision};
    } else {
      m_Log.record(base::LogLevel::Error, "budget_record_unreadable",
                   {{"key", Item.m_Key}, {"reason", std::string(Holder.status().message())}});
    }
  }
}

auto GrantService::decode(const std::vector<keyvalue::KeyValue> &Items) -> Records {
  auto Result = Records();
  for (const auto &Item : Items) {
    decodeItem(Item, Result);
  }
  return Result;
}

auto GrantService::noteItem(const keyvalue::KeyValue &Item) -> void {
  auto Found = Records();
  decodeItem(Item, Found);
  for (const auto &[Name, Pool] : Found.m_Pools) {
    m_Book.notePool(Name, Pool);
  }
}

} // namespace geraniumlift::budget
