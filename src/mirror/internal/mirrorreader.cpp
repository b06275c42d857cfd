#include "mirror/mirrorreader.h"

#include <algorithm>

namespace geraniumlift::mirror {

auto MirrorReader::advanceTo(std::size_t Prefix, std::int64_t Revision) -> void {
  m_Revisions[Prefix] = std::max(m_Revisions[Prefix], Revision);
}

auto MirrorReader::startRequest(base::SteadyTime Now) -> std::uint32_t {
  m_Requests.push_back({++m_LastNumber, Now});
  if (m_Requests.size() > MaxOpenRequests) {
    m_Requests.pop_front();
  }
  return m_LastNumber;
}

auto MirrorReader::apply(const MirrorUpdate &Message)
    -> std::vector<std::vector<keyvalue::WatchEvent>> {
  auto Result = std::vector<std::vector<keyvalue::WatchEvent>>(m_Revisions.size());
  if (Message.m_Prefixes.size() != m_Revisions.size()) {
    return Result;
  }
  auto IsCurrent = true;
  auto Age = std::chrono::milliseconds(0);
  m_HasMore = false;
  for (std::size_t Prefix = 0; Prefix < m_Revisions.size(); ++Prefix) {
    const auto &Changes = Message.m_Prefixes[Prefix];
    const auto Known = m_Revisions[Prefix];
    // An update that ends before this router's knowledge comes from a relay that is behind; one
    // that begins after it leaves out changes.
    if (Changes.m_Until == 0 || Changes.m_Until < Known || Changes.m_After > Known) {
      IsCurrent = false;
      continue;
    }
    IsCurrent = IsCurrent && Changes.m_IsComplete;
    m_HasMore = m_HasMore || !Changes.m_IsComplete;
    Age = std::max(Age, std::chrono::milliseconds(Changes.m_AgeMs));
    for (const auto &Event : Changes.m_Events) {
      if (Event.m_Item.m_ModRevision > Known) {
        Result[Prefix].push_back(Event);
      }
    }
    m_Revisions[Prefix] = Changes.m_Until;
  }
  const auto Request =
      std::find_if(m_Requests.begin(), m_Requests.end(), [&Message](const SentRequest &Item) {
        return Item.m_Number == Message.m_RequestNumber;
      });
  if (IsCurrent && Request != m_Requests.end()) {
    // The relay told the age after the request was sent, and the answer may have been on its way
    // for long.
    const auto ConfirmedAt = Request->m_SentAt - Age;
    if (!m_ConfirmedAt || ConfirmedAt > *m_ConfirmedAt) {
      m_ConfirmedAt = ConfirmedAt;
      m_ConfirmedBy = Message.m_Relay;
    }
  }
  return Result;
}

auto MirrorReader::mustFollowStore(base::SteadyTime Now) const -> bool {
  return !m_ConfirmedAt || Now - *m_ConfirmedAt > m_Options.m_MaxAge;
}

auto MirrorReader::followStoreAt() const -> std::optional<base::SteadyTime> {
  if (!m_ConfirmedAt) {
    return std::nullopt;
  }
  return *m_ConfirmedAt + m_Options.m_MaxAge;
}

} // namespace geraniumlift::mirror
