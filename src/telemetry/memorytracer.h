#pragma once

#include "telemetry/itracer.h"

#include <mutex>
#include <utility>
#include <vector>

namespace geraniumlift::telemetry {

/// Keeps every span in memory without a limit, for tests.
class MemoryTracer final : public ITracer {
public:
  auto record(Span Finished) -> void override {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Spans.push_back(std::move(Finished));
  }

  [[nodiscard]] auto spans() const -> std::vector<Span> {
    const auto Lock = std::lock_guard(m_Mutex);
    return m_Spans;
  }

private:
  mutable std::mutex m_Mutex;
  std::vector<Span> m_Spans;
};

} // namespace geraniumlift::telemetry
