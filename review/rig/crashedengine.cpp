// A runner is killed while requests with prompts of many parts wait for their first event there.
// The platform ends a process that exceeds its memory and starts it again.

#include "client.h"
#include "memorymonitor.h"

#include <csignal>
#include <fmt/format.h>

namespace {

using namespace geraniumlift::review;
using namespace std::chrono_literals;

constexpr auto Routers = 3;
constexpr auto MemoryMb = 110;
constexpr auto Engines = 4;
constexpr auto ClientCount = 100;

/// A prompt consists of parts that all clients share, of the session's parts of 16 tokens, and of a
/// last part for the request.
constexpr auto CommonParts = 8U;
constexpr auto CommonPartTokens = 245;
constexpr auto SessionParts = 440U;
constexpr auto SessionPartTokens = 16;
constexpr auto LastPartTokens = 190;

constexpr auto WarmUp = 6s;
constexpr auto RunTime = 18s;
constexpr auto MonitorInterval = 10ms;

/// Three ping intervals.
constexpr auto EntryLifetime = 3600ms;

auto sessionOf(unsigned Client) -> Prompts {
  auto Random = std::mt19937(Client);
  auto Result = Prompts();
  Result.m_LastPartTokens = LastPartTokens;
  Result.m_Tokens =
      CommonParts * CommonPartTokens + SessionParts * SessionPartTokens + LastPartTokens;
  for (auto Part = 0U; Part < CommonParts; ++Part) {
    Result.m_Parts += fmt::format("{:08x}:{},", 0xc0000000U + Part, CommonPartTokens);
  }
  for (auto Part = 0U; Part < SessionParts; ++Part) {
    Result.m_Parts += fmt::format("{:08x}:{},", Random() & 0x7fffffffU, SessionPartTokens);
  }
  return Result;
}

/// Watches the routers until the end of the run; kills the first runner after the warm-up. Returns
/// the killed runner's ID.
auto watch(const RunOptions &Options, Deployment &Fleet, MemoryMonitor &Monitor, Record &Log)
    -> std::string {
  const auto Start = std::chrono::steady_clock::now();
  auto Killed = std::string();
  auto HasEntry = true;
  while (std::chrono::steady_clock::now() - Start < RunTime) {
    const auto Elapsed = std::chrono::steady_clock::now() - Start;
    if (Options.m_HasTrouble && Killed.empty() && Elapsed > WarmUp) {
      auto &Engine = *Fleet.engines().front();
      Killed = Engine.m_Id;
      Engine.m_Process->signal(SIGKILL);
      Log.line(fmt::format("runner {} killed", Killed));
    }
    if (!Killed.empty() && HasEntry && Elapsed > WarmUp + EntryLifetime) {
      HasEntry = false;
      Fleet.store().erase("servers/" + Killed);
    }
    Monitor.check();
    std::this_thread::sleep_for(MonitorInterval);
  }
  return Killed;
}

auto play(const RunOptions &Options, Record &Log) -> int {
  auto Fleet = Deployment(Options);
  Fleet.configure(1);
  for (auto Index = 0; Index < Engines; ++Index) {
    Fleet.addEngine("engines", EngineTimes());
  }
  Fleet.addRouters(Routers, MemoryMb);
  if (!Fleet.startRouters()) {
    return CouldNotRun;
  }
  Log.line("all routers are ready");
  auto Seen = Results();
  auto IsOver = std::atomic<bool>(false);
  auto Clients = std::vector<std::unique_ptr<Client>>();
  auto Threads = std::vector<std::thread>();
  for (auto Number = 0; Number < ClientCount; ++Number) {
    Clients.push_back(std::make_unique<Client>(Number, sessionOf(static_cast<unsigned>(Number)),
                                               Fleet, Log, Seen));
    Threads.emplace_back([&IsOver, Item = Clients.back().get()] { Item->run(IsOver); });
  }
  auto Monitor = MemoryMonitor(Fleet, Log);
  const auto Killed = watch(Options, Fleet, Monitor, Log);
  IsOver = true;
  for (auto &Item : Threads) {
    Item.join();
  }
  for (const auto &[Outcome, Count] : Seen.m_Outcomes) {
    Log.line(fmt::format("outcome {}: {}", Outcome, Count));
  }
  const auto Lost = countLost(Fleet, Seen, Killed, Log);
  Log.line(fmt::format("router processes ended over their memory: {}; requests lost: {}, {} are "
                       "allowed",
                       Monitor.kills(), Lost, AllowedLost));
  return Lost > AllowedLost ? RuleBroken : RuleHeld;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Options = readOptions(Count, Arguments);
  auto Log = Record(Options.m_Record);
  const auto Result = play(Options, Log);
  Log.line(Result == RuleBroken ? "the rule is broken" : "the rule holds");
  return Result;
}
