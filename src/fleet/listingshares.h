#pragma once

#include <cstddef>
#include <vector>

namespace geraniumlift::fleet {

/// Bounds on the expected length of a list of addresses.
struct ListLengths {
  std::size_t m_Min = 16;
  std::size_t m_Max = 56;
};

/// Returns the data rate in Mbit/s that a VM can carry: its link, or what its cores can handle if
/// that is less. 0 if the link is unknown.
auto carriedMbps(double LinkMbps, double Cores) -> double;

/// Share of all lists in which each router is to be listed, such that the callers of a router are
/// in proportion to its capacity. Callers choose evenly among the addresses of a list, so a router
/// that carries a tenth of the largest one is in a tenth of the lists. Lists get no shorter than
/// the least length; the smaller routers then get more than their share.
class ListingShares {
public:
  /// Takes the capacity of each router; 0 if unknown, which counts as the mean of the others.
  ListingShares(std::vector<double> Capacities, ListLengths Lengths);

  /// Whether the capacities differ at all.
  [[nodiscard]] auto areUneven() const -> bool { return m_AreUneven; }

  /// Returns the share of the router with the index, from 0 to 1.
  [[nodiscard]] auto of(std::size_t Index) const -> double;

private:
  std::vector<double> m_Capacities;
  bool m_AreUneven = false;

  /// Share per unit of capacity.
  double m_Scale = 1.0;
};

} // namespace geraniumlift::fleet
