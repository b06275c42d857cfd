#pragma once

#include "budget/budgetrecord.h"
#include "budget/budgetservice.h"
#include "fakes/memorykeyvaluestore.h"
#include "simulationtypes.h"

#include <memory>
#include <random>
#include <vector>

namespace geraniumlift::bench {

/// Several routers that draw on one budget in virtual time.
class BudgetSimulation {
public:
  explicit BudgetSimulation(const SimulationCase &Case);

  auto run() -> SimulationResult;

private:
  struct Router {
    std::unique_ptr<fakes::MemoryKeyValueStore> m_Store;
    std::unique_ptr<budget::BudgetService> m_Service;
    bool m_IsCut = false;
  };

  auto runBusyPhase() -> void;
  auto runPartition() -> void;

  /// Lets each router receive requests at the given mean rate a second for a while.
  auto offer(double RequestsPerSecond, std::chrono::seconds Duration) -> void;
  auto arrive(std::size_t Index, double RequestsPerSecond, base::SteadyTime End) -> void;
  auto request(Router &Target) -> void;
  auto serve(Router &Target, budget::ReservationId Id, Tokens WorstCase) -> void;
  auto bill(Router &Target, budget::ReservationId Id, Tokens WorstCase) -> void;
  auto noteRefusal(bool WasCut, Tokens WorstCase) -> void;
  auto topUp(Tokens Amount) -> void;
  auto noteStranded() -> void;
  auto record() const -> budget::BudgetRecord;
  auto uniform(double Low, double High) -> double;

  SimulationCase m_Case;
  SimulationResult m_Result;
  std::mt19937_64 m_Random;
  base::ManualClock m_Clock;
  fakes::ManualScheduler m_Scheduler{m_Clock};
  fakes::MemoryKeyValueData m_Data;
  std::vector<Router> m_Routers;
  Tokens m_ToppedUp = 0;
  Tokens m_Used = 0;
  Tokens m_InFlight = 0;
};

} // namespace geraniumlift::bench
