#pragma once

#include "base/iclock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::routing {

/// Detects the slow targets of one pool. The score of a target is its mean time between tokens (for
/// a service, its mean time per call) relative to the median of the pool; a target with a score far
/// above 1 is ejected. At most a third of the pool is ejected, so that a wrong median or an
/// overload cannot empty the pool.
class SlowTargetDetector {
public:
  /// Sets the targets to compare, which are those that accept work. The samples of all other
  /// targets are discarded.
  auto setTargets(const std::vector<std::string> &Names) -> void;

  /// Records a measured time per token or per call, in seconds. Samples of unknown targets are
  /// ignored.
  auto onSample(const std::string &Target, double Seconds, base::SteadyTime Now) -> void;

  /// Score of a target, at least 1; 1 if there are no samples.
  [[nodiscard]] auto slowness(const std::string &Target) const -> double;
  [[nodiscard]] auto isEjected(const std::string &Target) const -> bool;

  /// Whether an ejected target is due for a probe: one request that shows whether it is still slow.
  [[nodiscard]] auto isProbeDue(const std::string &Target, base::SteadyTime Now) const -> bool;

  /// Records that a probe was sent to a target.
  auto onProbe(const std::string &Target, base::SteadyTime Now) -> void;

private:
  struct TargetStats {
    /// Exponentially weighted mean of the samples; empty before the first one.
    std::optional<double> m_MeanSeconds;
    double m_Slowness = 1.0;
    bool m_Ejected = false;

    /// Time of the last probe or, before the first one, of the ejection.
    base::SteadyTime m_LastProbe;
  };

  /// Lower median of the targets' mean times, in seconds. At least one target must have a sample.
  auto median() const -> double;

  /// Recomputes the scores, and ejects or readmits targets accordingly.
  auto updateScores(base::SteadyTime Now) -> void;
  auto ejectedCount() const -> std::size_t;

  std::map<std::string, TargetStats> m_Stats;
};

} // namespace geraniumlift::routing
