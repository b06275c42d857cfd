#include "budget/budgetparts.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace geraniumlift::budget {

auto BudgetParts::countFor(std::int64_t Routers) -> std::int64_t {
  return Routers <= LargestSmallFleet ? 1 : std::max<std::int64_t>(2, Routers / RoutersPerKeeper);
}

BudgetParts::BudgetParts(std::int64_t Count, std::string_view Router)
    : m_Count(std::max<std::int64_t>(1, Count)),
      m_Home(static_cast<std::int64_t>(XXH3_64bits(Router.data(), Router.size()) %
                                       static_cast<std::uint64_t>(m_Count))) {}

auto BudgetParts::nameOf(const std::string &Budget, std::int64_t Part) const -> std::string {
  return m_Count == 1 ? Budget : fmt::format("{}/{}", Budget, Part);
}

auto BudgetParts::namesOf(const std::string &Budget) const -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (auto Step = std::int64_t{0}; Step < m_Count; ++Step) {
    Names.push_back(nameOf(Budget, (m_Home + Step) % m_Count));
  }
  return Names;
}

auto BudgetParts::split(const std::map<std::string, base::Tokens> &Prepaid) const
    -> std::map<std::string, base::Tokens> {
  auto Result = std::map<std::string, base::Tokens>();
  for (const auto &[Budget, Amount] : Prepaid) {
    for (auto Part = std::int64_t{0}; Part < m_Count; ++Part) {
      const auto Rest = Part < Amount % m_Count ? 1 : 0;
      Result[nameOf(Budget, Part)] = Amount / m_Count + Rest;
    }
  }
  return Result;
}

auto BudgetParts::keeperOf(std::string_view Part, const std::set<std::string> &Alive)
    -> std::string {
  auto Best = std::pair<std::uint64_t, std::string_view>();
  for (const auto &Router : Alive) {
    Best = std::max(Best, {base::rendezvousRank(Part, Router), std::string_view(Router)});
  }
  return std::string(Best.second);
}

} // namespace geraniumlift::budget
