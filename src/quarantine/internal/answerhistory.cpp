#include "quarantine/answerhistory.h"

namespace geraniumlift::quarantine {

auto AnswerHistory::record(PartHash Part, base::SteadyTime Now) -> void {
  if (m_Newer.size() >= MaxParts || Now - m_NewerSince > Span) {
    m_Older = std::move(m_Newer);
    m_Newer.clear();
    m_NewerSince = Now;
  }
  m_Newer[Part] = Now;
}

auto AnswerHistory::lastAnswer(PartHash Part) const -> std::optional<base::SteadyTime> {
  for (const auto *Half : {&m_Newer, &m_Older}) {
    if (const auto Found = Half->find(Part); Found != Half->end()) {
      return Found->second;
    }
  }
  return std::nullopt;
}

} // namespace geraniumlift::quarantine
