#include "mirror/mirrorreader.h"

#include <algorithm>

namespace geraniumlift::mirror {

auto MirrorReader::advanceTo(std::size_t Prefix, std::int64_t Revision) -> void {
  m_Revisions[Prefix] = std::max(m_Revisions[Prefix], Revision);
}

auto MirrorReader::apply(const MirrorUpdate &Message, base::SteadyTime Now)
    -> std::vector<std::vector<keyvalue::WatchEvent>> {
  auto Result = std::vector<std::vector<keyvalue::WatchEvent>>(m_Revisions.size());
  if (Message.m_Prefixes.size() != m_Revisions.size()) {
    return Result;
  }
  auto IsCurrent = true;
  for (std::size_t Prefix = 0; Prefix < m_Revisions.size(); ++Prefix) {
    const auto &Changes = Message.m_Prefixes[Prefix];
    const auto Known = m_Revisions[Prefix];
    // An update that ends before this router's knowledge comes from a relay that is behind; one
    // that begins after it leaves out changes.
    if (Changes.m_Until == 0 || Changes.m_Until < Known || Changes.m_After > Known) {
      IsCurrent = false;
      continue;
    }
    IsCurrent = IsCurrent && std::chrono::milliseconds(Changes.m_AgeMs) <= m_Options.m_MaxAge;
    for (const auto &Event : Changes.m_Events) {
      if (Event.m_Item.m_ModRevision > Known) {
        Result[Prefix].push_back(Event);
      }
    }
    m_Revisions[Prefix] = Changes.m_Until;
  }
  if (IsCurrent) {
    m_CurrentAt = Now;
  }
  return Result;
}

auto MirrorReader::mustFollowStore(base::SteadyTime Now) const -> bool {
  return !m_CurrentAt || Now - *m_CurrentAt > m_Options.m_Patience;
}

} // namespace geraniumlift::mirror
