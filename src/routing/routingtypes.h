#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <string>

namespace geraniumlift::routing {

/// How a target is chosen among those that may take a request.
enum class TargetStrategy { RoundRobin, LeastOutstanding, TwoChoices, ExpectedWait };

inline constexpr auto TargetStrategyNames = std::array{
    base::NamedValue<TargetStrategy>{TargetStrategy::RoundRobin, "round_robin"},
    base::NamedValue<TargetStrategy>{TargetStrategy::LeastOutstanding, "least_outstanding"},
    base::NamedValue<TargetStrategy>{TargetStrategy::TwoChoices, "two_choices"},
    base::NamedValue<TargetStrategy>{TargetStrategy::ExpectedWait, "expected_wait"},
};

/// What target choice knows of its router.
struct ChooserSettings {
  std::string m_DataCentre;
  std::int64_t m_ExpectedRouters = 1;
};

/// What target choice needs to know of a request.
struct RequestTraits {
  /// Expected time on a slot, in seconds.
  double m_RunSeconds = 0.0;
  base::Tokens m_PromptTokens = 0;

  /// Hash of the prompt's first bytes; 0 if there is none.
  std::uint64_t m_PrefixHash = 0;
};

} // namespace geraniumlift::routing
