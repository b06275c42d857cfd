#include "base/bufferlimit.h"

#include <algorithm>

namespace geraniumlift::base {

auto BufferLimit::setHeld(IBufferHolder &Holder, std::size_t Bytes) -> void {
  if (Bytes == 0) {
    if (const auto Found = m_Holders.find(&Holder); Found != m_Holders.end()) {
      m_HeldBytes -= Found->second;
      m_Holders.erase(Found);
    }
    return;
  }
  auto &Held = m_Holders[&Holder];
  m_HeldBytes += Bytes - Held;
  Held = Bytes;
  while (m_HeldBytes > m_MaxBytes && !m_Holders.empty()) {
    auto &Largest = *std::ranges::max_element(m_Holders, {}, [](const auto &Item) {
                       return Item.second;
                     })->first;
    // Releases the bytes first: the holder may state other figures while it gives up.
    setHeld(Largest, 0);
    ++m_Drops;
    Largest.dropBuffer();
  }
}

} // namespace geraniumlift::base
