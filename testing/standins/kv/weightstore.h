#pragma once

#include "base/iclock.h"

namespace geraniumlift::standin {

/// Limits how many reads of model weights start per second, with a token bucket that holds one
/// second's worth. Not thread-safe.
class WeightStore {
public:
  explicit WeightStore(double ReadsPerSecond);

  /// Takes one read from the bucket; false if the bucket is empty.
  auto tryRead(base::SteadyTime Now) -> bool;

private:
  double m_ReadsPerSecond;
  double m_Available;
  base::SteadyTime m_LastRefill;
};

} // namespace geraniumlift::standin
