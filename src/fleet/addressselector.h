#pragma once

#include "base/iclock.h"
#include "fleet/listingshares.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::fleet {

/// A router that may be listed to callers.
struct AddressCandidate {
  /// Name of the router.
  std::string m_Router;

  /// Address for callers, as IP:PORT.
  std::string m_Address;
  std::string m_DataCentre = {};

  /// Whether the router has been silent for longer than the heartbeat timeout.
  bool m_IsSilent = false;

  /// Whether the router is past its capacity, and that capacity; 0 if unknown. See carriedMbps().
  bool m_IsOverloaded = false;
  double m_Capacity = 0.0;
};

/// Chooses the routers that callers are told to use. Callers pick one of them at random for each
/// connection. Answers the load of a fleet that is larger than a list, and of callers that are
/// spread unevenly over the data centres: every list is a sample of the whole fleet, and the lists
/// of different routers are different samples, so that all routers are used evenly. A router's list
/// changes only where routers come and go, since callers close connections to routers that are no
/// longer listed. Where capacities differ, a router is in as many of the lists as it can carry
/// callers.
class AddressSelector {
public:
  /// Callers read no more addresses than this.
  static constexpr std::size_t DefaultMaxAddresses = 64;

  /// Self is the name of the router that answers. A silent majority of the routers counts as gone
  /// after MaxIsolation, if the store can be reached all the while.
  explicit AddressSelector(std::string Self, std::size_t MaxAddresses = DefaultMaxAddresses,
                           std::chrono::milliseconds MaxIsolation = std::chrono::milliseconds(3000))
      : m_Self(std::move(Self)), m_MaxAddresses(MaxAddresses), m_MaxIsolation(MaxIsolation) {}

  /// Leaves out silent routers. If more than half are silent, this router is probably isolated
  /// itself, and they stay listed for a while. To be called with the candidates of the whole fleet,
  /// also while nobody asks, because the while begins with the first call that finds them silent.
  auto removeSilent(std::vector<AddressCandidate> &Candidates, bool IsStoreReachable,
                    base::SteadyTime Now) -> void;

  /// Chooses among the candidates that removeSilent() has left. Routers past their capacity are
  /// left out, at most a quarter of all, and none if half of them are: then there is no room
  /// elsewhere.
  [[nodiscard]] auto choose(std::vector<AddressCandidate> Candidates) const
      -> std::vector<std::string>;

private:
  static auto removeOverloaded(std::vector<AddressCandidate> &Candidates) -> void;

  /// The rule for even capacities: the routers that rank first for this one.
  [[nodiscard]] auto chooseByRank(const std::vector<AddressCandidate> &Candidates) const
      -> std::vector<std::string>;

  /// The rule for uneven capacities. Each router has a random place on a circle, on which this
  /// router's list begins at its own position in the fleet, so that the lists of all routers
  /// together hold each router as often as its share says.
  [[nodiscard]] auto chooseByShare(const std::vector<AddressCandidate> &Candidates,
                                   const ListingShares &Shares, double Position) const
      -> std::vector<std::string>;

  /// This router's position among the candidates in a random order on which all agree, from 0 to 1.
  [[nodiscard]] auto positionIn(const std::vector<AddressCandidate> &Candidates) const -> double;

  std::string m_Self;
  std::size_t m_MaxAddresses;
  std::chrono::milliseconds m_MaxIsolation;

  /// Since when more than half of the routers are silent while the store can be reached.
  std::optional<base::SteadyTime> m_IsolatedSince;
};

} // namespace geraniumlift::fleet
