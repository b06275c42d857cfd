#include "membership/gossipmembership.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <thread>

ABSL_FLAG(int, peers, 9, "routers in this process");
ABSL_FLAG(int, warm_up_seconds, 20, "time before measuring");
ABSL_FLAG(int, seconds, 10, "time to measure");
ABSL_FLAG(int, first_port, 20000, "first of the loopback ports to use");

using namespace geraniumlift::membership;

namespace {

auto cpuSeconds() -> double {
  auto Usage = rusage();
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) + static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

struct Totals {
  std::int64_t m_BytesSent = 0;
  std::int64_t m_BytesReceived = 0;
  std::size_t m_Known = 0;
  std::size_t m_Suspected = 0;
};

using Routers = std::vector<std::unique_ptr<GossipMembership>>;

auto startRouters(int Count) -> Routers {
  const auto FirstPort = absl::GetFlag(FLAGS_first_port);
  auto Started = Routers();
  for (auto Number = 0; Number < Count; ++Number) {
    auto Router = GossipMembership::start(
        {.m_Vm = fmt::format("swansea-a-entry-{:03}", Number),
         .m_Incarnation = 1,
         .m_DataCentre = "swansea-a",
         .m_CallerUrl = fmt::format("http://127.0.0.1:{}", FirstPort + 1000 + Number),
         .m_PeerAddress = fmt::format("127.0.0.1:{}", FirstPort + Number),
         .m_Seeds = {fmt::format("127.0.0.1:{}", FirstPort)},
         .m_PeerKey = "peer key"});
    if (!Router.ok()) {
      fmt::print(stderr, "{}\n", Router.status().ToString());
      return {};
    }
    Started.push_back(*std::move(Router));
  }
  return Started;
}

auto totalsOf(const Routers &Running) -> Totals {
  auto Sum = Totals();
  for (const auto &Router : Running) {
    const auto Traffic = Router->traffic();
    Sum.m_BytesSent += Traffic.m_BytesSent;
    Sum.m_BytesReceived += Traffic.m_BytesReceived;
    for (const auto &Peer : Router->peers()) {
      ++Sum.m_Known;
      Sum.m_Suspected += Peer.m_Suspected ? 1 : 0;
    }
  }
  return Sum;
}

} // namespace

/// Runs routers over loopback sockets and prints traffic and processor time of each.
auto main(int Argc, char **Argv) -> int {
  absl::ParseCommandLine(Argc, Argv);
  const auto Count = absl::GetFlag(FLAGS_peers);
  const auto Seconds = absl::GetFlag(FLAGS_seconds);
  const auto Running = startRouters(Count);
  if (Running.empty()) {
    return 1;
  }
  std::this_thread::sleep_for(std::chrono::seconds{absl::GetFlag(FLAGS_warm_up_seconds)});
  const auto Before = totalsOf(Running);
  const auto CpuBefore = cpuSeconds();
  std::this_thread::sleep_for(std::chrono::seconds{Seconds});
  const auto Cpu = cpuSeconds() - CpuBefore;
  const auto After = totalsOf(Running);
  const auto PerRouterSecond = 1.0 / (static_cast<double>(Count) * Seconds);
  fmt::print("peers={} sent_bytes_per_s={:.0f} received_bytes_per_s={:.0f} core_percent={:.3f} "
             "known_pairs={} of={} suspected={}\n",
             Count, static_cast<double>(After.m_BytesSent - Before.m_BytesSent) * PerRouterSecond,
             static_cast<double>(After.m_BytesReceived - Before.m_BytesReceived) * PerRouterSecond,
             100.0 * Cpu * PerRouterSecond, After.m_Known, Count * (Count - 1), After.m_Suspected);
  return 0;
}
