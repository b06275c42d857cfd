#pragma once

#include "budget/transfertypes.h"

#include <vector>

namespace geraniumlift::budget {

/// Tokens of a budget or shard that one router can transfer.
struct RouterOffer {
  std::string m_Router;
  Tokens m_Available = 0;
};

/// Sends transfer messages to the other routers. Messages may be lost, duplicated or delayed.
class ITransferLink {
public:
  virtual ~ITransferLink() = default;

  /// Offers of the budget or shard by the routers that were heard from recently, the largest first.
  [[nodiscard]] virtual auto offersOf(const std::string &Budget) const
      -> std::vector<RouterOffer> = 0;

  virtual auto send(const std::string &Router, const TransferMessage &Message) -> void = 0;
};

} // namespace geraniumlift::budget
