#include "forwarding/configurationcheck.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <set>

namespace geraniumlift::forwarding {

namespace {

using Findings = std::vector<ConfigurationFinding>;

auto isMatchable(const Route &Item) -> bool {
  return !Item.m_Host.empty() && Item.m_PathPrefix.starts_with('/') &&
         Item.m_PathPrefix.ends_with('/') && Item.m_PathPrefix.find('?') == std::string::npos;
}

/// Returns the hosts that routes name with a port, without that port, with the name of a route.
auto hostsWithPort(const std::vector<Route> &Routes) -> std::map<std::string, std::string> {
  auto Result = std::map<std::string, std::string>();
  for (const auto &Item : Routes) {
    if (const auto Colon = Item.m_Host.rfind(':'); Colon != std::string::npos) {
      Result.emplace(absl::AsciiStrToLower(Item.m_Host.substr(0, Colon)), Item.m_Name);
    }
  }
  return Result;
}

/// Finds routes that get no requests, or not all that they seem to ask for.
auto checkMatching(const std::vector<Route> &Routes, Findings &Out) -> void {
  const auto WithPort = hostsWithPort(Routes);
  auto Known = std::map<std::pair<std::string, std::string>, std::string>();
  for (const auto &Item : Routes) {
    const auto Host = absl::AsciiStrToLower(Item.m_Host);
    if (!isMatchable(Item)) {
      Out.push_back({ConfigurationFault::UnmatchableRoute, Item.m_Name, ""});
    }
    if (const auto Found = WithPort.find(Host); Found != WithPort.end()) {
      Out.push_back({ConfigurationFault::HiddenRoute, Item.m_Name, Found->second});
    }
    const auto [First, IsNew] = Known.try_emplace({Host, Item.m_PathPrefix}, Item.m_Name);
    if (!IsNew) {
      Out.push_back({ConfigurationFault::DuplicateRoute, Item.m_Name, First->second});
    }
  }
}

auto checkPools(const RoutingTable &Table, Findings &Out) -> void {
  auto Pools = std::set<std::string>();
  for (const auto &Pool : Table.pools()) {
    Pools.insert(Pool.m_Name);
  }
  auto Used = std::set<std::string>();
  for (const auto &Item : Table.routes()) {
    for (const auto &Pool : Item.m_Pools) {
      Used.insert(Pool.m_Pool);
      if (!Pools.contains(Pool.m_Pool)) {
        Out.push_back({ConfigurationFault::UnknownPool, Item.m_Name, Pool.m_Pool});
      }
    }
  }
  for (const auto &Pool : Table.pools()) {
    if (!Used.contains(Pool.m_Name)) {
      Out.push_back({ConfigurationFault::PoolWithoutRoute, Pool.m_Name, ""});
    }
  }
}

auto checkTimes(const std::vector<Route> &Routes, Findings &Out) -> void {
  for (const auto &Item : Routes) {
    if (Item.m_Timeout < Item.m_Objective) {
      Out.push_back({ConfigurationFault::TimeoutBelowObjective, Item.m_Name, ""});
    }
  }
}

auto checkKeys(const RoutingTable &Table, const KeyList &Keys, Findings &Out) -> void {
  auto Names = std::set<std::string>();
  for (const auto &Item : Table.workspaces()) {
    Names.insert(Item.m_Name);
  }
  auto Owners = std::map<std::string, std::string>();
  for (const auto &[Key, Name] : Keys) {
    if (!Names.contains(Name)) {
      Out.push_back({ConfigurationFault::KeyWithoutWorkspace, Name, ""});
    }
    const auto First = Owners.try_emplace(Key, Name).first;
    if (First->second != Name) {
      Out.push_back({ConfigurationFault::SharedKey, Name, First->second});
    }
  }
}

/// Whether a route and a workspace may both be served somewhere.
auto haveCommonRegion(const Route &Item, const Workspace &Owner) -> bool {
  const auto &Allowed = Owner.m_AllowedRegions;
  return Item.m_AllowedRegions.empty() || Allowed.empty() ||
         std::any_of(Allowed.begin(), Allowed.end(), [&Item](const std::string &Region) {
           return std::find(Item.m_AllowedRegions.begin(), Item.m_AllowedRegions.end(), Region) !=
                  Item.m_AllowedRegions.end();
         });
}

/// Names a workspace without a region in common with a route once, with the first such route.
auto checkWorkspaces(const RoutingTable &Table, base::Tokens SmallestRequest, Findings &Out)
    -> void {
  const auto &Routes = Table.routes();
  for (const auto &Item : Table.workspaces()) {
    if (Item.m_Prepaid && *Item.m_Prepaid < SmallestRequest) {
      Out.push_back({ConfigurationFault::PrepaidBelowRequest, Item.m_Name, ""});
    }
    const auto Outside = std::find_if(Routes.begin(), Routes.end(), [&Item](const Route &Other) {
      return !Other.m_IsPublic && !haveCommonRegion(Other, Item);
    });
    if (Outside != Routes.end()) {
      Out.push_back({ConfigurationFault::NoCommonRegion, Item.m_Name, Outside->m_Name});
    }
  }
}

} // namespace

auto ConfigurationCheck::findFaults(const RoutingTable &Table, const KeyList &Keys) const
    -> std::vector<ConfigurationFinding> {
  auto Result = Findings();
  checkMatching(Table.routes(), Result);
  checkTimes(Table.routes(), Result);
  checkPools(Table, Result);
  checkKeys(Table, Keys, Result);
  checkWorkspaces(Table, m_SmallestRequest, Result);
  return Result;
}

} // namespace geraniumlift::forwarding
