#include "routing/targetview.h"

#include <algorithm>
#include <cmath>

namespace geraniumlift::routing {

namespace {

/// Time that the history covers at least. From a report that was measured before the oldest entry,
/// no own requests are subtracted.
constexpr auto HistoryLength = std::chrono::seconds{10};

/// Time constant of the decay of a report's weight: at this age, two thirds of the weight are lost.
/// Requests run for about a second, so that an older report says little about the current use of
/// the slots.
constexpr auto ReportDecaySeconds = 2.0;

/// Maximum age of a fresh report. Targets report several times a second; an older last report means
/// that the target or the path to it is faulty.
constexpr auto FreshReportAge = std::chrono::seconds{3};

/// Maximum number of prefixes stored per target. Engines keep a few dozen; without a limit, lost
/// eviction events would let the list grow.
constexpr auto PrefixLimit = std::size_t{256};

auto secondsBetween(base::SteadyTime From, base::SteadyTime To) -> double {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

TargetView::TargetView(admission::TargetInfo Info) : m_Info(std::move(Info)) {}

auto TargetView::setInfo(admission::TargetInfo Info) -> void {
  m_Info = std::move(Info);
  m_Removed = false;
}

auto TargetView::onDispatch(double RunSeconds, base::SteadyTime Now) -> void {
  ++m_Outstanding;
  m_OutstandingSeconds += RunSeconds;
  recordOutstanding(Now);
}

auto TargetView::onEnd(double RunSeconds, base::SteadyTime Now) -> void {
  --m_Outstanding;
  m_OutstandingSeconds = std::max(0.0, m_OutstandingSeconds - RunSeconds);
  recordOutstanding(Now);
}

auto TargetView::onReport(const admission::LoadReport &Report, base::SteadyTime Now) -> void {
  const auto MeasuredAt = Now - Report.m_Age;
  if (m_HasReport && MeasuredAt < m_MeasuredAt) {
    return;
  }
  const auto Own = outstandingAt(MeasuredAt);
  const auto Total = std::max(Own, Report.m_Running + Report.m_Waiting);
  const auto Others = Total - Own;
  m_HasReport = true;
  m_MeasuredAt = MeasuredAt;
  m_ReportedOthers = static_cast<double>(Others);
  m_ReportedOutstanding = static_cast<double>(Total);
  m_OwnOutstandingAtReport = static_cast<double>(Own);
}

auto TargetView::othersOutstanding(double ExpectedOthers, base::SteadyTime Now) const -> double {
  if (!m_HasReport) {
    return ExpectedOthers;
  }
  const auto Age = std::max(0.0, secondsBetween(m_MeasuredAt, Now));
  const auto Weight = std::exp(-Age / ReportDecaySeconds);
  return Weight * m_ReportedOthers + (1.0 - Weight) * ExpectedOthers;
}

auto TargetView::hasFreshReport(base::SteadyTime Now) const -> bool {
  return m_HasReport && Now - m_MeasuredAt <= FreshReportAge;
}

auto TargetView::onPrefixEvent(std::uint64_t PrefixHash, bool Cached) -> void {
  std::erase(m_Prefixes, PrefixHash);
  if (!Cached) {
    return;
  }
  m_Prefixes.push_back(PrefixHash);
  if (m_Prefixes.size() > PrefixLimit) {
    m_Prefixes.pop_front();
  }
}

auto TargetView::mayHavePrefix(std::uint64_t PrefixHash) const -> bool {
  return PrefixHash != 0 &&
         std::find(m_Prefixes.begin(), m_Prefixes.end(), PrefixHash) != m_Prefixes.end();
}

auto TargetView::recordOutstanding(base::SteadyTime Now) -> void {
  m_History.push_back({Now, m_Outstanding});
  while (m_History.size() > 1 && m_History[1].m_Time < Now - HistoryLength) {
    m_History.pop_front();
  }
}

auto TargetView::outstandingAt(base::SteadyTime Time) const -> std::int64_t {
  for (auto Entry = m_History.rbegin(); Entry != m_History.rend(); ++Entry) {
    if (Entry->m_Time <= Time) {
      return Entry->m_Outstanding;
    }
  }
  return 0;
}

} // namespace geraniumlift::routing
