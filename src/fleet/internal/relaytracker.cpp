#include "fleet/relaytracker.h"

#include <algorithm>

namespace geraniumlift::fleet {

auto RelayTracker::setCandidates(const std::vector<std::string> &Names) -> void {
  auto Next = std::vector<Candidate>();
  for (const auto &Name : Names) {
    const auto Known = std::find_if(m_Candidates.begin(), m_Candidates.end(),
                                    [&Name](const auto &Item) { return Item.m_Name == Name; });
    Next.push_back(Known == m_Candidates.end() ? Candidate{Name} : *Known);
  }
  m_Candidates = std::move(Next);
}

auto RelayTracker::onAnswer(const std::string &Router, bool IsResigning) -> void {
  for (auto &Item : m_Candidates) {
    if (Item.m_Name == Router) {
      Item.m_Unanswered = 0;
      Item.m_IsResigning = IsResigning;
    }
  }
}

auto RelayTracker::hasFailed(const Candidate &Item) const -> bool {
  return Item.m_IsResigning || Item.m_Unanswered >= m_Options.m_MaxUnanswered;
}

auto RelayTracker::nextDestinations(base::SteadyTime Now) -> std::vector<std::string> {
  auto Result = std::vector<std::string>();
  auto HasProbed = false;
  auto IsCandidate = false;
  for (auto &Item : m_Candidates) {
    if (Item.m_Name == m_Self) {
      IsCandidate = true;
      if (!m_IsSelfResigning) {
        m_IsSelfRelay = true;
        return Result;
      }
      continue;
    }
    if (hasFailed(Item)) {
      if (!HasProbed && Now >= Item.m_NextProbe) {
        HasProbed = true;
        Item.m_NextProbe = Now + m_Options.m_ProbeInterval;
        Result.push_back(Item.m_Name);
      }
      continue;
    }
    Result.push_back(Item.m_Name);
    // If the previous message was not answered, the next candidate gets one as well.
    if (++Item.m_Unanswered == 1) {
      m_IsSelfRelay = false;
      return Result;
    }
  }
  m_IsSelfRelay = IsCandidate;
  return Result;
}

} // namespace geraniumlift::fleet
