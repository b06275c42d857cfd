#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "budget/budgetparts.h"
#include "budget/grantbook.h"
#include "budget/tokenexchange.h"
#include "keyvalue/itransactionstore.h"

namespace geraniumlift::budget {

/// Prefix of all records of grants in the store.
inline constexpr std::string_view GrantPrefix = "geraniumlift/ledger/";

/// Key of the record that says into how many parts the budgets are split.
inline constexpr std::string_view LayoutKey = "geraniumlift/ledger/layout";

/// Key of a budget's record.
auto keyOfGrantPool(std::string_view Budget) -> std::string;

/// Key of a router's record.
auto keyOfHolder(std::string_view Router) -> std::string;

/// Carries out what the grant book decides, with the store and the clock, and passes tokens between
/// routers where that spares a write or serves what the own grant does not cover.
class GrantService final : public IBudgetReserver {
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
  auto setFleet(std::int64_t Drawing, std::set<std::string> Alive) -> void;

  /// Takes a message of another router.
  auto onTransfer(const TransferMessage &Message) -> void;

  /// What this router can pass on, for the others.
  [[nodiscard]] auto offers() const -> std::vector<BudgetOffer> { return m_Book.offers(); }
  auto setStoreReachable(bool IsReachable) -> void;

  /// The callback is told of each call to the store without an answer.
  auto setOnCallFailed(std::function<void()> OnCallFailed) -> void {
    m_OnCallFailed = std::move(OnCallFailed);
  }

  /// Takes a changed record that a watch has shown; other keys are ignored.
  auto noteItem(const keyvalue::KeyValue &Item) -> void;

  /// Returns all grants as they become free.
  auto drain() -> void;
  /// Whether requests can be granted tokens: the records are known, or there are no budgets.
  [[nodiscard]] auto isReady() const -> bool { return m_Prepaid.empty() || m_Book.hasRead(); }

  /// Into how many parts budgets are split; 1 until that is known.
  [[nodiscard]] auto parts() const -> std::int64_t { return m_Parts ? m_Parts->count() : 1; }
  [[nodiscard]] auto isDrained() const -> bool { return m_Book.isDrained(); }

private:
  struct Records {
    Versioned<HolderRecord> m_Holder;
    std::map<std::string, Versioned<GrantPool>> m_Pools;
  };

  auto pump() -> void;

  /// A reservation on its way through the places where tokens may be had.
  struct Search {
    /// The parts of the budget, the home first.
    std::vector<std::string> m_Parts;

    /// Parts that were drawn on in the store so far.
    std::size_t m_Drawn = 0;
    bool m_HasAsked = false;
    bool m_IsExhausted = false;
    Tokens m_WorstCase = 0;
    base::SteadyTime m_Deadline;
    std::function<void(Reservation)> m_Done;
  };

  auto searchOn(const std::shared_ptr<Search> &Item) -> void;
  auto draw(const std::shared_ptr<Search> &Item) -> void;
  auto askRouters(const std::shared_ptr<Search> &Item) -> void;
  auto endSearch(const std::shared_ptr<Search> &Item) -> void;
  [[nodiscard]] auto hasKeepers() const -> bool { return m_Parts && m_Parts->hasKeepers(); }
  auto withdraw(const std::string &Part, Tokens Amount, base::SteadyTime Deadline,
                std::function<void(Tokens)> Done) -> void;
  [[nodiscard]] auto keeps(const std::string &Part) const -> bool;
  auto candidatesFor(const std::vector<std::string> &Parts, Tokens Amount) const
      -> std::vector<TokenExchange::Candidate>;
  auto updateKeepers() -> void;

  /// Creates the record that says into how many parts budgets are split, unless another router has.
  auto createLayout() -> void;
  auto takeLayout(const std::vector<keyvalue::KeyValue> &Items) -> void;
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
  GrantBook m_Book;
  TokenExchange m_Exchange;
  std::map<std::string, Tokens> m_Prepaid;
  std::optional<BudgetParts> m_Parts;
  std::int64_t m_Routers = 1;
  std::set<std::string> m_Alive;
  base::SteadyTime m_Started;
  std::function<void()> m_OnCallFailed = [] {};
  base::TimerId m_Timer = 0;
  bool m_IsPumping = false;
};

} // namespace geraniumlift::budget
