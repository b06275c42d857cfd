#include "crowd.h"

#include <fmt/format.h>
#include <sys/socket.h>

namespace geraniumlift::review {

using namespace std::chrono_literals;

namespace {

constexpr auto MemoryMb = 110;
constexpr auto Engines = 12;
constexpr auto ClientCount = 60;

/// The sheet's longest streams have 56 events.
constexpr auto Times = EngineTimes{1000ms, 40ms, 50};
constexpr auto WarmUp = 6s;
constexpr auto RunTime = 14s;
constexpr auto MonitorInterval = 10ms;

auto ordinarySession() -> Prompts { return {600, "c0000000:400,", 200}; }

/// The clients of the crowd. They read nothing and stay until the end.
class Crowd {
public:
  Crowd(Deployment &Fleet, Record &Log, const CrowdPlan &Plan) : m_Log(Log), m_Plan(Plan) {
    const auto &Router = *Fleet.routers().front();
    for (auto Number = 0; Number < Plan.m_Channels; ++Number) {
      m_Channels.push_back(std::make_unique<HttpChannel>(Router.ip(), Router.callerPort()));
    }
  }

  auto sendRequests() -> void {
    auto Sent = 0;
    for (std::size_t Number = 0; m_Plan.m_Request && Number < m_Channels.size(); ++Number) {
      auto &Channel = *m_Channels[Number];
      const auto Request = m_Plan.m_Request(static_cast<int>(Number));
      Sent += Channel.open() && Channel.send(Request) ? 1 : 0;
    }
    m_Log.line(fmt::format("the crowd has sent {} requests", Sent));
  }

  auto sendSurplus() -> void {
    auto Bytes = std::size_t{0};
    for (std::size_t Number = 0; m_Plan.m_Surplus && Number < m_Channels.size(); ++Number) {
      const auto &Channel = *m_Channels[Number];
      const auto Text = m_Plan.m_Surplus(static_cast<int>(Number));
      const auto Sent = Channel.isOpen() ? ::send(Channel.socket(), Text.data(), Text.size(),
                                                  MSG_DONTWAIT | MSG_NOSIGNAL)
                                         : -1;
      Bytes += Sent > 0 ? static_cast<std::size_t>(Sent) : 0;
    }
    m_Log.line(fmt::format("the crowd has sent {} bytes behind its requests", Bytes));
  }

private:
  Record &m_Log;
  const CrowdPlan &m_Plan;
  std::vector<std::unique_ptr<HttpChannel>> m_Channels;
};

} // namespace

auto playCrowd(const RunOptions &Options, const CrowdPlan &Plan, Record &Log) -> int {
  auto Fleet = Deployment(Options);
  Fleet.configure(1);
  for (auto Index = 0; Index < Engines; ++Index) {
    Fleet.addEngine("engines", Times);
  }
  Fleet.addRouters(1, MemoryMb);
  if (!Fleet.startRouters()) {
    return CouldNotRun;
  }
  Log.line("the router is ready");
  auto Seen = Results();
  auto IsOver = std::atomic<bool>(false);
  auto Clients = std::vector<std::unique_ptr<Client>>();
  auto Threads = std::vector<std::thread>();
  for (auto Number = 0; Number < ClientCount; ++Number) {
    Clients.push_back(std::make_unique<Client>(Number, ordinarySession(), Fleet, Log, Seen));
    Threads.emplace_back([&IsOver, Item = Clients.back().get()] { Item->run(IsOver); });
  }
  auto Others = Crowd(Fleet, Log, Plan);
  Threads.emplace_back([&Others] {
    std::this_thread::sleep_for(WarmUp);
    Others.sendRequests();
    Others.sendSurplus();
  });
  auto Monitor = MemoryMonitor(Fleet, Log);
  const auto Start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Start < RunTime) {
    Monitor.check();
    std::this_thread::sleep_for(MonitorInterval);
  }
  IsOver = true;
  for (auto &Item : Threads) {
    Item.join();
  }
  for (const auto &[Outcome, Count] : Seen.m_Outcomes) {
    Log.line(fmt::format("outcome {}: {}", Outcome, Count));
  }
  const auto Lost = countLost(Fleet, Seen, "", Log);
  Log.line(fmt::format("router processes ended over their memory: {}; requests lost: {}, {} are "
                       "allowed",
                       Monitor.kills(), Lost, AllowedLost));
  return Lost > AllowedLost ? RuleBroken : RuleHeld;
}

} // namespace geraniumlift::review
