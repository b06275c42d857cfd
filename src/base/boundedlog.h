#pragma once

#include "base/iclock.h"
#include "base/ieventlog.h"

#include <string>

namespace geraniumlift::base {

/// Bounds of a log.
struct LogOptions {
  /// Lines a second on average, and how many may come at once. A router serves some ten requests a
  /// second; a log line costs about as much processor time as forwarding an event.
  double m_LinesPerSecond = 60.0;
  double m_Burst = 200.0;

  /// Part of the burst that is kept for warnings and errors.
  double m_ReservedForFailures = 100.0;

  /// Bytes that wait for a slow reader; further lines are dropped.
  std::size_t m_MaxPendingBytes = std::size_t{256} * 1024;
};

/// Writes one line of key=value pairs for each event to a file descriptor, never blocking. Lines
/// beyond the rate or the buffer are dropped and counted; the count is logged with the next line.
class BoundedLog final : public IEventLog {
public:
  BoundedLog(int Descriptor, const IClock &Clock, LogOptions Options);

  auto record(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
      -> void override;

  /// Writes what waits, as far as the reader takes it.
  auto flush() -> void;

  /// Lines that were left out so far.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return m_Dropped; }

private:
  auto tryAcquireLine(LogLevel Level) -> bool;
  auto append(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
      -> void;

  int m_Descriptor;
  const IClock &m_Clock;
  LogOptions m_Options;
  std::string m_Pending;
  double m_Credit;
  SteadyTime m_LastRefill;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_ReportedDropped = 0;
};

} // namespace geraniumlift::base
