#include "budget/grantservice.h"

#include "budget/internal/grantcodec.h"

#include <algorithm>

namespace geraniumlift::budget {

namespace {

constexpr auto TotalsPrefix = std::string_view("geraniumlift/ledger/pool/");
constexpr auto RouterGrantsPrefix = std::string_view("geraniumlift/ledger/holder/");

/// Time after the start before this router may decide on the number of shards. Meanwhile the other
/// routers register, so that their number is known.
constexpr auto LayoutCreationDelay = std::chrono::milliseconds(2000);

/// Most shards of a budget that are tried for one request. Each may cost a write.
constexpr auto MaxShardsTried = std::size_t{3};

/// A router asks for more when it holds less than this fraction of what it wants, and returns what
/// it holds beyond this multiple of it.
constexpr auto RefillBelow = 0.6;
constexpr auto ReturnAbove = 2.5;

/// Time for a request to all owners of a budget's shards.
constexpr auto RefillTime = std::chrono::milliseconds(1000);

/// Time for which a shard is not tried again for an amount that its owner could not find in it.
/// Meanwhile requests may end and release tokens.
constexpr auto UsedUpRetention = std::chrono::milliseconds(500);

/// Pause after a refill that brought what was wanted, and after one that did not, so that owners
/// are not asked for each request.
constexpr auto RefillPause = std::chrono::milliseconds(100);
constexpr auto ShortRefillPause = std::chrono::milliseconds(1000);

/// Time between reports of what is held ahead.
constexpr auto ReviewInterval = std::chrono::milliseconds(2000);

/// Routers that may write to the record of a shard at the same time: its owner, and one that takes
/// itself for the owner or draws for a request that the owner did not serve.
constexpr auto AssumedShardSharers = std::int64_t{2};

} // namespace

auto grantTotalsKey(std::string_view Budget) -> std::string {
  return std::string(TotalsPrefix).append(Budget);
}

auto routerGrantsKey(std::string_view Router) -> std::string {
  return std::string(RouterGrantsPrefix).append(Router);
}

GrantService::GrantService(std::string Router, GrantOptions Options,
                           keyvalue::ITransactionStore &Store, ITransferLink &Link,
                           base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log)
    : m_Router(std::move(Router)), m_Store(Store), m_Timers(Timers), m_Clock(Clock), m_Log(Log),
      m_Link(Link), m_Allocator(Options),
      m_TokenExchange(m_Router, Options.m_Session, Link, Timers, Clock, Log),
      m_StartTime(Clock.steadyNow()) {
  m_Owners.setRouters({m_Router});
  m_TokenExchange.setGrantCallbacks(
      [this](const std::string &Shard, Tokens Amount, base::SteadyTime Deadline,
             std::function<void(TokenExchange::Withdrawal)> Done) {
        withdraw(Shard, Amount, Deadline, std::move(Done));
      },
      [this](const std::string &Into, Tokens Amount) { m_Allocator.receive(Into, Amount); },
      [this](const std::string &Shard, Tokens Amount, Tokens Unsettled) {
        m_UsedUpShards[Shard] = {Amount, Unsettled, m_Clock.steadyNow() + UsedUpRetention};
      });
  m_TokenExchange.setTakeBack(
      [this](const std::string &Shard, Tokens Amount) { m_Allocator.takeBack(Shard, Amount); });
  m_TokenExchange.setWithdrawAhead([this](const TransferRequest &Request, base::SteadyTime Deadline,
                                          std::function<void(TokenExchange::Withdrawal)> Done) {
    withdrawAhead(Request, Deadline, std::move(Done));
  });
}

auto GrantService::withdraw(const std::string &Shard, Tokens Amount, base::SteadyTime Deadline,
                            std::function<void(TokenExchange::Withdrawal)> Done) -> void {
  // Without shards the requesting router counts the demand itself. Tokens are drawn for it only if
  // it is cut off from the store.
  if (!isSharded() && m_Allocator.withdraw(Shard, Amount)) {
    Done({Amount});
    return;
  }
  m_Allocator.reserve(
      Shard, Amount, Deadline, m_Clock.steadyNow(),
      [this, Shard, Amount, Done = std::move(Done)](ReservationOutcome Answer) {
        if (Answer == ReservationOutcome::Granted) {
          m_Allocator.settle(Shard, Amount, Amount, m_Clock.steadyNow());
          Done({Amount});
          return;
        }
        const auto Left = m_Allocator.freeTokens(Shard) + m_Allocator.spendable(Shard);
        Done({0, isSharded() && ownsShard(Shard) && m_IsStoreReachable && Left < Amount,
              m_Allocator.unsettledTokens(Shard)});
      });
}

auto GrantService::isUsedUp(const std::string &Shard, Tokens Amount) const -> bool {
  const auto Found = m_UsedUpShards.find(Shard);
  return Found != m_UsedUpShards.end() && Amount >= Found->second.m_Amount &&
         m_Clock.steadyNow() < Found->second.m_Until;
}

auto GrantService::isExhausted(const std::vector<std::string> &Shards, Tokens Amount) const
    -> bool {
  auto Left = Tokens{0};
  for (const auto &Shard : Shards) {
    const auto Found = m_UsedUpShards.find(Shard);
    if (ownsShard(Shard)) {
      Left += m_Allocator.unsettledTokens(Shard);
    } else if (Found != m_UsedUpShards.end() && m_Clock.steadyNow() < Found->second.m_Until) {
      Left += Found->second.m_Unsettled;
    } else {
      return false;
    }
  }
  return Left < Amount;
}

auto GrantService::reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
                           std::function<void(Reservation)> Done) -> void {
  if (!m_Shards) {
    Done({ReservationOutcome::Unavailable, {}});
    return;
  }
  auto Item = std::make_shared<PendingReservation>();
  Item->m_Shards = m_Shards->shardNames(Budget);
  // After the home shard, the shard with the most free tokens is the likeliest to have enough.
  std::stable_sort(Item->m_Shards.begin() + 1, Item->m_Shards.end(),
                   [this](const auto &Left, const auto &Right) {
                     return m_Allocator.freeTokens(Left) > m_Allocator.freeTokens(Right);
                   });
  Item->m_WorstCase = WorstCase;
  Item->m_Deadline = Deadline;
  Item->m_Done = std::move(Done);
  m_Planner.recordRequest(Item->m_Shards.front(), WorstCase, m_Clock.steadyNow());
  continueReservation(Item);
  adjustReserve(Item->m_Shards);
  advance();
}

auto GrantService::adjustReserve(const std::vector<std::string> &Shards) -> void {
  const auto &Home = Shards.front();
  const auto Now = m_Clock.steadyNow();
  if (!isSharded() || m_IsDraining || Now < m_NextRefill[Home]) {
    return;
  }
  const auto Wanted = static_cast<double>(m_Planner.wantedTokens(Home, Now));
  const auto Held = m_Allocator.spendable(Home);
  if (static_cast<double>(Held) < RefillBelow * Wanted) {
    m_NextRefill[Home] = base::SteadyTime::max();
    requestReserve(Shards, 0);
  } else if (static_cast<double>(Held) > ReturnAbove * Wanted && m_IsStoreReachable) {
    m_NextRefill[Home] = Now + ShortRefillPause;
    returnReceived(Home, Held - static_cast<Tokens>(Wanted));
  }
}

auto GrantService::requestReserve(const std::vector<std::string> &Shards, std::size_t Index)
    -> void {
  const auto &Home = Shards.front();
  const auto Now = m_Clock.steadyNow();
  const auto Demand = m_Planner.demandOf(Home, Now);
  const auto Wanted = m_Planner.wantedTokens(Home, Now);
  const auto Held = m_Allocator.spendable(Home);
  const auto Missing = Wanted - Held;
  while (Index < Shards.size() &&
         (ownsShard(Shards[Index]) || isUsedUp(Shards[Index], Demand.m_RequestTokens))) {
    ++Index;
  }
  const auto IsEnough = Missing * 2 < Demand.m_RequestTokens || Wanted == 0;
  if (IsEnough || Index == Shards.size()) {
    m_NextRefill[Home] = Now + (IsEnough ? RefillPause : ShortRefillPause);
    return;
  }
  auto Details = describeDemand(Home, Shards[Index], Missing);
  if (!Details.m_IsHome) {
    // Other owners are told of the demand that the ones before have not covered.
    Details.m_TokensPerSecond = static_cast<Tokens>(
        Demand.m_TokensPerSecond * static_cast<double>(Missing) / static_cast<double>(Wanted));
  }
  m_TokenExchange.requestAhead(m_Owners.ownerOf(Shards[Index]), Details, Home, Now + RefillTime,
                               nullptr, [this, Shards, Index](Tokens Received) {
                                 m_Allocator.receive(Shards.front(), Received);
                                 if (m_IsDraining) {
                                   returnReceived(Shards.front(), Received);
                                   return;
                                 }
                                 requestReserve(Shards, Index + 1);
                               });
}

auto GrantService::describeDemand(const std::string &Home, const std::string &Shard,
                                  Tokens Missing) const -> TransferRequest {
  const auto Demand = m_Planner.demandOf(Home, m_Clock.steadyNow());
  auto Details = TransferRequest();
  Details.m_Budget = Shard;
  Details.m_Tokens = Missing;
  Details.m_IsHome = Shard == Home;
  Details.m_Held = m_Allocator.spendable(Home);
  Details.m_TokensPerSecond = static_cast<Tokens>(Demand.m_TokensPerSecond);
  Details.m_RequestTokens = Demand.m_RequestTokens;
  return Details;
}

auto GrantService::returnBeyond(const std::string &Home, Tokens Allowed) -> void {
  const auto Excess = m_Allocator.spendable(Home) - Allowed;
  // Less than half a request is not worth a message.
  if (Excess * 2 >= m_Planner.demandOf(Home, m_Clock.steadyNow()).m_RequestTokens) {
    returnReceived(Home, Excess);
  }
}

auto GrantService::withdrawAhead(const TransferRequest &Request, base::SteadyTime Deadline,
                                 std::function<void(TokenExchange::Withdrawal)> Done) -> void {
  const auto Now = m_Clock.steadyNow();
  // Without the store, tokens are kept for requests that are already there.
  if (!isSharded() || !ownsShard(Request.m_Budget) || !m_IsStoreReachable || m_IsDraining) {
    Done({});
    return;
  }
  // What a router holds is counted once, by the owner of its home shard.
  const auto Counted = Request.m_IsHome ? Request.m_Held : 0;
  m_Planner.recordReport(Request.m_Budget, Request.m_From,
                         static_cast<double>(Request.m_TokensPerSecond), Counted, Request.m_Tokens,
                         Now);
  updateDividedReserves();
  const auto Reserve =
      m_Allocator.dividedReserve(Request.m_Budget, m_Planner.heldAhead(Request.m_Budget, Now), Now);
  const auto Allowed =
      m_Planner.allowance(Request.m_Budget, Request.m_From, Reserve, Request.m_RequestTokens, Now);
  const auto Amount = std::min(Request.m_Tokens, Allowed - Request.m_Held);
  if (Amount <= 0) {
    auto Refused = TokenExchange::Withdrawal();
    Refused.m_Allowed = Allowed;
    Done(Refused);
    return;
  }
  withdraw(
      Request.m_Budget, Amount, Deadline,
      [this, Request, Counted, Allowed, Done = std::move(Done)](TokenExchange::Withdrawal Outcome) {
        m_Planner.recordReport(
            Request.m_Budget, Request.m_From, static_cast<double>(Request.m_TokensPerSecond),
            Counted + Outcome.m_Tokens, Request.m_Tokens - Outcome.m_Tokens, m_Clock.steadyNow());
        Outcome.m_Allowed = Allowed;
        Done(Outcome);
      });
}

auto GrantService::updateDividedReserves() -> void {
  const auto Now = m_Clock.steadyNow();
  auto Backlogs = std::map<std::string, Tokens>();
  for (const auto &Shard : m_Planner.sharedShards(Now)) {
    if (ownsShard(Shard)) {
      Backlogs[Shard] = m_Planner.backlog(
          Shard, m_Allocator.dividedReserve(Shard, m_Planner.heldAhead(Shard, Now), Now), Now);
    }
  }
  m_Allocator.setDividedReserves(std::move(Backlogs));
}

auto GrantService::returnReceived(const std::string &Shard, Tokens Most) -> void {
  if (!isSharded() || ownsShard(Shard)) {
    return;
  }
  if (const auto Amount = m_Allocator.takeReceived(Shard, Most); Amount > 0) {
    m_TokenExchange.sendReturn(m_Owners.ownerOf(Shard), Shard, Amount);
  }
}

auto GrantService::reviewReserves() -> void {
  const auto Now = m_Clock.steadyNow();
  if (Now < m_NextReview || !m_IsStoreReachable || !isSharded()) {
    return;
  }
  m_NextReview = Now + ReviewInterval;
  updateDividedReserves();
  for (const auto &Shard : m_Allocator.budgetsWithReceived()) {
    if (m_Planner.wantedTokens(Shard, Now) == 0) {
      returnReceived(Shard, m_Allocator.spendable(Shard));
    } else if (!ownsShard(Shard)) {
      m_TokenExchange.requestAhead(
          m_Owners.ownerOf(Shard), describeDemand(Shard, Shard, 0), Shard, Now + RefillTime,
          [this, Shard](Tokens Allowed) { returnBeyond(Shard, Allowed); }, [](Tokens) {});
    }
  }
}

auto GrantService::ownsShard(const std::string &Shard) const -> bool {
  return !isSharded() || m_Owners.ownerOf(Shard) == m_Router;
}

auto GrantService::continueReservation(const std::shared_ptr<PendingReservation> &Item) -> void {
  const auto &Home = Item->m_Shards.front();
  const auto Now = m_Clock.steadyNow();
  const auto IsFirst = Item->m_ShardsTried == 0 && !Item->m_HasAskedRouters;
  const auto AskRoutersFirst = IsFirst && !ownsShard(Home);
  if (AskRoutersFirst && m_Allocator.tryReserve(Home, Item->m_WorstCase, Now)) {
    Item->m_Done({ReservationOutcome::Granted, Home});
    return;
  }
  // The owner of the home shard draws on it first; other routers ask its owner first.
  const auto MayAskRouters =
      !Item->m_HasAskedRouters && !Item->m_IsExhausted && (!IsFirst || AskRoutersFirst);
  while (Item->m_ShardsTried < Item->m_Shards.size() &&
         isUsedUp(Item->m_Shards[Item->m_ShardsTried], Item->m_WorstCase)) {
    ++Item->m_ShardsTried;
  }
  const auto MayTryShard = Item->m_ShardsTried < std::min(Item->m_Shards.size(), MaxShardsTried);
  if (Now >= Item->m_Deadline || (!MayAskRouters && !MayTryShard)) {
    refuseReservation(Item);
  } else if (MayAskRouters) {
    Item->m_HasAskedRouters = true;
    requestFromRouters(Item);
  } else {
    reserveFromNextShard(Item);
  }
}

auto GrantService::reserveFromNextShard(const std::shared_ptr<PendingReservation> &Item) -> void {
  const auto Shard = Item->m_Shards[Item->m_ShardsTried++];
  m_Allocator.reserve(Shard, Item->m_WorstCase, Item->m_Deadline, m_Clock.steadyNow(),
                      [this, Item, Shard](ReservationOutcome Answer) {
                        if (Answer == ReservationOutcome::Granted) {
                          Item->m_Done({Answer, Shard});
                          return;
                        }
                        auto Left = Tokens{0};
                        for (const auto &Name : Item->m_Shards) {
                          Left += m_Allocator.unsettledTokens(Name);
                        }
                        Item->m_IsExhausted =
                            Answer == ReservationOutcome::Exhausted && Left < Item->m_WorstCase;
                        continueReservation(Item);
                      });
}

auto GrantService::candidatesFor(const std::vector<std::string> &Shards, Tokens Amount) const
    -> std::vector<TokenExchange::Candidate> {
  auto Result = std::vector<TokenExchange::Candidate>();
  for (const auto &Shard : Shards) {
    if (isUsedUp(Shard, Amount)) {
      continue;
    }
    const auto Offers = m_Link.offersOf(Shard);
    for (const auto &Offer : Offers) {
      if (Offer.m_Available >= Amount) {
        Result.push_back({Offer.m_Router, Shard});
      }
    }
    if (!isSharded()) {
      continue;
    }
    // A shard owner offers nothing before it has seen demand, so it is asked without an offer.
    const auto &Owner = m_Owners.ownerOf(Shard);
    const auto HasOffered = std::any_of(Offers.begin(), Offers.end(), [&Owner](const auto &Offer) {
      return Offer.m_Router == Owner;
    });
    if (!HasOffered && Owner != m_Router) {
      Result.push_back({Owner, Shard});
    }
  }
  return Result;
}

auto GrantService::requestFromRouters(const std::shared_ptr<PendingReservation> &Item) -> void {
  const auto &Home = Item->m_Shards.front();
  // What this router holds is reserved meanwhile, so that no other reservation counts on it.
  const auto ReservedHere = std::min(m_Allocator.spendable(Home), Item->m_WorstCase);
  const auto Missing = Item->m_WorstCase - ReservedHere;
  if (m_Allocator.tryReserve(Home, ReservedHere, m_Clock.steadyNow()) && Missing == 0) {
    Item->m_Done({ReservationOutcome::Granted, Home});
    return;
  }
  m_TokenExchange.requestTokens(candidatesFor(Item->m_Shards, Missing), Home, Missing,
                                Item->m_Deadline,
                                [this, Item, Home, ReservedHere](Tokens Received) {
                                  const auto Now = m_Clock.steadyNow();
                                  m_Allocator.receive(Home, Received);
                                  if (Received > 0 && m_Allocator.tryReserve(Home, Received, Now)) {
                                    Item->m_Done({ReservationOutcome::Granted, Home});
                                    return;
                                  }
                                  m_Allocator.settle(Home, ReservedHere, 0, Now);
                                  continueReservation(Item);
                                });
}

auto GrantService::refuseReservation(const std::shared_ptr<PendingReservation> &Item) -> void {
  const auto IsExhausted =
      Item->m_IsExhausted || (isSharded() && isExhausted(Item->m_Shards, Item->m_WorstCase));
  Item->m_Done({IsExhausted ? ReservationOutcome::Exhausted : ReservationOutcome::Unavailable, {}});
}

auto GrantService::onTransfer(const TransferMessage &Message) -> void {
  m_TokenExchange.onMessage(Message);
  advance();
}

auto GrantService::settle(const std::string &Source, Tokens WorstCase, Tokens Used) -> void {
  m_Allocator.settle(Source, WorstCase, Used, m_Clock.steadyNow());
  if (m_IsDraining) {
    returnReceived(Source, WorstCase);
  }
  advance();
}

auto GrantService::setPrepaid(const std::map<std::string, Tokens> &Prepaid) -> void {
  m_Prepaid = Prepaid;
  m_UsedUpShards.clear();
  applyPrepaid();
  advance();
}

auto GrantService::applyPrepaid() -> void {
  // Until the number of shards is known, the names of the budgets make the allocator go on reading.
  const auto Shards = m_Shards.value_or(BudgetShards(1, m_Router));
  m_Allocator.setPrepaid(Shards.splitPrepaid(m_Prepaid), m_Clock.steadyNow());
  updateShardOwnership();
}

auto GrantService::setFleet(std::int64_t RouterCount, std::set<std::string> LiveRouters) -> void {
  m_Routers = std::max<std::int64_t>(1, RouterCount);
  LiveRouters.insert(m_Router);
  const auto HasChanged = m_Owners.setRouters(std::move(LiveRouters));
  reviewReserves();
  m_Allocator.setRouterCounts(isSharded() ? AssumedShardSharers : m_Routers, m_Routers);
  if (HasChanged) {
    updateShardOwnership();
    advance();
  }
}

auto GrantService::updateShardOwnership() -> void {
  m_Allocator.setIsSharded(isSharded());
  auto UnownedShards = std::set<std::string>();
  if (isSharded()) {
    for (const auto &Item : m_Shards->splitPrepaid(m_Prepaid)) {
      if (!ownsShard(Item.first)) {
        UnownedShards.insert(Item.first);
      }
    }
  }
  m_Allocator.setBudgetsWithoutReserve(std::move(UnownedShards));
}

auto GrantService::applyLayout(const std::vector<keyvalue::KeyValue> &Items) -> void {
  for (const auto &Item : Items) {
    if (Item.m_Key != LayoutKey || m_Shards) {
      continue;
    }
    const auto Count = internal::decodeLayout(Item.m_Value);
    if (!Count.ok()) {
      m_Log.record(base::LogLevel::Error, "budget_layout_unreadable",
                   {{"reason", std::string(Count.status().message())}});
      continue;
    }
    m_Shards.emplace(*Count, m_Router);
    m_Log.record(base::LogLevel::Info, "budget_layout_known", {{"parts", *Count}});
    applyPrepaid();
    setFleet(m_Routers, m_Owners.routers());
  }
}

auto GrantService::createLayout() -> void {
  if (m_Clock.steadyNow() - m_StartTime < LayoutCreationDelay) {
    m_Allocator.onCallFailed(m_Clock.steadyNow());
    advance();
    return;
  }
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({std::string(LayoutKey), keyvalue::AbsentRevision});
  Request.m_Writes.push_back(
      {std::string(LayoutKey), internal::encodeLayout(BudgetShards::shardCountFor(m_Routers))});
  m_Store.transact(std::move(Request), [this](const keyvalue::TransactionResult &Result) {
    m_Log.record(base::LogLevel::Info, "budget_layout_written",
                 {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)}});
    // The next read shows the record, whichever router wrote it.
    m_Allocator.onCallFailed(m_Clock.steadyNow());
    advance();
  });
}

auto GrantService::setStoreReachable(bool IsReachable) -> void {
  m_IsStoreReachable = IsReachable;
  m_Allocator.setStoreReachable(IsReachable, m_Clock.steadyNow(), m_Clock.systemNow());
  advance();
}

auto GrantService::drain() -> void {
  m_IsDraining = true;
  for (const auto &Shard : m_Allocator.budgetsWithReceived()) {
    returnReceived(Shard, m_Allocator.spendable(Shard));
  }
  m_Allocator.drain(m_Clock.steadyNow());
  advance();
}

auto GrantService::advance() -> void {
  if (m_IsAdvancing) {
    return;
  }
  m_IsAdvancing = true;
  const auto Now = m_Clock.steadyNow();
  m_Allocator.expire(Now);
  switch (m_Allocator.nextCall(Now)) {
  case GrantCall::None:
    break;
  case GrantCall::Read:
    read();
    break;
  case GrantCall::Write:
    write();
    break;
  }
  m_IsAdvancing = false;
  m_Timers.cancel(std::exchange(m_Timer, 0));
  if (const auto Wake = m_Allocator.nextWakeTime(Now)) {
    m_Timer = m_Timers.start(*Wake, [this] {
      m_Timer = 0;
      advance();
    });
  }
}

auto GrantService::read() -> void {
  m_Allocator.onReadStarted();
  m_Store.list(std::string(GrantPrefix), [this](absl::StatusOr<keyvalue::ListResult> Result) {
    const auto Now = m_Clock.steadyNow();
    if (!Result.ok()) {
      m_Log.record(base::LogLevel::Warning, "budget_read_failed",
                   {{"reason", std::string(Result.status().message())}});
      m_Allocator.onCallFailed(Now);
      advance();
      return;
    }
    applyLayout(Result->m_Items);
    if (!m_Shards) {
      createLayout();
      return;
    }
    const auto Found = decode(Result->m_Items);
    if (!m_Allocator.hasReadRecords()) {
      m_Allocator.adoptOutage(Found.m_RouterGrants.m_Value.m_LastOutageMs, Now,
                              m_Clock.systemNow());
      logWriteOffs(Found.m_RouterGrants.m_Value);
    }
    m_Allocator.onRecordsRead(Found.m_RouterGrants, Found.m_TotalsByBudget, Now);
    advance();
  });
}

auto GrantService::logWriteOffs(const RouterGrants &Former) -> void {
  for (const auto &[Name, Granted] : Former.m_Granted) {
    const auto Reported = Former.m_Settled.find(Name);
    const auto Settled = Reported == Former.m_Settled.end() ? Tokens{0} : Reported->second;
    if (Granted > Settled) {
      m_Log.record(base::LogLevel::Info, "budget_written_off",
                   {{"budget", Name},
                    {"tokens", Granted - Settled},
                    {"granted", Granted},
                    {"settled", Settled},
                    {"former_incarnation", Former.m_Incarnation}});
    }
  }
}

auto GrantService::write() -> void {
  const auto Write = m_Allocator.composeWrite(m_Clock.steadyNow());
  auto Request = keyvalue::Transaction();
  const auto RouterKey = routerGrantsKey(m_Router);
  Request.m_Conditions.push_back({RouterKey, Write.m_RouterGrants.m_Revision});
  Request.m_Writes.push_back(
      {RouterKey, internal::encodeRouterGrants(Write.m_RouterGrants.m_Value)});
  for (const auto &[Name, Totals] : Write.m_TotalsByBudget) {
    const auto Key = grantTotalsKey(Name);
    Request.m_Conditions.push_back({Key, Totals.m_Revision});
    Request.m_Writes.push_back({Key, internal::encodeTotals(Totals.m_Value)});
    const auto &Reason = Write.m_Reasons.at(Name);
    m_Log.record(base::LogLevel::Debug, "budget_change",
                 {{"budget", Name},
                  {"sequence", Write.m_RouterGrants.m_Value.m_Sequence},
                  {"change", Reason.m_Change},
                  {"prepaid", Reason.m_Prepaid},
                  {"granted", Totals.m_Value.m_Granted},
                  {"settled", Totals.m_Value.m_Settled},
                  {"unused", Reason.m_Unused},
                  {"wanted", Reason.m_Wanted},
                  {"waiting", Reason.m_Waiting},
                  {"based_on", Totals.m_Revision}});
  }
  m_Store.transact(std::move(Request), [this, Sequence = Write.m_RouterGrants.m_Value.m_Sequence,
                                        Budgets = Write.m_TotalsByBudget.size()](
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
    m_Allocator.onWriteLanded(Result.m_Revision, Now);
    break;
  case keyvalue::TransactionOutcome::Conflict: {
    const auto Found = decode(Result.m_Current);
    m_Allocator.onWriteConflict(Found.m_RouterGrants, Found.m_TotalsByBudget, Now);
    break;
  }
  case keyvalue::TransactionOutcome::LeaseEnded:
  case keyvalue::TransactionOutcome::NotDone:
    m_Allocator.onWriteNotDone(Now);
    m_OnCallFailed();
    break;
  case keyvalue::TransactionOutcome::Unknown:
    m_Allocator.onWriteUnknown(Now);
    m_OnCallFailed();
    break;
  }
  advance();
}

auto GrantService::decodeItem(const keyvalue::KeyValue &Item, Records &Into) -> void {
  auto Name = std::string_view(Item.m_Key);
  if (Name.starts_with(TotalsPrefix)) {
    Name.remove_prefix(TotalsPrefix.size());
    const auto Totals = internal::decodeTotals(Item.m_Value);
    if (Totals.ok()) {
      Into.m_TotalsByBudget[std::string(Name)] = {*Totals, Item.m_ModRevision};
    } else {
      m_Log.record(base::LogLevel::Error, "budget_record_unreadable",
                   {{"key", Item.m_Key}, {"reason", std::string(Totals.status().message())}});
    }
  } else if (Item.m_Key == routerGrantsKey(m_Router)) {
    const auto RouterRecord = internal::decodeRouterGrants(Item.m_Value);
    if (RouterRecord.ok()) {
      Into.m_RouterGrants = {*RouterRecord, Item.m_ModRevision};
    } else {
      m_Log.record(base::LogLevel::Error, "budget_record_unreadable",
                   {{"key", Item.m_Key}, {"reason", std::string(RouterRecord.status().message())}});
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

auto GrantService::onRecordChanged(const keyvalue::KeyValue &Item) -> void {
  auto Found = Records();
  decodeItem(Item, Found);
  for (const auto &[Name, Totals] : Found.m_TotalsByBudget) {
    m_Allocator.updateTotals(Name, Totals);
  }
}

} // namespace geraniumlift::budget
