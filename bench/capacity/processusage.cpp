#include "processusage.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace geraniumlift::bench {

namespace {

/// Fields of /proc/PID/stat after the program's name, counted from 0: utime and stime.
constexpr int UserTimeField = 11;
constexpr int SystemTimeField = 12;

} // namespace

auto readUsage(pid_t Process) -> ProcessUsage {
  auto Text = std::ostringstream();
  Text << std::ifstream(fmt::format("/proc/{}/stat", Process)).rdbuf();
  const auto Line = Text.str();
  auto Fields = std::istringstream(Line.substr(Line.rfind(')') + 2));
  auto Usage = ProcessUsage();
  auto Ticks = std::int64_t{0};
  auto Field = std::string();
  for (auto Index = 0; Fields >> Field && Index <= SystemTimeField; ++Index) {
    Ticks += Index == UserTimeField || Index == SystemTimeField ? std::stoll(Field) : 0;
  }
  Usage.m_CpuTime = std::chrono::milliseconds{Ticks * 1'000 / sysconf(_SC_CLK_TCK)};
  auto Pages = std::int64_t{0};
  auto Resident = std::int64_t{0};
  std::ifstream(fmt::format("/proc/{}/statm", Process)) >> Pages >> Resident;
  Usage.m_ResidentBytes = Resident * sysconf(_SC_PAGESIZE);
  return Usage;
}

} // namespace geraniumlift::bench
