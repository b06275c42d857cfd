#pragma once

#include "decisions/arrivals.h"
#include "decisions/idleslots.h"

#include <optional>

namespace geraniumlift::bench {

/// What became of one planned request. Times count from the start of the run, in seconds.
struct Outcome {
  /// When a router first received the request.
  std::optional<double> m_ReceivedAt;

  /// When the last attempt reached a slot.
  std::optional<double> m_StartedAt;

  /// When the caller had the whole answer; only set if that was within the deadline.
  std::optional<double> m_ServedAt;

  /// Refusals that the caller saw before the last one.
  std::int64_t m_Refusals = 0;
};

/// A finished run.
struct RunResult {
  std::vector<PlannedRequest> m_Plan;

  /// One for each planned request.
  std::vector<Outcome> m_Outcomes;

  /// Places in the plan of the requests whose refusal was false.
  std::int64_t m_FalseRefusals = 0;

  /// Work that started on the leaving target more than 5 s after it began to leave.
  std::int64_t m_LateStartsOnLeaving = 0;
};

} // namespace geraniumlift::bench
