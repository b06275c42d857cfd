#include "ratelimits/limittable.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::ratelimits {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr auto Thousand = 1000.0;

/// Differences below this share are no change.
constexpr auto MinChange = 0.01;

auto isSame(const std::optional<double> &Left, const std::optional<double> &Right) -> bool {
  if (!Left || !Right) {
    return Left.has_value() == Right.has_value();
  }
  return std::abs(*Left - *Right) <= MinChange * std::max(*Left, *Right);
}

} // namespace

auto LimitTable::add(TargetKey Target, const LimitStatement &Statement) -> bool {
  const auto Found = m_Statements.find(Target);
  if (Found == m_Statements.end()) {
    // No limit is what is assumed of an unknown target.
    if (!Statement.m_PerSecond) {
      return false;
    }
    m_Statements.emplace(Target, Statement);
    ++m_Limited;
    return true;
  }
  auto &Known = Found->second;
  if (Statement.m_StatedAt <= Known.m_StatedAt) {
    return false;
  }
  const auto IsChange = !isSame(Known.m_PerSecond, Statement.m_PerSecond);
  m_Limited += Statement.m_PerSecond ? 1 : 0;
  m_Limited -= Known.m_PerSecond ? 1 : 0;
  Known = Statement;
  return IsChange;
}

auto LimitTable::limitOf(TargetKey Target) const -> std::optional<double> {
  const auto Found = m_Statements.find(Target);
  return Found == m_Statements.end() ? std::nullopt : Found->second.m_PerSecond;
}

auto LimitTable::toReport(TargetKey Target, base::SteadyTime Now) const -> ReportedLimit {
  const auto Found = m_Statements.find(Target);
  if (Found == m_Statements.end()) {
    return {Target, NoLimit, static_cast<std::uint32_t>(milliseconds(Lifetime).count())};
  }
  const auto &Known = Found->second;
  const auto Age = duration_cast<milliseconds>(Now - Known.m_StatedAt).count();
  auto Item =
      ReportedLimit{Target, NoLimit, static_cast<std::uint32_t>(std::max<std::int64_t>(Age, 0))};
  if (Known.m_PerSecond) {
    Item.m_PerThousandSeconds = static_cast<std::uint32_t>(
        std::clamp(*Known.m_PerSecond * Thousand, 0.0, static_cast<double>(NoLimit - 1)));
  }
  return Item;
}

auto LimitTable::reportAll(base::SteadyTime Now) const -> std::vector<ReportedLimit> {
  auto Result = std::vector<ReportedLimit>();
  for (const auto &[Target, Statement] : m_Statements) {
    Result.push_back(toReport(Target, Now));
  }
  return Result;
}

auto LimitTable::fromReport(const ReportedLimit &Item, base::SteadyTime Now) -> LimitStatement {
  auto Statement = LimitStatement{std::nullopt, Now - milliseconds(Item.m_AgeMs)};
  if (Item.m_PerThousandSeconds != NoLimit) {
    Statement.m_PerSecond = Item.m_PerThousandSeconds / Thousand;
  }
  return Statement;
}

auto LimitTable::removeExpired(base::SteadyTime Now) -> void {
  absl::erase_if(m_Statements, [this, Now](const auto &Item) {
    const auto IsExpired = Now - Item.second.m_StatedAt > Lifetime;
    m_Limited -= IsExpired && Item.second.m_PerSecond ? 1 : 0;
    return IsExpired;
  });
}

} // namespace geraniumlift::ratelimits
