#include "budget/reserveplanner.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::budget;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// Requests of a cut of eight seconds that a fleet serves. Each router holds what it got before,
/// and gets nothing during the cut.
struct CutLoad {
  /// Requests a second at each router.
  std::vector<double> m_PerSecond;
  Tokens m_RequestTokens = 9000;
  Tokens m_Reserve = 0;
};

/// Requests that arrive in the cut and find tokens, if the reserve is divided by demand.
auto servedByDemand(const CutLoad &Load) -> int {
  auto Owner = ReservePlanner();
  auto Asked = std::vector<Tokens>();
  for (std::size_t Number = 0; Number < Load.m_PerSecond.size(); ++Number) {
    auto Planner = ReservePlanner();
    const auto PerSecond = Load.m_PerSecond[Number];
    for (auto Time = 0.0; Time < 20.0 && PerSecond > 0.0; Time += 1.0 / PerSecond) {
      Planner.recordRequest("b", Load.m_RequestTokens,
                            Start + std::chrono::milliseconds(static_cast<int>(Time * 1e3)));
    }
    Asked.push_back(Planner.wantedTokens("b", Start + 20s));
    Owner.recordReport("b", fmt::format("vm{}", Number),
                       Planner.demandOf("b", Start + 20s).m_TokensPerSecond, 0, Asked.back(),
                       Start + 20s);
  }
  auto Served = 0;
  for (std::size_t Number = 0; Number < Load.m_PerSecond.size(); ++Number) {
    const auto Allowed = Owner.allowance("b", fmt::format("vm{}", Number), Load.m_Reserve,
                                         Load.m_RequestTokens, Start + 20s);
    const auto Held = std::min(Allowed, Asked[Number]) / Load.m_RequestTokens;
    Served += std::min(static_cast<int>(Held), static_cast<int>(8.0 * Load.m_PerSecond[Number]));
  }
  return Served;
}

/// The same if each router holds an even share, which was the rule before.
auto servedByEvenShare(const CutLoad &Load) -> int {
  auto Served = 0;
  const auto Share = Load.m_Reserve / static_cast<Tokens>(Load.m_PerSecond.size());
  for (const auto PerSecond : Load.m_PerSecond) {
    Served +=
        std::min(static_cast<int>(Share / Load.m_RequestTokens), static_cast<int>(8.0 * PerSecond));
  }
  return Served;
}

} // namespace

// Guards against refusals at the one or two routers that all callers of a workspace use, while most
// of its budget lies elsewhere.
Test(reserveplanner, workspaceOfTwoRoutersIsServedInACut) {
  auto Load = CutLoad{std::vector<double>(77, 0.0)};
  Load.m_PerSecond[3] = 20.0;
  Load.m_PerSecond[40] = 10.0;
  Load.m_Reserve = Tokens{240} * 9000;
  cr_expect_geq(servedByDemand(Load), 230);
  cr_expect_leq(servedByEvenShare(Load), 6);
}

// Guards against reserves that are smaller than one request at every router.
Test(reserveplanner, smallReserveIsHeldInWholeRequestsBySomeRouters) {
  auto Load = CutLoad{std::vector<double>(77, 0.25)};
  Load.m_Reserve = Tokens{40} * 9000;
  cr_expect_geq(servedByDemand(Load), 25);
  cr_expect_leq(servedByDemand(Load), 55);
  cr_expect_eq(servedByEvenShare(Load), 0);
}

Test(reserveplanner, evenDemandIsServedInACut) {
  auto Load = CutLoad{std::vector<double>(77, 0.5)};
  Load.m_Reserve = Tokens{77} * 6 * 9000;
  cr_expect_geq(servedByDemand(Load), 300);
}

// Guards against reserves that routers hold for callers who have gone.
Test(reserveplanner, nothingIsWantedOnceDemandHasEnded) {
  auto Planner = ReservePlanner();
  cr_expect_eq(Planner.wantedTokens("b", Start), 0);
  Planner.recordRequest("b", 5000, Start);
  cr_expect_geq(Planner.wantedTokens("b", Start), 5000);
  cr_expect_eq(Planner.wantedTokens("b", Start + 60s), 0);
  Planner.recordReport("s", "vm", 100.0, 300, 500, Start);
  cr_expect_eq(Planner.sharedShards(Start).size(), 1U);
  cr_expect_eq(Planner.backlog("s", 600, Start), 300);
  cr_expect_eq(Planner.backlog("s", 10000, Start), 500);
  cr_expect_eq(Planner.backlog("s", 200, Start), 0);
  cr_expect(Planner.sharedShards(Start + 11s).empty());
  cr_expect_eq(Planner.allowance("s", "vm", 100000, 1000, Start + 11s), 0);
}
