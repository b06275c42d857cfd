#pragma once

#include "base/identifiers.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget {

/// Splits each budget of a large fleet into parts with a record of their own. Each part has one
/// keeper, the router that draws on the record for all; the others ask it for tokens, so that
/// writes seldom meet. Every router has one part of each budget as its home and goes to others when
/// that is used up. In a small fleet there is one part, and every router draws on it.
class BudgetShards {
public:
  /// Up to this size nine in ten writes of a fleet meet no other one: each router writes once a
  /// second, and a write takes 10 ms.
  static constexpr std::int64_t MaxUnshardedFleet = 17;

  /// Routers that one keeper serves. With more parts more of a budget is lost in remainders that
  /// cover no request.
  static constexpr std::int64_t RoutersPerShard = 24;

  /// The number of parts for a fleet.
  static auto shardCountFor(std::int64_t Routers) -> std::int64_t;

  /// Shards are agreed on by all routers and stay the same; the home follows from the router's
  /// name.
  BudgetShards(std::int64_t Count, std::string_view Router);

  [[nodiscard]] auto count() const -> std::int64_t { return m_Count; }

  /// The name under which a part is kept. The only part of a small fleet has the budget's name.
  [[nodiscard]] auto shardName(const std::string &Budget, std::int64_t Shard) const -> std::string;
  [[nodiscard]] auto homeShard(const std::string &Budget) const -> std::string {
    return shardName(Budget, m_Home);
  }

  /// All parts of a budget, the home first.
  [[nodiscard]] auto shardNames(const std::string &Budget) const -> std::vector<std::string>;

  /// What is prepaid for each part; together exactly what is prepaid for each budget.
  [[nodiscard]] auto splitPrepaid(const std::map<std::string, base::Tokens> &Prepaid) const
      -> std::map<std::string, base::Tokens>;

  /// Whether parts have keepers.
  [[nodiscard]] auto isSharded() const -> bool { return m_Count > 1; }

  /// The router among those alive that owns the part; all routers with the same list agree. Empty
  /// if the list is.
  [[nodiscard]] static auto ownerOf(std::string_view Shard,
                                    const std::set<std::string> &LiveRouters) -> std::string;

private:
  std::int64_t m_Count;
  std::int64_t m_Home;
};

} // namespace geraniumlift::budget
