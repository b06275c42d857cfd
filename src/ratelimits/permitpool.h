#pragma once

#include "ratelimits/limittypes.h"

#include <absl/container/flat_hash_map.h>

namespace geraniumlift::ratelimits {

/// The permits that a router holds, by target. Does no input or output.
class PermitPool {
public:
  /// Time within which a permit must be used. It is short, so that a keeper that takes over knows
  /// when those of its predecessor are void.
  static constexpr auto Validity = std::chrono::milliseconds(500);

  auto add(TargetKey Target, base::SteadyTime Now) -> void {
    m_Expiries[Target].push_back(Now + Validity);
  }
  [[nodiscard]] auto has(TargetKey Target, base::SteadyTime Now) const -> bool;

  /// Takes a permit out. Returns whether there was one.
  auto take(TargetKey Target, base::SteadyTime Now) -> bool;

  auto removeExpired(base::SteadyTime Now) -> void;

private:
  /// When the permits of each target expire, the next one first.
  absl::flat_hash_map<TargetKey, std::vector<base::SteadyTime>> m_Expiries;
};

} // namespace geraniumlift::ratelimits
