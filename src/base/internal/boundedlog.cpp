#include "base/boundedlog.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <unistd.h>

namespace geraniumlift::base {

namespace {

/// Buffered bytes from which record() writes at once instead of waiting for the next flush().
constexpr auto FlushThreshold = std::size_t{4096};

/// Shortest time between two lines that tell the number of dropped lines.
constexpr auto DroppedReportInterval = std::chrono::seconds(1);

} // namespace

BoundedLog::BoundedLog(int Descriptor, const IClock &Clock, LogOptions Options)
    : m_Descriptor(Descriptor), m_Clock(Clock), m_Options(Options), m_Credit(Options.m_Burst),
      m_LastRefill(Clock.steadyNow()) {
  const auto Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0) {
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  }
}

auto BoundedLog::tryAcquireLine(LogLevel Level) -> bool {
  const auto Now = m_Clock.steadyNow();
  const auto Seconds = std::chrono::duration<double>(Now - m_LastRefill).count();
  m_LastRefill = Now;
  m_Credit = std::min(m_Options.m_Burst, m_Credit + Seconds * m_Options.m_LinesPerSecond);
  const auto MinimumCredit =
      Level >= LogLevel::Warning ? 1.0 : 1.0 + m_Options.m_ReservedForFailures;
  if (m_Credit < MinimumCredit || m_Pending.size() > m_Options.m_MaxPendingBytes) {
    ++m_Dropped;
    return false;
  }
  m_Credit -= 1.0;
  return true;
}

auto BoundedLog::append(LogLevel Level, std::string_view Event,
                        std::initializer_list<LogField> Fields) -> void {
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(m_Clock.systemNow());
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Now);
  m_Pending += fmt::format("time={:%FT%T}.{:03}Z {}\n", fmt::gmtime(Seconds),
                           (Now - Seconds).count(), formatEvent(Level, Event, Fields));
}

auto BoundedLog::record(LogLevel Level, std::string_view Event,
                        std::initializer_list<LogField> Fields) -> void {
  if (!tryAcquireLine(Level)) {
    return;
  }
  if (m_ReportedDropped != m_Dropped && m_Clock.steadyNow() >= m_NextDroppedReport) {
    append(LogLevel::Warning, "log_lines_dropped", {{"total", m_Dropped}});
    m_ReportedDropped = m_Dropped;
    m_NextDroppedReport = m_Clock.steadyNow() + DroppedReportInterval;
  }
  append(Level, Event, Fields);
  if (m_Pending.size() >= FlushThreshold) {
    flush();
  }
}

auto BoundedLog::flush() -> void {
  while (!m_Pending.empty()) {
    const auto Written = ::write(m_Descriptor, m_Pending.data(), m_Pending.size());
    if (Written < 0 && errno == EINTR) {
      continue;
    }
    if (Written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // The log itself cannot be written, so there is no place to report the error.
      m_Pending.clear();
    }
    if (Written <= 0) {
      return;
    }
    m_Pending.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace geraniumlift::base
