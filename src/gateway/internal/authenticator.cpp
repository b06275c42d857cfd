#include "gateway/internal/authenticator.h"

#include "base/hashing.h"

namespace geraniumlift::gateway {

auto Authenticator::setSnapshot(const configuration::Snapshot &Snapshot) -> void {
  m_WorkspaceByKeyHash.clear();
  for (const auto &[Name, Workspace] : Snapshot.m_Objects.m_Workspaces) {
    for (const auto &Hash : Workspace.m_KeyHashes) {
      m_WorkspaceByKeyHash.emplace(Hash, Name);
    }
  }
}

auto Authenticator::findWorkspace(std::string_view Authorization) const
    -> std::optional<std::string> {
  constexpr auto Scheme = std::string_view("Bearer ");
  if (!Authorization.starts_with(Scheme)) {
    return std::nullopt;
  }
  const auto Found =
      m_WorkspaceByKeyHash.find(base::sha256Hex(Authorization.substr(Scheme.size())));
  return Found == m_WorkspaceByKeyHash.end() ? std::nullopt : std::optional(Found->second);
}

} // namespace geraniumlift::gateway
