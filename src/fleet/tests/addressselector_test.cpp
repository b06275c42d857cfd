#include "fleet/addressselector.h"

#include "base/random.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <map>

using namespace geraniumlift;
using namespace geraniumlift::fleet;

namespace {

constexpr auto Start = base::SteadyTime(std::chrono::hours(1));

/// Mean number of connections to a router in a played load.
constexpr auto ConnectionsPerRouter = 200;

auto fleetOf(int Routers) -> std::vector<AddressCandidate> {
  auto Result = std::vector<AddressCandidate>();
  for (auto Number = 0; Number < Routers; ++Number) {
    Result.push_back({fmt::format("vm-{}", Number), fmt::format("10.0.0.{}:80", Number), "a"});
  }
  return Result;
}

/// What callers are told at a time.
auto list(AddressSelector &Selector, std::vector<AddressCandidate> Fleet, bool IsStoreReachable,
          base::SteadyTime Now) -> std::vector<std::string> {
  Selector.removeSilent(Fleet, IsStoreReachable, Now);
  return Selector.choose(std::move(Fleet));
}

/// Plays callers that ask a random router and connect to a random address of its list. Returns the
/// largest number of connections of one router over the mean of all.
auto busiestOverMean(int Routers) -> double {
  const auto Fleet = fleetOf(Routers);
  auto Random = base::RandomEngine(7);
  const auto Draw = [&Random](std::size_t Size) {
    return boost::random::uniform_int_distribution<std::size_t>(0, Size - 1)(Random);
  };
  auto Lists = std::vector<std::vector<std::string>>();
  for (const auto &Router : Fleet) {
    Lists.push_back(AddressSelector(Router.m_Router).choose(Fleet));
  }
  auto Connections = std::map<std::string, int>();
  for (auto Caller = 0; Caller < Routers * ConnectionsPerRouter; ++Caller) {
    const auto &List = Lists[Draw(Lists.size())];
    ++Connections[List[Draw(List.size())]];
  }
  auto Largest = 0;
  for (const auto &Item : Connections) {
    Largest = std::max(Largest, Item.second);
  }
  return Largest / static_cast<double>(ConnectionsPerRouter);
}

} // namespace

// Guards against a list that is cut off in the order of names, which gave 64 of 195 routers nearly
// all requests.
Test(addressselector, allRoutersOfAFleetAreUsedEvenly) {
  for (const auto Routers : {9, 82, 195, 370}) {
    cr_expect_leq(busiestOverMean(Routers), 1.5, "%d routers", Routers);
  }
}

Test(addressselector, smallFleetIsListedWhole) {
  cr_assert_eq(AddressSelector("vm-1").choose(fleetOf(9)).size(), 9U);
}

// Guards against callers that close most of their connections with each new list.
Test(addressselector, listsChangeOnlyWhereRoutersComeAndGo) {
  auto Fleet = fleetOf(195);
  auto Selector = AddressSelector("vm-3");
  auto Before = list(Selector, Fleet, true, Start);
  cr_assert_eq(Before.size(), 64U, "callers read no more");
  cr_assert(list(Selector, Fleet, true, Start) == Before);
  Fleet.erase(std::find_if(Fleet.begin(), Fleet.end(),
                           [&Before](const auto &Item) { return Item.m_Address == Before[5]; }));
  auto After = list(Selector, Fleet, true, Start);
  cr_assert_eq(After.size(), 64U);
  std::sort(Before.begin(), Before.end());
  std::sort(After.begin(), After.end());
  auto Common = std::vector<std::string>();
  std::set_intersection(Before.begin(), Before.end(), After.begin(), After.end(),
                        std::back_inserter(Common));
  cr_assert_eq(Common.size(), 63U);
}

Test(addressselector, silentRoutersAreLeftOutUnlessMostAreSilent) {
  auto Fleet = fleetOf(40);
  for (auto Number = 0; Number < 20; ++Number) {
    Fleet[static_cast<std::size_t>(Number)].m_IsSilent = true;
  }
  auto Selector = AddressSelector("vm-30");
  cr_assert_eq(list(Selector, Fleet, true, Start).size(), 20U);
  Fleet[20].m_IsSilent = true;
  cr_assert_eq(list(Selector, Fleet, true, Start).size(), 40U,
               "a router that hears few others is isolated itself");
}

// Guards against callers who are told of routers that were killed, when most of the fleet was.
Test(addressselector, silentMajorityIsGoneIfTheStoreCanBeReachedAllTheWhile) {
  using namespace std::chrono_literals;
  auto Fleet = fleetOf(40);
  for (auto Number = 0; Number < 30; ++Number) {
    Fleet[static_cast<std::size_t>(Number)].m_IsSilent = true;
  }
  auto Selector = AddressSelector("vm-35", 64, 4000ms);
  cr_expect_eq(list(Selector, Fleet, true, Start).size(), 40U);
  cr_expect_eq(list(Selector, Fleet, true, Start + 3999ms).size(), 40U);
  cr_expect_eq(list(Selector, Fleet, false, Start + 4s).size(), 40U,
               "a router without the store is isolated itself");
  cr_expect_eq(list(Selector, Fleet, true, Start + 5s).size(), 40U);
  cr_expect_eq(list(Selector, Fleet, true, Start + 9s).size(), 10U);
}

// Guards against killed routers that stay listed because callers who ask for different regions, and
// so for different parts of the fleet, restart the time, or because nobody asked for long.
Test(addressselector, silentMajorityIsJudgedOnceForTheWholeFleet) {
  using namespace std::chrono_literals;
  auto Fleet = fleetOf(40);
  for (auto Number = 0; Number < 30; ++Number) {
    Fleet[static_cast<std::size_t>(Number)].m_IsSilent = true;
  }
  auto Selector = AddressSelector("vm-35", 64, 4000ms);
  for (auto Now = Start; Now < Start + 4s; Now += 500ms) {
    auto Candidates = Fleet;
    Selector.removeSilent(Candidates, true, Now);
  }
  auto Candidates = Fleet;
  Selector.removeSilent(Candidates, true, Start + 4s);
  Candidates.erase(Candidates.begin(), Candidates.begin() + 5);
  const auto Part = Selector.choose(Candidates);
  cr_expect_eq(Part.size(), 5U, "a region without silent routers");
}
