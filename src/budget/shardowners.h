#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace geraniumlift::budget {

/// Knows the owner of each shard among the live routers. Owners follow from rendezvous hashing, so
/// routers with the same list agree on them. An owner is computed once and then kept up to date as
/// routers come and go; the hashes of all routers for each request would cost more than the
/// request.
class ShardOwners {
public:
  /// Sets the live routers. Returns whether they have changed.
  auto setRouters(std::set<std::string> Routers) -> bool;
  [[nodiscard]] auto routers() const -> const std::set<std::string> & { return m_Routers; }

  /// Returns the live router that owns the shard; empty if there is none.
  [[nodiscard]] auto ownerOf(const std::string &Shard) const -> const std::string &;

private:
  struct Owner {
    std::uint64_t m_Rank = 0;
    std::string m_Router;
  };

  [[nodiscard]] auto findOwner(const std::string &Shard) const -> Owner;

  std::set<std::string> m_Routers;

  /// Owners by shard, of the shards that were asked for.
  mutable std::unordered_map<std::string, Owner> m_Owners;
};

} // namespace geraniumlift::budget
