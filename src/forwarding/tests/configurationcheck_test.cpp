#include "forwarding/configurationcheck.h"

#include "forwarding/tests/forwardingfakes.h"

#include <criterion/criterion.h>

using namespace geraniumlift::forwarding;
using geraniumlift::forwarding::tests::ForwardingFixture;
using namespace std::chrono_literals;

namespace {

auto route(const std::string &Name, const std::string &Path, const std::string &Host = "shop")
    -> Route {
  auto Item = ForwardingFixture::route(Path, RequestKind::Idempotent, "p", 1);
  Item.m_Name = Name;
  Item.m_Host = Host;
  Item.m_Objective = 100ms;
  Item.m_Timeout = 1000ms;
  return Item;
}

/// Checks a configuration with the pool `p`.
auto findFaults(std::vector<Route> Routes, std::vector<Workspace> Workspaces = {},
                const KeyList &Keys = {}, geraniumlift::base::Tokens SmallestRequest = 0)
    -> std::vector<ConfigurationFinding> {
  const auto Table = RoutingTable(1, std::move(Routes), {TargetPool{"p", std::nullopt}},
                                  CallerLimits(), std::move(Workspaces), Keys);
  return ConfigurationCheck(SmallestRequest).findFaults(Table, Keys);
}

/// Whether there is one finding, this one.
auto isOnly(const std::vector<ConfigurationFinding> &Found, ConfigurationFault Fault,
            const std::string &Name, const std::string &Other) -> bool {
  return Found == std::vector<ConfigurationFinding>{{Fault, Name, Other}};
}

auto workspace(const std::string &Name) -> Workspace {
  auto Item = Workspace();
  Item.m_Name = Name;
  return Item;
}

} // namespace

Test(configurationcheck, soundConfigurationHasNoFindings) {
  cr_expect(findFaults({route("a", "/a/"), route("b", "/a/b/"), route("c", "/", "other:80")},
                       {workspace("w")}, {{"k", "w"}, {"k2", "w"}, {"k2", "w"}})
                .empty());
}

// Guards against routes that an operator takes for effective and that get no requests.
Test(configurationcheck, routesThatCannotMatchAreFound) {
  for (const auto *Path : {"a/", "/a", "/a?b/", ""}) {
    cr_expect(isOnly(findFaults({route("a", Path)}), ConfigurationFault::UnmatchableRoute, "a", ""),
              "%s", Path);
  }
  cr_expect(
      isOnly(findFaults({route("a", "/", "")}), ConfigurationFault::UnmatchableRoute, "a", ""));
  cr_expect(isOnly(findFaults({route("a", "/a/"), route("b", "/a/", "SHOP")}),
                   ConfigurationFault::DuplicateRoute, "b", "a"));
  cr_expect(isOnly(findFaults({route("a", "/a/"), route("b", "/", "Shop:80")}),
                   ConfigurationFault::HiddenRoute, "a", "b"));
}

// Guards against a finding that differs from what the router does with such a table.
Test(configurationcheck, hiddenRouteIsNotReachedWithAPort) {
  const auto Table = RoutingTable(1, {route("a", "/a/"), route("b", "/b/", "shop:80")}, {},
                                  CallerLimits(), {}, {});
  cr_expect_null(Table.findRoute("shop:80", "/a/"));
  cr_expect_not_null(Table.findRoute("shop", "/a/"));
}

Test(configurationcheck, poolsWithoutRoutesAndRoutesWithoutPoolsAreFound) {
  auto Other = route("a", "/a/");
  Other.m_Pools = {{"q", 1.0}};
  const auto Found = findFaults({Other});
  cr_assert_eq(Found.size(), 2U);
  cr_expect(Found[0] == (ConfigurationFinding{ConfigurationFault::UnknownPool, "a", "q"}));
  cr_expect(Found[1] == (ConfigurationFinding{ConfigurationFault::PoolWithoutRoute, "p", ""}));
}

Test(configurationcheck, timeoutBelowTheObjectiveIsFound) {
  auto Item = route("a", "/a/");
  Item.m_Timeout = 99ms;
  cr_expect(isOnly(findFaults({Item}), ConfigurationFault::TimeoutBelowObjective, "a", ""));
}

// Guards against a caller whose requests are billed to another workspace, and against a report that
// shows a key.
Test(configurationcheck, keysOfTwoWorkspacesOrOfNoneAreFound) {
  const auto Workspaces = std::vector<Workspace>{workspace("v"), workspace("w")};
  cr_expect(isOnly(findFaults({route("a", "/a/")}, Workspaces, {{"secret", "v"}, {"secret", "w"}}),
                   ConfigurationFault::SharedKey, "w", "v"));
  cr_expect(isOnly(findFaults({route("a", "/a/")}, Workspaces, {{"secret", "x"}}),
                   ConfigurationFault::KeyWithoutWorkspace, "x", ""));
}

Test(configurationcheck, workspacesThatCannotBeServedAreFound) {
  auto Poor = workspace("w");
  Poor.m_Prepaid = 99;
  cr_expect(isOnly(findFaults({route("a", "/a/")}, {Poor}, {}, 100),
                   ConfigurationFault::PrepaidBelowRequest, "w", ""));
  cr_expect(findFaults({route("a", "/a/")}, {Poor}, {}, 99).empty());
  auto Southern = workspace("w");
  Southern.m_AllowedRegions = {"south"};
  auto Northern = route("b", "/b/");
  Northern.m_AllowedRegions = {"north"};
  cr_expect(isOnly(findFaults({route("a", "/a/"), Northern}, {Southern}),
                   ConfigurationFault::NoCommonRegion, "w", "b"));
}
