#include "budget/reserveplanner.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::budget {

namespace {

auto toMs(std::chrono::steady_clock::duration Span) -> double {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// A number from 0 to 1 that is always the same for the router and the shard.
auto fixedFraction(const std::string &Shard, const std::string &Router) -> double {
  constexpr auto Range = 18446744073709551616.0; // 2^64
  return static_cast<double>(base::hash64(Shard + "/" + Router)) / Range;
}

} // namespace

auto ReservePlanner::tokensPerMs(const Meter &Item, base::SteadyTime Now) const -> double {
  return Item.m_TokensPerMs * std::exp(-toMs(Now - Item.m_Updated) / toMs(m_Options.m_RateWindow));
}

auto ReservePlanner::recordRequest(const std::string &Budget, Tokens WorstCase,
                                   base::SteadyTime Now) -> void {
  auto &Item = m_OwnDemand[Budget];
  const auto Size = static_cast<double>(WorstCase);
  const auto IsFirst = Item.m_MeanRequestTokens <= 0.0;
  Item.m_TokensPerMs =
      (IsFirst ? 0.0 : tokensPerMs(Item, Now)) + Size / toMs(m_Options.m_RateWindow);
  Item.m_MeanRequestTokens = IsFirst ? Size : 0.9 * Item.m_MeanRequestTokens + 0.1 * Size;
  Item.m_Updated = Now;
}

auto ReservePlanner::demandOf(const std::string &Budget, base::SteadyTime Now) const
    -> ReserveDemand {
  const auto Found = m_OwnDemand.find(Budget);
  if (Found == m_OwnDemand.end()) {
    return {};
  }
  return {tokensPerMs(Found->second, Now) * 1e3,
          static_cast<Tokens>(Found->second.m_MeanRequestTokens)};
}

auto ReservePlanner::wantedTokens(const std::string &Budget, base::SteadyTime Now) const -> Tokens {
  const auto Demand = demandOf(Budget, Now);
  const auto Mean = static_cast<double>(Demand.m_RequestTokens);
  const auto Expected = Demand.m_TokensPerSecond * toMs(m_Options.m_Span) / 1e3;
  // Below a tenth of a request no caller is expected any more.
  if (Mean <= 0.0 || Expected < 0.1 * Mean) {
    return 0;
  }
  return static_cast<Tokens>(std::ceil(Expected / Mean) * Mean);
}

auto ReservePlanner::recordReport(const std::string &Shard, const std::string &Router,
                                  double TokensPerSecond, Tokens Held, Tokens Missing,
                                  base::SteadyTime Now) -> void {
  auto &Reports = m_Reports[Shard];
  std::erase_if(Reports, [this, Now](const auto &Item) {
    return Now - Item.second.m_Time > m_Options.m_ReportLifetime;
  });
  Reports[Router] = {TokensPerSecond, Held, Missing, Now};
}

auto ReservePlanner::heldAhead(const std::string &Shard, base::SteadyTime Now) const -> Tokens {
  const auto Found = m_Reports.find(Shard);
  auto Held = Tokens{0};
  if (Found != m_Reports.end()) {
    for (const auto &[Name, Item] : Found->second) {
      Held += Now - Item.m_Time <= m_Options.m_ReportLifetime ? Item.m_Held : 0;
    }
  }
  return Held;
}

auto ReservePlanner::backlog(const std::string &Shard, Tokens Reserve, base::SteadyTime Now) const
    -> Tokens {
  const auto Found = m_Reports.find(Shard);
  if (Found == m_Reports.end()) {
    return 0;
  }
  auto Missing = Tokens{0};
  for (const auto &[Name, Item] : Found->second) {
    Missing += Now - Item.m_Time <= m_Options.m_ReportLifetime ? Item.m_Missing : 0;
  }
  return std::clamp<Tokens>(Reserve - heldAhead(Shard, Now), 0, Missing);
}

auto ReservePlanner::sharedShards(base::SteadyTime Now) const -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (const auto &[Shard, Reports] : m_Reports) {
    if (std::any_of(Reports.begin(), Reports.end(), [this, Now](const auto &Item) {
          return Now - Item.second.m_Time <= m_Options.m_ReportLifetime;
        })) {
      Names.push_back(Shard);
    }
  }
  return Names;
}

auto ReservePlanner::allowance(const std::string &Shard, const std::string &Router, Tokens Reserve,
                               Tokens RequestTokens, base::SteadyTime Now) const -> Tokens {
  const auto Found = m_Reports.find(Shard);
  if (Found == m_Reports.end() || RequestTokens <= 0) {
    return 0;
  }
  auto Sum = 0.0;
  auto Own = 0.0;
  for (const auto &[Name, Item] : Found->second) {
    if (Now - Item.m_Time <= m_Options.m_ReportLifetime) {
      Sum += Item.m_TokensPerSecond;
      Own = Name == Router ? Item.m_TokensPerSecond : Own;
    }
  }
  if (Own <= 0.0) {
    return 0;
  }
  const auto Requests =
      static_cast<double>(Reserve) * Own / Sum / static_cast<double>(RequestTokens);
  const auto Whole = static_cast<Tokens>(std::floor(Requests + fixedFraction(Shard, Router)));
  const auto Floor = static_cast<Tokens>(Own * toMs(m_Options.m_Floor) / 1e3);
  return std::max(Whole * RequestTokens, Floor);
}

} // namespace geraniumlift::budget
