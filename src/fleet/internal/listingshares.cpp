#include "fleet/listingshares.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace geraniumlift::fleet {

namespace {

/// Data rate in Mbit/s that passes through one core.
constexpr auto MbpsPerCore = 200.0;

/// Capacities that differ by less than this factor count as equal.
constexpr auto EvenFactor = 1.05;

/// Returns the factor by which capacities become shares of at most 1 whose sum is the length. The
/// capacities are in descending order; the length is at most their number.
auto scaleFor(const std::vector<double> &Descending, double Length) -> double {
  auto Rest = std::accumulate(Descending.begin(), Descending.end(), 0.0);
  auto Left = Length;
  for (const auto Capacity : Descending) {
    const auto Scale = Left / Rest;
    if (Capacity * Scale <= 1.0) {
      return Scale;
    }
    // This router is in all lists.
    Left -= 1.0;
    Rest -= Capacity;
  }
  return 1.0 / Descending.back();
}

} // namespace

auto carriedMbps(double LinkMbps, double Cores) -> double {
  return LinkMbps > 0.0 && Cores > 0.0 ? std::min(LinkMbps, Cores * MbpsPerCore) : LinkMbps;
}

ListingShares::ListingShares(std::vector<double> Capacities, ListLengths Lengths)
    : m_Capacities(std::move(Capacities)) {
  const auto Known = std::count_if(m_Capacities.begin(), m_Capacities.end(),
                                   [](double Capacity) { return Capacity > 0.0; });
  if (Known == 0) {
    return;
  }
  const auto Sum = std::accumulate(m_Capacities.begin(), m_Capacities.end(), 0.0);
  std::replace(m_Capacities.begin(), m_Capacities.end(), 0.0, Sum / static_cast<double>(Known));
  auto Descending = m_Capacities;
  std::sort(Descending.begin(), Descending.end(), std::greater());
  m_AreUneven = Descending.front() > Descending.back() * EvenFactor;
  const auto Total = std::accumulate(Descending.begin(), Descending.end(), 0.0);
  const auto Count = static_cast<double>(Descending.size());
  const auto Least = std::min(Count, static_cast<double>(Lengths.m_Min));
  const auto Most = std::min(Count, static_cast<double>(Lengths.m_Max));
  m_Scale = scaleFor(Descending, std::clamp(Total / Descending.front(), Least, Most));
}

auto ListingShares::of(std::size_t Index) const -> double {
  return std::min(1.0, m_Capacities[Index] * m_Scale);
}

} // namespace geraniumlift::fleet
