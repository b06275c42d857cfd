#pragma once

#include "base/iclock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::routing {

/// Finds the slow targets of one pool. The score of a target is its time between tokens (for a
/// service, its time per call) relative to the median of the pool; scores far above 1 lead to
/// ejection. At most a third of the pool is ejected, so that a wrong median or an overload cannot
/// empty the pool.
class SlowTargetDetector {
public:
  /// Sets the targets that accept work; what is known of others is dropped.
  auto setTargets(const std::vector<std::string> &Names) -> void;

  /// Takes in a measured time per token or per call.
  auto onSample(const std::string &Target, double Seconds, base::SteadyTime Now) -> void;

  /// Score of a target; 1 if there are no samples.
  [[nodiscard]] auto slowness(const std::string &Target) const -> double;
  [[nodiscard]] auto isEjected(const std::string &Target) const -> bool;

  /// Whether an ejected target is due for one request that shows whether it is still slow.
  [[nodiscard]] auto isProbeDue(const std::string &Target, base::SteadyTime Now) const -> bool;
  auto onProbe(const std::string &Target, base::SteadyTime Now) -> void;

private:
  struct TargetStats {
    /// Weighted mean; nothing before the first sample.
    std::optional<double> m_MeanSeconds;
    double m_Slowness = 1.0;
    bool m_Ejected = false;
    base::SteadyTime m_LastProbe;
  };

  auto median() const -> double;
  auto updateScores(base::SteadyTime Now) -> void;
  auto ejectedCount() const -> std::size_t;

  std::map<std::string, TargetStats> m_Stats;
};

} // namespace geraniumlift::routing
