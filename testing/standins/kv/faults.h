#pragma once

#include <chrono>
#include <cstdint>

namespace geraniumlift::standin {

/// Faults that are switched on now.
struct Faults {
  /// Time between the arrival of a call and its effect.
  std::chrono::milliseconds m_Delay{0};

  /// Writes still to be applied without an answer.
  std::int64_t m_LoseAnswers = 0;

  /// Reads still to be answered with the previous value of each key.
  std::int64_t m_StaleReads = 0;

  /// Every call is answered with 503.
  bool m_Down = false;

  /// No call is applied or answered.
  bool m_Silent = false;
};

} // namespace geraniumlift::standin
