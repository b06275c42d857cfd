#include "process/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace geraniumlift::testing {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds{10};
constexpr int SignalExitBase = 128;
constexpr auto ProgramTimeout = std::chrono::seconds{60};

} // namespace

ChildProcess::ChildProcess(const std::string &Program, const std::vector<std::string> &Arguments,
                           const std::string &LogFile)
    : m_LogFile(LogFile) {
  auto Argv = std::vector<char *>{const_cast<char *>(Program.c_str())};
  for (const auto &Argument : Arguments) {
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  }
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits the listening sockets of stand-ins would keep their ports open.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  const auto Error = posix_spawn(&m_Pid, Program.c_str(), &Actions, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    throw std::runtime_error("cannot start " + Program);
  }
}

ChildProcess::~ChildProcess() {
  if (m_Pid > 0) {
    kill(m_Pid, SIGKILL);
    waitpid(m_Pid, nullptr, 0);
  }
}

auto ChildProcess::signal(int Signal) const -> void {
  if (m_Pid > 0) {
    kill(m_Pid, Signal);
  }
}

auto ChildProcess::waitForExit(std::chrono::seconds Timeout) -> std::optional<int> {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  auto Status = 0;
  while (waitpid(m_Pid, &Status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > End) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  m_Pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : SignalExitBase + WTERMSIG(Status);
}

auto runProgram(const std::string &Program, const std::vector<std::string> &Arguments,
                const std::string &LogFile) -> ProgramResult {
  std::filesystem::remove(LogFile);
  auto Child = ChildProcess(Program, Arguments, LogFile);
  const auto ExitCode = Child.waitForExit(ProgramTimeout);
  auto Text = std::ostringstream();
  Text << std::ifstream(LogFile).rdbuf();
  return {ExitCode.value_or(-1), Text.str()};
}

} // namespace geraniumlift::testing
