#pragma once

#include "admission/dispatchtypes.h"

#include <deque>

namespace geraniumlift::routing {

/// State of one target as this router knows it: the router's own outstanding requests, the target's
/// load reports, which arrive with a delay, and the prefixes in the target's cache.
class TargetView {
public:
  explicit TargetView(admission::TargetInfo Info);

  [[nodiscard]] auto info() const -> const admission::TargetInfo & { return m_Info; }

  /// Replaces the description. Earlier leaving and removed marks are cleared; the target is leaving
  /// only if the new description says so.
  auto setInfo(admission::TargetInfo Info) -> void;

  /// Whether new work may go to the target at all.
  [[nodiscard]] auto acceptsWork() const -> bool { return !m_Info.m_Leaving && !m_Removed; }
  auto markLeaving() -> void { m_Info.m_Leaving = true; }

  /// A removed target is kept only while requests are in flight on it.
  auto markRemoved() -> void { m_Removed = true; }
  [[nodiscard]] auto isRemoved() const -> bool { return m_Removed; }

  /// Counts a request that this router has dispatched. RunSeconds is its expected time on a slot.
  auto onDispatch(double RunSeconds, base::SteadyTime Now) -> void;

  /// Undoes onDispatch when a request ends. RunSeconds must be the value that was given there.
  auto onEnd(double RunSeconds, base::SteadyTime Now) -> void;

  /// Records a load report of the target, unless one that was measured later is known.
  auto onReport(const admission::LoadReport &Report, base::SteadyTime Now) -> void;

  /// Requests of this router on the target.
  [[nodiscard]] auto outstanding() const -> std::int64_t { return m_Outstanding; }

  /// Expected time on a slot of this router's requests on the target, in seconds.
  [[nodiscard]] auto outstandingSeconds() const -> double { return m_OutstandingSeconds; }

  /// Estimates the outstanding requests of the other routers as a weighted mean of the last report
  /// and ExpectedOthers. The weight of the report falls with its age.
  [[nodiscard]] auto othersOutstanding(double ExpectedOthers, base::SteadyTime Now) const -> double;

  /// Whether the last report was measured recently enough to describe the current load.
  [[nodiscard]] auto hasFreshReport(base::SteadyTime Now) const -> bool;

  /// Outstanding requests of all routers and of this router at the time when the last report was
  /// measured; 0 without a report.
  [[nodiscard]] auto reportedOutstanding() const -> double { return m_ReportedOutstanding; }
  [[nodiscard]] auto ownOutstandingAtReport() const -> double { return m_OwnOutstandingAtReport; }

  /// Random number between 0 and 1 for randomised rounding. It stays the same until the next
  /// report.
  [[nodiscard]] auto dither() const -> double { return m_Dither; }
  auto setDither(double Dither) -> void { m_Dither = Dither; }

  /// Records that the target's cache has gained or lost a prefix.
  auto onPrefixEvent(std::uint64_t PrefixHash, bool Cached) -> void;

  /// Whether the target probably has the prefix cached. This is uncertain, as cache events arrive
  /// late and some are lost. False for hash 0, which means no prefix.
  [[nodiscard]] auto mayHavePrefix(std::uint64_t PrefixHash) const -> bool;

  /// How many times slower than the pool's median the target runs; 1 if that is not known.
  [[nodiscard]] auto slowness() const -> double { return m_Slowness; }
  auto setSlowness(double Slowness) -> void { m_Slowness = Slowness; }

private:
  struct HistoryEntry {
    base::SteadyTime m_Time;
    std::int64_t m_Outstanding = 0;
  };

  auto recordOutstanding(base::SteadyTime Now) -> void;
  [[nodiscard]] auto outstandingAt(base::SteadyTime Time) const -> std::int64_t;

  admission::TargetInfo m_Info;
  bool m_Removed = false;
  std::int64_t m_Outstanding = 0;
  double m_OutstandingSeconds = 0.0;

  /// Own outstanding requests over the last seconds, oldest first. They are subtracted from
  /// reports, which were measured in the past.
  std::deque<HistoryEntry> m_History;
  bool m_HasReport = false;
  base::SteadyTime m_MeasuredAt;
  double m_ReportedOthers = 0.0;
  double m_ReportedOutstanding = 0.0;
  double m_OwnOutstandingAtReport = 0.0;
  double m_Dither = 0.5;
  double m_Slowness = 1.0;

  /// Hashes of the prefixes that were reported as cached, least recently reported first.
  std::deque<std::uint64_t> m_Prefixes;
};

} // namespace geraniumlift::routing
