#include "base/asioscheduler.h"
#include "base/systemclock.h"
#include "geraniumctl/commandline.h"
#include "geraniumctl/commandtable.h"
#include "keyvalue/etcdkeyvaluestore.h"

#include <iostream>

using namespace geraniumlift;
using namespace geraniumlift::geraniumctl;

namespace {

auto usageError(std::string_view Message) -> ExitCode {
  std::cerr << "geraniumctl: " << Message << "\nTry geraniumctl --help.\n";
  return ExitCode::Usage;
}

auto showHelp(const Command *Row) -> ExitCode {
  std::cout << (Row == nullptr ? programHelp() : commandHelp(*Row));
  return ExitCode::Done;
}

/// Runs the command with the words that follow its name.
auto runCommand(const Command &Row, CommandLine Line) -> ExitCode {
  const auto NameWords = Row.m_Name.find(' ') == std::string_view::npos ? 1 : 2;
  Line.m_Words.erase(Line.m_Words.begin(), Line.m_Words.begin() + NameWords);
  if (Line.m_Words.size() < Row.m_FewestArguments || Line.m_Words.size() > Row.m_MostArguments) {
    return usageError(std::string("wrong number of arguments for ") + std::string(Row.m_Name));
  }
  auto Store = std::unique_ptr<keyvalue::EtcdKeyValueStore>();
  if (Row.m_NeedsStore) {
    if (Line.m_Options.m_KvUrls.empty()) {
      return usageError("the command needs --kv=URL or GERANIUMLIFT_KV");
    }
    Store = std::make_unique<keyvalue::EtcdKeyValueStore>(
        keyvalue::PlatformEndpoint{.m_BaseUrls = Line.m_Options.m_KvUrls});
  }
  const auto Clock = base::SystemClock();
  auto Scheduler = base::AsioScheduler();
  auto Context = CommandContext{.m_Arguments = std::move(Line.m_Words),
                                .m_Options = std::move(Line.m_Options),
                                .m_Store = Store.get(),
                                .m_Scheduler = Scheduler,
                                .m_Clock = Clock,
                                .m_In = std::cin,
                                .m_Out = std::cout,
                                .m_Error = std::cerr};
  return Row.m_Run(Context);
}

auto run(int ArgumentCount, char **Arguments) -> ExitCode {
  auto Line = parseCommandLine(ArgumentCount, Arguments);
  if (!Line.ok()) {
    return usageError(std::string(Line.status().message()));
  }
  const auto *Row = findCommand(Line->m_Words);
  if (Line->m_Help) {
    return showHelp(Row);
  }
  if (Row == nullptr) {
    return usageError(Line->m_Words.empty() ? "no command given" : "unknown command");
  }
  return runCommand(*Row, *std::move(Line));
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    return static_cast<int>(run(ArgumentCount, Arguments));
  } catch (const std::exception &Error) {
    std::cerr << "geraniumctl: " << Error.what() << '\n';
    return static_cast<int>(ExitCode::Refused);
  }
}
