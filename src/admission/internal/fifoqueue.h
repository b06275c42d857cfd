#pragma once

#include "admission/internal/iworkqueue.h"

#include <map>
#include <unordered_map>

namespace geraniumlift::admission {

/// Dispatches in the order of arrival.
class FifoQueue final : public IWorkQueue {
public:
  auto push(QueueEntry Entry) -> void override;
  auto peek(EntryFilter Filter) -> std::optional<WorkId> override;
  auto removeAndCharge(WorkId Id) -> void override;
  auto remove(WorkId Id) -> void override;
  [[nodiscard]] auto slotSecondsAhead(const QueueEntry &Entry) const -> double override;
  [[nodiscard]] auto size() const -> std::size_t override { return m_Entries.size(); }

private:
  std::uint64_t m_NextSequence = 0;
  double m_TotalSeconds = 0.0;
  std::map<std::uint64_t, QueueEntry> m_Entries;
  std::unordered_map<WorkId, std::uint64_t> m_Sequences;
};

} // namespace geraniumlift::admission
