// Clients send a stream request each and, without waiting for its answer, a large body of legal
// size that stops just short of its end. The platform counts received bytes that a process has not
// read towards its memory, ends a process that exceeds it and starts it again.

#include "client.h"
#include "memorymonitor.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>

namespace {

using namespace geraniumlift::review;
using namespace std::chrono_literals;

constexpr auto MemoryMb = 110;
constexpr auto Engines = 12;
constexpr auto ClientCount = 30;

/// Under half of the channels that the router accepts with 4,100 descriptors.
constexpr auto CrowdChannels = 1200;

/// `maxBodyBytes` allows 4 MB.
constexpr auto BodyBytes = std::size_t{200'000};

constexpr auto WarmUp = 6s;
constexpr auto RunTime = 14s;
constexpr auto MonitorInterval = 10ms;

auto ordinarySession() -> Prompts { return {600, "c0000000:400,", 200}; }

auto crowdRequest(int Number) -> std::string {
  return fmt::format("POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd-{}\r\nModel: m\r\n"
                     "Token-Usage: 600,50\r\nPrompt-Prefix: c0000000:400,{:08x}:200\r\n"
                     "Deadline-Ms: 5000\r\nAuthorization: Bearer k\r\nContent-Length: 5\r\n\r\n"
                     "hello",
                     Number, 0x40000000 + Number);
}

/// A second request on the same channel, whose body lacks its last byte.
auto crowdBody(int Number) -> std::string {
  return fmt::format("POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: body-{}\r\nModel: m\r\n"
                     "Token-Usage: 600,50\r\nPrompt-Prefix: c0000000:400,{:08x}:200\r\n"
                     "Deadline-Ms: 5000\r\nAuthorization: Bearer k\r\nContent-Length: {}\r\n\r\n",
                     Number, 0x50000000 + Number, BodyBytes + 1) +
         std::string(BodyBytes, 'x');
}

/// The clients that are not under control. They read nothing and stay until the end.
class Crowd {
public:
  Crowd(Deployment &Fleet, Record &Log) : m_Log(Log) {
    const auto &Router = *Fleet.routers().front();
    for (auto Number = 0; Number < CrowdChannels; ++Number) {
      m_Channels.push_back(std::make_unique<HttpChannel>(Router.ip(), Router.callerPort()));
    }
  }

  auto sendRequests() -> void {
    auto Sent = 0;
    for (auto Number = 0; Number < CrowdChannels; ++Number) {
      auto &Channel = *m_Channels[static_cast<std::size_t>(Number)];
      Sent += Channel.open() && Channel.send(crowdRequest(Number)) ? 1 : 0;
    }
    m_Log.line(fmt::format("the crowd has sent {} requests", Sent));
  }

  auto sendBodies() -> void {
    auto Bytes = std::size_t{0};
    for (auto Number = 0; Number < CrowdChannels; ++Number) {
      const auto &Channel = *m_Channels[static_cast<std::size_t>(Number)];
      if (!Channel.isOpen()) {
        continue;
      }
      const auto Body = crowdBody(Number);
      const auto Sent =
          ::send(Channel.socket(), Body.data(), Body.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      Bytes += Sent > 0 ? static_cast<std::size_t>(Sent) : 0;
    }
    m_Log.line(fmt::format("the crowd has sent {} bytes of bodies", Bytes));
  }

private:
  Record &m_Log;
  std::vector<std::unique_ptr<HttpChannel>> m_Channels;
};

auto play(const RunOptions &Options, Record &Log) -> int {
  auto Fleet = Deployment(Options);
  Fleet.configure(1);
  for (auto Index = 0; Index < Engines; ++Index) {
    Fleet.addEngine("engines", EngineTimes());
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
  auto Others = Crowd(Fleet, Log);
  Threads.emplace_back([&Others, &Options] {
    std::this_thread::sleep_for(WarmUp);
    Others.sendRequests();
    if (Options.m_HasTrouble) {
      Others.sendBodies();
    }
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

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Options = readOptions(Count, Arguments);
  auto Log = Record(Options.m_Record);
  const auto Result = play(Options, Log);
  Log.line(Result == RuleBroken ? "the rule is broken" : "the rule holds");
  return Result;
}
