#include "routing/slowdetector.h"

#include <algorithm>

namespace geraniumlift::routing {

namespace {

/// Weight of a new sample. Three samples in a row decide, so that a single late token does not.
constexpr auto SampleWeight = 0.4;

/// Scores at which a target is ejected and readmitted. The gap between them keeps a target with a
/// score near one of them from going back and forth.
constexpr auto EjectAbove = 2.0;
constexpr auto ReadmitBelow = 1.4;

/// Part of a pool that may be ejected at the same time.
constexpr auto EjectableShareDivisor = std::size_t{3};

/// Pause between probes of one target by one router. All routers probe, so that the target still
/// meets several probes a second in a large fleet.
constexpr auto ProbeInterval = std::chrono::seconds{5};

} // namespace

auto SlowDetector::setTargets(const std::vector<std::string> &Names) -> void {
  auto Kept = std::map<std::string, Pace>();
  for (const auto &Name : Names) {
    const auto Known = m_Paces.find(Name);
    Kept[Name] = Known == m_Paces.end() ? Pace() : Known->second;
  }
  m_Paces = std::move(Kept);
}

auto SlowDetector::onSample(const std::string &Target, double Seconds, base::SteadyTime Now)
    -> void {
  const auto Found = m_Paces.find(Target);
  if (Found == m_Paces.end()) {
    return;
  }
  auto &Pace = Found->second;
  const auto Known = Pace.m_Seconds.value_or(Seconds);
  Pace.m_Seconds = Known + SampleWeight * (Seconds - Known);
  score(Now);
}

auto SlowDetector::slowness(const std::string &Target) const -> double {
  const auto Found = m_Paces.find(Target);
  return Found == m_Paces.end() ? 1.0 : Found->second.m_Slowness;
}

auto SlowDetector::isEjected(const std::string &Target) const -> bool {
  const auto Found = m_Paces.find(Target);
  return Found != m_Paces.end() && Found->second.m_Ejected;
}

auto SlowDetector::mayProbe(const std::string &Target, base::SteadyTime Now) const -> bool {
  const auto Found = m_Paces.find(Target);
  return Found != m_Paces.end() && Now >= Found->second.m_LastProbe + ProbeInterval;
}

auto SlowDetector::onProbe(const std::string &Target, base::SteadyTime Now) -> void {
  const auto Found = m_Paces.find(Target);
  if (Found != m_Paces.end()) {
    Found->second.m_LastProbe = Now;
  }
}

auto SlowDetector::median() const -> double {
  auto Values = std::vector<double>();
  for (const auto &[Name, Pace] : m_Paces) {
    if (Pace.m_Seconds) {
      Values.push_back(*Pace.m_Seconds);
    }
  }
  // The lower median: with two targets, the faster one is the measure.
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

auto SlowDetector::score(base::SteadyTime Now) -> void {
  const auto Median = median();
  const auto Limit = m_Paces.size() / EjectableShareDivisor;
  const auto Ejected = ejectedCount();
  auto Room = Limit > Ejected ? Limit - Ejected : 0;
  for (auto &[Name, Pace] : m_Paces) {
    if (!Pace.m_Seconds || Median <= 0.0) {
      continue;
    }
    Pace.m_Slowness = std::max(1.0, *Pace.m_Seconds / Median);
    if (Pace.m_Ejected && Pace.m_Slowness < ReadmitBelow) {
      Pace.m_Ejected = false;
    } else if (!Pace.m_Ejected && Pace.m_Slowness > EjectAbove && Room > 0) {
      Pace.m_Ejected = true;
      Pace.m_LastProbe = Now;
      --Room;
    }
  }
}

auto SlowDetector::ejectedCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Paces.begin(), m_Paces.end(), [](const auto &Entry) { return Entry.second.m_Ejected; }));
}

} // namespace geraniumlift::routing
