#pragma once

#include "quarantine/quarantinetypes.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace geraniumlift::quarantine {

/// When targets last began to answer requests with each prompt part, as far as this router has seen
/// it. Callers choose the IDs of parts, so the memory is bounded: the older half is forgotten when
/// the newer one is full, and after a while.
class AnswerHistory {
public:
  auto record(PartHash Part, base::SteadyTime Now) -> void;
  [[nodiscard]] auto lastAnswer(PartHash Part) const -> std::optional<base::SteadyTime>;

private:
  /// Parts in each half. 64 KB of memory each.
  static constexpr auto MaxParts = std::size_t{4096};

  /// Time that a half covers.
  static constexpr auto Span = std::chrono::seconds(60);

  absl::flat_hash_map<PartHash, base::SteadyTime> m_Newer;
  absl::flat_hash_map<PartHash, base::SteadyTime> m_Older;
  base::SteadyTime m_NewerSince;
};

} // namespace geraniumlift::quarantine
