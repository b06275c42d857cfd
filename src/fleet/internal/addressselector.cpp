#include "fleet/addressselector.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace geraniumlift::fleet {

auto AddressSelector::removeSilent(std::vector<AddressCandidate> &Candidates, bool IsStoreReachable,
                                   base::SteadyTime Now) -> void {
  const auto IsSilent = [](const AddressCandidate &Item) { return Item.m_IsSilent; };
  const auto Silent = std::count_if(Candidates.begin(), Candidates.end(), IsSilent);
  const auto IsMajoritySilent = static_cast<std::size_t>(Silent) * 2 > Candidates.size();
  if (!IsMajoritySilent || !IsStoreReachable) {
    m_IsolatedSince.reset();
  } else if (!m_IsolatedSince) {
    m_IsolatedSince = Now;
  }
  if (!IsMajoritySilent || (m_IsolatedSince && Now - *m_IsolatedSince >= m_MaxIsolation)) {
    std::erase_if(Candidates, IsSilent);
  }
}

auto AddressSelector::choose(std::vector<AddressCandidate> Candidates) const
    -> std::vector<std::string> {
  auto Ranked = std::vector<std::pair<std::uint64_t, std::string *>>();
  for (auto &Item : Candidates) {
    Ranked.emplace_back(base::rendezvousRank(m_Self, Item.m_Router), &Item.m_Address);
  }
  std::sort(Ranked.begin(), Ranked.end());
  Ranked.resize(std::min(Ranked.size(), m_MaxAddresses));
  auto Addresses = std::vector<std::string>();
  for (auto &Item : Ranked) {
    Addresses.push_back(std::move(*Item.second));
  }
  return Addresses;
}

} // namespace geraniumlift::fleet
