#pragma once

#include <cstddef>
#include <vector>

namespace geraniumlift::bench {

/// A request as the bound sees it.
struct BoundJob {
  double m_ReleaseSeconds = 0.0;
  double m_DeadlineSeconds = 0.0;

  /// Normal-speed time on a slot, with the prefix cached.
  double m_WorkSeconds = 0.0;
};

/// Upper bound on the requests that any scheduler can serve within their deadlines.
///
/// The bound belongs to a relaxed problem: the pool is one machine with the whole pool's capacity,
/// may interrupt and split requests at no cost, knows all arrivals and lengths beforehand, and a
/// request served to a part counts as that part. The amounts of work that can be done per request
/// within [release, deadline] form a polymatroid, so that giving each request in turn, shortest
/// first, as much as the others leave it maximizes the sum of the served parts exactly. Releases
/// are rounded down and deadlines up to whole time steps, which only raises the bound.
class IdealBound {
public:
  /// Capacity per time step of the given length, in normal-speed slot seconds.
  IdealBound(double StepSeconds, std::vector<double> Capacity);

  /// Returns the largest sum of served parts. Times count from the start of the first step.
  auto served(std::vector<BoundJob> Jobs) const -> double;

private:
  auto freeWork() const -> std::vector<std::vector<double>>;

  double m_StepSeconds;
  std::vector<double> m_Capacity;
};

} // namespace geraniumlift::bench
