#pragma once

#include "admission/dispatcher.h"
#include "base/manualclock.h"
#include "decisions/faketarget.h"
#include "decisions/policies.h"
#include "decisions/runresult.h"
#include "decisions/scenario.h"

#include <memory>
#include <queue>

namespace geraniumlift::bench {

/// What to run.
struct RunSpec {
  const Workload *m_Workload = nullptr;
  admission::DispatcherOptions m_Options;
  Scenario m_Scenario = Scenario::NoFault;
  std::uint64_t m_Seed = 1;
};

/// Runs the routers' dispatchers against fake targets, event by event. Both ways of the latency
/// between router and target are charged when a request is sent; progress reaches the router at
/// once.
class Simulation {
public:
  explicit Simulation(const RunSpec &Spec);

  /// Requests sent at the peak that any scheduler with these targets could serve in time, an upper
  /// bound. Called before run().
  [[nodiscard]] auto peakBound(bool PaidOnly) const -> double;

  /// Runs the plan until all requests have ended. Called once.
  auto run() -> RunResult;

private:
  struct Event;
  using Handler = void (Simulation::*)(const Event &);

  struct Event {
    double m_Seconds = 0.0;

    /// Breaks ties in the order of scheduling.
    std::uint64_t m_Order = 0;
    Handler m_Handler = nullptr;

    /// Request, attempt, target, router or message, depending on the handler.
    std::size_t m_Subject = 0;
    std::size_t m_Router = 0;

    auto operator<(const Event &Other) const -> bool {
      return m_Seconds != Other.m_Seconds ? m_Seconds > Other.m_Seconds : m_Order > Other.m_Order;
    }
  };

  struct SentReport {
    admission::LoadReport m_Report;
    double m_MeasuredAt = 0.0;
  };

  struct Router {
    std::unique_ptr<admission::Dispatcher> m_Dispatcher;
    std::string m_DataCentre;
    bool m_CutOff = false;
    std::optional<double> m_PollAt;
  };

  struct Target {
    FakeTarget m_Fake;
    admission::TargetInfo m_Info;
    std::size_t m_Pool = 0;
  };

  /// What the caller and the routers know of a request in flight.
  struct Flight {
    bool m_Ended = false;
    std::int64_t m_Sends = 0;

    /// Router that holds the request, if any, and its identifier there.
    std::optional<std::size_t> m_Router;
    admission::WorkId m_Work = 0;
    std::optional<AttemptId> m_Attempt;
    std::size_t m_NextRouter = 0;
  };

  struct Attempt {
    std::size_t m_Request = 0;
    std::size_t m_Router = 0;
    std::size_t m_Target = 0;
    admission::WorkId m_Work = 0;
    std::int64_t m_Priority = 0;
    base::Tokens m_TokensLeft = 0;
    bool m_Alive = true;
    bool m_FirstTokenSent = false;
    bool m_PrefixCached = false;
  };

  auto poolBound(std::size_t Pool, bool PaidOnly) const -> double;
  auto buildTargets(base::RandomEngine &Random) -> void;
  auto buildRouters() -> void;
  auto assignCallers(base::RandomEngine &Random) -> void;
  auto scheduleStart() -> void;
  auto scheduleFaults() -> void;
  auto slowTargets() -> void;
  auto targetList() const -> std::vector<admission::TargetInfo>;
  auto schedule(double Seconds, Handler Handler, std::size_t Subject, std::size_t Router = 0)
      -> void;
  auto steady(double Seconds) const -> base::SteadyTime;
  auto seconds(base::SteadyTime Time) const -> double;
  auto workItem(std::size_t Request, admission::WorkId Work) const -> admission::WorkItem;
  auto pickRouter(std::size_t Request) -> std::size_t;
  auto poll(std::size_t Router) -> void;
  auto dispatch(std::size_t Router, const admission::Dispatch &Dispatch) -> void;
  auto refused(std::size_t Request, const base::Refusal &Refusal) -> void;
  auto startWaiting(std::size_t Target) -> void;
  auto startAttempt(AttemptId Id) -> void;
  auto chunkWork(const Attempt &Attempt) const -> double;
  auto endAttempt(AttemptId Id, const admission::AttemptEnd &End) -> void;
  auto publishPrefix(std::size_t Target, std::uint64_t PrefixHash) -> void;
  auto served(std::size_t Request) -> void;
  auto withdraw(std::size_t Request) -> void;
  auto countFalseRefusals(RunResult &Result) const -> void;

  auto onSend(const Event &Event) -> void;
  auto onArrive(const Event &Event) -> void;
  auto onPoll(const Event &Event) -> void;
  auto onTargetReceives(const Event &Event) -> void;
  auto onChunk(const Event &Event) -> void;
  auto onTargetRefusal(const Event &Event) -> void;
  auto onCallerTimeout(const Event &Event) -> void;
  auto onMeasureLoad(const Event &Event) -> void;
  auto onReport(const Event &Event) -> void;
  auto onCacheChange(const Event &Event) -> void;
  auto onLeave(const Event &Event) -> void;
  auto onVmListUpdate(const Event &Event) -> void;
  auto onCut(const Event &Event) -> void;
  auto onCutNoticed(const Event &Event) -> void;
  auto onCutEnds(const Event &Event) -> void;

  const Workload m_Load;
  RunSpec m_Spec;
  base::ManualClock m_Clock;
  base::SteadyTime m_Start;
  base::RandomEngine m_Random;
  std::vector<PlannedRequest> m_Plan;
  std::vector<Outcome> m_Outcomes;
  std::vector<Flight> m_Flights;
  std::vector<Attempt> m_Attempts;
  std::vector<Target> m_Targets;
  std::map<std::string, std::size_t> m_TargetPlaces;
  std::vector<Router> m_Routers;

  /// Request of each identifier given to a dispatcher; the place is the identifier.
  std::vector<std::size_t> m_RequestOfWork;

  /// Messages on their way; the events hold their places.
  std::vector<SentReport> m_Reports;
  std::vector<admission::CacheEvent> m_CacheEvents;

  /// Router that each caller of each flow uses during each life of the entry list.
  std::vector<std::vector<std::size_t>> m_RouterOfCaller;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextOrder = 0;
  double m_Now = 0.0;
  double m_LastDeadline = 0.0;
  std::int64_t m_LateStartsOnLeaving = 0;
};

} // namespace geraniumlift::bench
