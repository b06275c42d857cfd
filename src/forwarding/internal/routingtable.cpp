#include "forwarding/routingtable.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::forwarding {

namespace {

auto toLower(std::string_view Text) -> std::string {
  auto Result = std::string(Text);
  absl::AsciiStrToLower(&Result);
  return Result;
}

auto checkRoute(const Route &Item, const RoutingTable &Table) -> absl::Status {
  const auto Fail = [&Item](std::string_view Reason) {
    return absl::InvalidArgumentError(fmt::format("route {}: {}", Item.m_Name, Reason));
  };
  if (Item.m_PathPrefix.empty() || !Item.m_PathPrefix.starts_with('/') ||
      !Item.m_PathPrefix.ends_with('/')) {
    return Fail("the path prefix must start and end with '/'");
  }
  if (Item.m_Pools.empty()) {
    return Fail("at least one target pool is required");
  }
  for (const auto &Pool : Item.m_Pools) {
    if (Table.findPool(Pool.m_Pool) == nullptr) {
      return Fail(fmt::format("target pool {} does not exist", Pool.m_Pool));
    }
  }
  if (Item.m_Timeout.count() <= 0 || Item.m_MaxAttempts < 1) {
    return Fail("the timeout and the maximum number of attempts must be positive");
  }
  return absl::OkStatus();
}

} // namespace

RoutingTable::RoutingTable(
    std::int64_t Version, std::vector<Route> Routes, std::vector<TargetPool> Pools,
    CallerLimits Limits, std::vector<Workspace> Workspaces,
    const std::vector<std::pair<std::string, std::string>> &KeysWithWorkspaces)
    : m_Version(Version), m_Routes(std::move(Routes)), m_Pools(std::move(Pools)), m_Limits(Limits),
      m_Workspaces(std::move(Workspaces)) {
  for (std::size_t Index = 0; Index < m_Routes.size(); ++Index) {
    auto &Prefixes = m_Hosts[toLower(m_Routes[Index].m_Host)];
    m_HasDuplicateRoutes |= !Prefixes.emplace(m_Routes[Index].m_PathPrefix, Index).second;
  }
  for (const auto &[Key, Name] : KeysWithWorkspaces) {
    for (std::size_t Index = 0; Index < m_Workspaces.size(); ++Index) {
      if (m_Workspaces[Index].m_Name == Name) {
        m_Keys.emplace(Key, Index);
      }
    }
  }
}

auto RoutingTable::check() const -> absl::Status {
  if (m_HasDuplicateRoutes) {
    return absl::InvalidArgumentError("two routes have the same host and path prefix");
  }
  for (const auto &Item : m_Routes) {
    if (auto Status = checkRoute(Item, *this); !Status.ok()) {
      return Status;
    }
  }
  return absl::OkStatus();
}

auto RoutingTable::allowsRegion(std::string_view Host, const std::string &Region) const -> bool {
  const auto Found = m_Hosts.find(toLower(Host));
  return Found == m_Hosts.end() ||
         std::all_of(Found->second.begin(), Found->second.end(), [&](const auto &Item) {
           const auto &Regions = m_Routes[Item.second].m_AllowedRegions;
           return Regions.empty() ||
                  std::find(Regions.begin(), Regions.end(), Region) != Regions.end();
         });
}

auto RoutingTable::findRoute(std::string_view Host, std::string_view Target) const
    -> const Route * {
  auto Found = m_Hosts.find(toLower(Host));
  if (Found == m_Hosts.end()) {
    Found = m_Hosts.find(toLower(Host.substr(0, Host.rfind(':'))));
  }
  if (Found == m_Hosts.end()) {
    return nullptr;
  }
  auto Path = Target.substr(0, Target.find('?'));
  while (!Path.empty()) {
    const auto Slash = Path.rfind('/');
    if (Slash == std::string_view::npos) {
      break;
    }
    const auto Prefix = Found->second.find(Path.substr(0, Slash + 1));
    if (Prefix != Found->second.end()) {
      return &m_Routes[Prefix->second];
    }
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

auto RoutingTable::findWorkspace(std::string_view Key) const -> const Workspace * {
  const auto Found = m_Keys.find(Key);
  return Found == m_Keys.end() ? nullptr : &m_Workspaces[Found->second];
}

auto RoutingTable::findPool(std::string_view Name) const -> const TargetPool * {
  for (const auto &Pool : m_Pools) {
    if (Pool.m_Name == Name) {
      return &Pool;
    }
  }
  return nullptr;
}

} // namespace geraniumlift::forwarding
