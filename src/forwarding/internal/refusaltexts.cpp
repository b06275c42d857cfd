#include "forwarding/forwardingtypes.h"

namespace geraniumlift::forwarding {

auto refusalText(RefusalReason Reason) -> const RefusalText & {
  for (const auto &Row : RefusalTexts) {
    if (Row.m_Reason == Reason) {
      return Row;
    }
  }
  return RefusalTexts.back();
}

} // namespace geraniumlift::forwarding
