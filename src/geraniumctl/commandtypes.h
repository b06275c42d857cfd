#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "base/nametable.h"
#include "configuration/configurationtypes.h"
#include "keyvalue/ikeyvaluestore.h"

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::geraniumctl {

/// Exit codes of the program, as docs/OPERATIONS.md documents them.
enum class ExitCode {
  Success = 0,
  /// The command was rejected, or the object files have errors.
  Refused = 1,
  /// Invalid command line.
  Usage = 2,
  /// Another publication took effect first, or the generation in force is not the expected one.
  Conflict = 3,
  /// The platform or the router does not respond, or the outcome of a write is unknown.
  Unreachable = 4,
};

enum class OutputFormat { Text, Json };

inline constexpr auto OutputFormatNames = std::array{
    base::NamedValue<OutputFormat>{OutputFormat::Text, "text"},
    base::NamedValue<OutputFormat>{OutputFormat::Json, "json"},
};

/// Values of the command-line flags.
struct CommandOptions {
  OutputFormat m_Output = OutputFormat::Text;

  /// Base URLs of the key-value service; empty if none is given.
  std::vector<std::string> m_KvUrls = {};

  /// Base URL of a router's operator interface; empty if none is given.
  std::string m_Router = {};

  /// ID of the top-up or publication; random if empty.
  std::string m_Id = {};

  /// The generation that a publication must replace; any if not set.
  std::optional<configuration::Generation> m_ExpectedGeneration = std::nullopt;

  /// How long a command retries while the platform does not respond.
  std::chrono::milliseconds m_Timeout{15'000};
};

/// Inputs and outputs of a command. The pointer and the references are not owned.
struct CommandContext {
  std::vector<std::string> m_Arguments;
  CommandOptions m_Options;

  /// Null for commands whose m_NeedsStore is false.
  keyvalue::IKeyValueStore *m_Store = nullptr;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  std::istream &m_In;
  std::ostream &m_Out;
  std::ostream &m_Error;
};

/// An entry of the command table.
struct Command {
  /// One or two words, such as "budget show".
  std::string_view m_Name;

  /// Arguments and flags as the help shows them.
  std::string_view m_Arguments;
  std::string_view m_Summary;

  /// Detailed help with examples.
  std::string_view m_Help;
  std::size_t m_MinArguments = 0;
  std::size_t m_MaxArguments = 0;
  bool m_NeedsStore = false;
  ExitCode (*m_Run)(CommandContext &Context) = nullptr;
};

} // namespace geraniumlift::geraniumctl
