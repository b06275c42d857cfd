#include "targets/internal/streamstate.h"

#include "targets/internal/jsonfields.h"

namespace geraniumlift::targets {

namespace {

constexpr auto EndMarker = std::string_view{"[DONE]"};

} // namespace

auto StreamState::accept(const SseEvent &Event) -> EventDecision {
  if (Event.m_Data == EndMarker) {
    return m_IsComplete ? EventDecision::End : EventDecision::EarlyEnd;
  }
  const auto Fields = parseEventFields(Event.m_Data);
  if (!Fields.ok() || Fields->m_RequestId != m_RequestId || !Event.m_Id) {
    m_ForeignEvents += 1;
    return EventDecision::Foreign;
  }
  if (*Event.m_Id < m_NextOffset || m_IsComplete) {
    return EventDecision::Repeat;
  }
  if (*Event.m_Id > m_NextOffset) {
    return EventDecision::Gap;
  }
  m_NextOffset += 1;
  m_IsComplete = Fields->m_HasFinishReason;
  if (Fields->m_Usage) {
    m_Usage = Fields->m_Usage;
  }
  return EventDecision::Deliver;
}

} // namespace geraniumlift::targets
