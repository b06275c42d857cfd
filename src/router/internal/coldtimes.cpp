#include "router/internal/coldtimes.h"

namespace geraniumlift::router {

auto ColdTimes::put(const forwarding::TargetRecord &Record, std::int64_t Revision,
                    base::SteadyTime Now) -> void {
  if (m_Readings.size() > MaxReadings) {
    std::erase_if(m_Readings, [Now](const auto &Item) { return Item.second.m_Until <= Now; });
  }
  auto &Known = m_Readings[Record.m_Id];
  if (Revision > Known.m_Revision) {
    Known = {Record.m_Incarnation, Revision, Now + Record.m_ColdTime};
  }
}

auto ColdTimes::endOf(const forwarding::TargetRecord &Record, base::SteadyTime Now) const
    -> std::optional<base::SteadyTime> {
  const auto Found = m_Readings.find(Record.m_Id);
  if (Found == m_Readings.end() || Found->second.m_Incarnation != Record.m_Incarnation ||
      Found->second.m_Until <= Now) {
    return std::nullopt;
  }
  return Found->second.m_Until;
}

} // namespace geraniumlift::router
