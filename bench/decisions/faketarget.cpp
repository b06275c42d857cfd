#include "decisions/faketarget.h"

#include <algorithm>

namespace geraniumlift::bench {

FakeTarget::FakeTarget(const PoolSpec &Pool, SpeedSchedule Speed)
    : m_PrefixLimit(Pool.m_PrefixCache), m_Speed(std::move(Speed)),
      m_Slots(static_cast<std::size_t>(Pool.m_Slots)) {}

auto FakeTarget::leave(double Seconds) -> void { m_Left = Seconds; }

auto FakeTarget::enqueue(AttemptId Attempt, std::int64_t PriorityLevel) -> void {
  m_Queue[PriorityLevel].push_back(Attempt);
}

auto FakeTarget::startNext(double Seconds) -> std::optional<AttemptId> {
  const auto Free = std::find_if(m_Slots.begin(), m_Slots.end(),
                                 [](const Slot &Each) { return !Each.m_Attempt; });
  const auto Level = std::find_if(m_Queue.begin(), m_Queue.end(),
                                  [](const auto &Entry) { return !Entry.second.empty(); });
  if (Free == m_Slots.end() || Level == m_Queue.end()) {
    return std::nullopt;
  }
  const auto Attempt = Level->second.front();
  Level->second.pop_front();
  Free->m_Attempt = Attempt;
  ++m_Running;
  m_IdleSpans.push_back({Free->m_IdleSince, Seconds});
  return Attempt;
}

auto FakeTarget::remove(AttemptId Attempt, double Seconds) -> void {
  for (auto &Each : m_Slots) {
    if (Each.m_Attempt == Attempt) {
      Each.m_Attempt = std::nullopt;
      Each.m_IdleSince = Seconds;
      --m_Running;
      return;
    }
  }
  for (auto &[Level, Waiting] : m_Queue) {
    std::erase(Waiting, Attempt);
  }
}

auto FakeTarget::waiting() const -> std::int64_t {
  auto Count = std::size_t{0};
  for (const auto &[Level, Waiting] : m_Queue) {
    Count += Waiting.size();
  }
  return static_cast<std::int64_t>(Count);
}

auto FakeTarget::hasPrefix(std::uint64_t PrefixHash) const -> bool {
  return std::find(m_Prefixes.begin(), m_Prefixes.end(), PrefixHash) != m_Prefixes.end();
}

auto FakeTarget::usePrefix(std::uint64_t PrefixHash) -> std::vector<PrefixChange> {
  auto Changes = std::vector<PrefixChange>();
  if (PrefixHash == 0 || m_PrefixLimit == 0) {
    return Changes;
  }
  if (std::erase(m_Prefixes, PrefixHash) == 0) {
    Changes.push_back({PrefixHash, true});
  }
  m_Prefixes.push_back(PrefixHash);
  if (static_cast<std::int64_t>(m_Prefixes.size()) > m_PrefixLimit) {
    Changes.push_back({m_Prefixes.front(), false});
    m_Prefixes.pop_front();
  }
  return Changes;
}

auto FakeTarget::reportIdle(double EndSeconds, IdleSlots &Idle) const -> void {
  const auto LastIdle = std::min(EndSeconds, m_Left.value_or(EndSeconds));
  for (const auto &Span : m_IdleSpans) {
    Idle.add(Span.m_Start, std::min(Span.m_End, LastIdle), m_Speed);
  }
  for (const auto &Each : m_Slots) {
    if (!Each.m_Attempt) {
      Idle.add(Each.m_IdleSince, LastIdle, m_Speed);
    }
  }
}

} // namespace geraniumlift::bench
