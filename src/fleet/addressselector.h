#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace geraniumlift::fleet {

/// A router that may be listed to callers.
struct AddressCandidate {
  /// Name of the router.
  std::string m_Router;

  /// Address for callers, as IP:PORT.
  std::string m_Address;

  /// Whether the router has been silent for longer than the heartbeat timeout.
  bool m_IsSilent = false;
};

/// Chooses the routers that callers are told to use. Callers pick one of them at random for each
/// connection. Answers the load of a fleet that is larger than a list, and of callers that are
/// spread unevenly over the data centres: every list is a sample of the whole fleet, and the lists
/// of different routers are different samples, so that all routers are used evenly. A router's list
/// changes only where routers come and go, since callers close connections to routers that are no
/// longer listed.
class AddressSelector {
public:
  /// Callers read no more addresses than this.
  static constexpr std::size_t DefaultMaxAddresses = 64;

  /// Self is the name of the router that answers.
  explicit AddressSelector(std::string Self, std::size_t MaxAddresses = DefaultMaxAddresses)
      : m_Self(std::move(Self)), m_MaxAddresses(MaxAddresses) {}

  /// Silent routers are left out, unless more than half are silent: then this router is probably
  /// isolated itself.
  [[nodiscard]] auto choose(std::vector<AddressCandidate> Candidates) const
      -> std::vector<std::string>;

private:
  std::string m_Self;
  std::size_t m_MaxAddresses;
};

} // namespace geraniumlift::fleet
