#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "budget/budgetshards.h"
#include "budget/grantallocator.h"
#include "budget/reserveplanner.h"
#include "budget/shardowners.h"
#include "budget/tokenexchange.h"
#include "keyvalue/itransactionstore.h"

namespace geraniumlift::budget {

/// Prefix of the keys of all grant records in the store.
inline constexpr std::string_view GrantPrefix = "geraniumlift/ledger/";

/// Key of the record that holds the number of shards of each budget.
inline constexpr std::string_view LayoutKey = "geraniumlift/ledger/layout";

/// Key of the grant totals of a budget or shard.
auto grantTotalsKey(std::string_view Budget) -> std::string;

/// Key of the grants of a router.
auto routerGrantsKey(std::string_view Router) -> std::string;

/// Makes the store calls that the grant allocator decides on, and transfers tokens between routers
/// where that saves a write or serves requests that this router's grant does not cover.
class GrantService final : public IBudgetReserver {
public:
  GrantService(std::string Router, GrantOptions Options, keyvalue::ITransactionStore &Store,
               ITransferLink &Link, base::ITimers &Timers, const base::IClock &Clock,
               base::IEventLog &Log);

  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               std::function<void(Reservation)> Done) -> void override;
  auto settle(const std::string &Source, Tokens WorstCase, Tokens Used) -> void override;

  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid) -> void;

  /// Sets the number of routers that may draw on budgets, and the names of those that are alive and
  /// not leaving. The number includes this router; its name is added if missing.
  auto setFleet(std::int64_t RouterCount, std::set<std::string> LiveRouters) -> void;

  /// Handles a message from another router.
  auto onTransfer(const TransferMessage &Message) -> void;

  /// Tokens of each budget that other routers may request from this one.
  [[nodiscard]] auto offers() const -> std::vector<BudgetOffer> { return m_Allocator.offers(); }

  /// Sets whether the store can be reached; otherwise a request that needs a write is refused at
  /// once.
  auto setStoreReachable(bool IsReachable) -> void;

  /// Sets the callback that runs after each write that failed, other than by a conflict.
  auto setOnCallFailed(std::function<void()> OnCallFailed) -> void {
    m_OnCallFailed = std::move(OnCallFailed);
  }

  /// Takes over a changed record that a watch has shown; other keys are ignored.
  auto onRecordChanged(const keyvalue::KeyValue &Item) -> void;

  /// Returns granted tokens to the store, now and whenever a reservation ends.
  auto drain() -> void;

  /// Whether requests can be granted tokens: the records are known, or there are no budgets.
  [[nodiscard]] auto isReady() const -> bool {
    return m_Prepaid.empty() || m_Allocator.hasReadRecords();
  }

  /// Number of shards of each budget; 1 until it is known.
  [[nodiscard]] auto shardCount() const -> std::int64_t { return m_Shards ? m_Shards->count() : 1; }

  /// Whether no granted token is left to return and no store call is in flight.
  [[nodiscard]] auto isDrained() const -> bool { return m_Allocator.isDrained(); }

private:
  struct Records {
    Versioned<RouterGrants> m_RouterGrants;
    std::map<std::string, Versioned<GrantTotals>> m_TotalsByBudget;
  };

  /// Refuses expired requests, makes the store call that is due and sets the timer for the next
  /// one.
  auto advance() -> void;

  /// A reservation that is tried in turn with this router's grants, the store and other routers.
  struct PendingReservation {
    /// The shards of the budget, the home shard first.
    std::vector<std::string> m_Shards;

    /// Number of shards, in the order of m_Shards, that have been tried.
    std::size_t m_ShardsTried = 0;
    bool m_HasAskedRouters = false;
    bool m_IsExhausted = false;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    std::function<void(Reservation)> m_Done;
  };

  /// Takes the next step of a reservation, or refuses it if none is left.
  auto continueReservation(const std::shared_ptr<PendingReservation> &Item) -> void;

  /// Reserves from the next shard's grant, drawing on the store if necessary.
  auto reserveFromNextShard(const std::shared_ptr<PendingReservation> &Item) -> void;

  /// Reserves what this router holds of the home shard and requests the rest from other routers.
  auto requestFromRouters(const std::shared_ptr<PendingReservation> &Item) -> void;
  auto refuseReservation(const std::shared_ptr<PendingReservation> &Item) -> void;

  /// Asks the owners of the shards for tokens to hold ahead of this router's demand, or returns
  /// what it holds far beyond that. Answers cuts in which this router is alone, and the load of a
  /// workspace whose callers all use one router: a message for each of its requests would delay
  /// them and cost more than forwarding them.
  auto adjustReserve(const std::vector<std::string> &Shards) -> void;

  /// Asks the owner of the shard at the index, and then the next ones, until enough is held.
  auto requestReserve(const std::vector<std::string> &Shards, std::size_t Index) -> void;

  /// Takes tokens out of a shard's reserve for a router that wants to hold them.
  auto withdrawAhead(const TransferRequest &Request, base::SteadyTime Deadline,
                     std::function<void(TokenExchange::Withdrawal)> Done) -> void;

  /// Tells the allocator which shards' reserves are divided.
  auto updateDividedReserves() -> void;

  /// Gives tokens that other routers transferred back to the owner of the shard, at most so many.
  auto returnReceived(const std::string &Shard, Tokens Most) -> void;

  /// Reports to the owners what is held of their shards, and gives back what is not in demand here
  /// any more.
  auto reviewReserves() -> void;

  /// Describes this router's demand for a shard to its owner.
  [[nodiscard]] auto describeDemand(const std::string &Home, const std::string &Shard,
                                    Tokens Missing) const -> TransferRequest;

  /// Gives back what is held of the home shard beyond what its owner allows.
  auto returnBeyond(const std::string &Home, Tokens Allowed) -> void;
  [[nodiscard]] auto isSharded() const -> bool { return m_Shards && m_Shards->isSharded(); }

  /// Takes tokens out of this router's grant for another router.
  auto withdraw(const std::string &Shard, Tokens Amount, base::SteadyTime Deadline,
                std::function<void(TokenExchange::Withdrawal)> Done) -> void;

  /// Whether the owner of the shard has recently found too few tokens left for the amount.
  [[nodiscard]] auto isUsedUp(const std::string &Shard, Tokens Amount) const -> bool;

  /// Whether the owners of all shards have recently found that all of them together cannot cover
  /// the amount.
  [[nodiscard]] auto isExhausted(const std::vector<std::string> &Shards, Tokens Amount) const
      -> bool;

  /// Whether this router owns the shard; always true without sharding.
  [[nodiscard]] auto ownsShard(const std::string &Shard) const -> bool;

  /// Routers that may transfer the amount, in the order in which to ask them.
  auto candidatesFor(const std::vector<std::string> &Shards, Tokens Amount) const
      -> std::vector<TokenExchange::Candidate>;
  auto updateShardOwnership() -> void;

  /// Creates the record of the number of shards unless another router has done so.
  auto createLayout() -> void;
  auto applyLayout(const std::vector<keyvalue::KeyValue> &Items) -> void;
  auto applyPrepaid() -> void;
  auto read() -> void;

  /// Logs which tokens of the former process on this VM count as used, although it did not report
  /// their use.
  auto logWriteOffs(const RouterGrants &Former) -> void;
  auto write() -> void;
  auto onWritten(const keyvalue::TransactionResult &Result) -> void;
  auto decode(const std::vector<keyvalue::KeyValue> &Items) -> Records;
  auto decodeItem(const keyvalue::KeyValue &Item, Records &Into) -> void;

  std::string m_Router;
  keyvalue::ITransactionStore &m_Store;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  ITransferLink &m_Link;
  GrantAllocator m_Allocator;
  TokenExchange m_TokenExchange;
  std::map<std::string, Tokens> m_Prepaid;
  std::optional<BudgetShards> m_Shards;
  std::int64_t m_Routers = 1;
  ShardOwners m_Owners;

  /// An amount that a shard could not cover, and until when that is taken to be still so.
  struct UsedUpShard {
    Tokens m_Amount = 0;
    Tokens m_Unsettled = 0;
    base::SteadyTime m_Until;
  };
  std::map<std::string, UsedUpShard> m_UsedUpShards;

  ReservePlanner m_Planner;

  /// Earliest time of the next request for a reserve by home shard; far ahead while one is in
  /// progress.
  std::map<std::string, base::SteadyTime> m_NextRefill;
  base::SteadyTime m_NextReview;
  bool m_IsDraining = false;
  base::SteadyTime m_StartTime;
  std::function<void()> m_OnCallFailed = [] {};
  base::TimerId m_Timer = 0;
  bool m_IsAdvancing = false;
  bool m_IsStoreReachable = true;
};

} // namespace geraniumlift::budget
