#pragma once

#include "standins/service/servicetypes.h"

#include <chrono>
#include <mutex>
#include <string>

namespace geraniumlift::standins {

/// Faults and execution counts of the service. Thread-safe.
class Service {
public:
  explicit Service(std::chrono::milliseconds Delay) : m_Delay(Delay) {}

  auto applyControl(const ServiceControl &Control) -> void;

  /// Whether a connection that was just accepted is closed before it is read.
  auto diesBeforeRead() -> bool;

  /// Decides on a request and counts its execution if it is a POST that runs.
  auto execute(bool IsPost, const std::string &IdempotencyKey) -> ServiceAction;

  [[nodiscard]] auto delay() const -> std::chrono::milliseconds;
  [[nodiscard]] auto counts() const -> ServiceCounts;

  /// Number of times that open connections were silenced. A connection that was opened at a lower
  /// number sends nothing.
  [[nodiscard]] auto silenceEpoch() const -> std::uint64_t;

private:
  mutable std::mutex m_Mutex;
  std::chrono::milliseconds m_Delay;
  std::uint64_t m_DieBeforeRead = 0;
  std::uint64_t m_DieAfterRun = 0;
  std::uint64_t m_SilenceEpoch = 0;
  bool m_Refuse = false;
  bool m_Leaving = false;
  ServiceCounts m_Counts;
};

} // namespace geraniumlift::standins
