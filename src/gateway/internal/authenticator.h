#pragma once

#include "configuration/configurationtypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace geraniumlift::gateway {

/// Finds a caller's workspace by the hash of its API key.
class Authenticator {
public:
  /// Rebuilds the index for a snapshot.
  auto setSnapshot(const configuration::Snapshot &Snapshot) -> void;

  /// Returns the workspace's name for an Authorization header of the form "Bearer <key>", or
  /// nothing if the key is unknown.
  [[nodiscard]] auto findWorkspace(std::string_view Authorization) const
      -> std::optional<std::string>;

private:
  std::unordered_map<std::string, std::string> m_WorkspaceByKeyHash;
};

} // namespace geraniumlift::gateway
