#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "budget/budgetparts.h"
#include "budget/grantbook.h"
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

/// Carries out what the grant book decides, with the store and the clock.
class GrantService final : public IBudgetGate {
public:
  GrantService(std::string Router, GrantOptions Options, keyvalue::ITransactionStore &Store,
               base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log);

  auto reserve(const std::string &Budget, Tokens WorstCase, base::SteadyTime Deadline,
               std::function<void(Reservation)> Done) -> void override;
  auto settle(const std::string &Source, Tokens WorstCase, Tokens Used) -> void override;

  auto setPrepaid(const std::map<std::string, Tokens> &Prepaid) -> void;

  /// Number of routers in the fleet, this one included.
  auto setRouters(std::int64_t Count) -> void;
  auto setStoreReachable(bool IsReachable) -> void;

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

  /// Asks one part of a budget after the other until one grants the tokens.
  auto reserveFrom(std::vector<std::string> Names, std::size_t At, Tokens WorstCase,
                   base::SteadyTime Deadline, std::function<void(Reservation)> Done) -> void;

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
  GrantBook m_Book;
  std::map<std::string, Tokens> m_Prepaid;
  std::optional<BudgetParts> m_Parts;
  std::int64_t m_Routers = 1;
  base::SteadyTime m_Started;
  base::TimerId m_Timer = 0;
  bool m_IsPumping = false;
};

} // namespace geraniumlift::budget
