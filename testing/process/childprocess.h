#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumlift::testing {

/// A program that a test started. The destructor kills it.
class ChildProcess {
public:
  /// Starts the program with its output in the log file.
  ChildProcess(const std::string &Program, const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  auto operator=(const ChildProcess &) -> ChildProcess & = delete;

  /// Sends a signal, such as SIGSTOP.
  auto signal(int Signal) const -> void;

  /// Waits for the end and returns the exit code, 128 plus the signal's number after a signal, or
  /// nothing if the program still runs after the timeout.
  auto waitForExit(std::chrono::seconds Timeout) -> std::optional<int>;

  [[nodiscard]] auto pid() const -> pid_t { return m_Pid; }
  [[nodiscard]] auto logFile() const -> const std::string & { return m_LogFile; }

private:
  pid_t m_Pid = -1;
  std::string m_LogFile;
};

/// Runs a program to its end and returns its exit code and what it printed on standard output.
struct ProgramResult {
  int m_ExitCode = -1;
  std::string m_Output;
};
auto runProgram(const std::string &Program, const std::vector<std::string> &Arguments,
                const std::string &LogFile) -> ProgramResult;

} // namespace geraniumlift::testing
