#include "budget/budgetshards.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace geraniumlift::budget {

auto BudgetShards::shardCountFor(std::int64_t Routers) -> std::int64_t {
  return Routers <= MaxUnshardedFleet ? 1 : std::max<std::int64_t>(2, Routers / RoutersPerShard);
}

BudgetShards::BudgetShards(std::int64_t Count, std::string_view Router)
    : m_Count(std::max<std::int64_t>(1, Count)),
      m_Home(static_cast<std::int64_t>(XXH3_64bits(Router.data(), Router.size()) %
                                       static_cast<std::uint64_t>(m_Count))) {}

auto BudgetShards::shardName(const std::string &Budget, std::int64_t Shard) const -> std::string {
  return m_Count == 1 ? Budget : fmt::format("{}/{}", Budget, Shard);
}

auto BudgetShards::shardNames(const std::string &Budget) const -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (auto Step = std::int64_t{0}; Step < m_Count; ++Step) {
    Names.push_back(shardName(Budget, (m_Home + Step) % m_Count));
  }
  return Names;
}

auto BudgetShards::splitPrepaid(const std::map<std::string, base::Tokens> &Prepaid) const
    -> std::map<std::string, base::Tokens> {
  auto Result = std::map<std::string, base::Tokens>();
  for (const auto &[Budget, Amount] : Prepaid) {
    for (auto Shard = std::int64_t{0}; Shard < m_Count; ++Shard) {
      const auto Rest = Shard < Amount % m_Count ? 1 : 0;
      Result[shardName(Budget, Shard)] = Amount / m_Count + Rest;
    }
  }
  return Result;
}

} // namespace geraniumlift::budget
