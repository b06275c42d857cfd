#pragma once

#include "base/identifiers.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::budget {

/// Splits each budget of a large fleet into parts with a record of their own, so that the writes of
/// all routers do not meet at one record. Every router has one part of each budget as its home and
/// goes to others when that is used up.
class BudgetParts {
public:
  /// Routers that share a record. Nine routers write it about nine times a second, and a write
  /// takes 10 ms, so that one in ten meets another.
  static constexpr std::int64_t RoutersPerPart = 9;

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

  /// The parts that are not this router's home.
  [[nodiscard]] auto foreignParts(const std::map<std::string, base::Tokens> &Prepaid) const
      -> std::set<std::string>;

private:
  std::int64_t m_Count;
  std::int64_t m_Home;
};

} // namespace geraniumlift::budget
