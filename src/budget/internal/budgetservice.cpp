#include "budget/budgetservice.h"

#include "base/hashing.h"
#include "budget/internal/ledgerrunner.h"

#include <map>
#include <set>
#include <utility>

namespace geraniumlift::budget {

/// State of the service, used on the scheduler thread only.
struct BudgetService::State : std::enable_shared_from_this<State> {
  State(BudgetOptions Options, keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
        const base::IClock &Clock)
      : m_Options(std::move(Options)), m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock) {}

  BudgetOptions m_Options;
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  std::map<std::string, std::shared_ptr<internal::LedgerRunner>, std::less<>> m_Runners;
  std::map<ReservationId, std::shared_ptr<internal::LedgerRunner>> m_RunnersByReservation;
  std::set<base::HolderId> m_GoneHolders;
  ReservationId m_LastReservation = 0;
  bool m_IsDraining = false;

  auto findOrCreateRunner(const std::string &Budget)
      -> const std::shared_ptr<internal::LedgerRunner> & {
    auto &Runner = m_Runners[Budget];
    if (!Runner) {
      Runner = std::make_shared<internal::LedgerRunner>(Budget, m_Options,
                                                        m_Options.m_Seed ^ base::hash64(Budget),
                                                        m_Store, m_Scheduler, m_Clock);
      for (const auto &Holder : m_GoneHolders) {
        Runner->holderGone(Holder);
      }
      if (m_IsDraining) {
        Runner->drain([] {});
      }
    }
    return Runner;
  }

  /// Removes a reservation and returns its runner; nullptr if the reservation is unknown.
  auto takeRunner(ReservationId Id) -> std::shared_ptr<internal::LedgerRunner> {
    auto Entry = m_RunnersByReservation.extract(Id);
    return Entry.empty() ? nullptr : std::move(Entry.mapped());
  }
};

BudgetService::BudgetService(BudgetOptions Options, keyvalue::IKeyValueStore &Store,
                             base::IScheduler &Scheduler, const base::IClock &Clock)
    : m_Scheduler(Scheduler),
      m_State(std::make_shared<State>(std::move(Options), Store, Scheduler, Clock)) {}

BudgetService::~BudgetService() = default;

template <typename Function>
auto BudgetService::runOnSchedulerThread(Function Run) -> void {
  m_Scheduler.post([Weak = std::weak_ptr<State>(m_State), Run = std::move(Run)]() mutable {
    if (const auto Self = Weak.lock()) {
      Run(*Self);
    }
  });
}

auto BudgetService::reserve(ReserveRequest Request, ReserveCallback Done) -> void {
  runOnSchedulerThread([Request = std::move(Request), Done = std::move(Done)](State &Self) mutable {
    const auto Id = ++Self.m_LastReservation;
    const auto Runner = Self.findOrCreateRunner(Request.m_Budget);
    Self.m_RunnersByReservation.emplace(Id, Runner);
    auto Answer = [Weak = Self.weak_from_this(), Id, Done = std::move(Done)](ReserveResult Result) {
      const auto Owner = Weak.lock();
      if (Owner && std::holds_alternative<base::Refusal>(Result)) {
        Owner->m_RunnersByReservation.erase(Id);
      }
      Done(std::move(Result));
    };
    Runner->reserve(Id, Request, std::move(Answer));
  });
}

auto BudgetService::bill(ReservationId Reservation, Tokens Used, BillCallback Done) -> void {
  runOnSchedulerThread([=, Done = std::move(Done)](State &Self) mutable {
    if (const auto Runner = Self.takeRunner(Reservation)) {
      Runner->bill(Reservation, Used, std::move(Done));
    } else {
      // A second bill for one reservation must not be charged, but its callback must still run.
      Done(BillOutcome::Pending);
    }
  });
}

auto BudgetService::release(ReservationId Reservation) -> void {
  runOnSchedulerThread([=](State &Self) {
    if (const auto Runner = Self.takeRunner(Reservation)) {
      Runner->release(Reservation);
    }
  });
}

auto BudgetService::holderGone(base::HolderId Holder) -> void {
  runOnSchedulerThread([Holder = std::move(Holder)](State &Self) {
    Self.m_GoneHolders.insert(Holder);
    for (const auto &[Name, Runner] : Self.m_Runners) {
      Runner->holderGone(Holder);
    }
  });
}

auto BudgetService::views(std::function<void(std::vector<BudgetView>)> Done) -> void {
  runOnSchedulerThread([Done = std::move(Done)](State &Self) {
    auto Views = std::vector<BudgetView>();
    for (const auto &[Name, Runner] : Self.m_Runners) {
      Views.push_back(Runner->view());
    }
    Done(std::move(Views));
  });
}

auto BudgetService::drain(std::function<void()> Done) -> void {
  runOnSchedulerThread([Done = std::move(Done)](State &Self) {
    Self.m_IsDraining = true;
    const auto Left = std::make_shared<std::size_t>(Self.m_Runners.size());
    if (*Left == 0) {
      Done();
    }
    for (const auto &[Name, Runner] : Self.m_Runners) {
      Runner->drain([Left, Done] {
        if (--*Left == 0) {
          Done();
        }
      });
    }
  });
}

} // namespace geraniumlift::budget
