#pragma once

#include "routers.h"
#include "runner.h"

#include <fstream>

namespace review {

/// Exit codes of a script.
constexpr auto RuleHeld = 0;
constexpr auto RuleBroken = 1;
constexpr auto CouldNotRun = 2;

/// Whether the disruption is to be played: not with TROUBLE=0.
auto isTroubled() -> bool;

/// A temporary folder that is removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;

  [[nodiscard]] auto path() const -> const std::string & { return m_Path; }

private:
  std::string m_Path;
};

/// What a client attempt sends.
struct Attempt {
  std::string m_Id;
  std::string m_Method = "POST";
  std::string m_Path;
  std::string m_Key;

  /// Prompt tokens and the most output tokens; no prompt if both are 0.
  int m_PromptTokens = 0;
  int m_OutputLimit = 0;
  int m_DeadlineMs = 5000;
};

/// What the client got. The status is 0 if the channel broke before a complete response.
struct Outcome {
  int m_Status = 0;
  bool m_IsComplete = false;
  std::string m_Body;
};

/// Sends one attempt to a router on a new channel and waits for the response.
auto send(int RouterPort, const Attempt &Request) -> Outcome;

/// The record of what was sent, answered and run, with the time since its start in seconds.
class Record {
public:
  explicit Record(const std::string &File) : m_File(File) {}

  auto note(const std::string &Line) -> void;

  /// Seconds from the start of the record to the time.
  [[nodiscard]] auto secondsAt(std::chrono::steady_clock::time_point Time) const -> double;

private:
  std::chrono::steady_clock::time_point m_Start = std::chrono::steady_clock::now();
  std::mutex m_Mutex;
  std::ofstream m_File;
};

} // namespace review
