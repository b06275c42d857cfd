#pragma once

#include "base/iclock.h"
#include "base/ieventlog.h"

#include <string>

namespace geraniumlift::base {

/// Rate and buffer limits of a BoundedLog.
struct LogOptions {
  /// Average lines per second, and lines that may be written in one burst. A router serves about
  /// ten requests per second; a log line costs about as much processor time as forwarding an event.
  double m_LinesPerSecond = 60.0;
  double m_Burst = 200.0;

  /// Lines of the burst that only warnings and errors may use.
  double m_ReservedForFailures = 100.0;

  /// Lines are dropped while more unwritten bytes than this wait for a slow reader.
  std::size_t m_MaxPendingBytes = std::size_t{256} * 1024;
};

/// Writes one line of key=value pairs for each event to a file descriptor without blocking. Lines
/// over the rate or buffer limit are dropped and counted; the total is logged before a later line,
/// at most once a second. Not thread-safe.
class BoundedLog final : public IEventLog {
public:
  /// Sets the descriptor to non-blocking mode; the caller keeps ownership of it. The clock must
  /// outlive the log.
  BoundedLog(int Descriptor, const IClock &Clock, LogOptions Options);

  auto record(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields)
      -> void override;

  /// Writes buffered lines until the descriptor would block. Discards them on any other error.
  auto flush() -> void;

  /// Number of lines dropped so far because of the rate or buffer limit.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return m_Dropped; }

private:
  /// Takes one line from the rate limit, a token bucket. Returns false and counts the line as
  /// dropped if the rate or buffer limit is reached.
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
  SteadyTime m_NextDroppedReport;
};

} // namespace geraniumlift::base
