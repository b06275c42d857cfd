#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace geraniumlift::keyvalue {

/// Number of calls of one kind since the process started.
struct CallCount {
  CallKind m_Kind = CallKind::Read;
  std::int64_t m_Calls = 0;
};

/// Counts calls by kind. Thread-safe.
class CallCounter {
public:
  auto add(CallKind Kind) -> void;

  /// One entry for each kind, in the order of CallKindNames.
  [[nodiscard]] auto counts() const -> std::vector<CallCount>;

private:
  std::array<std::atomic<std::int64_t>, CallKindNames.size()> m_Calls{};
};

} // namespace geraniumlift::keyvalue
