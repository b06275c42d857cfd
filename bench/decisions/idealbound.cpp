#include "decisions/idealbound.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::bench {

IdealBound::IdealBound(double StepSeconds, std::vector<double> Capacity)
    : m_StepSeconds(StepSeconds), m_Capacity(std::move(Capacity)) {}

auto IdealBound::freeWork() const -> std::vector<std::vector<double>> {
  const auto Steps = m_Capacity.size();
  auto Free = std::vector<std::vector<double>>(Steps, std::vector<double>(Steps + 1, 0.0));
  for (auto From = std::size_t{0}; From < Steps; ++From) {
    for (auto To = From; To < Steps; ++To) {
      Free[From][To + 1] = Free[From][To] + m_Capacity[To];
    }
  }
  return Free;
}

auto IdealBound::served(std::vector<BoundJob> Jobs) const -> double {
  std::stable_sort(Jobs.begin(), Jobs.end(), [](const auto &Left, const auto &Right) {
    return Left.m_WorkSeconds < Right.m_WorkSeconds;
  });
  // Free[s][t] is the work that still fits into the steps s to t - 1, given the requests so far
  // whose whole time lies within them (Hall's condition for intervals).
  auto Free = freeWork();
  const auto Steps = m_Capacity.size();
  auto Served = 0.0;
  for (const auto &Job : Jobs) {
    const auto First = std::min(
        Steps - 1, static_cast<std::size_t>(std::max(0.0, Job.m_ReleaseSeconds / m_StepSeconds)));
    const auto Last =
        std::clamp(static_cast<std::size_t>(std::ceil(Job.m_DeadlineSeconds / m_StepSeconds)),
                   First + 1, Steps);
    if (Job.m_WorkSeconds > Job.m_DeadlineSeconds - Job.m_ReleaseSeconds) {
      continue;
    }
    auto Work = Job.m_WorkSeconds;
    for (auto From = std::size_t{0}; From <= First; ++From) {
      for (auto To = Last; To <= Steps; ++To) {
        Work = std::min(Work, Free[From][To]);
      }
    }
    if (Work <= 0.0) {
      continue;
    }
    for (auto From = std::size_t{0}; From <= First; ++From) {
      for (auto To = Last; To <= Steps; ++To) {
        Free[From][To] -= Work;
      }
    }
    Served += Work / Job.m_WorkSeconds;
  }
  return Served;
}

} // namespace geraniumlift::bench
