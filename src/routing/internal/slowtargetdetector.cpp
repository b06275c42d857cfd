#include "routing/slowtargetdetector.h"

#include <algorithm>

namespace geraniumlift::routing {

namespace {

/// Weight of a new sample in the mean. Three samples in a row determine the score; a single late
/// token does not.
constexpr auto SampleWeight = 0.4;

/// Scores above which a target is ejected and below which it is readmitted. The gap is a
/// hysteresis: a target with a score near one of them does not alternate between both states.
constexpr auto EjectAbove = 2.0;
constexpr auto ReadmitBelow = 1.4;

/// The number of targets in the pool divided by this may be ejected at the same time.
constexpr auto EjectableShareDivisor = std::size_t{3};

/// Minimum time between probes of one target by one router. Every router probes, so that in a large
/// fleet the target still receives several probes a second.
constexpr auto ProbeInterval = std::chrono::seconds{5};

} // namespace

auto SlowTargetDetector::setTargets(const std::vector<std::string> &Names) -> void {
  auto Kept = std::map<std::string, TargetStats>();
  for (const auto &Name : Names) {
    const auto Previous = m_Stats.find(Name);
    Kept[Name] = Previous == m_Stats.end() ? TargetStats() : Previous->second;
  }
  m_Stats = std::move(Kept);
}

auto SlowTargetDetector::onSample(const std::string &Target, double Seconds, base::SteadyTime Now)
    -> void {
  const auto Found = m_Stats.find(Target);
  if (Found == m_Stats.end()) {
    return;
  }
  auto &Stats = Found->second;
  const auto PreviousMean = Stats.m_MeanSeconds.value_or(Seconds);
  Stats.m_MeanSeconds = PreviousMean + SampleWeight * (Seconds - PreviousMean);
  updateScores(Now);
}

auto SlowTargetDetector::slowness(const std::string &Target) const -> double {
  const auto Found = m_Stats.find(Target);
  return Found == m_Stats.end() ? 1.0 : Found->second.m_Slowness;
}

auto SlowTargetDetector::isEjected(const std::string &Target) const -> bool {
  const auto Found = m_Stats.find(Target);
  return Found != m_Stats.end() && Found->second.m_Ejected;
}

auto SlowTargetDetector::isProbeDue(const std::string &Target, base::SteadyTime Now) const -> bool {
  const auto Found = m_Stats.find(Target);
  return Found != m_Stats.end() && Now >= Found->second.m_LastProbe + ProbeInterval;
}

auto SlowTargetDetector::onProbe(const std::string &Target, base::SteadyTime Now) -> void {
  const auto Found = m_Stats.find(Target);
  if (Found != m_Stats.end()) {
    Found->second.m_LastProbe = Now;
  }
}

auto SlowTargetDetector::median() const -> double {
  auto Values = std::vector<double>();
  for (const auto &[Name, Stats] : m_Stats) {
    if (Stats.m_MeanSeconds) {
      Values.push_back(*Stats.m_MeanSeconds);
    }
  }
  // The lower median is used, so that of two targets the faster one is the reference.
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

auto SlowTargetDetector::updateScores(base::SteadyTime Now) -> void {
  const auto Median = median();
  const auto MaxEjected = m_Stats.size() / EjectableShareDivisor;
  const auto Ejected = ejectedCount();
  auto EjectionsLeft = MaxEjected > Ejected ? MaxEjected - Ejected : 0;
  for (auto &[Name, Stats] : m_Stats) {
    if (!Stats.m_MeanSeconds || Median <= 0.0) {
      continue;
    }
    Stats.m_Slowness = std::max(1.0, *Stats.m_MeanSeconds / Median);
    if (Stats.m_Ejected && Stats.m_Slowness < ReadmitBelow) {
      Stats.m_Ejected = false;
    } else if (!Stats.m_Ejected && Stats.m_Slowness > EjectAbove && EjectionsLeft > 0) {
      Stats.m_Ejected = true;
      Stats.m_LastProbe = Now;
      --EjectionsLeft;
    }
  }
}

auto SlowTargetDetector::ejectedCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Stats.begin(), m_Stats.end(), [](const auto &Entry) { return Entry.second.m_Ejected; }));
}

} // namespace geraniumlift::routing
