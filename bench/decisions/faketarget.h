#pragma once

#include "base/identifiers.h"
#include "decisions/idleslots.h"
#include "decisions/speedschedule.h"
#include "decisions/workload.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace geraniumlift::bench {

/// Place of an attempt in the simulation's list.
using AttemptId = std::size_t;

/// A change of a fake target's prefix cache.
struct PrefixChange {
  std::uint64_t m_PrefixHash = 0;
  bool m_Cached = true;
};

/// A fake engine or service: slots that run requests side by side, and a queue by priority level
/// and arrival for what exceeds them. Time is passed in; the simulation schedules the ends.
class FakeTarget {
public:
  FakeTarget(const PoolSpec &Pool, SpeedSchedule Speed);

  [[nodiscard]] auto speed() const -> const SpeedSchedule & { return m_Speed; }
  auto speed() -> SpeedSchedule & { return m_Speed; }

  /// From now on new work is refused; work that was accepted ends normally.
  auto leave(double Seconds) -> void;
  [[nodiscard]] auto isLeaving() const -> bool { return m_Left.has_value(); }

  /// Puts a request into the queue.
  auto enqueue(AttemptId Attempt, std::int64_t PriorityLevel) -> void;

  /// Starts the next request of the queue if a slot is free.
  auto startNext(double Seconds) -> std::optional<AttemptId>;

  /// Takes a request out of its slot or out of the queue.
  auto remove(AttemptId Attempt, double Seconds) -> void;

  [[nodiscard]] auto running() const -> std::int64_t { return m_Running; }
  [[nodiscard]] auto waiting() const -> std::int64_t;

  /// Whether the prefix is in the cache.
  [[nodiscard]] auto hasPrefix(std::uint64_t PrefixHash) const -> bool;

  /// Uses a prefix and returns the changes of the cache, without those that were there before.
  auto usePrefix(std::uint64_t PrefixHash) -> std::vector<PrefixChange>;

  /// Adds the idle times of all slots to the list. Called once after the run.
  auto reportIdle(double EndSeconds, IdleSlots &Idle) const -> void;

private:
  struct Slot {
    std::optional<AttemptId> m_Attempt;
    double m_IdleSince = 0.0;
  };

  struct IdleSpan {
    double m_Start = 0.0;
    double m_End = 0.0;
  };

  std::int64_t m_PrefixLimit;
  SpeedSchedule m_Speed;
  std::vector<Slot> m_Slots;
  std::vector<IdleSpan> m_IdleSpans;
  std::int64_t m_Running = 0;

  /// Waiting requests by priority level.
  std::map<std::int64_t, std::deque<AttemptId>> m_Queue;
  std::optional<double> m_Left;

  /// Cached prefixes, the one used longest ago first.
  std::deque<std::uint64_t> m_Prefixes;
};

} // namespace geraniumlift::bench
