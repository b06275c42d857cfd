#pragma once

#include "forwarding/routetypes.h"

#include <absl/status/status.h>
#include <memory>
#include <string_view>

namespace geraniumlift::forwarding {

/// An immutable, versioned set of routes, pools, limits and workspaces. Configuration changes
/// replace the whole table.
class RoutingTable {
public:
  RoutingTable(std::int64_t Version, std::vector<Route> Routes, std::vector<TargetPool> Pools,
               CallerLimits Limits, std::vector<Workspace> Workspaces,
               const std::vector<std::pair<std::string, std::string>> &KeysWithWorkspaces);

  /// Returns InvalidArgument with the first error found: a route without pools, an unknown pool, a
  /// prefix without slashes, a timeout or number of attempts that is not positive, or two routes
  /// with the same host and prefix.
  [[nodiscard]] auto check() const -> absl::Status;

  [[nodiscard]] auto version() const -> std::int64_t { return m_Version; }
  [[nodiscard]] auto limits() const -> const CallerLimits & { return m_Limits; }
  [[nodiscard]] auto routes() const -> const std::vector<Route> & { return m_Routes; }
  [[nodiscard]] auto pools() const -> const std::vector<TargetPool> & { return m_Pools; }
  [[nodiscard]] auto workspaces() const -> const std::vector<Workspace> & { return m_Workspaces; }
  [[nodiscard]] auto hasWorkspaces() const -> bool { return !m_Workspaces.empty(); }

  /// Returns the route of the host with the longest matching path prefix, or nullptr. The case of
  /// the host and the query of the request target are ignored, and so is the port of the host
  /// unless a route includes it.
  [[nodiscard]] auto findRoute(std::string_view Host, std::string_view Target) const
      -> const Route *;

  /// Whether routers of the region may be named to callers of the host: every route of the host
  /// allows it, or has no regions.
  [[nodiscard]] auto allowsRegion(std::string_view Host, const std::string &Region) const -> bool;

  /// Returns the workspace of the API key, or nullptr.
  [[nodiscard]] auto findWorkspace(std::string_view Key) const -> const Workspace *;

  /// Returns the pool of this name, or nullptr.
  [[nodiscard]] auto findPool(std::string_view Name) const -> const TargetPool *;

private:
  using PrefixIndex = std::map<std::string, std::size_t, std::less<>>;

  std::int64_t m_Version;
  std::vector<Route> m_Routes;
  std::vector<TargetPool> m_Pools;
  CallerLimits m_Limits;
  std::vector<Workspace> m_Workspaces;
  std::map<std::string, PrefixIndex, std::less<>> m_Hosts;
  std::map<std::string, std::size_t, std::less<>> m_Keys;
  bool m_HasDuplicateRoutes = false;
};

/// Shared, immutable table; null until the first configuration is known.
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

} // namespace geraniumlift::forwarding
