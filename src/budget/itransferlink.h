#pragma once

#include "budget/transfertypes.h"

#include <vector>

namespace geraniumlift::budget {

/// What one router can pass on.
struct RouterOffer {
  std::string m_Router;
  Tokens m_Available = 0;
};

/// The way to the other routers. Messages may be lost, doubled or late.
class ITransferLink {
public:
  virtual ~ITransferLink() = default;

  /// What the routers that were heard lately offer of the budget, the largest offer first.
  [[nodiscard]] virtual auto offersOf(const std::string &Budget) const
      -> std::vector<RouterOffer> = 0;

  virtual auto send(const std::string &Router, const TransferMessage &Message) -> void = 0;
};

} // namespace geraniumlift::budget
