#include "admission/internal/fifoqueue.h"

#include <algorithm>

namespace geraniumlift::admission {

auto FifoQueue::push(QueueEntry Entry) -> void {
  m_Seconds += Entry.m_RunSeconds;
  m_Places[Entry.m_Id] = m_NextPlace;
  m_Entries.emplace(m_NextPlace, std::move(Entry));
  ++m_NextPlace;
}

auto FifoQueue::next(Lane Lane) -> std::optional<WorkId> {
  for (const auto &[Place, Entry] : m_Entries) {
    if (Lane == Lane::Any || Entry.m_Short) {
      return Entry.m_Id;
    }
  }
  return std::nullopt;
}

auto FifoQueue::take(WorkId Id) -> void { drop(Id); }

auto FifoQueue::drop(WorkId Id) -> void {
  const auto Place = m_Places.find(Id);
  if (Place == m_Places.end()) {
    return;
  }
  const auto Entry = m_Entries.find(Place->second);
  m_Seconds = std::max(0.0, m_Seconds - Entry->second.m_RunSeconds);
  m_Entries.erase(Entry);
  m_Places.erase(Place);
}

auto FifoQueue::secondsAhead(const QueueEntry & /*Entry*/) const -> double { return m_Seconds; }

} // namespace geraniumlift::admission
