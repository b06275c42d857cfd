#include "streamversions/originmemory.h"

namespace geraniumlift::streamversions {

auto OriginMemory::put(StreamKey Key, const StreamOrigin &Origin, base::SteadyTime Until) -> void {
  m_Streams[Key] = {Origin, Until};
  m_Expiries.push_back({Key, Until});
  // A stream that is put again has several expiries, which count towards the bound, too.
  while (m_Expiries.size() > m_MaxStreams) {
    dropOldest();
  }
}

auto OriginMemory::find(StreamKey Key, base::SteadyTime Now) const -> std::optional<StreamOrigin> {
  const auto Found = m_Streams.find(Key);
  return Found == m_Streams.end() || Found->second.m_Until <= Now
             ? std::nullopt
             : std::optional(Found->second.m_Origin);
}

auto OriginMemory::streamsOf(const std::string &Pool, std::size_t Most, base::SteadyTime Now) const
    -> std::vector<OriginReport> {
  auto Result = std::vector<OriginReport>();
  for (auto Item = m_Expiries.rbegin(); Item != m_Expiries.rend() && Result.size() < Most; ++Item) {
    const auto Found = m_Streams.find(Item->m_Key);
    if (Found != m_Streams.end() && Found->second.m_Until == Item->m_Until &&
        Found->second.m_Until > Now && Found->second.m_Origin.m_Pool == Pool) {
      Result.push_back({Item->m_Key, Found->second.m_Origin});
    }
  }
  return Result;
}

auto OriginMemory::removeExpired(base::SteadyTime Now) -> void {
  while (!m_Expiries.empty() && m_Expiries.front().m_Until <= Now) {
    dropOldest();
  }
}

auto OriginMemory::dropOldest() -> void {
  const auto Oldest = m_Expiries.front();
  m_Expiries.pop_front();
  const auto Found = m_Streams.find(Oldest.m_Key);
  if (Found != m_Streams.end() && Found->second.m_Until == Oldest.m_Until) {
    m_Streams.erase(Found);
  }
}

} // namespace geraniumlift::streamversions
