#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <string>

namespace geraniumlift::routing {

/// Strategy for choosing a target among those that may take a request.
enum class TargetStrategy { RoundRobin, LeastOutstanding, TwoChoices, ExpectedWait };

inline constexpr auto TargetStrategyNames = std::array{
    base::NamedValue<TargetStrategy>{TargetStrategy::RoundRobin, "round_robin"},
    base::NamedValue<TargetStrategy>{TargetStrategy::LeastOutstanding, "least_outstanding"},
    base::NamedValue<TargetStrategy>{TargetStrategy::TwoChoices, "two_choices"},
    base::NamedValue<TargetStrategy>{TargetStrategy::ExpectedWait, "expected_wait"},
};

/// Properties of this router that a target chooser depends on.
struct ChooserSettings {
  /// Data centre of this router. Targets in another one cost extra latency.
  std::string m_DataCentre;

  /// Routers that share the targets, this one included.
  std::int64_t m_ExpectedRouters = 1;
};

/// Properties of a request that a target chooser depends on.
struct RequestTraits {
  /// Expected time on a slot, in seconds.
  double m_RunSeconds = 0.0;
  base::Tokens m_PromptTokens = 0;

  /// Hash of the prompt's first bytes; 0 if there is none.
  std::uint64_t m_PrefixHash = 0;
};

} // namespace geraniumlift::routing
