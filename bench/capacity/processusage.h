#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace geraniumlift::bench {

/// What a process has used so far, read from /proc.
struct ProcessUsage {
  std::chrono::milliseconds m_CpuTime{0};
  std::int64_t m_ResidentBytes = 0;
};

/// Reads the usage of a running process.
auto readUsage(pid_t Process) -> ProcessUsage;

} // namespace geraniumlift::bench
