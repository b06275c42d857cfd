#include "budget/budgetparts.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace geraniumlift::budget {

auto BudgetParts::countFor(std::int64_t Routers) -> std::int64_t {
  return std::max<std::int64_t>(1, Routers / RoutersPerPart);
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

auto BudgetParts::foreignParts(const std::map<std::string, base::Tokens> &Prepaid) const
    -> std::set<std::string> {
  auto Result = std::set<std::string>();
  for (const auto &[Budget, Amount] : Prepaid) {
    for (auto &Name : namesOf(Budget)) {
      Result.insert(std::move(Name));
    }
    Result.erase(homeOf(Budget));
  }
  return Result;
}

} // namespace geraniumlift::budget
