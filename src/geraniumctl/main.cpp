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

auto showHelp(const Command *Entry) -> ExitCode {
  std::cout << (Entry == nullptr ? programHelp() : commandHelp(*Entry));
  return ExitCode::Success;
}

/// Runs the command with the arguments that follow its name.
auto runCommand(const Command &Entry, CommandLine Line) -> ExitCode {
  const auto NameWords = Entry.m_Name.find(' ') == std::string_view::npos ? 1 : 2;
  Line.m_Words.erase(Line.m_Words.begin(), Line.m_Words.begin() + NameWords);
  if (Line.m_Words.size() < Entry.m_MinArguments || Line.m_Words.size() > Entry.m_MaxArguments) {
    return usageError(std::string("wrong number of arguments for ") + std::string(Entry.m_Name));
  }
  auto Store = std::unique_ptr<keyvalue::EtcdKeyValueStore>();
  if (Entry.m_NeedsStore) {
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
  return Entry.m_Run(Context);
}

auto run(int ArgumentCount, char **Arguments) -> ExitCode {
  auto Line = parseCommandLine(ArgumentCount, Arguments);
  if (!Line.ok()) {
    return usageError(std::string(Line.status().message()));
  }
  const auto *Entry = findCommand(Line->m_Words);
  if (Line->m_Help) {
    return showHelp(Entry);
  }
  if (Entry == nullptr) {
    return usageError(Line->m_Words.empty() ? "no command given" : "unknown command");
  }
  return runCommand(*Entry, *std::move(Line));
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
