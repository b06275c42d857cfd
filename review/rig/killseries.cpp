// All routers are killed and start again 1 s later, three times, each time 4 s after they were
// ready. Tenants go on sending; what all of their requests can use at most fits into their prepaid
// tokens.

#include "httpchannel.h"
#include "rig.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <random>

namespace {

using namespace geraniumlift::review;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto Routers = 3;
constexpr auto MemoryMb = 110;
constexpr auto Engines = 4;
constexpr auto Times = EngineTimes{300ms, 40ms, 10};

/// Each tenant sends two requests a second, with clients that send one every 2 s.
constexpr auto Tenants = 3;
constexpr auto ClientsPerTenant = 4;
constexpr auto SendInterval = 2000ms;

/// The sheet's dossiers: 6,300 shared and 2,890 own tokens in, 10 events of 5 tokens out.
constexpr auto SharedTokens = 6300;
constexpr auto OwnTokens = 2890;
constexpr auto OutputTokens = 50;
constexpr auto RequestTokens = SharedTokens + OwnTokens + OutputTokens;

constexpr auto FirstKillAfter = 10s;
constexpr auto DownTime = 1000ms;
constexpr auto NextKillAfter = 4s;
constexpr auto EarlierKills = 2;

/// `recoverS`, and how long requests are judged after it.
constexpr auto RecoverTime = 12s;
constexpr auto JudgedTime = 8s;

/// A tenant's requests of the whole run, and so much that all of them are owed.
constexpr auto MostRequestsPerTenant = 88;
constexpr auto Prepaid = MostRequestsPerTenant * RequestTokens * 100 / 97 + 1;

/// Of `prepaid` a request must fit into 97 in 100 to be owed.
static_assert(MostRequestsPerTenant * RequestTokens <= Prepaid * 97 / 100);

constexpr auto LeastServed = 0.25;

struct Sent {
  Clock::time_point m_At;
  bool m_IsServed = false;
};

class Tenant {
public:
  Tenant(int Number, Deployment &Fleet, Record &Log)
      : m_Number(Number), m_Fleet(Fleet), m_Log(Log) {}

  auto run(int Client, const std::atomic<bool> &IsOver) -> void {
    auto Random = std::mt19937(static_cast<unsigned>(m_Number * ClientsPerTenant + Client));
    auto Next = Clock::now() + Client * SendInterval / ClientsPerTenant;
    while (!IsOver) {
      std::this_thread::sleep_until(Next);
      Next += SendInterval;
      const auto Number = ++m_Requests;
      if (Number > MostRequestsPerTenant) {
        return;
      }
      const auto At = Clock::now();
      const auto Id = fmt::format("t{}-{}", m_Number, Number);
      auto Status = send(Id, Random);
      // The sheet allows one retry. Routers ask for 800 ms at most after a refusal for the budget.
      if (Status == 503 || Status == 0) {
        std::this_thread::sleep_for(1000ms);
        Status = send(Id + "r", Random);
      }
      const auto Lock = std::lock_guard(m_Mutex);
      m_Sent.push_back({At, Status == 200});
    }
  }

  /// Adds the requests sent in the period to the counts.
  auto count(Clock::time_point From, Clock::time_point To, int &All, int &Served) -> void {
    const auto Lock = std::lock_guard(m_Mutex);
    for (const auto &Item : m_Sent) {
      if (Item.m_At >= From && Item.m_At < To) {
        ++All;
        Served += Item.m_IsServed ? 1 : 0;
      }
    }
  }

private:
  auto send(const std::string &Id, std::mt19937 &Random) -> int {
    const auto &Fleet = m_Fleet.routers();
    const auto &Router = *Fleet[Random() % Fleet.size()];
    auto Channel = HttpChannel(Router.ip(), Router.callerPort());
    if (!Channel.open()) {
      m_Log.line(fmt::format("sent {}: no connection", Id));
      return 0;
    }
    m_Log.line(fmt::format("sent {} to {}", Id, Router.name()));
    Channel.send(fmt::format(
        "POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nModel: m\r\n"
        "Token-Usage: {},{}\r\nPrompt-Prefix: c0000001:{},{:08x}:{}\r\nDeadline-Ms: 5000\r\n"
        "Authorization: Bearer k{}\r\nContent-Length: 5\r\n\r\nhello",
        Id, SharedTokens + OwnTokens, OutputTokens, SharedTokens, Random() & 0x7fffffffU, OwnTokens,
        m_Number));
    const auto Answer = Channel.receive(6s);
    m_Log.line(
        fmt::format("answered {} status {} complete {}", Id, Answer.m_Status, Answer.m_IsComplete));
    return Answer.m_IsComplete ? Answer.m_Status : 0;
  }

  int m_Number;
  Deployment &m_Fleet;
  Record &m_Log;
  std::atomic<int> m_Requests{0};
  std::mutex m_Mutex;
  std::vector<Sent> m_Sent;
};

auto tenantList() -> std::string {
  auto Text = std::string("[");
  for (auto Number = 0; Number < Tenants; ++Number) {
    Text += fmt::format(R"({}{{"name":"tenant{}","apiKeys":["k{}"],"prepaid":{}}})",
                        Number == 0 ? "" : ",", Number, Number, Prepaid);
  }
  return Text + "]";
}

/// Kills all routers and starts them again. Returns false if they don't become ready.
auto killAll(Deployment &Fleet, Record &Log) -> bool {
  for (const auto &Router : Fleet.routers()) {
    Router->signal(SIGKILL);
  }
  Log.line("all routers killed");
  std::this_thread::sleep_for(DownTime);
  for (const auto &Router : Fleet.routers()) {
    while (!Router->hasEnded()) {
      std::this_thread::sleep_for(1ms);
    }
  }
  const auto IsReady = Fleet.startRouters();
  Log.line("all routers are ready again");
  return IsReady;
}

auto play(const RunOptions &Options, Record &Log) -> int {
  auto Fleet = Deployment(Options);
  Fleet.configure(1, tenantList());
  for (auto Index = 0; Index < Engines; ++Index) {
    Fleet.addEngine("engines", Times);
  }
  Fleet.addRouters(Routers, MemoryMb);
  if (!Fleet.startRouters()) {
    return CouldNotRun;
  }
  Log.line(fmt::format("all routers are ready; each tenant has prepaid {} tokens", Prepaid));
  auto Senders = std::vector<std::unique_ptr<Tenant>>();
  auto Threads = std::vector<std::thread>();
  auto IsOver = std::atomic<bool>(false);
  for (auto Number = 0; Number < Tenants; ++Number) {
    Senders.push_back(std::make_unique<Tenant>(Number, Fleet, Log));
    for (auto Client = 0; Client < ClientsPerTenant; ++Client) {
      Threads.emplace_back(
          [&IsOver, Client, Item = Senders.back().get()] { Item->run(Client, IsOver); });
    }
  }
  const auto Start = Clock::now();
  auto IsReady = true;
  std::this_thread::sleep_for(FirstKillAfter);
  for (auto Kill = 0; Kill < EarlierKills; ++Kill) {
    IsReady = IsReady && (!Options.m_HasTrouble || killAll(Fleet, Log));
    std::this_thread::sleep_for(NextKillAfter);
  }
  const auto FinalFault = Clock::now();
  IsReady = IsReady && (!Options.m_HasTrouble || killAll(Fleet, Log));
  const auto Judged = Clock::now() + RecoverTime;
  std::this_thread::sleep_until(Judged + JudgedTime);
  const auto End = Clock::now();
  IsOver = true;
  for (auto &Item : Threads) {
    Item.join();
  }
  auto Before = 0;
  auto ServedBefore = 0;
  auto After = 0;
  auto ServedAfter = 0;
  for (const auto &Item : Senders) {
    Item->count(Start, FinalFault, Before, ServedBefore);
    Item->count(Judged, End, After, ServedAfter);
  }
  for (const auto &Engine : Fleet.engines()) {
    for (const auto &Id : Engine->received()) {
      Log.line(fmt::format("run {} on {}", Id, Engine->m_Id));
    }
  }
  Log.line(fmt::format("before the last kill {} of {} served; later than 12 s after it {} of {}",
                       ServedBefore, Before, ServedAfter, After));
  if (!IsReady || After == 0 || ServedBefore < LeastServed * Before) {
    return CouldNotRun;
  }
  return ServedAfter < LeastServed * After ? RuleBroken : RuleHeld;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Options = readOptions(Count, Arguments);
  auto Log = Record(Options.m_Record);
  const auto Result = play(Options, Log);
  Log.line(Result == RuleBroken ? "the rule is broken" : "the rule holds");
  return Result;
}
