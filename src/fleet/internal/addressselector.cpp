#include "fleet/addressselector.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::fleet {

namespace {

/// Keys of the random orders on which all routers agree.
constexpr auto OverloadKey = std::string_view("overload");
constexpr auto PositionKey = std::string_view("position");
constexpr auto PlaceKey = std::string_view("place");

/// Least length of a list, if there are as many routers.
constexpr auto MinAddresses = std::size_t{8};

} // namespace

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

auto AddressSelector::removeOverloaded(std::vector<AddressCandidate> &Candidates) -> void {
  auto Overloaded = std::vector<std::pair<std::uint64_t, std::string>>();
  for (const auto &Item : Candidates) {
    if (Item.m_IsOverloaded) {
      Overloaded.emplace_back(base::rendezvousRank(OverloadKey, Item.m_Router), Item.m_Router);
    }
  }
  const auto Half = Candidates.size() / 2;
  const auto Room = Half - std::min(Half, Overloaded.size());
  std::sort(Overloaded.begin(), Overloaded.end());
  Overloaded.resize(std::min({Overloaded.size(), Room, Candidates.size() / 4}));
  std::erase_if(Candidates, [&Overloaded](const AddressCandidate &Item) {
    return std::any_of(Overloaded.begin(), Overloaded.end(),
                       [&Item](const auto &Left) { return Left.second == Item.m_Router; });
  });
}

auto AddressSelector::positionIn(const std::vector<AddressCandidate> &Candidates) const -> double {
  const auto Own = base::rendezvousRank(PositionKey, m_Self);
  const auto Before =
      std::count_if(Candidates.begin(), Candidates.end(), [Own](const AddressCandidate &Item) {
        return base::rendezvousRank(PositionKey, Item.m_Router) < Own;
      });
  return static_cast<double>(Before) /
         static_cast<double>(std::max<std::size_t>(1, Candidates.size()));
}

auto AddressSelector::chooseByRank(const std::vector<AddressCandidate> &Candidates) const
    -> std::vector<std::string> {
  auto Ranked = std::vector<std::pair<std::uint64_t, const std::string *>>();
  for (const auto &Item : Candidates) {
    Ranked.emplace_back(base::rendezvousRank(m_Self, Item.m_Router), &Item.m_Address);
  }
  std::sort(Ranked.begin(), Ranked.end());
  Ranked.resize(std::min(Ranked.size(), m_MaxAddresses));
  auto Addresses = std::vector<std::string>();
  for (const auto &Item : Ranked) {
    Addresses.push_back(*Item.second);
  }
  return Addresses;
}

auto AddressSelector::chooseByShare(const std::vector<AddressCandidate> &Candidates,
                                    const ListingShares &Shares, double Position) const
    -> std::vector<std::string> {
  // A router is listed if its distance is within its share.
  auto Ranked = std::vector<std::pair<double, const std::string *>>();
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    const auto Place = std::ldexp(
        static_cast<double>(base::rendezvousRank(PlaceKey, Candidates[Index].m_Router)), -64);
    const auto Distance = Place + Position - std::floor(Place + Position);
    Ranked.emplace_back(Distance / Shares.of(Index), &Candidates[Index].m_Address);
  }
  std::sort(Ranked.begin(), Ranked.end());
  auto Addresses = std::vector<std::string>();
  for (const auto &[Distance, Address] : Ranked) {
    if (Addresses.size() < MinAddresses || (Distance < 1.0 && Addresses.size() < m_MaxAddresses)) {
      Addresses.push_back(*Address);
    }
  }
  return Addresses;
}

auto AddressSelector::choose(std::vector<AddressCandidate> Candidates) const
    -> std::vector<std::string> {
  const auto Position = positionIn(Candidates);
  removeOverloaded(Candidates);
  auto Capacities = std::vector<double>();
  for (const auto &Item : Candidates) {
    Capacities.push_back(Item.m_Capacity);
  }
  const auto Shares = ListingShares(std::move(Capacities), ListLengths());
  return Shares.areUneven() ? chooseByShare(Candidates, Shares, Position)
                            : chooseByRank(Candidates);
}

} // namespace geraniumlift::fleet
