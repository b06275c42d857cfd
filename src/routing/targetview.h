#pragma once

#include "admission/dispatchtypes.h"

#include <deque>

namespace geraniumlift::routing {

/// What this router knows of one target: its own outstanding work and the target's lagged reports.
class TargetView {
public:
  explicit TargetView(admission::TargetInfo Info);

  [[nodiscard]] auto info() const -> const admission::TargetInfo & { return m_Info; }

  /// Takes over a newer description and forgets marks of the previous one.
  auto setInfo(admission::TargetInfo Info) -> void;

  /// Whether new work may go to the target at all.
  [[nodiscard]] auto acceptsWork() const -> bool { return !m_Info.m_Leaving && !m_Removed; }
  auto markLeaving() -> void { m_Info.m_Leaving = true; }

  /// A removed target is kept only while requests are in flight on it.
  auto markRemoved() -> void { m_Removed = true; }
  [[nodiscard]] auto isRemoved() const -> bool { return m_Removed; }

  /// Counts a request of this router with its expected time on a slot.
  auto onDispatch(double RunSeconds, base::SteadyTime Now) -> void;

  /// Takes back what onDispatch counted.
  auto onEnd(double RunSeconds, base::SteadyTime Now) -> void;

  /// Takes in a report of the target, unless a newer one is known.
  auto onReport(const admission::LoadReport &Report, base::SteadyTime Now) -> void;

  /// Requests of this router on the target.
  [[nodiscard]] auto outstanding() const -> std::int64_t { return m_Outstanding; }

  /// Expected time on a slot of this router's requests on the target, in seconds.
  [[nodiscard]] auto outstandingSeconds() const -> double { return m_OutstandingSeconds; }

  /// Estimates the requests of the other routers. The weight of the last report falls with its age;
  /// the rest of the weight is on the expectation given.
  [[nodiscard]] auto othersOutstanding(double ExpectedOthers, base::SteadyTime Now) const -> double;

  /// Whether a report was measured not long ago.
  [[nodiscard]] auto hasFreshReport(base::SteadyTime Now) const -> bool;

  /// Requests of all routers and of this router when the last report was measured.
  [[nodiscard]] auto reportedOutstanding() const -> double { return m_ReportedOutstanding; }
  [[nodiscard]] auto ownOutstandingAtReport() const -> double { return m_OwnOutstandingAtReport; }

  /// A number between 0 and 1 that stays the same until the next report.
  [[nodiscard]] auto dither() const -> double { return m_Dither; }
  auto setDither(double Dither) -> void { m_Dither = Dither; }

  /// Notes that the target's cache has gained or lost a prefix.
  auto onPrefixEvent(std::uint64_t PrefixHash, bool Cached) -> void;

  /// Whether the target probably has the prefix. Events are late and some get lost.
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

  /// Own outstanding requests over the last seconds, to subtract them from a lagged report.
  std::deque<HistoryEntry> m_History;
  bool m_HasReport = false;
  base::SteadyTime m_MeasuredAt;
  double m_ReportedOthers = 0.0;
  double m_ReportedOutstanding = 0.0;
  double m_OwnOutstandingAtReport = 0.0;
  double m_Dither = 0.5;
  double m_Slowness = 1.0;

  /// Prefixes that the target is said to have, the one reported longest ago first.
  std::deque<std::uint64_t> m_Prefixes;
};

} // namespace geraniumlift::routing
