#include "keyvalue/callcounter.h"

namespace geraniumlift::keyvalue {

auto CallCounter::add(CallKind Kind) -> void {
  m_Calls[static_cast<std::size_t>(Kind)].fetch_add(1, std::memory_order_relaxed);
}

auto CallCounter::counts() const -> std::vector<CallCount> {
  auto Counts = std::vector<CallCount>();
  for (const auto &Row : CallKindNames) {
    Counts.push_back({Row.m_Value, m_Calls[static_cast<std::size_t>(Row.m_Value)].load()});
  }
  return Counts;
}

} // namespace geraniumlift::keyvalue
