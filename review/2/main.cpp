#include "../harness/scene.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <optional>

// In a fleet of twenty routers, the one that passes the store's records on to the others is cut off
// from the store and from nothing else. At that moment a new configuration is acknowledged, which
// moves a route and takes a key away, and a runner begins to drain. Checks that the other routers,
// which are in touch all the while, handle no request by the older configuration after the bound.

namespace review {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto RouterCount = std::size_t{20};

/// `drainMs` and `configMs` of the grown deployments.
constexpr auto DrainTime = 3000ms;
constexpr auto ConfigTime = 3000ms;

/// Undisturbed time before the cut; longer than `contactMs` of the grown deployments, 4 s.
constexpr auto CalmTime = 8s;

/// How long the router is cut off.
constexpr auto CutTime = 5500ms;

/// How long requests are sent after the cut has begun, and the time between two requests for the
/// same path to one router.
constexpr auto SendTime = 6s;
constexpr auto RequestInterval = 100ms;

struct Checked {
  std::size_t m_Router = 0;
  std::string m_Id;
  std::string m_Path;
  Clock::time_point m_SentAt;
  int m_Status = 0;
};

auto routeJson(const std::string &Prefix, const std::string &Service) -> std::string {
  return fmt::format(R"({{"name":"r-{0}","host":"h.example","pathPrefix":"/{0}/",)"
                     R"("kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,)"
                     R"("priority":2,"service":"{1}","maxAttempts":2,"public":false,)"
                     R"("sticky":false,"resumable":false,"targetGapMs":250}})",
                     Prefix, Service);
}

/// The processes, the stand-ins and the clients' requests.
class Scene {
public:
  Scene(const std::string &Folder, const std::string &RecordFile)
      : m_Record(RecordFile), m_Store(RouterCount) {
    for (const auto *Id : {"a1", "a2", "b1", "b2"}) {
      const auto *const Service = *Id == 'a' ? "service-a" : "service-b";
      m_Runners.push_back(std::make_unique<Runner>(
          m_Store, RunnerOptions{fmt::format("i-{}", Id), Service, 0, 0, 10ms}));
    }
    writeConfiguration(3, "service-a", "dropped");
    for (std::size_t Machine = 0; Machine < RouterCount; ++Machine) {
      m_Routers.push_back(std::make_unique<Router>(fmt::format("vm-{}", Machine), Folder,
                                                   m_Store.port(Machine), DrainTime));
    }
  }

  auto play() -> int;

private:
  /// The route `/moved/` leads to the service; `/stays/` always leads to service-a. Key: the key
  /// that the tenant has beside `keeps`.
  auto writeConfiguration(int Version, const std::string &Service, const std::string &Key) -> void;

  /// The router that passes records on to the others, by its log.
  auto findRelay() -> std::optional<std::size_t>;
  auto disturb() -> void;
  auto sendAll(std::size_t Machine) -> void;
  auto judge() -> int;

  Record m_Record;
  Store m_Store;
  std::vector<std::unique_ptr<Runner>> m_Runners;
  std::vector<std::unique_ptr<Router>> m_Routers;
  std::size_t m_Relay = 0;
  std::mutex m_Mutex;
  std::vector<Checked> m_Checked;
  std::atomic<std::uint64_t> m_LastNumber{0};
  Clock::time_point m_DrainAckedAt;
  Clock::time_point m_ConfigAckedAt;
};

auto Scene::writeConfiguration(int Version, const std::string &Service, const std::string &Key)
    -> void {
  m_Store.put(
      "op/config",
      fmt::format(
          R"({{"version":{},"routes":[{},{}],"services":[{{"name":"service-a",)"
          R"("healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false}},)"
          R"({{"name":"service-b","healthPath":"/health","maxConnections":500,)"
          R"("protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},)"
          R"("tenants":[{{"name":"tenant","apiKeys":["keeps","{}"],"priority":1,"prepaid":1000000}}]}})",
          Version, routeJson("stays", "service-a"), routeJson("moved", Service), Key));
}

auto Scene::findRelay() -> std::optional<std::size_t> {
  for (std::size_t Machine = 0; Machine < RouterCount; ++Machine) {
    const auto Lines = m_Routers[Machine]->linesWith({"event=fleet_role_changed"}, 100);
    if (!Lines.empty() && Lines.back().find("role=relay") != std::string::npos) {
      return Machine;
    }
  }
  return std::nullopt;
}

auto Scene::disturb() -> void {
  const auto Start = Clock::now();
  if (isTroubled()) {
    m_Store.cut(m_Relay, true);
    m_Record.note(fmt::format("{} is cut off from the store", m_Routers[m_Relay]->name()));
  }
  m_Runners[0]->drain();
  m_DrainAckedAt = Clock::now();
  m_Record.note("the store acknowledges that i-a1 is draining");
  writeConfiguration(5, "service-b", "added");
  m_ConfigAckedAt = Clock::now();
  m_Record.note(
      "the store acknowledges version 5, which moves /moved/ to service-b and drops a key");
  std::this_thread::sleep_until(Start + CutTime);
  m_Store.cut(m_Relay, false);
  m_Record.note("the cut has ended");
}

auto Scene::sendAll(std::size_t Machine) -> void {
  const auto Until = Clock::now() + SendTime;
  for (auto Next = Clock::now(); Next < Until; Next += RequestInterval) {
    std::this_thread::sleep_until(Next);
    for (const auto &[Path, Key] :
         {std::pair("/stays/7", "dropped"), std::pair("/moved/7", "keeps")}) {
      auto Request = Attempt();
      Request.m_Id = fmt::format("{:016x}", ++m_LastNumber);
      Request.m_Method = "GET";
      Request.m_Path = Path;
      Request.m_Key = Key;
      Request.m_DeadlineMs = 1500;
      auto Entry = Checked{Machine, Request.m_Id, Path, Clock::now(), 0};
      Entry.m_Status = send(m_Routers[Machine]->port(), Request).m_Status;
      const auto Lock = std::lock_guard(m_Mutex);
      m_Checked.push_back(Entry);
    }
  }
}

auto Scene::judge() -> int {
  auto RunById = std::map<std::string, Run>();
  for (const auto &Item : m_Runners) {
    for (const auto &Entry : Item->runs()) {
      RunById[Entry.m_RequestId] = Entry;
    }
  }
  auto Late = 0;
  auto Old = 0;
  auto Latest = 0.0;
  for (const auto &Item : m_Checked) {
    const auto Found = RunById.find(Item.m_Id);
    const auto Ran = Found != RunById.end();
    auto Wrong = std::string();
    // A router that is cut off is not in touch, so its requests are not judged.
    if (Ran && Item.m_Router != m_Relay) {
      const auto &Entry = Found->second;
      const auto AfterDrain =
          std::chrono::duration<double, std::milli>(Entry.m_Time - m_DrainAckedAt).count();
      if (Entry.m_Runner == m_Runners[0]->id() && Entry.m_Time > m_DrainAckedAt + DrainTime) {
        ++Late;
        Wrong += fmt::format("; DRAIN: {:.0f} ms after the runner's draining", AfterDrain);
      }
      if (Entry.m_Service == "service-a" && Item.m_SentAt > m_ConfigAckedAt + ConfigTime) {
        ++Old;
        Latest = std::max(
            Latest,
            std::chrono::duration<double, std::milli>(Item.m_SentAt - m_ConfigAckedAt).count());
        Wrong += Item.m_Path == "/moved/7" ? "; CONFIG: ran at the service of the older version"
                                           : "; CONFIG: ran with a dropped key";
      }
    }
    m_Record.note(fmt::format("sent at {:.3f} to {} {} {}: {}, run by {}{}",
                              m_Record.secondsAt(Item.m_SentAt), m_Routers[Item.m_Router]->name(),
                              Item.m_Path, Item.m_Id, Item.m_Status,
                              Ran ? Found->second.m_Runner : "none", Wrong));
  }
  const auto IsBroken = Old > 0;
  const auto Verdict = fmt::format(
      "CONFIG {}: {} requests to routers in touch, sent later than {} ms after the ack, the last "
      "{:.0f} ms after, were run by the older version; DRAIN: {} requests reached the draining "
      "runner "
      "later than {} ms after the ack",
      IsBroken ? "broken" : "held", Old, ConfigTime.count(), Latest, Late, DrainTime.count());
  m_Record.note(Verdict);
  std::cout << Verdict << '\n';
  return IsBroken ? RuleBroken : RuleHeld;
}

auto Scene::play() -> int {
  for (const auto &Item : m_Routers) {
    Item->start();
  }
  if (!waitUntilReady(m_Routers, 40s)) {
    m_Record.note("the routers did not become ready");
    return CouldNotRun;
  }
  std::this_thread::sleep_for(CalmTime);
  auto Relay = findRelay();
  for (auto Try = 0; !Relay && Try < 40; ++Try) {
    std::this_thread::sleep_for(250ms);
    Relay = findRelay();
  }
  if (!Relay) {
    m_Record.note("no router passes records on");
    return CouldNotRun;
  }
  m_Relay = *Relay;
  auto Clients = std::vector<std::thread>();
  for (std::size_t Machine = 0; Machine < RouterCount; ++Machine) {
    Clients.emplace_back([this, Machine] { sendAll(Machine); });
  }
  disturb();
  for (auto &Client : Clients) {
    Client.join();
  }
  return judge();
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  const auto Folder = review::TemporaryFolder();
  return review::Scene(Folder.path(), Count > 1 ? Arguments[1] : "record.txt").play();
}
