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
class BudgetParts {
public:
  /// Up to this size nine in ten writes of a fleet meet no other one: each router writes once a
  /// second, and a write takes 10 ms.
  static constexpr std::int64_t LargestSmallFleet = 17;

  /// Routers that one keeper serves. With more parts more of a budget is lost in remainders that
  /// cover no request.
  static constexpr std::int64_t RoutersPerKeeper = 24;

  /// The number of parts for a fleet.
  static auto countFor(std::int64_t Routers) -> std::int64_t;

  /// Parts are agreed on by all routers and stay the same; the home follows from the router's name.
  BudgetParts(std::int64_t Count, std::string_view Router);

  [[nodiscard]] auto count() const -> std::int64_t { return m_Count; }

  /// The name under which a part is kept. The only part of a small fleet has the budget's name.
  [[nodiscard]] auto nameOf(const std::string &Budget, std::int64_t Part) const -> std::string;
  [[nodiscard]] auto homeOf(const std::string &Budget) const -> std::string {
    return nameOf(Budget, m_Home);
  }

  /// All parts of a budget, the home first.
  [[nodiscard]] auto namesOf(const std::string &Budget) const -> std::vector<std::string>;

  /// What is prepaid for each part; together exactly what is prepaid for each budget.
  [[nodiscard]] auto split(const std::map<std::string, base::Tokens> &Prepaid) const
      -> std::map<std::string, base::Tokens>;

  /// Whether parts have keepers.
  [[nodiscard]] auto hasKeepers() const -> bool { return m_Count > 1; }

  /// The router among those alive that keeps the part; all routers with the same list agree. Empty
  /// if the list is.
  [[nodiscard]] static auto keeperOf(std::string_view Part, const std::set<std::string> &Alive)
      -> std::string;

private:
  std::int64_t m_Count;
  std::int64_t m_Home;
};

} // namespace geraniumlift::budget
