#pragma once

#include "ratelimits/limittypes.h"

#include <absl/container/flat_hash_map.h>

namespace geraniumlift::ratelimits {

/// The newest statement of each target, from its own answers or from other routers. Does no input
/// or output.
class LimitTable {
public:
  /// Time without a statement after which a limit is no longer known. Only a target that gets no
  /// requests makes none.
  static constexpr auto Lifetime = std::chrono::seconds(60);

  /// Adds a statement. Returns whether it is newer than what is known and says something else.
  auto add(TargetKey Target, const LimitStatement &Statement) -> bool;

  /// Returns the limit in requests a second; nothing if the target names none.
  [[nodiscard]] auto limitOf(TargetKey Target) const -> std::optional<double>;

  [[nodiscard]] auto toReport(TargetKey Target, base::SteadyTime Now) const -> ReportedLimit;
  [[nodiscard]] auto reportAll(base::SteadyTime Now) const -> std::vector<ReportedLimit>;
  static auto fromReport(const ReportedLimit &Item, base::SteadyTime Now) -> LimitStatement;

  auto removeExpired(base::SteadyTime Now) -> void;

  /// Number of targets that name a limit.
  [[nodiscard]] auto limitedTargets() const -> std::size_t { return m_Limited; }

private:
  absl::flat_hash_map<TargetKey, LimitStatement> m_Statements;
  std::size_t m_Limited = 0;
};

} // namespace geraniumlift::ratelimits
