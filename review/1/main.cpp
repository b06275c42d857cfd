#include "../harness/scene.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>

// All router processes are killed once and start again, while three tenants send at a steady rate
// and far less than they prepaid. Checks that their requests are served after the recovery time.

namespace review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto Tenants = 3;
constexpr auto RouterCount = std::size_t{3};
constexpr auto RunnerCount = 4;

/// Sizes like those of a large request of the sites.
constexpr auto PromptTokens = 9190;
constexpr auto OutputLimit = 100;
constexpr auto MostTokens = PromptTokens + OutputLimit;
constexpr auto Events = 10;
constexpr auto TokensPerEvent = 5;

/// Time between two requests of a tenant.
constexpr auto RequestInterval = 500ms;

/// Requests that a tenant's prepaid tokens cover, each counted at its most.
constexpr auto PrepaidRequests = 60;
constexpr auto Prepaid = PrepaidRequests * MostTokens;

/// A request is owed only within this part of the prepaid tokens.
constexpr auto OwedShare = 0.97;

constexpr auto TimeBeforeKill = 12s;
constexpr auto DownTime = 1s;

/// `drainMs` of the site.
constexpr auto DrainTime = 2000ms;

/// `recoverS` of the site.
constexpr auto RecoverTime = 12s;

/// How long requests are sent after the recovery time.
constexpr auto TimeAfterRecovery = 7s;

struct Sent {
  Clock::time_point m_Time;
  bool m_IsServed = false;
  bool m_IsOwed = false;
  int m_LastStatus = 0;
};

/// The processes, the stand-ins and the clients' requests.
class Scene {
public:
  Scene(const std::string &Folder, const std::string &RecordFile)
      : m_Record(RecordFile), m_Store(RouterCount) {
    for (auto Number = 0; Number < RunnerCount; ++Number) {
      m_Runners.push_back(
          std::make_unique<Runner>(m_Store, RunnerOptions{fmt::format("i-{}", Number), "engines",
                                                          Events, TokensPerEvent, 10ms}));
    }
    writeConfiguration();
    for (std::size_t Machine = 0; Machine < RouterCount; ++Machine) {
      m_Routers.push_back(std::make_unique<Router>(fmt::format("vm-{}", Machine), Folder,
                                                   m_Store.port(Machine), DrainTime));
    }
  }

  auto play() -> int;

private:
  auto writeConfiguration() -> void;
  auto sendFor(Clock::duration Time) -> void;
  auto sendOne(int Tenant, std::uint64_t Number) -> void;
  auto runsOf(int Tenant) -> std::int64_t;
  auto restartAll() -> bool;
  auto judge() -> int;
  auto noteStore() -> void;

  Record m_Record;
  Store m_Store;
  std::vector<std::unique_ptr<Runner>> m_Runners;
  std::vector<std::unique_ptr<Router>> m_Routers;
  std::mutex m_Mutex;
  std::vector<Sent> m_Sent;
  std::vector<std::thread> m_Clients;
  std::uint64_t m_LastNumber = 0;
  Clock::time_point m_KilledAt;
  Clock::time_point m_BackAt;
};

auto Scene::writeConfiguration() -> void {
  auto List = std::string();
  for (auto Tenant = 0; Tenant < Tenants; ++Tenant) {
    List += fmt::format(R"({}{{"name":"tenant{}","apiKeys":["key{}"],"priority":1,"prepaid":{}}})",
                        Tenant == 0 ? "" : ",", Tenant, Tenant, Prepaid);
  }
  m_Store.put("op/config",
              fmt::format(R"({{"version":3,"routes":[{{"name":"r-1","host":"h.example",)"
                          R"("pathPrefix":"/plan/","kind":"streaming","timeoutMs":5000,)"
                          R"("targetLatencyMs":600,"priority":0,"service":"engines",)"
                          R"("maxAttempts":2,"public":false,"sticky":true,"resumable":true,)"
                          R"("targetGapMs":250}}],"services":[{{"name":"engines",)"
                          R"("healthPath":"/health","maxConnections":370,"protocol":"h1",)"
                          R"("tls":false,"engine":{{"slots":64,"kvCapacityTokens":337405,)"
                          R"("stride":{}}}}}],"limits":{{"maxHeaderBytes":16384,)"
                          R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
                          R"("idleTimeoutMs":15000}},"tenants":[{}]}})",
                          TokensPerEvent, List));
}

auto Scene::runsOf(int Tenant) -> std::int64_t {
  auto Count = std::int64_t{0};
  for (const auto &Item : m_Runners) {
    const auto Runs = Item->runs();
    Count += std::count_if(Runs.begin(), Runs.end(), [Tenant](const Run &Entry) {
      return Entry.m_Tenant == fmt::format("tenant{}", Tenant);
    });
  }
  return Count;
}

auto Scene::sendOne(int Tenant, std::uint64_t Number) -> void {
  auto Entry = Sent();
  Entry.m_Time = Clock::now();
  // All that ran so far, each run at its most, and this request fit into what is owed.
  const auto Before = runsOf(Tenant) * MostTokens;
  Entry.m_IsOwed = static_cast<double>(Before + MostTokens) <= OwedShare * Prepaid;
  for (auto Try = std::uint64_t{0}; Try < 2 && !Entry.m_IsServed; ++Try) {
    auto Request = Attempt();
    Request.m_Id = fmt::format("{:016x}", Number * 16 + Try + 1);
    Request.m_Path = "/plan/7";
    Request.m_Key = fmt::format("key{}", Tenant);
    Request.m_PromptTokens = PromptTokens;
    Request.m_OutputLimit = OutputLimit;
    const auto &To = *m_Routers[(Number + Try) % RouterCount];
    const auto Answer = send(To.port(), Request);
    Entry.m_IsServed = Answer.m_Status == 200;
    Entry.m_LastStatus = Answer.m_Status;
    m_Record.note(fmt::format("request {} of tenant{} at {}: {}{}; ran so far at most {} of {} "
                              "prepaid tokens",
                              Request.m_Id, Tenant, To.name(), Answer.m_Status,
                              Answer.m_Status == 0 ? " (channel failed)" : "", Before, Prepaid));
    if (Answer.m_Status == 402) {
      break;
    }
    if (!Entry.m_IsServed) {
      std::this_thread::sleep_for(400ms);
    }
  }
  const auto Lock = std::lock_guard(m_Mutex);
  m_Sent.push_back(Entry);
}

auto Scene::sendFor(Clock::duration Time) -> void {
  const auto Until = Clock::now() + Time;
  for (auto Next = Clock::now(); Next < Until; Next += RequestInterval) {
    std::this_thread::sleep_until(Next);
    for (auto Tenant = 0; Tenant < Tenants; ++Tenant) {
      m_Clients.emplace_back([this, Tenant, Number = ++m_LastNumber] { sendOne(Tenant, Number); });
    }
  }
}

auto Scene::restartAll() -> bool {
  m_KilledAt = Clock::now();
  if (isTroubled()) {
    m_Record.note("all router processes are killed");
    for (const auto &Item : m_Routers) {
      Item->kill();
    }
  }
  sendFor(DownTime);
  if (isTroubled()) {
    m_Record.note("all router processes start again");
    for (const auto &Item : m_Routers) {
      Item->start();
    }
  }
  const auto Until = Clock::now() + 10s;
  while (!waitUntilReady(m_Routers, 400ms)) {
    if (Clock::now() > Until) {
      return false;
    }
    sendFor(RequestInterval);
  }
  m_BackAt = Clock::now();
  m_Record.note("all routers are ready");
  return true;
}

auto Scene::noteStore() -> void {
  for (auto Tenant = 0; Tenant < Tenants; ++Tenant) {
    m_Record.note(
        fmt::format("the store's record of tenant{}: {}", Tenant,
                    m_Store.get(fmt::format("geraniumlift/ledger/pool/tenant{}", Tenant))));
  }
}

auto Scene::judge() -> int {
  auto Before = 0;
  auto ServedBefore = 0;
  auto After = 0;
  auto ServedAfter = 0;
  auto Exhausted = 0;
  for (const auto &Item : m_Sent) {
    if (!Item.m_IsOwed) {
      continue;
    }
    if (Item.m_Time < m_KilledAt) {
      ++Before;
      ServedBefore += Item.m_IsServed ? 1 : 0;
    } else if (Item.m_Time > m_BackAt + RecoverTime) {
      ++After;
      ServedAfter += Item.m_IsServed ? 1 : 0;
      Exhausted += Item.m_LastStatus == 402 ? 1 : 0;
    }
  }
  for (auto Tenant = 0; Tenant < Tenants; ++Tenant) {
    m_Record.note(fmt::format("tenant{}: {} requests ran, {} tokens at most, of {} prepaid", Tenant,
                              runsOf(Tenant), runsOf(Tenant) * MostTokens, Prepaid));
  }
  const auto WasServed = Before > 0 && ServedBefore * 4 >= Before;
  if (!WasServed || After == 0) {
    m_Record.note("cannot judge: too little was served before, or nothing was owed after");
    return CouldNotRun;
  }
  const auto IsBroken = ServedAfter * 4 < After;
  const auto Verdict = fmt::format(
      "RECOVER {}: owed and served before {}/{}, later than 12 s after the machines were back "
      "{}/{}; {} of these got 402",
      IsBroken ? "broken" : "held", ServedBefore, Before, ServedAfter, After, Exhausted);
  m_Record.note(Verdict);
  std::cout << Verdict << '\n';
  return IsBroken ? RuleBroken : RuleHeld;
}

auto Scene::play() -> int {
  for (const auto &Item : m_Routers) {
    Item->start();
  }
  if (!waitUntilReady(m_Routers, 20s)) {
    m_Record.note("the routers did not become ready");
    return CouldNotRun;
  }
  sendFor(TimeBeforeKill);
  noteStore();
  if (!restartAll()) {
    m_Record.note("the routers did not become ready again");
    return CouldNotRun;
  }
  sendFor(RecoverTime + TimeAfterRecovery - (Clock::now() - m_BackAt));
  for (auto &Client : m_Clients) {
    Client.join();
  }
  noteStore();
  return judge();
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  const auto Folder = review::TemporaryFolder();
  return review::Scene(Folder.path(), Count > 1 ? Arguments[1] : "record.txt").play();
}
