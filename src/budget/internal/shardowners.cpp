#include "budget/shardowners.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <vector>

namespace geraniumlift::budget {

auto ShardOwners::findOwner(const std::string &Shard) const -> Owner {
  auto Best = Owner();
  for (const auto &Router : m_Routers) {
    const auto Rank = base::rendezvousRank(Shard, Router);
    if (Best.m_Router.empty() || std::tie(Best.m_Rank, Best.m_Router) < std::tie(Rank, Router)) {
      Best = {Rank, Router};
    }
  }
  return Best;
}

auto ShardOwners::setRouters(std::set<std::string> Routers) -> bool {
  if (Routers == m_Routers) {
    return false;
  }
  auto Joined = std::vector<std::string>();
  std::set_difference(Routers.begin(), Routers.end(), m_Routers.begin(), m_Routers.end(),
                      std::back_inserter(Joined));
  m_Routers = std::move(Routers);
  std::erase_if(m_Owners,
                [this](const auto &Item) { return !m_Routers.contains(Item.second.m_Router); });
  for (auto &[Shard, Current] : m_Owners) {
    for (const auto &Router : Joined) {
      const auto Rank = base::rendezvousRank(Shard, Router);
      if (std::tie(Current.m_Rank, Current.m_Router) < std::tie(Rank, Router)) {
        Current = {Rank, Router};
      }
    }
  }
  return true;
}

auto ShardOwners::ownerOf(const std::string &Shard) const -> const std::string & {
  const auto Found = m_Owners.find(Shard);
  return Found != m_Owners.end() ? Found->second.m_Router
                                 : m_Owners.emplace(Shard, findOwner(Shard)).first->second.m_Router;
}

} // namespace geraniumlift::budget
