#include "admission/internal/fifoqueue.h"

#include <algorithm>

namespace geraniumlift::admission {

auto FifoQueue::push(QueueEntry Entry) -> void {
  m_TotalSeconds += Entry.m_RunSeconds;
  m_Sequences[Entry.m_Id] = m_NextSequence;
  m_Entries.emplace(m_NextSequence, std::move(Entry));
  ++m_NextSequence;
}

auto FifoQueue::peek(EntryFilter Filter) -> std::optional<WorkId> {
  for (const auto &[Sequence, Entry] : m_Entries) {
    if (Filter == EntryFilter::Any || Entry.m_Short) {
      return Entry.m_Id;
    }
  }
  return std::nullopt;
}

auto FifoQueue::removeAndCharge(WorkId Id) -> void { remove(Id); }

auto FifoQueue::remove(WorkId Id) -> void {
  const auto Sequence = m_Sequences.find(Id);
  if (Sequence == m_Sequences.end()) {
    return;
  }
  const auto Entry = m_Entries.find(Sequence->second);
  m_TotalSeconds = std::max(0.0, m_TotalSeconds - Entry->second.m_RunSeconds);
  m_Entries.erase(Entry);
  m_Sequences.erase(Sequence);
}

auto FifoQueue::slotSecondsAhead(const QueueEntry & /*Entry*/) const -> double {
  return m_TotalSeconds;
}

} // namespace geraniumlift::admission
