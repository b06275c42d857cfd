#include "geraniumctl/commandline.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <cstdlib>
#include <fmt/format.h>

ABSL_FLAG(std::string, kv, "", "Base URLs of the key-value service, separated by commas.");
ABSL_FLAG(std::string, router, "", "Base URL of a router's operator interface.");
ABSL_FLAG(std::string, output, "text", "Format of the output: text or json.");
ABSL_FLAG(std::string, id, "", "ID of the top-up or publication; random if not given.");
ABSL_FLAG(std::optional<std::uint64_t>, expect, std::nullopt,
          "Publish only if this generation is in force.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(15),
          "How long to keep trying while the platform does not answer.");

namespace geraniumlift::geraniumctl {

namespace {

/// Validates the flags before Abseil parses them: Abseil ends the program with exit code 1 on an
/// invalid flag, but here 1 means that a command was rejected. Returns the error message, or an
/// empty string if all flags are valid.
auto findFlagError(const std::vector<char *> &Arguments) -> std::string {
  for (std::size_t Index = 1; Index < Arguments.size(); ++Index) {
    const auto Argument = std::string_view(Arguments[Index]);
    if (Argument == "--") {
      return "";
    }
    if (Argument.size() < 2 || Argument[0] != '-') {
      continue;
    }
    const auto Body = Argument.substr(Argument[1] == '-' ? 2 : 1);
    const auto Equals = Body.find('=');
    const auto Name = std::string(Body.substr(0, Equals));
    auto *Flag = absl::FindCommandLineFlag(Name);
    if (Flag == nullptr) {
      return fmt::format("unknown flag {}", Argument);
    }
    if (Equals == std::string_view::npos && Index + 1 == Arguments.size()) {
      return fmt::format("flag --{} needs a value", Name);
    }
    const auto Value = Equals == std::string_view::npos ? std::string(Arguments[++Index])
                                                        : std::string(Body.substr(Equals + 1));
    auto Error = std::string();
    if (!Flag->ParseFrom(Value, &Error)) {
      return fmt::format("wrong value for --{}: {}", Name, Value);
    }
  }
  return "";
}

/// Removes --help and -h, for which Abseil would print its own list of flags. Returns whether there
/// was one.
auto removeHelpFlags(std::vector<char *> &Arguments) -> bool {
  return std::erase_if(Arguments, [](const char *Argument) {
           return std::string_view(Argument) == "--help" || std::string_view(Argument) == "-h";
         }) > 0;
}

/// Returns the value of the flag, or that of the environment variable if the flag is empty.
auto flagOrEnvironment(const std::string &Value, const char *Variable) -> std::string {
  const auto *Found = std::getenv(Variable);
  return Value.empty() && Found != nullptr ? std::string(Found) : Value;
}

auto readOptions() -> absl::StatusOr<CommandOptions> {
  auto Options = CommandOptions();
  const auto Output = base::valueOf(OutputFormatNames, absl::GetFlag(FLAGS_output));
  if (!Output) {
    return absl::InvalidArgumentError("--output must be text or json");
  }
  Options.m_Output = *Output;
  const auto Urls = flagOrEnvironment(absl::GetFlag(FLAGS_kv), "GERANIUMLIFT_KV");
  Options.m_KvUrls = absl::StrSplit(Urls, ',', absl::SkipEmpty());
  Options.m_Router = flagOrEnvironment(absl::GetFlag(FLAGS_router), "GERANIUMLIFT_ROUTER");
  Options.m_Id = absl::GetFlag(FLAGS_id);
  Options.m_ExpectedGeneration = absl::GetFlag(FLAGS_expect);
  Options.m_Timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  return Options;
}

} // namespace

auto parseCommandLine(int ArgumentCount, char **Arguments) -> absl::StatusOr<CommandLine> {
  auto Given = std::vector<char *>(Arguments, Arguments + ArgumentCount);
  auto Line = CommandLine();
  Line.m_Help = removeHelpFlags(Given);
  if (const auto FlagError = findFlagError(Given); !FlagError.empty()) {
    return absl::InvalidArgumentError(FlagError);
  }
  const auto Words = absl::ParseCommandLine(static_cast<int>(Given.size()), Given.data());
  Line.m_Words.assign(Words.begin() + 1, Words.end());
  auto Options = readOptions();
  if (!Options.ok()) {
    return Options.status();
  }
  Line.m_Options = *std::move(Options);
  return Line;
}

} // namespace geraniumlift::geraniumctl
