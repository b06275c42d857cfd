#pragma once

#include "base/iclock.h"
#include "forwarding/targettable.h"

namespace geraniumlift::router {

/// Until when targets are cold by their registrations, whether or not the configuration is known
/// that says what cold ones tolerate. Does no input or output.
class ColdTimes {
public:
  /// Takes over a registration as of a store revision. Reading a registration once more does not
  /// prolong the time.
  auto put(const forwarding::TargetRecord &Record, std::int64_t Revision, base::SteadyTime Now)
      -> void;

  /// Returns the end of the target's cold time, or nothing if it is not cold.
  [[nodiscard]] auto endOf(const forwarding::TargetRecord &Record, base::SteadyTime Now) const
      -> std::optional<base::SteadyTime>;

private:
  /// A registration that was read, kept as long as the target may be cold.
  struct Reading {
    std::int64_t m_Incarnation = 0;
    std::int64_t m_Revision = 0;
    base::SteadyTime m_Until;
  };

  /// Number of readings above which those that have ended are dropped.
  static constexpr auto MaxReadings = std::size_t{4096};

  std::map<std::string, Reading> m_Readings;
};

} // namespace geraniumlift::router
