#pragma once

#include "targets/ienginestream.h"
#include "telemetry/imetrics.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace geraniumlift::targets {

/// Maximum time that a test waits for a condition.
inline constexpr auto WaitLimit = std::chrono::seconds{20};

/// Records the events and the end of a stream.
class RecordingObserver final : public IStreamObserver {
public:
  auto onEvent(StreamEvent Event) -> void override {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Events.push_back(std::move(Event));
    m_Changed.notify_all();
  }

  auto onEnd(StreamEnd End) -> void override {
    const auto Lock = std::lock_guard(m_Mutex);
    m_End = std::move(End);
    m_Changed.notify_all();
  }

  /// Returns false if fewer events arrive within WaitLimit.
  auto waitForEvents(std::size_t Count) -> bool {
    auto Lock = std::unique_lock(m_Mutex);
    return m_Changed.wait_for(Lock, WaitLimit, [&] { return m_Events.size() >= Count; });
  }

  /// Returns nothing if the stream does not end within WaitLimit.
  auto waitForEnd() -> std::optional<StreamEnd> {
    auto Lock = std::unique_lock(m_Mutex);
    m_Changed.wait_for(Lock, WaitLimit, [&] { return m_End.has_value(); });
    return m_End;
  }

  auto events() -> std::vector<StreamEvent> {
    const auto Lock = std::lock_guard(m_Mutex);
    return m_Events;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<StreamEvent> m_Events;
  std::optional<StreamEnd> m_End;
};

/// Sums each counter over all label values; ignores gauges and histograms.
class CountingMetrics final : public telemetry::IMetrics {
public:
  auto count(std::string_view Name, const std::vector<telemetry::Label> & /*Labels*/, double By)
      -> void override {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Counters[std::string(Name)] += By;
  }

  auto gauge(std::string_view /*Name*/, const std::vector<telemetry::Label> & /*Labels*/,
             double /*Value*/) -> void override {}
  auto observe(std::string_view /*Name*/, const std::vector<telemetry::Label> & /*Labels*/,
               std::chrono::nanoseconds /*Value*/) -> void override {}
  [[nodiscard]] auto render() const -> std::string override { return ""; }

  auto counter(const std::string &Name) -> double {
    const auto Lock = std::lock_guard(m_Mutex);
    return m_Counters[Name];
  }

private:
  std::mutex m_Mutex;
  std::map<std::string, double> m_Counters;
};

} // namespace geraniumlift::targets
