#include "process/fleet.h"
#include "processusage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <cpprest/json.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, vary, "nodes", "what to vary: nodes, objects, budgets or streams");
ABSL_FLAG(int, seconds, 10, "length of each measurement in seconds");

namespace {

using namespace geraniumlift;
using testing::Fleet;
using testing::FleetOptions;
using testing::sendHttp;

constexpr double BytesPerMegabyte = 1e6;
constexpr auto SettleTime = std::chrono::seconds{3};
constexpr std::int64_t LargeTopUp = 100'000'000;

/// Sums the samples of a counter in the Prometheus text form whose line begins with the prefix.
auto sumOf(const std::string &Metrics, const std::string &Prefix) -> double {
  auto Lines = std::istringstream(Metrics);
  auto Sum = 0.0;
  for (auto Line = std::string(); std::getline(Lines, Line);) {
    if (Line.starts_with(Prefix)) {
      Sum += std::stod(Line.substr(Line.rfind(' ') + 1));
    }
  }
  return Sum;
}

/// Use of the first router and of the key-value service over the measurement.
struct Sample {
  testing::HttpResult m_Metrics;
  bench::ProcessUsage m_Usage;
};

auto sampleOf(Fleet &Fleet) -> Sample {
  return {sendHttp({"GET", Fleet.operatorsUrl(0) + "/metrics"}),
          bench::readUsage(Fleet.router(0).pid())};
}

auto callsPerSecond(const Sample &Before, const Sample &After, const std::string &Kind,
                    double Seconds) -> double {
  const auto Prefix = fmt::format("geraniumlift_platform_calls_total{{kind=\"{}\"", Kind);
  return (sumOf(After.m_Metrics.m_Body, Prefix) - sumOf(Before.m_Metrics.m_Body, Prefix)) / Seconds;
}

auto printRow(const std::string &Vary, int Value, const Sample &Before, const Sample &After,
              std::chrono::duration<double> Time, const std::string &Extra = "") -> void {
  const auto Seconds = Time.count();
  const auto Cpu =
      std::chrono::duration<double>(After.m_Usage.m_CpuTime - Before.m_Usage.m_CpuTime).count();
  const auto PeerBytes = sumOf(After.m_Metrics.m_Body, "geraniumlift_peer_bytes_total") -
                         sumOf(Before.m_Metrics.m_Body, "geraniumlift_peer_bytes_total");
  fmt::print("{}={} cpu_percent_of_core={:.2f} resident_mb={:.1f} kv_reads_per_s={:.2f} "
             "kv_writes_per_s={:.2f} peer_bytes_per_s={:.0f}{}\n",
             Vary, Value, 100.0 * Cpu / Seconds,
             static_cast<double>(After.m_Usage.m_ResidentBytes) / BytesPerMegabyte,
             callsPerSecond(Before, After, "read", Seconds),
             callsPerSecond(Before, After, "write", Seconds), PeerBytes / Seconds, Extra);
  std::fflush(stdout);
}

/// Lets the fleet run with the load and prints what the first router used.
auto measure(const std::string &Vary, int Value, Fleet &Fleet,
             const std::function<void()> &Load = nullptr, const std::string &Extra = "") -> void {
  std::this_thread::sleep_for(SettleTime);
  const auto Before = sampleOf(Fleet);
  const auto Start = std::chrono::steady_clock::now();
  if (Load) {
    Load();
  } else {
    std::this_thread::sleep_for(std::chrono::seconds{absl::GetFlag(FLAGS_seconds)});
  }
  const auto After = sampleOf(Fleet);
  printRow(Vary, Value, Before, After, std::chrono::steady_clock::now() - Start, Extra);
}

auto varyNodes() -> void {
  for (const auto Nodes : {3, 6, 12, 24}) {
    auto Options = FleetOptions();
    Options.m_Routers = Nodes;
    auto Fleet = testing::Fleet(Options);
    Fleet.start();
    measure("nodes", Nodes, Fleet);
  }
}

/// Publishes a change and returns how long it took until every router had it.
auto timeOfChange(Fleet &Fleet) -> double {
  const auto File = Fleet.folder() + "/objects.toml";
  auto Text = std::ostringstream();
  Text << std::ifstream(File).rdbuf();
  auto Changed = Text.str();
  Changed.replace(Changed.find("fern-7b"), 7, "moss-7b");
  std::ofstream(File) << Changed;
  Fleet.ctl({"publish", File});
  const auto Start = std::chrono::steady_clock::now();
  const auto InForce = [&] {
    for (auto Index = 0; Index < FleetOptions().m_Routers; ++Index) {
      auto Request = testing::HttpCall{"GET", Fleet.callersUrl(Index) + "/v1/models"};
      Request.m_Headers = {{"Authorization", "Bearer test-key-office"}};
      if (!sendHttp(Request).contains("moss-7b")) {
        return false;
      }
    }
    return true;
  };
  testing::waitFor(InForce);
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start).count();
}

auto varyObjects() -> void {
  for (const auto Workspaces : {10, 1'000, 5'000, 15'000}) {
    auto Options = FleetOptions();
    Options.m_IdleWorkspaces = Workspaces;
    auto Fleet = testing::Fleet(Options);
    Fleet.start();
    const auto Time = timeOfChange(Fleet);
    measure("workspaces", Workspaces, Fleet, nullptr,
            fmt::format(" change_in_force_s={:.2f}", Time));
  }
}

/// Sends short completions of every budget to the first router, one a second and budget.
auto varyBudgets() -> void {
  for (const auto Budgets : {1, 10, 40}) {
    auto Options = FleetOptions();
    Options.m_Budgets.clear();
    for (auto Index = 0; Index < Budgets; ++Index) {
      Options.m_Budgets.emplace(fmt::format("budget-{}", Index), LargeTopUp);
    }
    auto Fleet = testing::Fleet(Options);
    Fleet.start();
    measure("active_budgets", Budgets, Fleet, [&] {
      auto Senders = std::vector<std::thread>();
      for (const auto &Row : Options.m_Budgets) {
        Senders.emplace_back([&Fleet, Name = Row.first] {
          for (auto Second = 0; Second < absl::GetFlag(FLAGS_seconds); ++Second) {
            sendHttp(Fleet.completion(0, 3, "", Name));
            std::this_thread::sleep_for(std::chrono::seconds{1});
          }
        });
      }
      for (auto &Sender : Senders) {
        Sender.join();
      }
    });
  }
}

/// Totals of streams that ran side by side.
struct StreamTotals {
  std::atomic<std::int64_t> m_Chunks{0};
  std::atomic<std::int64_t> m_Whole{0};
  std::atomic<std::int64_t> m_FirstByteMicroseconds{0};
};

auto runStream(testing::HttpCall Request, StreamTotals &Totals) -> void {
  const auto Start = std::chrono::steady_clock::now();
  auto First = true;
  Request.m_OnBytes = [&](const std::string &) {
    Totals.m_Chunks += 1;
    if (std::exchange(First, false)) {
      Totals.m_FirstByteMicroseconds += std::chrono::duration_cast<std::chrono::microseconds>(
                                            std::chrono::steady_clock::now() - Start)
                                            .count();
    }
  };
  Totals.m_Whole += sendHttp(Request).contains("[DONE]") ? 1 : 0;
}

auto runStreams(int Streams, const std::function<testing::HttpCall()> &MakeRequest,
                StreamTotals &Totals) -> void {
  auto Threads = std::vector<std::thread>();
  for (auto Index = 0; Index < Streams; ++Index) {
    Threads.emplace_back([&] { runStream(MakeRequest(), Totals); });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
}

auto varyStreams() -> void {
  constexpr auto TokensPerStream = 200;
  for (const auto Streams : {20, 80, 300}) {
    auto Options = FleetOptions();
    Options.m_Engines = 4;
    Options.m_EngineSlots = 400;
    Options.m_Budgets = {{"office", LargeTopUp}};
    auto Fleet = testing::Fleet(Options);
    Fleet.start();
    for (auto Index = 0; Index < Options.m_Engines; ++Index) {
      Fleet.control(Fleet.engineUrl(Index), R"({"ttft_ms":50,"token_ms":30})");
    }
    auto Direct = StreamTotals();
    auto Next = std::atomic<int>(0);
    runStreams(
        Streams,
        [&] {
          auto Request = Fleet.completion(0, TokensPerStream);
          Request.m_Url = Fleet.engineUrl(Next++ % Options.m_Engines) + "/v1/chat/completions";
          Request.m_Headers.emplace("X-Request-Id", fmt::format("direct-{}", Next.load()));
          return Request;
        },
        Direct);
    auto Routed = StreamTotals();
    const auto CpuBefore = bench::readUsage(Fleet.router(0).pid()).m_CpuTime;
    measure("streams", Streams, Fleet, [&] {
      runStreams(
          Streams, [&] { return Fleet.completion(0, TokensPerStream); }, Routed);
    });
    const auto Cpu = bench::readUsage(Fleet.router(0).pid()).m_CpuTime - CpuBefore;
    fmt::print("streams={} whole={} tokens={} cpu_us_per_token={:.0f} direct_first_byte_ms={:.1f} "
               "routed_first_byte_ms={:.1f}\n",
               Streams, Routed.m_Whole.load(), Streams * TokensPerStream,
               1e3 * static_cast<double>(Cpu.count()) / (Streams * TokensPerStream),
               static_cast<double>(Direct.m_FirstByteMicroseconds) / 1e3 / Streams,
               static_cast<double>(Routed.m_FirstByteMicroseconds) / 1e3 / Streams);
  }
}

struct Variation {
  std::string_view m_Name;
  void (*m_Run)();
};

constexpr auto Variations =
    std::array{Variation{"nodes", varyNodes}, Variation{"objects", varyObjects},
               Variation{"budgets", varyBudgets}, Variation{"streams", varyStreams}};

} // namespace

auto main(int Argc, char **Argv) -> int {
  absl::ParseCommandLine(Argc, Argv);
  for (const auto &Row : Variations) {
    if (Row.m_Name == absl::GetFlag(FLAGS_vary)) {
      Row.m_Run();
      return 0;
    }
  }
  fmt::print(stderr, "unknown value of --vary\n");
  return 2;
}
