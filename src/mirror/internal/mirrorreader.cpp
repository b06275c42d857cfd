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
  m_TooLarge.clear();
  if (Message.m_Prefixes.size() != m_Revisions.size()) {
    return Result;
  }
  const auto Request =
      std::find_if(m_Requests.begin(), m_Requests.end(), [&Message](const SentRequest &Item) {
        return Item.m_Number == Message.m_RequestNumber;
      });
  m_HasMore = false;
  for (std::size_t Prefix = 0; Prefix < m_Revisions.size(); ++Prefix) {
    const auto &Changes = Message.m_Prefixes[Prefix];
    const auto Known = m_Revisions[Prefix];
    if (Changes.m_IsTooLarge) {
      m_TooLarge.push_back(Prefix);
    }
    // An update that ends before this router's knowledge comes from a relay that is behind; one
    // that begins after it leaves out changes.
    if (Changes.m_Until == 0 || Changes.m_Until < Known || Changes.m_After > Known) {
      continue;
    }
    m_HasMore = m_HasMore || !Changes.m_IsComplete;
    for (const auto &Event : Changes.m_Events) {
      if (Event.m_Item.m_ModRevision > Known) {
        Result[Prefix].push_back(Event);
      }
    }
    m_Revisions[Prefix] = Changes.m_Until;
    if (Changes.m_IsComplete && Request != m_Requests.end()) {
      // The relay told the age after the request was sent, and the answer may have been on its way
      // for long.
      const auto ConfirmedAt = Request->m_SentAt - std::chrono::milliseconds(Changes.m_AgeMs);
      auto &Last = m_ConfirmedAt[Prefix];
      if (!Last || ConfirmedAt > *Last) {
        Last = ConfirmedAt;
        m_ConfirmedBy = Message.m_Relay;
      }
    }
  }
  return Result;
}

auto MirrorReader::confirmedAt() const -> std::optional<base::SteadyTime> {
  // An empty optional is the least.
  return m_ConfirmedAt.empty() ? std::nullopt
                               : *std::min_element(m_ConfirmedAt.begin(), m_ConfirmedAt.end());
}

auto MirrorReader::knownAt() const -> std::optional<base::SteadyTime> {
  auto Least = std::optional(base::SteadyTime::max());
  for (std::size_t Prefix = 0; Prefix < m_ConfirmedAt.size(); ++Prefix) {
    Least = std::min(Least, std::max(m_ConfirmedAt[Prefix], m_ReadAt[Prefix]));
  }
  return Least;
}

auto MirrorReader::mustFollowStore(base::SteadyTime Now) const -> bool {
  const auto Known = knownAt();
  return !Known || Now - *Known > m_Options.m_MaxAge;
}

auto MirrorReader::followStoreAt() const -> std::optional<base::SteadyTime> {
  const auto Known = knownAt();
  if (!Known) {
    return std::nullopt;
  }
  return *Known + m_Options.m_MaxAge;
}

} // namespace geraniumlift::mirror
