#pragma once

#include "forwarding/routingtable.h"

namespace geraniumlift::forwarding {

/// A mistake in a configuration. RoutingTable::check() rejects some of them, and only names the
/// first.
enum class ConfigurationFault {
  /// A route that no request can match: its host is empty, or its path prefix has no slash at the
  /// beginning or the end, or contains a query.
  UnmatchableRoute,
  /// Callers that name a port in the host do not reach the route, because other routes name the
  /// host
  /// with a port.
  HiddenRoute,
  /// Two routes of a host have the same prefix, so that only the first one is used.
  DuplicateRoute,
  /// An API key is given to more than one workspace; the first one gets its requests.
  SharedKey,
  /// An API key names a workspace that does not exist.
  KeyWithoutWorkspace,
  /// No route uses the pool.
  PoolWithoutRoute,
  /// A route uses a pool that does not exist.
  UnknownPool,
  /// The timeout ends before the objective for the first byte.
  TimeoutBelowObjective,
  /// A workspace has fewer prepaid tokens than its smallest request may need.
  PrepaidBelowRequest,
  /// A route and a workspace have regions, and no region in common.
  NoCommonRegion,
};

inline constexpr auto ConfigurationFaultNames = std::array{
    base::NamedValue<ConfigurationFault>{ConfigurationFault::UnmatchableRoute, "unmatchable_route"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::HiddenRoute, "hidden_route"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::DuplicateRoute, "duplicate_route"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::SharedKey, "shared_key"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::KeyWithoutWorkspace,
                                         "key_without_workspace"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::PoolWithoutRoute,
                                         "pool_without_route"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::UnknownPool, "unknown_pool"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::TimeoutBelowObjective,
                                         "timeout_below_objective"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::PrepaidBelowRequest,
                                         "prepaid_below_request"},
    base::NamedValue<ConfigurationFault>{ConfigurationFault::NoCommonRegion, "no_common_region"},
};

/// What a ConfigurationCheck has found.
struct ConfigurationFinding {
  ConfigurationFault m_Fault = ConfigurationFault::UnmatchableRoute;

  /// Name of the route, pool or workspace. API keys are secret and never named.
  std::string m_Name;

  /// Name of what it conflicts with; empty if there is none.
  std::string m_Other;

  auto operator==(const ConfigurationFinding &) const -> bool = default;
};

/// API keys with the names of their workspaces, in the order of the configuration.
using KeyList = std::vector<std::pair<std::string, std::string>>;

/// Looks for entries of a configuration that cannot have the effect that was meant. Does no input
/// or output.
class ConfigurationCheck {
public:
  /// SmallestRequest is the number of tokens that any prompt request reserves at least; 0 if it is
  /// unknown.
  explicit ConfigurationCheck(base::Tokens SmallestRequest = 0)
      : m_SmallestRequest(SmallestRequest) {}

  /// Returns the findings, those of routes, pools, keys and workspaces one after the other.
  [[nodiscard]] auto findFaults(const RoutingTable &Table, const KeyList &Keys) const
      -> std::vector<ConfigurationFinding>;

private:
  base::Tokens m_SmallestRequest;
};

} // namespace geraniumlift::forwarding
