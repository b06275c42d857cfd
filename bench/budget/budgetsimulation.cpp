#include "budgetsimulation.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace geraniumlift::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto BudgetName = "bench";
constexpr auto RequestsPerSecond = 10.0;
constexpr auto BusyTime = 40s;
constexpr auto Deadline = 30s;

/// Tokens: worst cases and the used part of them are uniform in these bounds.
constexpr auto SmallestWorstCase = 64.0;
constexpr auto LargestWorstCase = 1024.0;
constexpr auto SmallestUsedPart = 0.2;

/// Seconds from reservation to bill.
constexpr auto ShortestRun = 0.2;
constexpr auto LongestRun = 3.0;

/// The budget covers this part of the expected demand, so that its end falls into the busy phase.
constexpr auto CoveredPart = 0.9;

/// Requests a second and router during the partition, and the time from its start to the top-up.
constexpr auto QuietRequestsPerSecond = 0.1;
constexpr auto TimeToTopUp = 600s;
constexpr auto TimeAfterTopUp = 3000s;

auto expectedUse() -> double {
  return (SmallestWorstCase + LargestWorstCase) / 2 * (1 + SmallestUsedPart) / 2;
}

} // namespace

BudgetSimulation::BudgetSimulation(const SimulationCase &Case)
    : m_Case(Case), m_Random(Case.m_Seed) {
  for (int Index = 0; Index < Case.m_Routers; ++Index) {
    auto Next = Router();
    Next.m_Store = std::make_unique<fakes::MemoryKeyValueStore>(m_Data, m_Scheduler);
    const auto Options =
        budget::BudgetOptions{.m_Holder = {fmt::format("vm-{}", Index), 1},
                              .m_CommitInterval = Case.m_CommitInterval,
                              .m_GrantStrategy = Case.m_Strategy,
                              .m_GrantHorizon = Case.m_GrantHorizon,
                              .m_ExpectedRouters = Case.m_Routers,
                              .m_Seed = Case.m_Seed + static_cast<std::uint64_t>(Index)};
    Next.m_Service =
        std::make_unique<budget::BudgetService>(Options, *Next.m_Store, m_Scheduler, m_Clock);
    m_Routers.push_back(std::move(Next));
  }
}

auto BudgetSimulation::run() -> SimulationResult {
  const auto Demand =
      expectedUse() * RequestsPerSecond * static_cast<double>(m_Case.m_Routers * BusyTime.count());
  topUp(static_cast<Tokens>(Demand * (m_Case.m_WithPartition ? 2 : CoveredPart)));
  runBusyPhase();
  if (m_Case.m_WithPartition) {
    runPartition();
  }
  m_Scheduler.runFor(2 * Deadline);
  m_Result.m_Overspend = std::max(Tokens{0}, m_Used - m_ToppedUp);
  return m_Result;
}

auto BudgetSimulation::runBusyPhase() -> void {
  offer(RequestsPerSecond, BusyTime);
  m_Result.m_Writes = m_Data.m_Writes;
  m_Result.m_Conflicts = m_Data.m_Conflicts;
  m_Result.m_Reads = m_Data.m_Reads;
  m_Result.m_BusySeconds = static_cast<double>(BusyTime.count());
}

auto BudgetSimulation::runPartition() -> void {
  for (std::size_t Index = 0; Index < m_Routers.size() / 3; ++Index) {
    m_Routers[Index].m_IsCut = true;
    m_Routers[Index].m_Store->cut(true);
  }
  offer(QuietRequestsPerSecond, TimeToTopUp);
  topUp(m_ToppedUp / 2);
  offer(QuietRequestsPerSecond, TimeAfterTopUp);
  noteStranded();
  for (std::size_t Index = 0; Index < m_Routers.size() / 3; ++Index) {
    m_Routers[Index].m_IsCut = false;
    m_Routers[Index].m_Store->cut(false);
  }
}

auto BudgetSimulation::noteStranded() -> void {
  for (auto &Each : m_Routers) {
    if (Each.m_IsCut) {
      Each.m_Service->views([this](const std::vector<budget::BudgetView> &Views) {
        for (const auto &View : Views) {
          m_Result.m_Stranded += View.m_Allowance + View.m_Reserved;
        }
      });
    }
  }
  m_Scheduler.runFor(0ns);
}

auto BudgetSimulation::offer(double Rate, std::chrono::seconds Duration) -> void {
  for (std::size_t Index = 0; Index < m_Routers.size(); ++Index) {
    arrive(Index, Rate, m_Clock.steadyNow() + Duration);
  }
  m_Scheduler.runFor(Duration);
}

auto BudgetSimulation::arrive(std::size_t Index, double Rate, base::SteadyTime End) -> void {
  const auto Gap = std::chrono::duration<double>(-std::log(uniform(1e-9, 1)) / Rate);
  const auto Delay = std::chrono::ceil<std::chrono::milliseconds>(Gap);
  if (m_Clock.steadyNow() + Delay >= End) {
    return;
  }
  m_Scheduler.after(Delay, [=, this] {
    request(m_Routers[Index]);
    arrive(Index, Rate, End);
  });
}

auto BudgetSimulation::request(Router &Target) -> void {
  const auto WorstCase = static_cast<Tokens>(uniform(SmallestWorstCase, LargestWorstCase));
  ++m_Result.m_Requests;
  m_Result.m_RequestsCutOff += Target.m_IsCut ? 1 : 0;
  Target.m_Service->reserve(
      {.m_Budget = BudgetName,
       .m_RequestId = {},
       .m_WorstCase = WorstCase,
       .m_Deadline = m_Clock.steadyNow() + Deadline},
      [this, &Target, WasCut = Target.m_IsCut, WorstCase](const budget::ReserveResult &Result) {
        if (const auto *const Id = std::get_if<budget::ReservationId>(&Result)) {
          serve(Target, *Id, WorstCase);
        } else {
          noteRefusal(WasCut, WorstCase);
        }
      });
}

auto BudgetSimulation::serve(Router &Target, budget::ReservationId Id, Tokens WorstCase) -> void {
  m_InFlight += WorstCase;
  const auto RunTime =
      std::chrono::milliseconds(static_cast<std::int64_t>(1000 * uniform(ShortestRun, LongestRun)));
  m_Scheduler.after(RunTime, [=, this, &Target] { bill(Target, Id, WorstCase); });
}

auto BudgetSimulation::bill(Router &Target, budget::ReservationId Id, Tokens WorstCase) -> void {
  const auto Used =
      static_cast<Tokens>(uniform(SmallestUsedPart, 1) * static_cast<double>(WorstCase));
  m_InFlight -= WorstCase;
  m_Used += Used;
  Target.m_Service->bill(Id, Used, [this, Started = m_Clock.steadyNow()](budget::BillOutcome) {
    ++m_Result.m_Bills;
    m_Result.m_BillWait +=
        std::chrono::duration_cast<std::chrono::milliseconds>(m_Clock.steadyNow() - Started);
  });
}

auto BudgetSimulation::noteRefusal(bool WasCut, Tokens WorstCase) -> void {
  if (m_ToppedUp - m_Used - m_InFlight < WorstCase) {
    return;
  }
  ++(WasCut ? m_Result.m_FalseRefusalsCutOff : m_Result.m_FalseRefusals);
}

auto BudgetSimulation::topUp(Tokens Amount) -> void {
  const auto Key = budget::keyOfBudget(BudgetName);
  const auto Exists = m_Data.m_Keys.contains(Key);
  auto Record = Exists ? record() : budget::BudgetRecord();
  const auto Outcome = applyTopUp(Record, fmt::format("top-up-{}", m_ToppedUp), Amount);
  m_ToppedUp += Outcome.ok() ? Amount : 0;
  m_Data.m_Keys[Key] = {Key, encodeRecord(Record), 1, ++m_Data.m_Revision};
}

auto BudgetSimulation::record() const -> budget::BudgetRecord {
  return budget::decodeRecord(m_Data.m_Keys.at(budget::keyOfBudget(BudgetName)).m_Value).value();
}

auto BudgetSimulation::uniform(double Low, double High) -> double {
  return std::uniform_real_distribution<double>(Low, High)(m_Random);
}

} // namespace geraniumlift::bench
