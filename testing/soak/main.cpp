#include "platform/tests/platformfixture.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <random>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults and the load.");
ABSL_FLAG(int, seconds, 10, "Time with faults.");
ABSL_FLAG(int, routers, 3, "Router processes.");

namespace {

using namespace geraniumlift::platform::tests;
using geraniumlift::standins::TargetFault;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/// Tokens of the budget; about six hundred streams use it up.
constexpr auto Prepaid = std::int64_t{300000};
constexpr auto PromptTokens = 500;
constexpr auto TokensPerEvent = 4;
constexpr auto CallerCount = 4;

const auto WholeStream =
    std::string("id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n"
                "id: 4\ndata: word4\n\nid: 5\ndata: word5\n\n");

/// One request and what its caller got.
struct Outcome {
  std::string m_Id;
  std::string m_Path;
  RawCaller::Answer m_Answer;
};

/// The world, its load, its faults and the checks.
class Soak {
public:
  explicit Soak(std::uint64_t Seed)
      : m_World(static_cast<std::size_t>(absl::GetFlag(FLAGS_routers)), Prepaid), m_Seed(Seed),
        m_Random(Seed) {}

  auto run() -> bool {
    auto Callers = std::vector<std::thread>();
    for (auto Number = 0; Number < CallerCount; ++Number) {
      Callers.emplace_back([this, Number] { callInALoop(Number); });
    }
    const auto End = Clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (Clock::now() < End) {
      disturb();
      std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 400)));
    }
    m_IsOver = true;
    for (auto &Caller : Callers) {
      Caller.join();
    }
    endFaults();
    checkRecovery();
    checkOutcomes();
    return m_Failures == 0;
  }

private:
  auto pick(int Low, int High) -> int {
    return std::uniform_int_distribution<int>(Low, High)(m_Random);
  }

  auto routerCount() -> int { return absl::GetFlag(FLAGS_routers); }

  auto fail(const std::string &Text) -> void {
    ++m_Failures;
    std::cout << "seed " << m_Seed << ": " << Text << '\n';
  }

  auto callInALoop(int Number) -> void {
    auto Random = std::mt19937_64(m_Seed * CallerCount + static_cast<std::uint64_t>(Number));
    const auto Paths = std::vector<std::string>{"/stream/x", "/once/x", "/book/x", "/look/x"};
    auto Count = 0;
    while (!m_IsOver) {
      const auto &Path = Paths[Random() % Paths.size()];
      const auto Id = fmt::format("c{}n{}", Number, ++Count);
      const auto IsStream = Path == "/stream/x" || Path == "/once/x";
      auto Result = Outcome{Id, Path,
                            m_World.call(Path, Id, IsStream ? Prompt : "", "k",
                                         Random() % static_cast<std::size_t>(routerCount()))};
      {
        const auto Lock = std::lock_guard(m_Mutex);
        m_Outcomes.push_back(std::move(Result));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 60));
    }
  }

  auto disturb() -> void {
    auto &Router = m_World.router(static_cast<std::size_t>(pick(0, routerCount() - 1)));
    auto &Target = m_World.target(std::vector<std::string>{"e1", "e2", "s1", "s2"}[pick(0, 3)]);
    switch (pick(0, 9)) {
    case 0:
      Router.kill();
      Router.start();
      break;
    case 1:
      Router.terminate();
      Router.waitForExit(6s);
      Router.start();
      break;
    case 2:
      Router.process().signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 1500)));
      Router.process().signal(SIGCONT);
      break;
    case 3:
      m_World.store().m_IsSilent = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 2000)));
      m_World.store().m_IsSilent = false;
      break;
    case 4:
      m_World.store().m_LostAnswers = pick(1, 4);
      break;
    case 5:
      m_World.store().compact();
      break;
    case 6:
      m_World.configure(++m_Version, Prepaid);
      break;
    case 7:
      Target.registerAs(pick(0, 2) == 0 ? "draining" : "ready");
      break;
    default:
      Target.m_Fault = static_cast<TargetFault>(pick(0, 5));
      break;
    }
  }

  auto endFaults() -> void {
    m_World.store().m_IsSilent = false;
    m_World.store().m_LostAnswers = 0;
    for (const auto *Id : {"e1", "e2", "s1", "s2"}) {
      m_World.target(Id).m_Fault = TargetFault::None;
    }
  }

  /// Ten seconds after the last fault every router serves again. A target that has said that it
  /// leaves does not come back in the same life, so that the last one of a pool may be gone for
  /// good.
  auto checkRecovery() -> void {
    for (auto At = 0; At < routerCount(); ++At) {
      const auto Index = static_cast<std::size_t>(At);
      auto Serves = false;
      for (auto Round = 0; Round < 100 && !Serves; ++Round) {
        const auto Answer =
            m_World.call("/look/x", fmt::format("r{}n{}", At, Round), "", "k", Index);
        Serves = Answer.m_Status == 200 ||
                 (Answer.m_Status == 503 && Answer.m_Body.find("no_target") != std::string::npos);
        std::this_thread::sleep_for(100ms);
      }
      if (!Serves) {
        fail(fmt::format("router {} does not serve after the faults", At));
      }
    }
  }

  static auto promisesNotRun(int Status) -> bool {
    return Status == 408 || Status == 421 || Status == 429 || Status == 503;
  }

  auto checkOutcomes() -> void {
    auto Used = std::int64_t{0};
    auto Served = 0;
    for (const auto &Item : m_Outcomes) {
      const auto Runs = m_World.runs(Item.m_Id);
      const auto &Answer = Item.m_Answer;
      const auto IsStream = Item.m_Path == "/stream/x" || Item.m_Path == "/once/x";
      if ((Item.m_Path == "/book/x" || Item.m_Path == "/once/x") && Runs > 1) {
        fail(fmt::format("{} ran {} times", Item.m_Id, Runs));
      }
      if (promisesNotRun(Answer.m_Status) && Runs > 0 && Item.m_Path != "/look/x") {
        fail(fmt::format("{} was refused with {} and ran", Item.m_Id, Answer.m_Status));
      }
      if (Answer.m_Status == 401 || Answer.m_Status == 404) {
        fail(fmt::format("{} was denied with {}", Item.m_Id, Answer.m_Status));
      }
      if (Answer.m_Status == 200 && Answer.m_IsComplete &&
          Answer.m_Body != (IsStream ? WholeStream : "done")) {
        fail(fmt::format("{} got a wrong answer: {}", Item.m_Id, Answer.m_Body));
      }
      Served += Answer.m_Status == 200 && Answer.m_IsComplete ? 1 : 0;
      if (IsStream && Runs > 0) {
        const auto Events = std::count(Answer.m_Body.begin(), Answer.m_Body.end(), 'w');
        Used += PromptTokens + (Answer.m_Status == 200 ? Events * TokensPerEvent : 0);
      }
    }
    if (Used > Prepaid) {
      fail(fmt::format("{} tokens used of {}", Used, Prepaid));
    }
    std::cout << fmt::format("seed {}: {} requests, {} served, {} of {} tokens used, {} failures\n",
                             m_Seed, m_Outcomes.size(), Served, Used, Prepaid, m_Failures);
  }

  PlatformFixture m_World;
  std::uint64_t m_Seed;
  std::mt19937_64 m_Random;
  std::atomic<bool> m_IsOver{false};
  std::mutex m_Mutex;
  std::vector<Outcome> m_Outcomes;
  int m_Version = 1;
  int m_Failures = 0;
};

} // namespace

auto main(int Count, char **Arguments) -> int {
  absl::ParseCommandLine(Count, Arguments);
  return Soak(absl::GetFlag(FLAGS_seed)).run() ? 0 : 1;
}
