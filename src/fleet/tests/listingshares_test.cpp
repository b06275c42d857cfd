#include "fleet/addressselector.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <map>

using namespace geraniumlift;
using namespace geraniumlift::fleet;

namespace {

constexpr auto Start = base::SteadyTime(std::chrono::hours(1));

/// What one request takes of a VM per second.
constexpr auto RequestMbit = 0.059;
constexpr auto RequestCoreSeconds = 0.0003;

struct PlayedVm {
  double m_LinkMbps = 0.0;
  double m_Cores = 0.0;
};

/// VMs that differ by 20 in link and by 4 in processor.
auto vmOf(std::size_t Number) -> PlayedVm {
  constexpr auto Links = std::array{10.0, 20.0, 50.0, 100.0, 200.0};
  constexpr auto Cores = std::array{0.12, 0.25, 0.5};
  return {Links[Number % Links.size()], Cores[Number / Links.size() % Cores.size()]};
}

auto fleetOf(std::size_t Routers, bool AreCapacitiesKnown) -> std::vector<AddressCandidate> {
  auto Result = std::vector<AddressCandidate>();
  for (auto Number = std::size_t{0}; Number < Routers; ++Number) {
    auto Item = AddressCandidate{fmt::format("vm-{}", Number), fmt::format("vm-{}", Number), "a"};
    const auto Vm = vmOf(Number);
    Item.m_Capacity = AreCapacitiesKnown ? carriedMbps(Vm.m_LinkMbps, Vm.m_Cores) : 0.0;
    Result.push_back(std::move(Item));
  }
  return Result;
}

auto listOf(const std::string &Router, std::vector<AddressCandidate> Fleet)
    -> std::vector<std::string> {
  auto Selector = AddressSelector(Router);
  Selector.removeSilent(Fleet, true, Start);
  return Selector.choose(std::move(Fleet));
}

/// Plays a calm load of callers that ask a random router and use a random address of its list.
/// Returns the use of the fullest VM, of its link or processor, over what it would be if all VMs
/// were as full as one another.
auto fullestOverMean(const std::vector<AddressCandidate> &Fleet) -> double {
  auto Random = base::RandomEngine(7);
  const auto Draw = [&Random](std::size_t Size) {
    return boost::random::uniform_int_distribution<std::size_t>(0, Size - 1)(Random);
  };
  auto Lists = std::vector<std::vector<std::string>>();
  for (const auto &Item : Fleet) {
    Lists.push_back(listOf(Item.m_Router, Fleet));
  }
  auto Requests = std::map<std::string, double>();
  const auto Total = Fleet.size() * 2000;
  for (auto Number = std::size_t{0}; Number < Total; ++Number) {
    const auto &List = Lists[Draw(Lists.size())];
    ++Requests[List[Draw(List.size())]];
  }
  auto Fullest = 0.0;
  auto Capacity = 0.0;
  for (auto Number = std::size_t{0}; Number < Fleet.size(); ++Number) {
    const auto Vm = vmOf(Number);
    const auto PerSecond = std::min(Vm.m_LinkMbps / RequestMbit, Vm.m_Cores / RequestCoreSeconds);
    Fullest = std::max(Fullest, Requests[Fleet[Number].m_Address] / PerSecond);
    Capacity += PerSecond;
  }
  return Fullest / (static_cast<double>(Total) / Capacity);
}

/// Number of addresses of the first list that are missing from the second one.
auto countMissing(const std::vector<std::string> &First, const std::vector<std::string> &Second)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(First.begin(), First.end(), [&Second](const std::string &Item) {
        return std::find(Second.begin(), Second.end(), Item) == Second.end();
      }));
}

} // namespace

// Guards against a VM of 10 Mbit/s that gets as many callers as one of 200. The former rule, which
// still serves fleets that do not know their links, is the baseline.
Test(listingshares, unevenVmsAreUsedInProportionToWhatTheyCarry) {
  for (const auto Routers : {std::size_t{82}, std::size_t{195}}) {
    const auto Former = fullestOverMean(fleetOf(Routers, false));
    const auto Weighed = fullestOverMean(fleetOf(Routers, true));
    cr_log_info("%zu routers: former rule %.2f, shares %.2f", Routers, Former, Weighed);
    cr_expect_gt(Former, 3.0, "%zu routers: %f", Routers, Former);
    cr_expect_leq(Weighed, 1.5, "%zu routers: %f", Routers, Weighed);
  }
}

Test(listingshares, smallFleetIsListedWhole) {
  const auto Fleet = fleetOf(9, true);
  for (const auto &Item : Fleet) {
    cr_expect_eq(listOf(Item.m_Router, Fleet).size(), 9U);
  }
}

// Guards against callers that all close their connections when the link of one VM fills.
Test(listingshares, vmWhoseLinkFillsLeavesTheListsAlone) {
  auto Fleet = fleetOf(82, true);
  auto Overloaded = Fleet;
  Overloaded[10].m_IsOverloaded = true;
  auto Moved = std::size_t{0};
  for (const auto &Item : Fleet) {
    const auto Before = listOf(Item.m_Router, Fleet);
    const auto After = listOf(Item.m_Router, Overloaded);
    cr_expect_eq(countMissing({"vm-10"}, After), 1U);
    Moved += countMissing(Before, After) - countMissing(countMissing({"vm-10"}, Before) == 0
                                                            ? std::vector<std::string>{"vm-10"}
                                                            : std::vector<std::string>{},
                                                        After);
  }
  cr_expect_leq(Moved, 82U, "%zu other addresses left the 82 lists", Moved);
}

// Guards against lists that change as a whole when a router comes or goes.
Test(listingshares, routerThatGoesChangesFewEntries) {
  const auto Fleet = fleetOf(82, true);
  auto Smaller = Fleet;
  Smaller.erase(Smaller.begin() + 40);
  auto Lost = std::size_t{0};
  auto Listed = std::size_t{0};
  for (const auto &Item : Smaller) {
    const auto Before = listOf(Item.m_Router, Fleet);
    Listed += Before.size();
    Lost += countMissing(Before, listOf(Item.m_Router, Smaller));
  }
  cr_expect_leq(Lost * 20, Listed, "%zu of %zu entries", Lost, Listed);
}

// Guards against empty or tiny lists when hardly any router has room: the rest would then get the
// callers of all.
Test(listingshares, overloadedFleetIsStillListed) {
  for (const auto Routers : {1U, 3U, 9U, 82U, 195U}) {
    for (const auto Share : {0.1, 0.3, 0.6, 1.0}) {
      auto Fleet = fleetOf(Routers, true);
      for (auto Number = std::size_t{0}; static_cast<double>(Number) < Share * Routers; ++Number) {
        Fleet[Number].m_IsOverloaded = true;
      }
      for (const auto &Item : Fleet) {
        const auto Count = listOf(Item.m_Router, Fleet).size();
        cr_expect_geq(Count, std::min(Routers - Routers / 4, 8U), "%u routers, %f overloaded",
                      Routers, Share);
        cr_expect_leq(Count, AddressSelector::DefaultMaxAddresses);
      }
    }
  }
}
