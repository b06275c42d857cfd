#pragma once

#include "base/identifiers.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget {

/// Splits each budget of a large fleet into shards with a record of their own. Each shard has one
/// owner (ShardOwners), the router that draws on the record for all others; they request tokens
/// from it, so that writes seldom conflict. Every router has one home shard of each budget and uses
/// other shards when that one is used up. In a small fleet there is one shard, and every router
/// draws on it.
class BudgetShards {
public:
  /// Largest fleet with a single shard. Up to this size nine in ten writes do not conflict with
  /// another: each router writes once a second, and a write takes 10 ms.
  static constexpr std::int64_t MaxUnshardedFleet = 17;

  /// Routers that one shard owner serves. With more shards, more of a budget is lost in remainders
  /// that cover no request.
  static constexpr std::int64_t RoutersPerShard = 24;

  /// Returns the number of shards for a fleet of this size; at least 1.
  static auto shardCountFor(std::int64_t Routers) -> std::int64_t;

  /// All routers use the same number of shards, which does not change; the home shard follows from
  /// the router's name.
  BudgetShards(std::int64_t Count, std::string_view Router);

  [[nodiscard]] auto count() const -> std::int64_t { return m_Count; }

  /// Name of a shard in the store. The only shard of a small fleet has the budget's name.
  [[nodiscard]] auto shardName(const std::string &Budget, std::int64_t Shard) const -> std::string;

  /// Name of this router's home shard of a budget.
  [[nodiscard]] auto homeShard(const std::string &Budget) const -> std::string {
    return shardName(Budget, m_Home);
  }

  /// Names of all shards of a budget, the home shard first.
  [[nodiscard]] auto shardNames(const std::string &Budget) const -> std::vector<std::string>;

  /// Prepaid tokens of each shard; they add up exactly to the prepaid tokens of each budget.
  [[nodiscard]] auto splitPrepaid(const std::map<std::string, base::Tokens> &Prepaid) const
      -> std::map<std::string, base::Tokens>;

  /// Whether budgets have several shards, each with an owner.
  [[nodiscard]] auto isSharded() const -> bool { return m_Count > 1; }

private:
  std::int64_t m_Count;
  std::int64_t m_Home;
};

} // namespace geraniumlift::budget
