#pragma once

#include "gateway/gatewaytypes.h"

namespace geraniumlift::gateway {

/// Looks up the other routers of the fleet. Thread-safe.
class IPeerDirectory {
public:
  virtual ~IPeerDirectory() = default;

  /// Addresses for callers, nearest first, of the routers that are up and not leaving.
  [[nodiscard]] virtual auto entryList() const -> std::vector<EntryAddress> = 0;

  /// The live router process with this identity, if there is one.
  [[nodiscard]] virtual auto find(const base::HolderId &Holder) const
      -> std::optional<PeerAddress> = 0;

  /// Live routers that advertise at least this allowance for the budget, best first.
  [[nodiscard]] virtual auto findWithAllowance(const std::string &Budget, base::Tokens Tokens) const
      -> std::vector<PeerAddress> = 0;
};

} // namespace geraniumlift::gateway
