#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "budget/budgetshards.h"
#include "budget/grantallocator.h"
#include "budget/tokenexchange.h"
#include "keyvalue/itransactionstore.h"

namespace geraniumlift::budget {

/// Prefix of all records of grants in the store.
inline constexpr std::string_view GrantPrefix = "geraniumlift/ledger/";

/// Key of the record that says into how many shards the budgets are split.
inline constexpr std::string_view LayoutKey = "geraniumlift/ledger/layout";

/// Key of a budget's record.
auto grantTotalsKey(std::string_view Budget) -> std::string;

/// Key of a router's record.
auto routerGrantsKey(std::string_view Router) -> std::string;

/// Carries out what the grant book decides, with the store and the clock, and passes tokens between
/// routers where that spares a write or serves what the own grant does not cover.
class GrantService final : public IBudgetGate {
public:
  GrantService(std::string Router, GrantOptions Options, keyvalue::ITransactionStore &Store,
               ITransferLink &Link, base::ITimers &Timers, const base::IClock &Clock,
               base::IEventLog &Log);

  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               std::function<void(Reservation)> Done) -> void override;
  auto settle(const std::string &Source, Tokens WorstCase, Tokens Used) -> void override;

  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid) -> void;

  /// Number of routers that may draw on budgets, and the names of those that are alive and not
  /// leaving; this one is included in both.
  auto setFleet(std::int64_t RouterCount, std::set<std::string> LiveRouters) -> void;

  /// Takes a message of another router.
  auto onTransfer(const TransferMessage &Message) -> void;

  /// What this router can pass on, for the others.
  [[nodiscard]] auto offers() const -> std::vector<BudgetOffer> { return m_Allocator.offers(); }
  auto setStoreReachable(bool IsReachable) -> void;

  /// The callback is told of each call to the store without an answer.
  auto setOnCallFailed(std::function<void()> OnCallFailed) -> void {
    m_OnCallFailed = std::move(OnCallFailed);
  }

  /// Takes a changed record that a watch has shown; other keys are ignored.
  auto onRecordChanged(const keyvalue::KeyValue &Item) -> void;

  /// Returns all grants as they become free.
  auto drain() -> void;
  /// Whether requests can be granted tokens: the records are known, or there are no budgets.
  [[nodiscard]] auto isReady() const -> bool {
    return m_Prepaid.empty() || m_Allocator.hasReadRecords();
  }

  /// Into how many shards budgets are split; 1 until that is known.
  [[nodiscard]] auto shardCount() const -> std::int64_t { return m_Shards ? m_Shards->count() : 1; }
  [[nodiscard]] auto isDrained() const -> bool { return m_Allocator.isDrained(); }

private:
  struct Records {
    Versioned<RouterGrants> m_RouterGrants;
    std::map<std::string, Versioned<GrantTotals>> m_Totals;
  };

  auto advance() -> void;

  /// A reservation on its way through the places where tokens may be had.
  struct PendingReservation {
    /// The shards of the budget, the home first.
    std::vector<std::string> m_Shards;

    /// Shards that were drawn on in the store so far.
    std::size_t m_ShardsTried = 0;
    bool m_HasAskedRouters = false;
    bool m_IsExhausted = false;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    std::function<void(Reservation)> m_Done;
  };

  auto continueReservation(const std::shared_ptr<PendingReservation> &Item) -> void;
  auto reserveFromNextShard(const std::shared_ptr<PendingReservation> &Item) -> void;
  auto requestFromRouters(const std::shared_ptr<PendingReservation> &Item) -> void;
  auto refuseReservation(const std::shared_ptr<PendingReservation> &Item) -> void;
  [[nodiscard]] auto isSharded() const -> bool { return m_Shards && m_Shards->isSharded(); }
  auto withdraw(const std::string &Shard, Tokens Amount, base::SteadyTime Deadline,
                std::function<void(Tokens)> Done) -> void;
  [[nodiscard]] auto ownsShard(const std::string &Shard) const -> bool;
  auto candidatesFor(const std::vector<std::string> &Shards, Tokens Amount) const
      -> std::vector<TokenExchange::Candidate>;
  auto updateShardOwnership() -> void;

  /// Creates the record that says into how many shards budgets are split, unless another router
  /// has.
  auto createLayout() -> void;
  auto applyLayout(const std::vector<keyvalue::KeyValue> &Items) -> void;
  auto applyPrepaid() -> void;
  auto read() -> void;
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
  std::set<std::string> m_LiveRouters;
  base::SteadyTime m_StartTime;
  std::function<void()> m_OnCallFailed = [] {};
  base::TimerId m_Timer = 0;
  bool m_IsAdvancing = false;
};

} // namespace geraniumlift::budget
