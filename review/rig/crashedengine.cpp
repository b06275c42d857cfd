// A runner is killed while requests with prompts of many parts wait for their first event there.
// The platform ends a process that exceeds its memory and starts it again.

#include "httpchannel.h"
#include "rig.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <random>

namespace {

using namespace geraniumlift::review;
using namespace std::chrono_literals;

constexpr auto Routers = 3;
constexpr auto MemoryMb = 110;
constexpr auto Engines = 4;
constexpr auto Clients = 90;

/// Each client goes on with a session of its own: its prompt consists of parts that all clients
/// share, of the session's parts of 16 tokens, and of a last part for the request.
constexpr auto CommonParts = 8;
constexpr auto CommonPartTokens = 315;
constexpr auto SessionParts = 400;
constexpr auto SessionPartTokens = 16;
constexpr auto LastPartTokens = 200;
constexpr auto PromptTokens =
    CommonParts * CommonPartTokens + SessionParts * SessionPartTokens + LastPartTokens;

constexpr auto WarmUp = 6s;
constexpr auto RunTime = 18s;
constexpr auto ClientPause = 300ms;
constexpr auto RestartDelay = 1000ms;
constexpr auto MonitorInterval = 10ms;

/// The rule allows three such requests.
constexpr auto AllowedLost = std::size_t{3};

/// A request that ended without a single byte of an answer because its channel was closed.
struct UnansweredRequest {
  std::string m_Id;
  std::string m_Router;
  bool m_IsKeptChannel = false;
};

struct Results {
  std::mutex m_Mutex;
  std::vector<UnansweredRequest> m_Unanswered;
  std::map<std::string, int> m_Outcomes;
};

class Client {
public:
  Client(int Number, Deployment &Fleet, Record &Log, Results &Into)
      : m_Number(Number), m_Fleet(Fleet), m_Log(Log), m_Results(Into),
        m_Random(static_cast<unsigned>(Number)) {
    for (auto Part = 0; Part < CommonParts; ++Part) {
      m_Parts +=
          fmt::format("{:08x}:{},", 0xc0000000U + static_cast<unsigned>(Part), CommonPartTokens);
    }
    for (auto Part = 0; Part < SessionParts; ++Part) {
      m_Parts += fmt::format("{:08x}:{},", m_Random() & 0x7fffffffU, SessionPartTokens);
    }
  }

  auto run(const std::atomic<bool> &IsOver) -> void {
    std::this_thread::sleep_for(std::chrono::milliseconds(m_Number * 15));
    while (!IsOver) {
      sendOne();
      std::this_thread::sleep_for(ClientPause);
    }
  }

private:
  auto sendOne() -> void {
    if (!m_Channel || !m_Channel->isOpen()) {
      const auto &Routers = m_Fleet.routers();
      m_Router = Routers[m_Random() % Routers.size()].get();
      m_Channel = std::make_unique<HttpChannel>(m_Router->ip(), m_Router->callerPort());
      m_Served = 0;
      if (!m_Channel->open()) {
        count("no connection");
        return;
      }
    }
    const auto Id = fmt::format("c{}-{}", m_Number, ++m_Requests);
    m_Log.line(fmt::format("sent {} to {}", Id, m_Router->name()));
    const auto Sent = m_Channel->send(fmt::format(
        "POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nModel: m\r\n"
        "Token-Usage: {},50\r\nPrompt-Prefix: {}{:08x}:{}\r\nDeadline-Ms: 5000\r\n"
        "Authorization: Bearer k\r\nContent-Length: 5\r\n\r\nhello",
        Id, PromptTokens, m_Parts, 0x80000000U + (m_Random() & 0x3fffffffU), LastPartTokens));
    const auto Answer = m_Channel->receive(6s);
    m_Log.line(fmt::format("answered {} status {} complete {} closed {}", Id, Answer.m_Status,
                           Answer.m_IsComplete, Answer.m_IsClosed));
    if (Sent && Answer.m_IsClosed && !Answer.m_HasBegun) {
      const auto Lock = std::lock_guard(m_Results.m_Mutex);
      m_Results.m_Unanswered.push_back({Id, m_Router->name(), m_Served > 0});
    }
    count(Answer.m_IsComplete ? std::to_string(Answer.m_Status) : "not complete");
    ++m_Served;
    if (!Answer.m_KeepsChannel) {
      m_Channel->close();
    }
  }

  auto count(const std::string &Outcome) -> void {
    const auto Lock = std::lock_guard(m_Results.m_Mutex);
    ++m_Results.m_Outcomes[Outcome];
  }

  int m_Number;
  Deployment &m_Fleet;
  Record &m_Log;
  Results &m_Results;
  std::mt19937 m_Random;
  std::string m_Parts;
  RouterVm *m_Router = nullptr;
  std::unique_ptr<HttpChannel> m_Channel;
  int m_Requests = 0;
  int m_Served = 0;
};

/// Ends processes that exceed their memory, as the platform does, and starts them again.
class MemoryMonitor {
public:
  MemoryMonitor(Deployment &Fleet, Record &Log) : m_Fleet(Fleet), m_Log(Log) {
    for (const auto &Router : Fleet.routers()) {
      m_Peaks[Router->name()] = 0;
    }
  }

  auto check() -> void {
    for (const auto &Router : m_Fleet.routers()) {
      const auto Now = std::chrono::steady_clock::now();
      if (const auto Down = m_DownSince.find(Router->name()); Down != m_DownSince.end()) {
        if (Now - Down->second >= RestartDelay) {
          Router->start();
          m_Log.line(fmt::format("started {} again", Router->name()));
          m_DownSince.erase(Down);
        }
        continue;
      }
      const auto Kb = Router->residentKb();
      auto &Peak = m_Peaks[Router->name()];
      if (Kb > Peak + 8192) {
        m_Log.line(fmt::format("memory of {}: {} KiB", Router->name(), Kb));
        Peak = Kb;
      }
      if (Kb > std::int64_t{Router->memoryMb()} * 1024) {
        Router->signal(SIGKILL);
        m_Log.line(fmt::format("{} killed by the platform: {} KiB of {} MiB", Router->name(), Kb,
                               Router->memoryMb()));
        while (!Router->hasEnded()) {
          std::this_thread::sleep_for(1ms);
        }
        m_DownSince[Router->name()] = Now;
        ++m_Kills;
      }
    }
  }

  [[nodiscard]] auto kills() const -> int { return m_Kills; }

private:
  Deployment &m_Fleet;
  Record &m_Log;
  std::map<std::string, std::int64_t> m_Peaks;
  std::map<std::string, std::chrono::steady_clock::time_point> m_DownSince;
  int m_Kills = 0;
};

/// Counts the requests that a router passed on from a kept channel to a sound runner and then left
/// without an answer.
auto countLost(Deployment &Fleet, Results &Seen, const std::string &KilledEngine, Record &Log)
    -> std::size_t {
  auto Received = std::set<std::string>();
  for (const auto &Engine : Fleet.engines()) {
    auto Ids = Engine->received();
    for (const auto &Id : Ids) {
      Log.line(fmt::format("run {} on {}", Id, Engine->m_Id));
    }
    if (Engine->m_Id != KilledEngine) {
      Received.merge(Ids);
    }
  }
  auto Lost = std::size_t{0};
  for (const auto &Item : Seen.m_Unanswered) {
    if (Item.m_IsKeptChannel && Received.contains(Item.m_Id)) {
      ++Lost;
      Log.line(fmt::format("lost {}: {} passed it on to a sound runner and its channel ended "
                           "without an answer",
                           Item.m_Id, Item.m_Router));
    }
  }
  return Lost;
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
  for (auto Number = 0; Number < ::Clients; ++Number) {
    Clients.push_back(std::make_unique<Client>(Number, Fleet, Log, Seen));
    Threads.emplace_back([&IsOver, Item = Clients.back().get()] { Item->run(IsOver); });
  }
  auto Monitor = MemoryMonitor(Fleet, Log);
  const auto Start = std::chrono::steady_clock::now();
  auto KilledEngine = std::string();
  auto HasEntry = true;
  while (std::chrono::steady_clock::now() - Start < RunTime) {
    const auto Elapsed = std::chrono::steady_clock::now() - Start;
    if (Options.m_HasTrouble && KilledEngine.empty() && Elapsed > WarmUp) {
      auto &Engine = *Fleet.engines().front();
      KilledEngine = Engine.m_Id;
      Engine.m_Process->signal(SIGKILL);
      Log.line(fmt::format("runner {} killed", KilledEngine));
    }
    // Its entry goes after three ping intervals of 1.2 s.
    if (!KilledEngine.empty() && HasEntry && Elapsed > WarmUp + 3600ms) {
      HasEntry = false;
      Fleet.store().erase("servers/" + KilledEngine);
    }
    Monitor.check();
    std::this_thread::sleep_for(MonitorInterval);
  }
  IsOver = true;
  std::for_each(Threads.begin(), Threads.end(), [](std::thread &Item) { Item.join(); });
  for (const auto &[Outcome, Count] : Seen.m_Outcomes) {
    Log.line(fmt::format("outcome {}: {}", Outcome, Count));
  }
  const auto Lost = countLost(Fleet, Seen, KilledEngine, Log);
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
